#pragma once

#include "rattanrill/base/json.h"

#include "absl/time/time.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::gateway {

/// Settings of one process of a deployment. Addresses have the form "host:port"; a process does not
/// listen on an empty one. The processes of a deployment discover each other through the seeds.
struct ProcessSettings
{
    std::string instance;
    std::string failureDomain;
    std::string callerAddress;
    std::string readinessAddress;
    std::string operatorAddress;
    std::string metricsAddress;
    std::string peerHost;
    /// Port of the peer address. The same on all machines of a deployment.
    int peerPort = 0;
    /// Operator addresses of control processes.
    std::vector<std::string> seeds;
    /// True when the deployment starts for the first time.
    bool bootstrap = false;
    /// Empty on machines without a disk.
    std::string dataFolder;
    std::string clusterSecret;
    /// Address of the platform's list of upstreams.
    std::string upstreamListAddress;
    /// Time from the stop signal to the end of the process.
    absl::Duration shutdownTimeout = absl::Seconds(8);
    /// Number of requests by which a workspace may exceed its rate and burst in any window of
    /// length rateWindow: rateToleranceFraction of what rate and burst allow in the window, plus
    /// rateToleranceRequests.
    absl::Duration rateWindow = absl::Seconds(5);
    double rateToleranceFraction = 0;
    double rateToleranceRequests = 0;
    /// Number of machines with a disk that may be lost at the same time.
    int toleratedFailures = 1;
    /// Time from its acceptance for which the results of a job can be read, even if it has ended.
    absl::Duration jobRetention = absl::Minutes(10);
    /// Memory that the process may use, in bytes.
    std::size_t memoryBytes = std::size_t(256) << 20;

    std::string peerAddress() const;
    /// Peer addresses of the seeds.
    std::vector<std::string> seedPeers() const;
    /// Number of stores that must remain when one retires: a majority of them survives the
    /// tolerated failures.
    int minRemainingStores() const { return 2 * toleratedFailures + 1; }
};

std::string_view processSettingsSchema();

/// Fills \a result from JSON that was checked against processSettingsSchema(). Fails with
/// InvalidSetting, naming the key, when a value is not an address.
Result<void> readProcessSettings(const Json &settings, ProcessSettings &result);

} // namespace rattanrill::gateway
