#pragma once

#include "rattanrill/peer/transport.h"

#include <memory>
#include <string>

namespace rattanrill::peer {

/// Client end of one authenticated connection to another process. It connects at the first call
/// and again, with backoff, after the connection is lost.
class Channel
{
public:
    /// \a address is "host:port".
    Channel(TransportOptions options, std::string address);
    ~Channel();
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    /// Calls \a method. Fails with Timeout, ConnectionLost or Stopped (MayHaveRun once the request
    /// may have left this process, NotRun before), QueueFull, MessageTooLarge, AuthenticationFailed
    /// or UnsupportedVersion (all NotRun), or with what the other side answered. While the channel
    /// waits for the next attempt to connect, calls fail at once, so that the caller can turn to
    /// another process. \a reply runs on a network thread and returns soon.
    void call(wire::Method method, std::string body, absl::Duration timeout,
              ResponseCallback reply);
    /// Sends without an answer. Waits for a connection that is being made; dropped while the
    /// channel waits for the next attempt to connect, or when the queue is full.
    void sendOneWay(wire::Method method, std::string body);
    const std::string &address() const;
    bool connected() const;
    /// Fails all open calls with Stopped; no reply runs after return.
    void close();

private:
    struct Impl;

    std::unique_ptr<Impl> m_impl;
};

} // namespace rattanrill::peer
