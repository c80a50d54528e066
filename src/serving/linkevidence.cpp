#include "linkevidence.h"

#include <algorithm>

namespace rattanrill::serving {
namespace {

using policy::LinkEvidence;

/// Time after which something that was sent counts as not acknowledged. Longer than the 40 ms for
/// which Linux delays an acknowledgement on a fast link.
constexpr absl::Duration acknowledgementTimeout = absl::Milliseconds(100);

} // namespace

LinkEvidence linkEvidenceOf(const std::vector<std::optional<net::TcpState>> &states,
                            absl::Duration sinceAttempt)
{
    if (states.empty())
        return LinkEvidence::Unknown;
    absl::Duration sinceReceived = absl::InfiniteDuration();
    absl::Duration unacknowledged = absl::ZeroDuration();
    bool isKnown = false;
    for (const std::optional<net::TcpState> &state : states) {
        if (!state)
            continue;
        isKnown = true;
        sinceReceived = std::min(sinceReceived, state->sinceReceived);
        if (state->isConfirmed)
            unacknowledged = std::max(unacknowledged, state->unacknowledged);
    }
    if (!isKnown)
        return LinkEvidence::Unavailable;
    // Something that arrived meanwhile on another connection shows that the link works.
    const absl::Duration pending = std::min(unacknowledged, sinceReceived);
    if (pending > acknowledgementTimeout)
        return LinkEvidence::NotAcknowledged;
    if (sinceReceived < sinceAttempt)
        return LinkEvidence::Acknowledged;
    return pending > absl::ZeroDuration() ? LinkEvidence::Pending : LinkEvidence::Unknown;
}

} // namespace rattanrill::serving
