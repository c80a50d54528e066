#pragma once

#include "rattanrill/base/json.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::control {

/// A control instance that hosts one replica of every group.
struct Replica
{
    std::string id;
    /// Both addresses have the form "host:port".
    std::string peerAddress;
    std::string operatorAddress;
    std::string failureDomain;
};

struct ListenAddress
{
    std::string host;
    int port = 0;
};

/// Settings of rattanrill-control; controlSettingsSchema() describes them. Secrets have been read
/// from their files.
struct ControlSettings
{
    /// Name of the instance, which is also the id of its replica in every group.
    std::string instance;
    std::string failureDomain;
    std::string dataFolder;
    ListenAddress peer;
    ListenAddress operatorHttp;
    std::string operatorToken;
    std::string clusterSecret;
    std::vector<Replica> replicas;
    int partitions = 1;
    /// True when the instance is added to existing groups: its replicas start without voters.
    bool join = false;
    std::size_t maxOperatorConnections = 64;
    absl::Duration memberTimeout = absl::Milliseconds(4000);
    absl::Duration ownerLease = absl::Milliseconds(2000);
    absl::Duration raftHeartbeatPeriod = absl::Milliseconds(60);
    absl::Duration electionTimeout = absl::Milliseconds(400);
    absl::Duration advanceTimePeriod = absl::Milliseconds(500);
    std::uint64_t snapshotAfterBytes = 16u << 20;
};

/// JSON schema of the settings.
std::string_view controlSettingsSchema();

/// Checks the constraints that the schema cannot express. Fails with InvalidSetting.
Result<void> checkControlSettings(const Json &settings, const std::string &source);

/// Fills \a result from settings that have passed the schema and checkControlSettings(). Fails with
/// InvalidSetting when a secret file cannot be read.
Result<void> readControlSettings(const Json &settings, ControlSettings &result);

} // namespace rattanrill::control
