#pragma once

#include "rattanrill/fleet/fleetclient.h"
#include "rattanrill/net/message.h"
#include "rattanrill/serving/slotbroker.h"

#include <memory>
#include <string>

namespace rattanrill::gateway {

/// Path of the explanation of a placement at the metrics address of a store process.
constexpr const char *placementPath = "/operator/v1/placement";

/// Process that sends a request to an upstream.
struct PlacementSender
{
    std::string instance;
    std::string failureDomain;
};

/// What a store process knows when it is asked for the explanation of a placement.
struct PlacementContext
{
    const serving::SlotBroker &broker;
    /// The store process, which sends batch items while it is the broker.
    PlacementSender self;
    /// Whether the process is the slot broker.
    bool leads = false;
    /// Instance of the slot broker; empty if it is not known.
    std::string leader{};
    /// Null while no configuration is known.
    std::shared_ptr<const serving::DeploymentIndex> deployment{};
    /// Whether the list of upstreams is known.
    bool hasUpstreams = false;
};

/// Responds to a request for placementPath. Changes nothing.
net::Response placementResponse(const PlacementContext &context, const net::Request &request);

/// Returns the instance of the member with the replica id \a replica; empty if there is none.
std::string instanceOf(const fleet::FleetState &state, const std::string &replica);

} // namespace rattanrill::gateway
