#pragma once

#include "rattanrill/replication/statemachine.h"

#include <memory>

namespace rattanrill::fleet {

/// Name of the group that stores the configuration, the initial voters of the store group and the
/// stores that are being retired.
constexpr const char *fleetGroup = "fleet";
/// Name of the group that stores batch jobs.
constexpr const char *storeGroup = "store";

/// Creates the state machine of the fleet group. It applies wire::FleetCommand, returning
/// wire::FleetResult, and evaluates wire::FleetQuery, returning wire::FleetSnapshot.
///
/// A configuration whose version is not higher than the stored one has no effect but returns
/// success, so that a change that was sent again or superseded is acknowledged. The store group is
/// bootstrapped only once. Stores retire one after another in the order of the log, so that orders
/// that arrive together do not count each other's store as remaining. Failures: MalformedMessage,
/// and those of wire::RetireStore.
std::unique_ptr<replication::StateMachine> makeFleetStateMachine();

} // namespace rattanrill::fleet
