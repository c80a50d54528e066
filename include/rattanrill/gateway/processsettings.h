#pragma once

#include "rattanrill/base/json.h"

#include "absl/time/time.h"

#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::gateway {

/// Settings of the processes of a deployment whose members find each other. Addresses are
/// "host:port"; an empty one is not served.
struct ProcessSettings
{
    std::string instance;
    std::string failureDomain;
    std::string callerAddress;
    std::string readinessAddress;
    std::string operatorAddress;
    std::string metricsAddress;
    std::string peerHost;
    /// The same on all machines of a deployment.
    int peerPort = 0;
    /// Operator addresses of control processes.
    std::vector<std::string> seeds;
    /// The deployment starts for the first time.
    bool bootstrap = false;
    /// Empty on machines without a disk.
    std::string dataFolder;
    std::string clusterSecret;
    /// Address of the platform's list of upstreams.
    std::string upstreamListAddress;
    /// Time from the order to stop to the end of the process.
    absl::Duration shutdownTimeout = absl::Seconds(8);
    /// What the count of a workspace's requests may exceed rate and burst by, in any window of this
    /// length: a share of it, and requests beside.
    absl::Duration rateWindow = absl::Seconds(5);
    double rateToleranceFraction = 0;
    double rateToleranceRequests = 0;
    /// Machines with a disk that may be lost at once.
    int toleratedFailures = 1;

    std::string peerAddress() const;
    /// Peer addresses of the seeds.
    std::vector<std::string> seedPeers() const;
};

std::string_view processSettingsSchema();

/// Fills \a result from checked JSON. Fails with InvalidSetting, naming the key, when a value is no
/// address.
Result<void> readProcessSettings(const Json &settings, ProcessSettings &result);

} // namespace rattanrill::gateway
