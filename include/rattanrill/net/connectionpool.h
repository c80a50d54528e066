#pragma once

#include "rattanrill/net/eventloop.h"
#include "rattanrill/net/message.h"
#include "rattanrill/net/tcpstate.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::net {

/// How a call to an upstream ended.
enum class CallStatus {
    /// The complete response arrived.
    Complete,
    /// No connection could be established, or CallHandlers::mayBeSent returned false; nothing was
    /// sent.
    NotConnected,
    /// A new connection was neither established nor refused in time; nothing was sent.
    Unanswered,
    /// The request can't be written as HTTP, at no upstream; nothing was sent.
    Malformed,
    /// The connection was closed or became unusable after a part of the request may have been
    /// sent.
    Broken,
};

/// Whether nothing was sent.
constexpr bool isNotSent(CallStatus status)
{
    return status == CallStatus::NotConnected || status == CallStatus::Unanswered
           || status == CallStatus::Malformed;
}

std::string_view name(CallStatus status);
std::optional<CallStatus> callStatusFromName(std::string_view name);

/// To which request a response belongs according to its head.
enum class ResponseOwner {
    ThisRequest,
    AnotherRequest,
    /// The head names no request.
    Unknown,
};

/// Returns the bytes of a request. Called when they can be written, so that the request may state
/// how much time is left then. When it fails, the call ends as Malformed.
using RequestWriter = std::function<Outcome<std::string>()>;

/// Callbacks that receive the response to one call. They run on the event loop.
struct CallHandlers
{
    /// Returns to which request a response belongs. A response to another request is skipped, and
    /// so is one of unknown owner unless it is the first response on its connection. When null, all
    /// responses belong to the call.
    std::function<ResponseOwner(const ResponseHead &)> ownerOf;
    std::function<void(const ResponseHead &)> onHead;
    std::function<void(std::string_view)> onBody;
    /// Called exactly once unless the call is cancelled.
    std::function<void(CallStatus)> onEnd;
    /// Called when a new connection has been established, directly before the request is written.
    /// When it returns false, the call ends as NotConnected. Optional.
    std::function<bool()> mayBeSent{};
    /// Called before onEnd when a new connection was neither established nor refused in time.
    /// Optional.
    std::function<void()> onUnanswered{};
};

/// Timeouts and limits of a ConnectionPool.
struct ConnectionPoolOptions
{
    absl::Duration connectTimeout = absl::Seconds(1);
    /// Fraction (0 to 1) of the keep-alive time announced by the upstream during which an idle
    /// connection is reused. Below 1, so that no request is sent while the upstream is closing the
    /// connection.
    double keepAliveFraction = 0.5;
    /// Keep-alive time assumed for upstreams that announce none.
    absl::Duration defaultKeepAlive = absl::Seconds(4);
    /// Maximum number of idle connections per address.
    std::size_t maxIdle = 16;
    /// Minimum time between two reads of one response. With a time above 0, the parts of a stream
    /// that arrive meanwhile are handled together; for streams that nobody waits for.
    absl::Duration readInterval = absl::ZeroDuration();
    /// Time after which retire() closes connections. Until then hasOpenConnections() shows that the
    /// upstream has not crashed.
    absl::Duration retireDelay = absl::Milliseconds(100);
};

/// Pool of keep-alive connections to upstreams; each carries one request at a time. Use it on the
/// event loop only.
class ConnectionPool
{
public:
    using CallId = std::uint64_t;

    ConnectionPool(EventLoop &loop, ConnectionPoolOptions options);
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;

    /// Sends the serialized HTTP request that \a writer returns to \a address ("host:port").
    /// \a writer is called once, when a connection is established, and before return if one is
    /// idle. Errors are reported by CallHandlers::onEnd. \a requestId: id that the response to the
    /// request repeats; absent when responses name no request. A connection carries each id once,
    /// so that an upstream that repeats a response cannot answer a repeated request with it. A
    /// request with an empty id gets a connection of its own.
    CallId call(const std::string &address, RequestWriter writer, CallHandlers handlers,
                const std::optional<std::string> &requestId = std::nullopt);
    /// The same for a request that does not change while a connection is being established.
    CallId call(const std::string &address, Outcome<std::string> request, CallHandlers handlers,
                const std::optional<std::string> &requestId = std::nullopt);
    /// Opens a connection to \a address, which then is idle. \a done is called once, with whether
    /// it was established.
    void connect(const std::string &address, std::function<void(bool isConnected)> done);
    /// Whether call() would use an idle connection.
    bool hasIdleConnection(const std::string &address,
                           const std::optional<std::string> &requestId) const;
    /// Resets the connection of \a call, so that the upstream can detect that the response is no
    /// longer needed, and bytes of the request that it has not received are never delivered. No
    /// handler of the call runs after return.
    void cancel(CallId call);
    /// Closes the idle connections to \a address; for an address that is no longer used.
    void closeIdleConnections(const std::string &address);
    /// Closes the idle connections to \a address once no call uses the address; for an upstream
    /// that gets no further requests. The next call to \a address opens a new connection.
    void retire(const std::string &address);
    /// Whether a connection to \a address is established, idle or with a call.
    bool hasOpenConnections(const std::string &address) const;
    /// What the operating system knows of the established connections to \a address, idle or with a
    /// call. A member is absent if the system does not tell.
    std::vector<std::optional<TcpState>> tcpStates(const std::string &address) const;
    /// Number of connections opened since construction, including failed attempts.
    std::uint64_t connectionsOpened() const;
    /// Closes all connections and cancels all open calls.
    void stop();

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanrill::net
