#include "controlsettings.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/settings/settingsfile.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <set>
#include <sstream>

namespace rattanrill::control {
namespace {

constexpr std::string_view schema = R"({
  "type": "object",
  "additionalProperties": false,
  "required": ["instance", "failureDomain", "dataFolder", "peer", "operator", "replicas",
               "partitions"],
  "properties": {
    "instance": {
      "type": "string", "minLength": 1, "maxLength": 256,
      "description": "Name of this instance and id of its replica in every group. A replica that has lost its data folder must be started again under a new name."
    },
    "failureDomain": {
      "type": "string", "minLength": 1, "description": "Failure domain of this instance."
    },
    "log": {
      "type": "object", "additionalProperties": false,
      "description": "Destination and lowest level of the JSON log.",
      "properties": {
        "level": {
          "type": "string", "enum": ["debug", "info", "warning", "error"], "default": "info",
          "description": "Lowest level that is written."
        },
        "file": {
          "type": "string", "default": "", "description": "Log file; empty: standard output."
        }
      }
    },
    "dataFolder": {
      "type": "string", "minLength": 1,
      "description": "Folder on a disk for the logs and snapshots of all groups; created when missing."
    },
    "peer": {
      "type": "object", "additionalProperties": false, "required": ["host", "port"],
      "description": "Address on which the other processes of the deployment connect.",
      "properties": {
        "host": { "type": "string", "minLength": 1, "description": "IP address to listen on." },
        "port": {
          "type": "integer", "minimum": 0, "maximum": 65535,
          "description": "TCP port; 0 selects a free port."
        }
      }
    },
    "operator": {
      "type": "object", "additionalProperties": false, "required": ["host", "port"],
      "description": "The operators' HTTP interface.",
      "properties": {
        "host": { "type": "string", "minLength": 1, "description": "IP address to listen on." },
        "port": {
          "type": "integer", "minimum": 0, "maximum": 65535,
          "description": "TCP port; 0 selects a free port."
        },
        "token": {
          "type": "string", "minLength": 16,
          "description": "Token that operators present; alternative to tokenFile."
        },
        "tokenFile": {
          "type": "string", "minLength": 1, "description": "File that holds the token."
        },
        "maxConnections": {
          "type": "integer", "minimum": 4, "maximum": 1024, "default": 64,
          "description": "Maximum number of connections served at the same time; each uses a thread."
        }
      }
    },
    "clusterSecret": {
      "type": "string", "minLength": 16,
      "description": "Secret that all processes of the deployment share; alternative to clusterSecretFile."
    },
    "clusterSecretFile": {
      "type": "string", "minLength": 1, "description": "File that holds the cluster secret."
    },
    "replicas": {
      "type": "array", "minItems": 1, "maxItems": 64,
      "description": "All control instances, this one included. Those listed at the first start are the initial voters of the groups.",
      "items": {
        "type": "object", "additionalProperties": false,
        "required": ["id", "peerAddress", "operatorAddress", "failureDomain"],
        "properties": {
          "id": {
            "type": "string", "minLength": 1, "maxLength": 256,
            "description": "Instance name of the control instance."
          },
          "peerAddress": {
            "type": "string", "pattern": "^.+:[0-9]+$",
            "description": "host:port of its peer interface."
          },
          "operatorAddress": {
            "type": "string", "pattern": "^.+:[0-9]+$",
            "description": "host:port of its operators' interface."
          },
          "failureDomain": { "type": "string", "minLength": 1, "description": "Its failure domain." }
        }
      }
    },
    "partitions": {
      "type": "integer", "minimum": 1, "maximum": 256,
      "description": "Number of partition groups; must be the same on all instances and must never change."
    },
    "join": {
      "type": "boolean", "default": false,
      "description": "This instance joins an existing deployment: its replicas start without voters and wait until an operator adds them."
    },
    "memberTimeoutMs": {
      "type": "integer", "minimum": 500, "maximum": 60000, "default": 4000,
      "description": "An entry instance that has sent no heartbeat for this time is removed from the members, in milliseconds."
    },
    "ownerLeaseMs": {
      "type": "integer", "minimum": 200, "maximum": 30000, "default": 2000,
      "description": "Owner lease of the entry instances, in milliseconds; less than memberTimeoutMs, so that the lease of a removed member has expired."
    },
    "raftHeartbeatMs": {
      "type": "integer", "minimum": 10, "maximum": 5000, "default": 60,
      "description": "Period of a leader's heartbeats, in milliseconds."
    },
    "electionTimeoutMs": {
      "type": "integer", "minimum": 50, "maximum": 30000, "default": 400,
      "description": "A follower that has received nothing from a leader for a random time between this value and twice this value starts an election, in milliseconds; at least three heartbeat periods."
    },
    "advanceTimeMs": {
      "type": "integer", "minimum": 50, "maximum": 10000, "default": 500,
      "description": "Period of the commands that advance the time of a partition that received commands recently, in milliseconds; leases expire at most this much late."
    },
    "snapshotAfterBytes": {
      "type": "integer", "minimum": 65536, "maximum": 4294967296, "default": 16777216,
      "description": "Size of the log after which a snapshot is taken, in bytes."
    }
  }
})";

/// Minimum ratio of the election timeout to the Raft heartbeat period.
constexpr int minHeartbeatsPerElectionTimeout = 3;

