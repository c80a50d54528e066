#pragma once

#include "rattanrill/base/result.h"
#include "rattanrill/wire/envelope.h"

#include "absl/time/time.h"

#include <cstddef>
#include <functional>
#include <string>

namespace rattanrill::peer {

/// Who is at the other end, as proved by the hello exchange.
struct PeerIdentity
{
    std::string instance;
    std::string failureDomain;
    std::string role;
};

/// Common to Server and Channel.
struct TransportOptions
{
    PeerIdentity self;
    /// Shared by all processes of a deployment; never sent.
    std::string clusterSecret;
    /// A larger message fails with MessageTooLarge.
    std::size_t maxMessageBytes = 32u << 20;
    /// A send beyond this many queued bytes per connection fails with QueueFull.
    std::size_t maxQueuedBytes = 64u << 20;
    absl::Duration connectTimeout = absl::Seconds(2);
    /// Longest wait between two attempts to connect.
    absl::Duration maxBackoff = absl::Seconds(1);
    /// A ping is sent this often. A connection on which nothing arrives for several periods is
    /// lost, so that calls with long timeouts do not wait on a host that is gone.
    absl::Duration keepAlivePeriod = absl::Seconds(1);
};

/// Receives the response body or the failure of a call. Called exactly once.
using ResponseCallback = std::function<void(Outcome<std::string>)>;

/// Serves one method. Runs on a network thread: it returns soon and replies now or later, from any
/// thread.
using MethodHandler =
        std::function<void(const PeerIdentity &from, std::string body, ResponseCallback reply)>;

} // namespace rattanrill::peer
