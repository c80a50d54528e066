#include "rattanrill/peer/server.h"

#include "servercore.h"

#include <utility>

namespace rattanrill::peer {

struct Server::Impl
{
    std::shared_ptr<ServerCore> core;
};

Server::Server(TransportOptions options)
    : m_impl(new Impl{std::make_shared<ServerCore>(std::move(options))})
{}

Server::~Server()
{
    stop();
}

void Server::setHandler(wire::Method method, MethodHandler handler)
{
    m_impl->core->handle(method, std::move(handler));
}

Result<void> Server::start(const std::string &host, int port)
{
    return m_impl->core->start(host, port);
}

int Server::port() const
{
    return m_impl->core->port();
}

void Server::afterPendingReads(std::function<void()> done)
{
    m_impl->core->afterPendingReads(std::move(done));
}

void Server::stop()
{
    m_impl->core->stop();
}

} // namespace rattanrill::peer
