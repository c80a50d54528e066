#pragma once

#include "rattanrill/wire/fleetmessages.h"

#include <set>
#include <string>
#include <vector>

namespace rattanrill::fleet {

/// Whether the lists have equal entries in the same order.
bool sameUpstreams(const std::vector<wire::FleetUpstream> &left,
                   const std::vector<wire::FleetUpstream> &right);

/// Identifies an entry of the platform's list. The list may show an upstream that has restarted
/// beside its former entry, with the same id at another address.
std::string upstreamKey(const wire::FleetUpstream &upstream);

/// Returns the keys of the entries that only one of the lists has or that differ between them.
std::vector<std::string> changedUpstreamKeys(const std::vector<wire::FleetUpstream> &left,
                                             const std::vector<wire::FleetUpstream> &right);

/// Applies the changes of a list: replaces the entries of \a list that have the key of one in \a
/// changed, appends those that it does not have, and removes those with a key in \a removed.
void applyUpstreamChanges(std::vector<wire::FleetUpstream> &list,
                          const std::vector<wire::FleetUpstream> &changed,
                          const std::vector<std::string> &removed);

/// Returns the ids of the draining upstreams of a list.
std::set<std::string> drainingIds(const std::vector<wire::FleetUpstream> &upstreams);

/// Replaces the entries of \a list that have the id of one in \a newer, and appends those that it
/// does not have. Returns whether \a list has changed.
bool mergeUpstreams(std::vector<wire::FleetUpstream> &list,
                    const std::vector<wire::FleetUpstream> &newer);

/// Marks the upstreams of \a list with these ids as draining. Returns whether \a list has changed.
bool markDraining(std::vector<wire::FleetUpstream> &list, const std::set<std::string> &ids);

} // namespace rattanrill::fleet
