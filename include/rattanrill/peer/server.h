#pragma once

#include "rattanrill/peer/transport.h"

#include <memory>

namespace rattanrill::peer {

/// Accepts authenticated websocket connections of other processes and serves their requests.
class Server
{
public:
    explicit Server(TransportOptions options);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// Sets the handler of \a method; before start() only.
    void handle(wire::Method method, MethodHandler handler);
    /// Listens on \a host and \a port; port 0 takes a free one. Fails with AddressInUse or
    /// InvalidArgument.
    Result<void> start(const std::string &host, int port);
    int port() const;
    /// Closes all connections; no handler runs after return.
    void stop();

private:
    struct Impl;

    std::unique_ptr<Impl> m_impl;
};

} // namespace rattanrill::peer
