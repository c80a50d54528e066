#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/fleet/fleetclient.h"
#include "rattanrill/fleet/fleetview.h"
#include "rattanrill/fleet/groupreplica.h"
#include "rattanrill/fleet/upstreamlistreader.h"
#include "rattanrill/net/eventloop.h"
#include "rattanrill/peer/server.h"

#include "absl/time/time.h"

#include <functional>
#include <memory>
#include <vector>

namespace rattanrill::fleet {

/// Settings of a FleetService.
struct FleetServiceSettings
{
    /// A process that has sent no heartbeat for this long is considered not alive.
    absl::Duration memberTimeout = absl::Seconds(2);
    /// Reads of the platform's list of upstreams. Besides the leader only a store with an outdated
    /// list reads it, because the platform limits the calls of all processes together and charges
    /// for each one.
    UpstreamListReaderSettings listReader;
};

/// Serves the polls of FleetClient on the leader of the fleet group. Maintains the FleetView, reads
/// the platform's list of upstreams on behalf of all processes, and bootstraps the store group.
/// Used on the event loop only.
class FleetService
{
public:
    FleetService(net::EventLoop &loop, GroupReplica &replica, UpstreamDiscovery &discovery,
                 FleetServiceSettings settings, const Clock &clock);
    ~FleetService();
    FleetService(const FleetService &) = delete;
    FleetService &operator=(const FleetService &) = delete;

    /// Registers the handler of Method::SyncFleet. Call before the server starts.
    void install(peer::Server &server);
    /// Sets the source of the list of upstreams that this process received as a member of the
    /// fleet. A new leader marks upstreams as draining by it until it has read the list itself.
    void setMemberListSource(std::function<std::vector<wire::FleetUpstream>()> source);
    /// Makes this process a relay: while it does not lead, members that accept a relay receive the
    /// state that \a client receives from the leader, and the leader receives their polls with
    /// those of \a client. Call before start(); \a client must live until stop().
    void relayFor(FleetClient &client);
    void start();
    void stop();
    /// Processes with the control role, as candidates for the voters of the fleet group.
    std::vector<VoterCandidate> controlCandidates() const;
    /// Valid on the leader only.
    const FleetView &view() const;

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanrill::fleet
