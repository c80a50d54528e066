#pragma once

#include "rattanrill/peer/transport.h"

#include <memory>

namespace rattanrill::peer {

/// Accepts authenticated WebSocket connections from other processes and serves their requests.
class Server
{
public:
    explicit Server(TransportOptions options);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// Sets the handler of \a method. Call it before start() only.
    void setHandler(wire::Method method, MethodHandler handler);
    /// Listens on \a host and \a port; port 0 selects a free port. Fails with AddressInUse or
    /// InvalidArgument.
    Result<void> start(const std::string &host, int port);
    /// Port on which the server listens.
    int port() const;
    /// Closes all connections; no handler runs after return.
    void stop();

private:
    struct Impl;

    std::unique_ptr<Impl> m_impl;
};

} // namespace rattanrill::peer
