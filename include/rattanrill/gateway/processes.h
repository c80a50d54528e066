#pragma once

#include "rattanrill/fleet/fleetservice.h"
#include "rattanrill/fleet/operatorprotocoladapter.h"
#include "rattanrill/gateway/processsettings.h"
#include "rattanrill/net/eventloop.h"
#include "rattanrill/serving/protocoladapter.h"

#include <functional>
#include <memory>

namespace rattanrill::gateway {

/// Dependencies of a process. All members outlive it.
struct ProcessContext
{
    net::EventLoop &loop;
    const serving::ProtocolAdapter &protocol;
    const fleet::OperatorProtocolAdapter &operatorProtocol;
    /// Reads the platform's list of upstreams; used by control processes, and by a store process
    /// whose list from the fleet leader is too old.
    fleet::UpstreamDiscovery &upstreamDiscovery;
    /// True for a request that checks whether the process accepts new connections.
    std::function<bool(const net::Request &)> isReadinessProbe;
};

/// One process of a deployment. Used on the event loop only.
class Process
{
public:
    virtual ~Process() = default;

    /// Opens the stored state and the listening addresses. Fails with the error of the first one
    /// that can't be opened; a store process, however, only logs the error when its replica can't
    /// be opened.
    virtual Result<void> start() = 0;
    /// Replaces the seeds, after the settings have changed.
    virtual void setSeeds(const std::vector<std::string> &seedPeers) = 0;
    /// Begins a graceful stop; \a stopped is called when it has completed.
    virtual void drain(std::function<void()> stopped) = 0;
};

/// Creates a process that receives callers' requests.
std::unique_ptr<Process> makeEntryProcess(const ProcessSettings &settings,
                                          const ProcessContext &processContext);
/// Creates a process that holds a replica of the fleet group and serves operators.
std::unique_ptr<Process> makeControlProcess(const ProcessSettings &settings,
                                            const ProcessContext &processContext);
/// Creates a process that holds a replica of the store group. The leader of the group runs batch
/// items and grants slots.
std::unique_ptr<Process> makeStoreProcess(const ProcessSettings &settings,
                                          const ProcessContext &processContext);

/// One of the functions above.
using ProcessFactory = std::unique_ptr<Process> (*)(const ProcessSettings &,
                                                    const ProcessContext &);

/// Runs a process until a signal ends it; returns the exit code. \a readSeeds reads the seeds from
/// the settings again and returns their peer addresses.
int runProcess(const ProcessSettings &settings, const ProcessContext &processContext,
               ProcessFactory makeProcess, std::function<std::vector<std::string>()> readSeeds);

} // namespace rattanrill::gateway
