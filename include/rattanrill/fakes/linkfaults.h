#pragma once

#include "rattanrill/base/result.h"

#include "absl/time/time.h"

#include <string_view>

namespace rattanrill::fakes {

/// What a relay does with the bytes of one direction.
enum class LinkMode {
    Pass,
    /// Bytes, ends and new connections wait until the link heals, as in a short partition.
    Hold,
    /// Bytes are lost. A connection that lost some is reset when the link heals, as one that ran
    /// into its retransmission timeout.
    Drop,
};

std::string_view name(LinkMode mode);
/// Fails with InvalidRequest for an unknown word.
Result<LinkMode> linkModeFromName(std::string_view name);

struct DirectionFaults
{
    LinkMode mode = LinkMode::Pass;
    /// Each piece of data arrives this much later.
    absl::Duration delay;
};

struct LinkFaults
{
    /// From the connecting side to the target.
    DirectionFaults forward;
    DirectionFaults backward;
};

} // namespace rattanrill::fakes
