#pragma once

#include "rattanrill/base/result.h"
#include "rattanrill/net/eventloop.h"
#include "rattanrill/net/message.h"

#include "absl/time/time.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace rattanrill::net {

/// What a client may send, and how long it may take.
struct ServerLimits
{
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = std::size_t(4) << 20;
    /// From the first byte of a request to the end of its header.
    absl::Duration headerTimeout = absl::Seconds(3);
    /// Between requests, and between two pieces of a body.
    absl::Duration idleTimeout = absl::Seconds(15);
    /// Further connections are closed at once.
    std::size_t maxConnections = 3000;
};

/// One request of a client and the way of its answer. Used on the event loop only. Exactly one of
/// respond(), finish() or abort() ends it.
class Exchange
{
public:
    virtual ~Exchange() = default;

    virtual const Request &request() const = 0;
    /// Time at which the request was complete.
    virtual absl::Time receivedAt() const = 0;
    /// Calls \a handler once if the client leaves before the answer is complete.
    virtual void onClientDisconnected(std::function<void()> handler) = 0;
    virtual void respond(Response response) = 0;
    /// Starts an answer of unknown length.
    virtual void startStream(ResponseHead head) = 0;
    virtual void write(std::string_view bytes) = 0;
    /// Ends the stream as complete.
    virtual void finish() = 0;
    /// Closes the connection, so that the answer can't look complete.
    virtual void abort() = 0;
    virtual bool started() const = 0;
    /// Bytes that the client has not taken yet.
    virtual std::size_t unsentBytes() const = 0;
};

/// HTTP/1.1 server on an event loop. A connection serves one request after another; malformed,
/// oversized or slow input is answered with its status and costs other connections nothing.
class Server
{
public:
    using Handler = std::function<void(std::shared_ptr<Exchange>)>;

    Server(EventLoop &loop, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// Fails with AddressInUse or InvalidArgument.
    Result<void> start(const std::string &address);
    int port() const;
    /// For connections that are accepted and requests that begin from now on.
    void setLimits(const ServerLimits &limits);
    /// From now on each answer closes its connection.
    void drain();
    /// Closes connections without an open request.
    void closeIdle();
    std::size_t openRequests() const;
    std::size_t connections() const;
    void stop();

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanrill::net
