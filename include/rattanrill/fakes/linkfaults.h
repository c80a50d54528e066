#pragma once

#include "rattanrill/base/result.h"

#include "absl/time/time.h"

#include <string_view>

namespace rattanrill::fakes {

/// How a relay handles the bytes of one direction.
enum class LinkMode {
    Pass,
    /// Bytes, closes and new connections wait until the link is back in mode Pass, as in a short
    /// network partition.
    Hold,
    /// Bytes are lost. A connection that lost bytes is reset when the link is back in mode Pass,
    /// like a connection that reached its retransmission timeout.
    Drop,
};

std::string_view name(LinkMode mode);
/// Inverse of name(). Fails with InvalidRequest for an unknown name.
Result<LinkMode> linkModeFromName(std::string_view name);

/// Faults of one direction of a link.
struct DirectionFaults
{
    LinkMode mode = LinkMode::Pass;
    /// Latency added to the delivery of each chunk that the relay reads.
    absl::Duration delay;
};

/// Faults of both directions of a link.
struct LinkFaults
{
    /// From the connecting side to the target.
    DirectionFaults forward;
    /// From the target to the connecting side.
    DirectionFaults backward;
};

} // namespace rattanrill::fakes
