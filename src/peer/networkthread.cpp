#include "networkthread.h"

#include <utility>

namespace rattanrill::peer {

NetworkThread &NetworkThread::instance()
{
    static auto *thread = new NetworkThread;
    return *thread;
}

NetworkThread::NetworkThread()
    : m_workGuard(m_service)
{
    m_endpoint.clear_access_channels(websocketpp::log::alevel::all);
    m_endpoint.clear_error_channels(websocketpp::log::elevel::all);
    m_endpoint.init_asio(&m_service);
    m_thread = std::thread([this] { m_service.run(); });
}

void NetworkThread::post(std::function<void()> task)
{
    m_service.post(std::move(task));
}

bool NetworkThread::isCurrent() const
{
    return std::this_thread::get_id() == m_thread.get_id();
}

} // namespace rattanrill::peer
