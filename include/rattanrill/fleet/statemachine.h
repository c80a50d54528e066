#pragma once

#include "rattanrill/replication/statemachine.h"

#include <memory>

namespace rattanrill::fleet {

/// Name of the group that keeps the configuration and the deployment's few lasting facts.
constexpr const char *fleetGroup = "fleet";
/// Name of the group that keeps batch jobs.
constexpr const char *storeGroup = "store";

/// State of the fleet group: applies wire::FleetCommand, answered by a wire::FleetResult, and
/// answers wire::FleetQuery by wire::FleetSnapshot.
///
/// A configuration whose version is not above the one held changes nothing and is answered like
/// one that was taken, so that a resent or overtaken change is acknowledged. The store group is
/// founded once. Failures: MalformedMessage.
std::unique_ptr<replication::StateMachine> makeFleetStateMachine();

} // namespace rattanrill::fleet
