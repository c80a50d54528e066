#pragma once

#include "rattanrill/net/connectionpool.h"
#include "rattanrill/net/responseparser.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace rattanrill::net {

/// One connection to an upstream.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection>
{
public:
    /// Called with this connection when it is idle again, or is closed.
    using Listener = std::function<void(const std::shared_ptr<UpstreamConnection> &, bool idle)>;

    UpstreamConnection(boost::asio::io_context &context, std::string address,
                       ConnectionPoolOptions options, Listener listener);

    /// Only on a new or idle connection.
    void call(std::string request, CallHandlers handlers);
    void close();
    const std::string &address() const { return m_address; }
    /// The kept connection may be used for another request.
    bool isUsable(absl::Time now) const;

private:
    enum class State {
        New,
        Connecting,
        Calling,
        Idle,
        Closed,
    };

    void connect();
    void connected(const boost::system::error_code &error);
    void send();
    void read();
    void received(const boost::system::error_code &error, std::size_t bytes);
    bool noteHead(const ResponseHead &head);
    void finish();
    void fail(CallStatus status);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    const std::string m_address;
    const ConnectionPoolOptions m_options;
    Listener m_listener;
    State m_state = State::New;
    std::string m_output;
    std::optional<ResponseParser> m_reader;
    std::shared_ptr<CallHandlers> m_handlers;
    std::array<char, 16384> m_buffer;
    absl::Duration m_keep;
    absl::Time m_idleSince;
};

} // namespace rattanrill::net
