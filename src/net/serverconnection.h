#pragma once

#include "rattanrill/net/requestparser.h"
#include "rattanrill/net/server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <memory>
#include <set>
#include <string>

namespace rattanrill::net {

class ServerConnection;

/// What the connections of one server share.
struct ServerShared
{
    Server::Handler handler;
    ServerLimits limits;
    std::set<std::shared_ptr<ServerConnection>> connections;
    std::size_t openRequests = 0;
    bool draining = false;
};

/// One client's connection; also the Exchange of its current request.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<ServerShared> shared);

    void start();
    bool isIdle() const;
    void close();

    // Called by the exchange of the current request.
    void respond(Response response);
    void startStream(ResponseHead head);
    void write(std::string_view bytes);
    void finish();
    void abort();
    std::size_t unsentBytes() const { return m_output.size(); }

private:
    friend class ServerExchange;

    enum class Phase {
        Idle,
        Header,
        Body,
        /// The handler has the request.
        Serving,
        /// The last bytes are on their way; then the connection closes.
        Closing,
        Closed,
    };

    void read();
    void received(const boost::system::error_code &error, std::size_t bytes);
    void advance();
    void serve();
    void refuse(int status);
    void send(const std::string &bytes);
    void flush();
    void flushed();
    void requestDone();
    void endSending();
    void armTimer(absl::Duration delay);
    void expired();
    void clientGone();
    void endExchange();
    std::string framedHead(ResponseHead head, std::string_view framing);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<ServerShared> m_shared;
    RequestParser m_reader;
    std::array<char, 8192> m_buffer;
    Phase m_phase = Phase::Idle;
    std::string m_output;
    bool m_writing = false;
    bool m_reading = false;
    bool m_keepAlive = true;
    bool m_isStream = false;
    /// The answer is complete but not all of it has been sent.
    bool m_answered = false;
    std::weak_ptr<class ServerExchange> m_exchange;
};

} // namespace rattanrill::net
