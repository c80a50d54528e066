#pragma once

#include "rattanrill/net/tcpstate.h"
#include "rattanrill/policy/upstreamlinks.h"

#include <optional>
#include <vector>

namespace rattanrill::serving {

/// Judges the established connections to an upstream, to which a new one was attempted
/// \a sinceAttempt ago. \a states has an absent member for each connection whose state is unknown.
policy::LinkEvidence linkEvidenceOf(const std::vector<std::optional<net::TcpState>> &states,
                                    absl::Duration sinceAttempt);

} // namespace rattanrill::serving
