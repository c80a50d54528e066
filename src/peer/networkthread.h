#pragma once

#include "websocket.h"

#include <cstdint>
#include <functional>
#include <random>
#include <thread>

namespace rattanrill::peer {

/// The one thread that runs all channels of a process. At the target an entry has some 340
/// channels with few messages each, so a thread for each would cost more than it saves.
class NetworkThread
{
public:
    /// Never destroyed: a connection may outlive the channel that made it for a moment.
    static NetworkThread &instance();

    void post(std::function<void()> task);
    bool isCurrent() const;
    boost::asio::io_service &service() { return m_service; }
    WebsocketClient &endpoint() { return m_endpoint; }
    /// On this thread only.
    std::uint32_t random() { return m_random(); }

private:
    NetworkThread();

    boost::asio::io_service m_service;
    boost::asio::io_service::work m_work;
    WebsocketClient m_endpoint;
    std::mt19937 m_random{std::random_device()()};
    std::thread m_thread;
};

} // namespace rattanrill::peer
