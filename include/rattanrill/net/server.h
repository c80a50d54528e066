#pragma once

#include "rattanrill/base/result.h"
#include "rattanrill/net/eventloop.h"
#include "rattanrill/net/memorybudget.h"
#include "rattanrill/net/message.h"

#include "absl/time/time.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::net {

/// Limits on the size and duration of requests and on the number of connections.
struct ServerLimits
{
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = std::size_t(4) << 20;
    /// Maximum time from the first byte of a request to the end of its header.
    absl::Duration headerTimeout = absl::Seconds(3);
    /// Maximum time between two requests, and between two parts of a body. Responses announce it in
    /// whole seconds; below one second, connections are not kept.
    absl::Duration idleTimeout = absl::Seconds(15);
    /// At this number, the connection that has been open for the longest time without a request is
    /// closed for a new one, or else the one whose request has stopped arriving for the longest
    /// time, at least one second. Other connections that have served a request stay open. If there
    /// is none to close, the new one is closed as soon as it is accepted.
    std::size_t maxConnections = 3000;
};

/// One request of a client and its response. Use it on the event loop only. Exactly one call of
/// respond(), finish() or abort() ends the exchange.
class Exchange
{
public:
    virtual ~Exchange() = default;

    virtual const Request &request() const = 0;
    /// Time at which the request had arrived completely.
    virtual absl::Time receivedAt() const = 0;
    /// Sets \a handler, which is called once if the client disconnects before the response is
    /// complete.
    virtual void onClientDisconnected(std::function<void()> handler) = 0;
    /// Sets \a handler, which is called at most once, when the server ends its open requests. If it
    /// leaves the exchange open or there is none, the server responds 502, or aborts a stream that
    /// has started.
    virtual void onServerEnding(std::function<void()> handler) = 0;
    /// Sends a complete response. After startStream() it closes the connection like abort().
    virtual void respond(Response response) = 0;
    /// Starts a streamed response, whose length is not known in advance.
    virtual void startStream(ResponseHead head) = 0;
    /// Sends a part of the body of a streamed response.
    virtual void write(std::string_view bytes) = 0;
    /// Ends a streamed response as complete.
    virtual void finish() = 0;
    /// Closes the connection, so that the client cannot mistake the response for a complete one.
    virtual void abort() = 0;
    /// Whether startStream() was called.
    virtual bool streamStarted() const = 0;
    /// Number of response bytes that have not been sent to the client yet.
    virtual std::size_t unsentBytes() const = 0;
};

/// HTTP/1.1 server on an event loop. A connection serves one request after another. Malformed,
/// oversized or slow input is answered with an error status and does not affect other connections.
class Server
{
public:
    using Handler = std::function<void(std::shared_ptr<Exchange>)>;

    Server(EventLoop &loop, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// Listens on \a address ("host:port"). Fails with AddressInUse or InvalidArgument.
    Result<void> start(const std::string &address);
    /// Port on which the server listens.
    int port() const;
    /// Sets the limits for connections that are accepted and requests that begin from now on. A
    /// connection stays open for the time that its last response has announced.
    void setLimits(const ServerLimits &limits);
    /// Counts the requests and responses of connections in \a memory from now on. Without it, only
    /// the limits apply to each request. Call it before start().
    void setMemoryBudget(std::shared_ptr<MemoryBudget> memory);
    /// Makes the server announce with each response that begins from now on that its connection is
    /// closed. A connection that was announced as kept serves one more request.
    void drain();
    /// Adds the connections that wait to be accepted. They may have a request.
    void acceptPendingConnections();
    /// Closes the connections that have no request, not even one that has not been read yet.
    /// Connections stay open for a moment after they were accepted, and after a response that
    /// announced that they are kept, because a request may be on its way.
    void closeIdleConnections();
    /// Whether a connection has a request, read completely or not, has a response that has not been
    /// sent completely, or is idle for so short a time that a request may be on its way.
    bool hasActiveConnections() const;
    /// Ends the open requests, see Exchange::onServerEnding(). Requests that have not been read
    /// completely are refused with status 503.
    void endRequests();
    std::size_t openRequestCount() const;
    /// Exchanges that have not ended.
    std::vector<std::shared_ptr<Exchange>> openExchanges() const;
    std::size_t connectionCount() const;
    /// Stops listening and closes all connections.
    void stop();

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanrill::net
