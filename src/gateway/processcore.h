#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/base/metrics.h"
#include "rattanrill/fleet/fleetclient.h"
#include "rattanrill/gateway/processes.h"
#include "rattanrill/net/server.h"
#include "rattanrill/peer/channelpool.h"
#include "rattanrill/peer/server.h"
#include "rattanrill/serving/bufferbudget.h"
#include "rattanrill/serving/slotbroker.h"

#include <memory>
#include <string>

namespace rattanrill::gateway {

/// Components that each process of a deployment has: channels to the other processes, the
/// membership in the fleet and the metrics endpoint.
class ProcessCore
{
public:
    /// \a replica: replica id of this process. An entry process generates a new one at each start.
    ProcessCore(const ProcessSettings &settings, const ProcessContext &processContext,
                wire::MemberRole role, const std::string &replica);
    ~ProcessCore();

    /// Starts the peer server, the metrics endpoint and the fleet client. Call after the handlers
    /// of the peer server have been installed.
    Result<void> start();
    void stop();
    /// Parses the configuration in \a state. Returns null when it is not newer than \a current or
    /// can't be parsed.
    std::shared_ptr<const serving::DeploymentIndex>
    newerDeployment(const fleet::FleetState &state,
                    const std::shared_ptr<const serving::DeploymentIndex> &current) const;

    peer::ChannelPool &channels() { return *m_channels; }
    peer::Server &peerServer() { return *m_peerServer; }
    fleet::FleetClient &fleetClient() { return *m_fleetClient; }
    Metrics &metrics() { return m_metrics; }
    const Clock &clock() const { return SystemClock::instance(); }

private:
    void serveMetrics(const std::shared_ptr<net::Exchange> &exchange);

    const ProcessSettings &m_settings;
    const ProcessContext &m_processContext;
    Metrics m_metrics;
    std::unique_ptr<peer::ChannelPool> m_channels;
    std::unique_ptr<peer::Server> m_peerServer;
    std::unique_ptr<fleet::FleetClient> m_fleetClient;
    std::unique_ptr<net::Server> m_metricsServer;
};

/// Returns the limit of the bytes of responses that the process buffers.
std::shared_ptr<serving::BufferBudget> responseBuffers(const ProcessSettings &settings);

/// Returns the settings of a slot broker in this deployment.
serving::SlotBrokerSettings brokerSettings(const ProcessSettings &settings);

/// Peer addresses of the live store processes, and of the one that leads the store group.
struct StoreAddresses
{
    std::vector<std::string> all;
    std::string leader;
};

StoreAddresses storeAddresses(const fleet::FleetState &state);
/// Returns the instances of the live entry processes.
std::vector<policy::Forwarder> liveEntries(const fleet::FleetState &state);

} // namespace rattanrill::gateway
