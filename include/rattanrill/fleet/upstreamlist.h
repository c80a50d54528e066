#pragma once

#include "rattanrill/wire/fleetmessages.h"

#include <vector>

namespace rattanrill::fleet {

/// Whether the lists have equal entries in the same order.
bool sameUpstreams(const std::vector<wire::FleetUpstream> &left,
                   const std::vector<wire::FleetUpstream> &right);

} // namespace rattanrill::fleet
