#pragma once

#include "rattanrill/net/eventloop.h"
#include "rattanrill/net/message.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace rattanrill::net {

/// How a call to an upstream ended.
enum class CallStatus {
    /// The whole answer arrived.
    Complete,
    /// No connection was made; nothing was sent.
    NotConnected,
    /// The connection ended or was spoiled after something may have been sent.
    Broken,
};

std::string_view name(CallStatus end);

/// Receives the answer of one call, on the event loop.
struct CallHandlers
{
    /// Returns false when the answer belongs to another request; the next one is awaited then.
    std::function<bool(const ResponseHead &)> head;
    std::function<void(std::string_view)> body;
    /// Called exactly once unless the call is cancelled.
    std::function<void(CallStatus)> end;
};

struct ConnectionPoolOptions
{
    absl::Duration connectTimeout = absl::Seconds(1);
    /// A kept connection is used again for this share of the time that its upstream announces, so
    /// that a request does not cross the upstream's close.
    double keepShare = 0.5;
    /// Announced time of upstreams that sendHeartbeat none.
    absl::Duration defaultKeep = absl::Seconds(4);
    /// Kept connections per address.
    std::size_t maxIdle = 16;
};

/// Kept connections to upstreams, one request at a time on each. Used on the event loop only.
class ConnectionPool
{
public:
    using CallId = std::uint64_t;

    ConnectionPool(EventLoop &loop, ConnectionPoolOptions options);
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool &) = delete;
    ConnectionPool &operator=(const ConnectionPool &) = delete;

    /// Sends \a request, a serialized request, to \a address ("host:port").
    CallId call(const std::string &address, std::string request, CallHandlers handlers);
    /// Closes the call's connection, by which the upstream learns that nobody waits. No handler
    /// runs after return.
    void cancel(CallId call);
    /// Closes kept connections to an address that is no longer used.
    void drop(const std::string &address);
    /// Connections made since the start.
    std::uint64_t connectionsMade() const;
    void stop();

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanrill::net
