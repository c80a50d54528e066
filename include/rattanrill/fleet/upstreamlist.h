#pragma once

#include "rattanrill/wire/fleetmessages.h"

#include <set>
#include <string>
#include <vector>

namespace rattanrill::fleet {

/// Whether the lists have equal entries in the same order.
bool sameUpstreams(const std::vector<wire::FleetUpstream> &left,
                   const std::vector<wire::FleetUpstream> &right);

/// Returns the ids of the draining upstreams of a list.
std::set<std::string> drainingIds(const std::vector<wire::FleetUpstream> &upstreams);

} // namespace rattanrill::fleet