Result<std::string> readSecretFile(const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    std::ostringstream text;
    if (stream)
        text << stream.rdbuf();
    std::string secret = text.str();
    while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r'))
        secret.pop_back();
    if (secret.empty())
        return fail(notRun(ErrorCode::InvalidSetting,
                           concat("cannot read a secret from \"", file,
                                  "\": ", stream ? "the file is empty" : std::strerror(errno))));
    return secret;
}

/// Returns the secret in member \a key or else in the file whose path is member \a fileKey.
Result<std::string> readSecret(const Json &object, const char *key, const char *fileKey)
{
    if (object.contains(key))
        return object.at(key).get<std::string>();
    return readSecretFile(object.at(fileKey).get<std::string>());
}

Result<void> checkSecret(const Json &object, const char *key, const char *fileKey,
                         const std::string &path, const std::string &source)
{
    if (object.contains(key) != object.contains(fileKey))
        return {};
    return fail(settingFailure(source, concat(path, key),
                               concat("exactly one of \"", key, "\" and \"", fileKey, "\"")));
}

Result<void> checkReplicas(const Json &settings, const std::string &source)
{
    std::set<std::string> ids;
    for (const Json &replica : settings.at("replicas"))
        ids.insert(replica.at("id").get<std::string>());
    if (ids.size() != settings.at("replicas").size())
        return fail(settingFailure(source, "replicas", "unique replica ids"));
    const std::string instance = settings.at("instance");
    if (ids.count(instance) == 0)
        return fail(
                settingFailure(source, "replicas",
                               concat("a list that contains this instance, \"", instance, "\"")));
    return {};
}

absl::Duration durationSetting(const Json &settings, const char *key, absl::Duration fallback)
{
    return absl::Milliseconds(settings.value(key, absl::ToInt64Milliseconds(fallback)));
}

Result<void> checkDurations(const Json &settings, const std::string &source)
{
    const ControlSettings defaults;
    if (durationSetting(settings, "ownerLeaseMs", defaults.ownerLease)
        >= durationSetting(settings, "memberTimeoutMs", defaults.memberTimeout))
        return fail(settingFailure(source, "memberTimeoutMs", "more than \"ownerLeaseMs\""));
    if (durationSetting(settings, "electionTimeoutMs", defaults.electionTimeout)
        < minHeartbeatsPerElectionTimeout
                  * durationSetting(settings, "raftHeartbeatMs", defaults.raftHeartbeatPeriod))
        return fail(settingFailure(source, "electionTimeoutMs",
                                   "at least three times \"raftHeartbeatMs\""));
    return {};
}

ListenAddress parseListenAddress(const Json &object)
{
    return ListenAddress{object.at("host").get<std::string>(), object.at("port").get<int>()};
}

std::vector<Replica> parseReplicas(const Json &settings)
{
    std::vector<Replica> replicas;
    for (const Json &replica : settings.at("replicas"))
        replicas.push_back(Replica{replica.at("id").get<std::string>(),
                                   replica.at("peerAddress").get<std::string>(),
                                   replica.at("operatorAddress").get<std::string>(),
                                   replica.at("failureDomain").get<std::string>()});
    return replicas;
}

} // namespace

std::string_view controlSettingsSchema()
{
    return schema;
}

Result<void> checkControlSettings(const Json &settings, const std::string &source)
{
    BOOST_LEAF_CHECK(checkSecret(settings, "clusterSecret", "clusterSecretFile", "", source));
    BOOST_LEAF_CHECK(
            checkSecret(settings.at("operator"), "token", "tokenFile", "operator.", source));
    BOOST_LEAF_CHECK(checkReplicas(settings, source));
    return checkDurations(settings, source);
}

Result<void> readControlSettings(const Json &settings, ControlSettings &result)
{
    const Json &operatorHttp = settings.at("operator");
    BOOST_LEAF_ASSIGN(result.operatorToken, readSecret(operatorHttp, "token", "tokenFile"));
    BOOST_LEAF_ASSIGN(result.clusterSecret,
                      readSecret(settings, "clusterSecret", "clusterSecretFile"));
    result.instance = settings.at("instance");
    result.failureDomain = settings.at("failureDomain");
    result.dataFolder = settings.at("dataFolder");
    result.peer = parseListenAddress(settings.at("peer"));
    result.operatorHttp = parseListenAddress(operatorHttp);
    result.maxOperatorConnections =
            operatorHttp.value("maxConnections", result.maxOperatorConnections);
    result.replicas = parseReplicas(settings);
    result.partitions = settings.at("partitions");
    result.join = settings.value("join", result.join);
    result.memberTimeout = durationSetting(settings, "memberTimeoutMs", result.memberTimeout);
    result.ownerLease = durationSetting(settings, "ownerLeaseMs", result.ownerLease);
    result.raftHeartbeatPeriod =
            durationSetting(settings, "raftHeartbeatMs", result.raftHeartbeatPeriod);
    result.electionTimeout = durationSetting(settings, "electionTimeoutMs", result.electionTimeout);
    result.advanceTimePeriod = durationSetting(settings, "advanceTimeMs", result.advanceTimePeriod);
    result.snapshotAfterBytes = settings.value("snapshotAfterBytes", result.snapshotAfterBytes);
    return {};
}

} // namespace rattanrill::control
