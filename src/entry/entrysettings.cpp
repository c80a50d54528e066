#include "entrysettings.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/settings/settingsfile.h"

#include <fstream>
#include <utility>

namespace rattanrill::entry {
namespace {

constexpr std::string_view schema = R"({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "type": "object",
  "additionalProperties": false,
  "required": ["instance", "failureDomain", "http", "peer", "control", "partitions"],
  "properties": {
    "instance": {"type": "string", "minLength": 1},
    "failureDomain": {"type": "string", "minLength": 1},
    "log": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "level": {"type": "string", "enum": ["debug", "info", "warning", "error"]},
        "file": {"type": "string"}
      }
    },
    "http": {
      "type": "object", "additionalProperties": false, "required": ["host", "port"],
      "properties": {
        "host": {"type": "string", "minLength": 1},
        "port": {"type": "integer", "minimum": 0, "maximum": 65535},
        "maxConnections": {"type": "integer", "minimum": 1, "maximum": 4096},
        "maxBodyBytes": {"type": "integer", "minimum": 1024},
        "ioTimeoutMs": {"type": "integer", "minimum": 100},
        "keepAliveTimeoutMs": {"type": "integer", "minimum": 100}
      }
    },
    "peer": {
      "type": "object", "additionalProperties": false, "required": ["host", "port"],
      "properties": {
        "host": {"type": "string", "minLength": 1},
        "port": {"type": "integer", "minimum": 0, "maximum": 65535}
      }
    },
    "clusterSecret": {"type": "string", "minLength": 16},
    "clusterSecretFile": {"type": "string", "minLength": 1},
    "control": {"type": "array", "minItems": 1, "items": {"type": "string", "pattern": "^.+:[0-9]+$"}},
    "partitions": {"type": "integer", "minimum": 1, "maximum": 4096},
    "onlineTailWeight": {"type": "number", "minimum": 0, "maximum": 1},
    "batch": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "maxItems": {"type": "integer", "minimum": 1},
        "maxLineBytes": {"type": "integer", "minimum": 256},
        "maxFileBytes": {"type": "integer", "minimum": 1024},
        "leaseMs": {"type": "integer", "minimum": 500},
        "dispatchIntervalMs": {"type": "integer", "minimum": 5},
        "maxRunning": {"type": "integer", "minimum": 0, "maximum": 4096}
      }
    },
    "timings": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "keyFreshnessMs": {"type": "integer", "minimum": 100},
        "staleStreamLimitMs": {"type": "integer", "minimum": 0},
        "ownerLeaseMs": {"type": "integer", "minimum": 100},
        "heartbeatMs": {"type": "integer", "minimum": 50},
        "loadPollMs": {"type": "integer", "minimum": 20},
        "rateWaitMs": {"type": "integer", "minimum": 0},
        "grantTimeoutMs": {"type": "integer", "minimum": 10},
        "controlTimeoutMs": {"type": "integer", "minimum": 100},
        "requestTimeoutMs": {"type": "integer", "minimum": 100},
        "engineIdleMs": {"type": "integer", "minimum": 100},
        "drainNoticeMs": {"type": "integer", "minimum": 0},
        "drainLimitMs": {"type": "integer", "minimum": 0},
        "claimKeepMs": {"type": "integer", "minimum": 1000}
      }
    }
  }
})";

/// Sets \a duration from member \a key of \a settings, in milliseconds. Keeps the default when the
/// member is missing.
void readDuration(const Json &settings, const char *key, absl::Duration &duration)
{
    if (settings.contains(key))
        duration = absl::Milliseconds(settings.at(key).get<std::int64_t>());
}

void readSize(const Json &settings, const char *key, std::size_t &size)
{
    if (settings.contains(key))
        size = settings.at(key).get<std::size_t>();
}

Json section(const Json &settings, const char *key)
{
    return settings.contains(key) ? settings.at(key) : Json::object();
}

void readHttp(const Json &settings, EntrySettings &entry)
{
    entry.httpHost = settings.at("host").get<std::string>();
    entry.httpPort = settings.at("port").get<int>();
    entry.http.maxConnections = 640;
    readSize(settings, "maxConnections", entry.http.maxConnections);
    readSize(settings, "maxBodyBytes", entry.maxRequestBytes);
    readDuration(settings, "ioTimeoutMs", entry.http.ioTimeout);
    readDuration(settings, "keepAliveTimeoutMs", entry.http.keepAliveTimeout);
}

