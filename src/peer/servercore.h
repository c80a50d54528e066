#pragma once

#include "websocket.h"

#include "rattanrill/peer/transport.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace rattanrill::peer {

class ServerConnection;

/// Implementation of a Server: its network thread, the listening socket and the open connections.
class ServerCore : public std::enable_shared_from_this<ServerCore>
{
public:
    explicit ServerCore(TransportOptions options);
    ~ServerCore();

    void handle(wire::Method method, MethodHandler handler);
    Result<void> start(const std::string &host, int port);
    int port() const { return m_port; }
    void afterPendingReads(std::function<void()> done);
    void stop();

    const TransportOptions &options() const { return m_options; }
    boost::asio::io_service &service() { return m_service; }
    /// Handler of \a method, or null if none is set.
    const MethodHandler *handlerOf(wire::Method method) const;
    /// Removes a connection that has ended. Called by the connection on the network thread.
    void removeConnection(const ServerConnection *connection);

private:
    void setUpEndpoint();
    void accept(const websocketpp::connection_hdl &handle);
    void closeAll();
    void waitForReads(int passes, std::function<void()> done);

    const TransportOptions m_options;
    std::map<wire::Method, MethodHandler> m_handlers;
    boost::asio::io_service m_service;
    WebsocketServer m_endpoint;
    std::map<const ServerConnection *, std::shared_ptr<ServerConnection>> m_connections;
    int m_port = 0;
    std::thread m_thread;
};

} // namespace rattanrill::peer
