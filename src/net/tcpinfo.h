#pragma once

#include "rattanrill/net/tcpstate.h"

#include <optional>

namespace rattanrill::net {

/// Time without a segment of an upstream after which TCP sends a keep-alive probe.
constexpr int upstreamKeepAliveIdleSeconds = 1;

/// What the operating system tells of a connection.
struct TcpInfo
{
    /// Whether data was sent and is not acknowledged.
    bool isUnacknowledged = false;
    /// Whether data waits to be sent.
    bool hasUnsentData = false;
    /// Whether a probe is not acknowledged.
    bool isProbing = false;
    /// Whether the peer has acknowledged or sent data.
    bool isConfirmed = false;
    /// Time since the last segment of the peer arrived; absent where it is not measured.
    std::optional<absl::Duration> sinceReceived;
};

/// What this process knows of a connection.
struct ConnectionTimes
{
    /// Time since the connection was established, or since data was read.
    absl::Duration sinceReceived;
    /// Time since data was written first that is not answered yet; infinite if there is none.
    absl::Duration sinceWritten = absl::InfiniteDuration();
    /// Whether data was read.
    bool isConfirmed = false;
};

/// Returns nothing if the operating system does not tell.
std::optional<TcpInfo> tcpInfoOf(int socket);

/// Some systems tell whether data is acknowledged, but no times and counts; \a times replaces them.
TcpState tcpStateOf(const TcpInfo &info, const ConnectionTimes &times);

} // namespace rattanrill::net
