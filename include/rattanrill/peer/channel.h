#pragma once

#include "rattanrill/peer/transport.h"

#include <memory>
#include <string>

namespace rattanrill::peer {

/// Client side of one authenticated connection to another process. It connects at the first call
/// and reconnects, with backoff, after the connection is lost.
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
    /// or UnsupportedVersion (all NotRun), or with the failure that the other process returned.
    /// While the channel waits for the next attempt to connect, calls fail immediately, so that the
    /// caller can try another process. \a reply runs on a network thread and must not block.
    void call(wire::Method method, std::string body, absl::Duration timeout,
              ResponseCallback reply);
    /// Sends a message that has no response. The message is queued while a connection is being
    /// established. It is dropped while the channel waits for the next attempt to connect, and when
    /// the queue is full.
    void sendOneWay(wire::Method method, std::string body);
    const std::string &address() const;
    bool connected() const;
    /// Closes the channel. All open calls fail with Stopped, and no reply runs after return.
    void close();

private:
    struct Impl;

    std::unique_ptr<Impl> m_impl;
};

} // namespace rattanrill::peer
