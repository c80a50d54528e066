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

/// Replaces the entries of \a list that have the id of one in \a newer, and appends those that it
/// does not have. Returns whether \a list has changed.
bool mergeUpstreams(std::vector<wire::FleetUpstream> &list,
                    const std::vector<wire::FleetUpstream> &newer);

/// Marks the upstreams of \a list with these ids as draining. Returns whether \a list has changed.
bool markDraining(std::vector<wire::FleetUpstream> &list, const std::set<std::string> &ids);

} // namespace rattanrill::fleet
