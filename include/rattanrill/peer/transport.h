#pragma once

#include "rattanrill/base/result.h"
#include "rattanrill/wire/envelope.h"

#include "absl/time/time.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace rattanrill::peer {

/// Identity of a process. The identity of a remote process is authenticated by the hello exchange.
struct PeerIdentity
{
    std::string instance;
    std::string failureDomain;
    std::string role;
    /// Set for the sender of a message to a Server. Expires when its connection has ended.
    std::weak_ptr<const void> connection = {};
};

/// Options that Server and Channel have in common.
struct TransportOptions
{
    PeerIdentity self;
    /// Secret that all processes of a deployment have in common. It is never sent.
    std::string clusterSecret;
    /// Maximum size of a message in bytes. Larger messages are rejected with MessageTooLarge.
    std::size_t maxMessageBytes = 32u << 20;
    /// Maximum number of queued bytes per connection. A send that would exceed it fails with
    /// QueueFull.
    std::size_t maxQueuedBytes = 64u << 20;
    /// Timeout of the first attempt to connect. It doubles with each attempt that times out, up to
    /// maxConnectTimeout: a process to which hundreds of others connect at once would otherwise
    /// serve attempts that have already been given up.
    absl::Duration connectTimeout = absl::Seconds(2);
    absl::Duration maxConnectTimeout = absl::Seconds(2);
    /// Maximum delay between two attempts to connect.
    absl::Duration maxBackoff = absl::Seconds(1);
    /// Interval between pings on a connection on which nothing arrives. A connection on which
    /// nothing arrives for several intervals counts as lost, so that calls with long timeouts do
    /// not wait for a host that has failed.
    absl::Duration keepAlivePeriod = absl::Seconds(1);

    /// Time within which a connection to a server must be established.
    absl::Duration handshakeTimeout() const { return std::max(connectTimeout, maxConnectTimeout); }
};

/// Receives the response body or the failure of a call. Called exactly once.
using ResponseCallback = std::function<void(Outcome<std::string>)>;

/// Serves one method. It runs on a network thread and must not block; \a reply may be called during
/// the call or later, from any thread.
using MethodHandler =
        std::function<void(const PeerIdentity &from, std::string body, ResponseCallback reply)>;

} // namespace rattanrill::peer
