#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/fleet/fleetview.h"
#include "rattanrill/fleet/groupreplica.h"
#include "rattanrill/net/eventloop.h"
#include "rattanrill/peer/server.h"

#include "absl/time/time.h"

#include <functional>
#include <memory>
#include <vector>

namespace rattanrill::fleet {

/// Reads the platform's list of upstreams.
class UpstreamDiscovery
{
public:
    using Callback = std::function<void(Outcome<std::vector<wire::FleetUpstream>>)>;

    virtual ~UpstreamDiscovery() = default;
    /// \a callback runs on the event loop, exactly once.
    virtual void read(Callback callback) = 0;
};

struct FleetServiceSettings
{
    /// A process that was silent for this long is not alive.
    absl::Duration memberTimeout = absl::Seconds(2);
    /// The platform's list is read this often, by the leader alone: calls are limited over all
    /// processes and each is paid for.
    absl::Duration listPeriod = absl::Seconds(1);
};

/// Serves the polls of FleetClient on the leader of the fleet group: keeps the FleetView, reads
/// the platform's list for everybody, founds the store group. Used on the event loop only.
class FleetService
{
public:
    FleetService(net::EventLoop &loop, GroupReplica &replica, UpstreamDiscovery &list,
                 FleetServiceSettings settings, const Clock &clock);
    ~FleetService();
    FleetService(const FleetService &) = delete;
    FleetService &operator=(const FleetService &) = delete;

    void install(peer::Server &server);
    void start();
    void stop();
    /// Processes of the control role, for the voters of the fleet group.
    std::vector<VoterCandidate> controlCandidates() const;
    /// State as the leader knows it; meaningless on others.
    const FleetView &view() const;

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanrill::fleet
