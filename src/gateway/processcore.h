#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/base/metrics.h"
#include "rattanrill/fleet/fleetclient.h"
#include "rattanrill/gateway/processes.h"
#include "rattanrill/net/server.h"
#include "rattanrill/peer/channelpool.h"
#include "rattanrill/peer/server.h"
#include "rattanrill/serving/slotbroker.h"

#include <memory>
#include <string>

namespace rattanrill::gateway {

/// What every process of a deployment has: channels to the others, its place in the fleet and the
/// metrics page.
class ProcessCore
{
public:
    /// \a replica: replica id of this process, or of this start of an entry.
    ProcessCore(const ProcessSettings &settings, const ProcessContext &parts, wire::MemberRole role,
                const std::string &replica);
    ~ProcessCore();

    /// Starts the peer server, after its methods were installed, and the metrics page.
    Result<void> start();
    void stop();
    /// Decodes a new configuration for this process; null when \a state brings no newer one than
    /// \a current, or one that can't be read.
    std::shared_ptr<const serving::DeploymentIndex>
    newerDeployment(const fleet::FleetState &state,
                    const std::shared_ptr<const serving::DeploymentIndex> &current) const;

    peer::ChannelPool &channels() { return *m_channels; }
    peer::Server &peerServer() { return *m_peerServer; }
    fleet::FleetClient &follower() { return *m_follower; }
    Metrics &metrics() { return m_metrics; }
    const Clock &clock() const { return SystemClock::instance(); }

private:
    void serveMetrics(const std::shared_ptr<net::Exchange> &exchange);

    const ProcessSettings &m_settings;
    const ProcessContext &m_parts;
    Metrics m_metrics;
    std::unique_ptr<peer::ChannelPool> m_channels;
    std::unique_ptr<peer::Server> m_peerServer;
    std::unique_ptr<fleet::FleetClient> m_follower;
    std::unique_ptr<net::Server> m_metricsServer;
};

/// Settings of a broker on this deployment.
serving::SlotBrokerSettings brokerSettings(const ProcessSettings &settings);

/// Peer addresses of the living stores, and of the one that leads the store group.
struct StoreAddresses
{
    std::vector<std::string> all;
    std::string leader;
};

StoreAddresses storeAddresses(const fleet::FleetState &state);
/// Instances of the living entries.
std::vector<std::string> livingEntries(const fleet::FleetState &state);

} // namespace rattanrill::gateway