void readBatch(const Json &settings, BatchSettings &batch)
{
    readSize(settings, "maxItems", batch.maxItems);
    readSize(settings, "maxLineBytes", batch.maxLineBytes);
    readSize(settings, "maxFileBytes", batch.maxFileBytes);
    readSize(settings, "maxRunning", batch.maxRunning);
    readDuration(settings, "leaseMs", batch.leaseDuration);
    readDuration(settings, "dispatchIntervalMs", batch.dispatchInterval);
}

void readTimings(const Json &settings, Timings &timings)
{
    const std::pair<const char *, absl::Duration Timings::*> rows[] = {
            {"keyFreshnessMs", &Timings::keyFreshness},
            {"staleStreamLimitMs", &Timings::staleStreamLimit},
            {"ownerLeaseMs", &Timings::ownerLease},
            {"heartbeatMs", &Timings::heartbeatInterval},
            {"loadPollMs", &Timings::loadPollInterval},
            {"rateWaitMs", &Timings::maxRateWait},
            {"grantTimeoutMs", &Timings::grantTimeout},
            {"controlTimeoutMs", &Timings::controlTimeout},
            {"requestTimeoutMs", &Timings::requestTimeout},
            {"engineIdleMs", &Timings::engineIdleTimeout},
            {"drainNoticeMs", &Timings::drainNotice},
            {"drainLimitMs", &Timings::drainLimit},
            {"claimKeepMs", &Timings::claimRetention},
    };
    for (const auto &[key, member] : rows)
        readDuration(settings, key, timings.*member);
}

Outcome<std::string> readSecret(const Json &settings)
{
    if (settings.contains("clusterSecret"))
        return settings.at("clusterSecret").get<std::string>();
    const auto file = settings.at("clusterSecretFile").get<std::string>();
    std::ifstream stream(file);
    std::string secret;
    if (!std::getline(stream, secret) || secret.empty())
        return notRun(ErrorCode::InvalidSetting,
                      concat("cannot read the cluster secret from \"", file, "\""));
    return secret;
}

} // namespace

std::string_view entrySettingsSchema()
{
    return schema;
}

Result<void> checkEntrySettings(const Json &settings, const std::string &source)
{
    const bool hasSecret = settings.contains("clusterSecret");
    if (hasSecret == settings.contains("clusterSecretFile"))
        return fail(settingFailure(source, "clusterSecret",
                                   "exactly one of clusterSecret and clusterSecretFile"));
    Timings timings;
    readTimings(section(settings, "timings"), timings);
    if (timings.ownerLease >= timings.keyFreshness + absl::Seconds(2))
        return fail(settingFailure(
                source, "timings.ownerLeaseMs",
                "less than keyFreshnessMs + 2000, so that the rate buckets of a lost "
                "member are reassigned only after its lease"));
    return {};
}

Outcome<EntrySettings> readEntrySettings(const Json &settings)
{
    EntrySettings entry;
    entry.instance = settings.at("instance").get<std::string>();
    entry.failureDomain = settings.at("failureDomain").get<std::string>();
    readHttp(settings.at("http"), entry);
    entry.peerHost = settings.at("peer").at("host").get<std::string>();
    entry.peerPort = settings.at("peer").at("port").get<int>();
    const Outcome<std::string> secret = readSecret(settings);
    if (!secret.ok())
        return secret.failure();
    entry.clusterSecret = secret.value();
    entry.control = settings.at("control").get<std::vector<std::string>>();
    entry.partitions = settings.at("partitions").get<int>();
    readBatch(section(settings, "batch"), entry.batch);
    readTimings(section(settings, "timings"), entry.timings);
    // The server accepts bodies up to the size limit of files. Handlers of other requests check
    // their own, lower limit.
    entry.http.maxBodyBytes = entry.batch.maxFileBytes;
    entry.scheduler.failureDomain = entry.failureDomain;
    entry.scheduler.onlineTailWeight = settings.value("onlineTailWeight", 0.5);
    entry.scheduler.loadReportDelay = entry.timings.loadPollInterval + absl::Milliseconds(50);
    return entry;
}

} // namespace rattanrill::entry
