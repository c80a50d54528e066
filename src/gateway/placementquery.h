#pragma once

#include "placement.h"

#include "rattanrill/policy/task.h"
#include "rattanrill/serving/deployment.h"
#include "rattanrill/wire/fleetmessages.h"

namespace rattanrill::gateway {

/// A request or batch item whose placement is explained.
struct PlacementQuery
{
    /// Valid as long as the deployment.
    const serving::Route *route = nullptr;
    policy::TaskKind kind = policy::TaskKind::Online;
    wire::SlotRequest request;
};

/// Parses the query of the request target \a target. \a batchSender: process that sends batch
/// items. A request with excluded upstreams is a further attempt, which is charged to no rate.
/// Fails with InvalidRequest when a parameter is missing, unknown, repeated, given for a kind that
/// doesn't have it or can't be parsed, or when it names something that \a deployment doesn't have;
/// the detail names parameter and value.
Result<PlacementQuery> parsePlacementQuery(const std::string &target,
                                           const serving::DeploymentIndex &deployment,
                                           const PlacementSender &batchSender);

} // namespace rattanrill::gateway
