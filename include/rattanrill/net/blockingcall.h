#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/net/message.h"
#include "rattanrill/net/responseparser.h"

#include "absl/time/time.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace rattanrill::net {

/// How a BlockingCall ended.
enum class BlockingCallEnd {
    /// The complete response arrived.
    Complete,
    /// No connection could be established; nothing was sent.
    NotConnected,
    /// The peer did not answer the attempt to connect in time; nothing was sent.
    ConnectTimeout,
    /// The request can't be written as HTTP; nothing was sent.
    Malformed,
    /// The connection was lost, or the bytes are not a valid response.
    Broken,
    /// A bound in bytes was reached; see BlockingCall::fault().
    TooLong,
    /// Nothing arrived within the idle timeout.
    IdleTimeout,
    DeadlinePassed,
    /// A handler needs no more of the response.
    StoppedByHandler,
    Aborted,
};

std::string_view name(BlockingCallEnd end);

/// Bounds of a BlockingCall in time.
struct BlockingCallTimeouts
{
    absl::Duration connect = absl::Seconds(1);
    /// Longest time without a byte from the peer.
    absl::Duration idle = absl::Seconds(10);
    /// Monotonic time at which the call ends, however much the peer still sends.
    absl::Time deadline = absl::InfiniteFuture();
};

/// One HTTP call over a connection of its own, whose thread waits for the response. Head and
/// framing of the response are bounded in bytes, the call in time. The receiver of the body bounds
/// what it keeps.
class BlockingCall
{
public:
    /// Handlers return false when the rest of the response is not needed. They run on the thread of
    /// run().
    struct Handlers
    {
        std::function<bool(const ResponseHead &)> onHead;
        std::function<bool(std::string_view)> onBody;
    };

    /// \a host is an IP address or a host name.
    BlockingCall(std::string host, int port, BlockingCallTimeouts timeouts,
                 const Clock &clock = SystemClock::instance());
    ~BlockingCall();
    BlockingCall(const BlockingCall &) = delete;
    BlockingCall &operator=(const BlockingCall &) = delete;

    /// Sends \a request, to which it adds the headers Host and Connection, and reads the response.
    /// Must be called once.
    BlockingCallEnd run(Request request, Handlers handlers);
    /// Calls run() and collects the response in \a response. A body of more than \a maxBodyBytes
    /// ends the call with TooLong.
    BlockingCallEnd fetch(Request request, std::size_t maxBodyBytes, Response &response);
    /// Ends run() early, also when it has not started yet. May be called from any thread.
    void abort();
    /// Why the response could not be read, after Broken or TooLong.
    ResponseFault fault() const;

private:
    struct Impl;

    std::unique_ptr<Impl> m_impl;
};

} // namespace rattanrill::net
