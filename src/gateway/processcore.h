#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/base/metrics.h"
#include "rattanrill/fleet/fleetclient.h"
#include "rattanrill/gateway/processes.h"
#include "rattanrill/net/memorybudget.h"
#include "rattanrill/net/server.h"
#include "rattanrill/peer/channelpool.h"
#include "rattanrill/peer/server.h"
#include "rattanrill/serving/slotbroker.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace rattanrill::gateway {

/// Limits of the addresses to which only the platform and operators connect: readiness, metrics and
/// operator calls.
net::ServerLimits internalServerLimits();

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
    /// Memory budget of the process. All servers that clients can reach use it.
    const std::shared_ptr<net::MemoryBudget> &memory() const { return m_memory; }
    const Clock &clock() const { return SystemClock::instance(); }
    /// Sets the handler of the requests for \a path at the metrics address; those for all other
    /// paths get the metrics.
    void setMetricsPathHandler(std::string path, net::Server::Handler handler);

private:
    void recordMemory();
    void serveMetrics(const std::shared_ptr<net::Exchange> &exchange);

    const ProcessSettings &m_settings;
    const ProcessContext &m_processContext;
    Metrics m_metrics;
    const std::shared_ptr<net::MemoryBudget> m_memory;
    std::unique_ptr<peer::ChannelPool> m_channels;
    std::unique_ptr<peer::Server> m_peerServer;
    std::unique_ptr<fleet::FleetClient> m_fleetClient;
    std::map<std::string, net::Server::Handler, std::less<>> m_metricsPathHandlers;
    std::unique_ptr<net::Server> m_metricsServer;
};

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
