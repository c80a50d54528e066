#pragma once

#include "rattanrill/net/connectionpool.h"
#include "rattanrill/net/responseparser.h"
#include "rattanrill/net/tcpstate.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rattanrill::net {

/// One connection to an upstream.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection>
{
public:
    /// Called with this connection when it becomes idle again or is closed.
    using Listener = std::function<void(const std::shared_ptr<UpstreamConnection> &, bool idle)>;

    UpstreamConnection(boost::asio::io_context &context, std::string address,
                       ConnectionPoolOptions options, Listener listener);

    /// Connects without a request. The connection is idle when \a done is called with true.
    /// Requires a new connection.
    void establish(std::function<void(bool isConnected)> done);
    /// Sends the request that \a writer returns, whose id is \a requestId. Requires a new or idle
    /// connection.
    void call(RequestWriter writer, CallHandlers handlers, const std::string &requestId);
    void close();
    /// Closes the connection and discards the bytes that the peer has not received.
    void reset();
    const std::string &address() const { return m_address; }
    bool isEstablished() const { return m_state == State::Calling || m_state == State::Idle; }
    /// What the operating system knows of the connection, which is established; nothing if it does
    /// not tell.
    std::optional<TcpState> tcpState();
    /// Whether the connection is idle and can carry another request.
    bool isUsable(absl::Time now);
    /// Whether a request with the id \a requestId was sent on this connection. May return true for
    /// an id that was not, but never false for one that was.
    bool hasCarried(const std::string &requestId) const;

private:
    enum class State {
        New,
        Connecting,
        Calling,
        Idle,
        Closed,
    };

    void connect();
    boost::system::error_code startHandshake();
    void awaitHandshake();
    void repeatHandshake();
    void connectTimedOut();
    void handleConnect(boost::asio::ip::tcp::socket &socket,
                       const boost::system::error_code &error);
    void writeRequest();
    void send();
    void read();
    void readLater();
    void handleRead(const boost::system::error_code &error, std::size_t bytes);
    void logFault(ResponseFault fault) const;
    bool handleHead(const ResponseHead &head);
    bool isOwn(ResponseOwner owner);
    bool isReusable() const;
    void becomeIdle();
    void awaitBytesOrClose();
    bool hasReadableBytes();
    void finish();
    void discardHandshakes();
    void fail(CallStatus status);
    /// Ends the call whose request can't be written.
    void failMalformed(const Failure &failure);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    const std::string m_address;
    const ConnectionPoolOptions m_options;
    Listener m_listener;
    State m_state = State::New;
    /// Address of the peer and the end of the time to connect to it.
    boost::asio::ip::tcp::endpoint m_endpoint;
    std::chrono::steady_clock::time_point m_connectEnd;
    /// Sockets of the handshakes that are not answered; the first one that is becomes m_socket.
    std::vector<std::shared_ptr<boost::asio::ip::tcp::socket>> m_handshakes;
    /// Set while the connection is being established for a request.
    RequestWriter m_writer;
    /// When the request was written, of which a part may not have been sent yet.
    absl::Time m_writtenAt;
    /// When the connection was established or data was last read.
    absl::Time m_receivedAt;
    /// Whether data was read.
    bool m_hasRead = false;
    /// Part of the request that has not been sent yet.
    std::string m_output;
    /// Whether the connection failed while the request was sent, so that its end is no orderly one.
    bool m_hasSendFailed = false;
    std::optional<ResponseParser> m_parser;
    std::shared_ptr<CallHandlers> m_handlers;
    /// Set while the connection is being established without a request.
    std::function<void(bool)> m_established;
    std::array<char, 16384> m_buffer;
    absl::Duration m_keepAlive;
    absl::Time m_idleSince;
    /// Hashes of the ids of the requests that were sent.
    std::vector<std::size_t> m_carriedIds;
    bool m_isReused = false;
    /// Whether the last response was accepted although it named no request.
    bool m_isOwnerUnknown = false;
};

} // namespace rattanrill::net
