#pragma once

#include "rattanrill/fleet/fleetservice.h"
#include "rattanrill/fleet/operatorprotocoladapter.h"
#include "rattanrill/gateway/processsettings.h"
#include "rattanrill/net/eventloop.h"
#include "rattanrill/serving/protocoladapter.h"

#include <functional>
#include <memory>

namespace rattanrill::gateway {

/// What a process needs from its surroundings. All members outlive it.
struct ProcessContext
{
    net::EventLoop &loop;
    const serving::ProtocolAdapter &protocol;
    const fleet::OperatorProtocolAdapter &operatorProtocol;
    /// Reads the platform's list; used by control processes.
    fleet::UpstreamDiscovery &upstreamList;
    /// True for a request that asks whether the process wants new connections.
    std::function<bool(const net::Request &)> isReadinessProbe;
};

/// One process of a deployment. Used on the event loop only.
class Process
{
public:
    virtual ~Process() = default;

    /// Opens state and addresses. Fails with the first of them that does not open.
    virtual Result<void> start() = 0;
    /// The settings name other seeds.
    virtual void setSeeds(const std::vector<std::string> &seedPeers) = 0;
    /// Begins the graceful stop; \a stopped is called at its end.
    virtual void drain(std::function<void()> stopped) = 0;
};

/// Takes callers' requests.
std::unique_ptr<Process> makeEntryProcess(const ProcessSettings &settings,
                                          const ProcessContext &parts);
/// Holds a replica of the fleet group and serves operators.
std::unique_ptr<Process> makeControlProcess(const ProcessSettings &settings,
                                            const ProcessContext &parts);
/// Holds a replica of the store group; its leader runs batch items and gives out places.
std::unique_ptr<Process> makeStoreProcess(const ProcessSettings &settings,
                                          const ProcessContext &parts);

/// Runs a process until a signal ends it; returns the exit code. \a readSeeds reads the seeds from
/// the settings again.
using ProcessFactory = std::unique_ptr<Process> (*)(const ProcessSettings &,
                                                    const ProcessContext &);
int runProcess(const ProcessSettings &settings, const ProcessContext &parts, ProcessFactory make,
               std::function<std::vector<std::string>()> readSeeds);

} // namespace rattanrill::gateway
