#pragma once

#include "rattanrill/peer/transport.h"

#include <functional>
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
    /// Calls \a done on the network thread after the messages that had arrived at this process have
    /// been passed to their handlers. Never calls it after stop(). Tells a slow reader from a
    /// silent sender.
    void afterPendingReads(std::function<void()> done);
    /// Closes all connections; no handler runs after return.
    void stop();

private:
    struct Impl;

    std::unique_ptr<Impl> m_impl;
};

} // namespace rattanrill::peer
