#pragma once

#include "serverhello.h"
#include "websocket.h"

#include "rattanrill/peer/transport.h"

#include <memory>
#include <string>

namespace rattanrill::peer {

class ServerCore;

/// One accepted connection, which serves requests after the hello exchange. Runs on the server's
/// network thread; only sendResponse() is called from other threads.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(std::shared_ptr<ServerCore> server, WebsocketServer::connection_ptr socket);

    void start();
    /// Closes the connection without the closing handshake.
    void drop();
    void sendResponse(std::uint64_t id, wire::Method method, const Outcome<std::string> &outcome);

private:
    using Timer = boost::asio::steady_timer;

    void handleFrame(const std::string &frame);
    void handleHello(const wire::Envelope &envelope);
    void refuse(const Failure &failure);
    void dispatch(wire::Envelope envelope);
    void sendFrame(const std::string &frame);
    void armTimer(absl::Duration delay);
    void handleTimer();
    void handleClose();

    std::shared_ptr<ServerCore> m_server;
    WebsocketServer::connection_ptr m_socket;
    ServerHello m_hello;
    /// Identity of the peer; set once the hello exchange is complete.
    PeerIdentity m_sender;
    std::string m_remote;
    /// Whether a frame or a ping has arrived since the timer was started.
    bool m_receivedSinceTimerStart = false;
    Timer m_timer;
};

} // namespace rattanrill::peer
