#include "rattanrill/gateway/processsettings.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/net/address.h"

namespace rattanrill::gateway {
namespace {

constexpr std::string_view schema = R"({
  "$schema": "http://json-schema.org/draft-07/schema#",
  "type": "object",
  "additionalProperties": false,
  "required": ["instance", "failureDomain", "peerHost", "peerPort", "seeds", "clusterSecret"],
  "properties": {
    "instance": {"type": "string", "minLength": 1},
    "failureDomain": {"type": "string"},
    "callerAddress": {"type": "string"},
    "readinessAddress": {"type": "string"},
    "operatorAddress": {"type": "string"},
    "metricsAddress": {"type": "string"},
    "peerHost": {"type": "string", "minLength": 1},
    "peerPort": {"type": "integer", "minimum": 1, "maximum": 65535},
    "seeds": {"type": "array", "items": {"type": "string"}},
    "founding": {"type": "boolean"},
    "dataFolder": {"type": "string"},
    "clusterSecret": {"type": "string", "minLength": 1},
    "listAddress": {"type": "string"},
    "graceSeconds": {"type": "number", "exclusiveMinimum": 0},
    "lossTolerance": {"type": "integer", "minimum": 0},
    "memoryMegabytes": {"type": "number", "minimum": 16},
    "jobRetentionSeconds": {"type": "number", "exclusiveMinimum": 0},
    "rateWindowSeconds": {"type": "number", "exclusiveMinimum": 0},
    "rateOver": {"type": "number", "minimum": 0},
    "rateSlack": {"type": "number", "minimum": 0},
    "log": {
      "type": "object",
      "additionalProperties": false,
      "properties": {
        "level": {"enum": ["debug", "info", "warning", "error"]},
        "file": {"type": "string"}
      }
    }
  }
})";

constexpr double bytesPerMegabyte = 1 << 20;

Result<void> checkAddress(std::string_view key, const std::string &address)
{
    if (address.empty())
        return {};
    const auto parsed = outcomeOf([&] { return net::parseAddress(address); });
    if (!parsed.ok())
        return fail(notRun(ErrorCode::InvalidSetting, concat(key, ": ", parsed.failure().detail)));
    return {};
}

} // namespace

std::string_view processSettingsSchema()
{
    return schema;
}

std::string ProcessSettings::peerAddress() const
{
    return concat(peerHost, ":", peerPort);
}

std::vector<std::string> ProcessSettings::seedPeers() const
{
    std::vector<std::string> peers;
    for (const std::string &seed : seeds)
        peers.push_back(concat(seed.substr(0, seed.rfind(':')), ":", peerPort));
    return peers;
}

Result<void> readProcessSettings(const Json &settings, ProcessSettings &result)
{
    result.instance = settings.at("instance").get<std::string>();
    result.failureDomain = settings.at("failureDomain").get<std::string>();
    result.callerAddress = settings.value("callerAddress", "");
    result.readinessAddress = settings.value("readinessAddress", "");
    result.operatorAddress = settings.value("operatorAddress", "");
    result.metricsAddress = settings.value("metricsAddress", "");
    result.peerHost = settings.at("peerHost").get<std::string>();
    result.peerPort = settings.at("peerPort").get<int>();
    result.seeds = settings.at("seeds").get<std::vector<std::string>>();
    result.bootstrap = settings.value("founding", false);
    result.dataFolder = settings.value("dataFolder", "");
    result.clusterSecret = settings.at("clusterSecret").get<std::string>();
    result.upstreamListAddress = settings.value("listAddress", "");
    result.shutdownTimeout = absl::Seconds(settings.value("graceSeconds", 8.0));
    result.rateWindow = absl::Seconds(settings.value("rateWindowSeconds", 5.0));
    result.rateToleranceFraction = settings.value("rateOver", 0.0);
    result.rateToleranceRequests = settings.value("rateSlack", 0.0);
    result.toleratedFailures = settings.value("lossTolerance", 1);
    result.memoryBytes =
            static_cast<std::size_t>(settings.value("memoryMegabytes", 256.0) * bytesPerMegabyte);
    result.jobRetention = absl::Seconds(settings.value("jobRetentionSeconds", 600.0));
    BOOST_LEAF_CHECK(checkAddress("callerAddress", result.callerAddress));
    BOOST_LEAF_CHECK(checkAddress("readinessAddress", result.readinessAddress));
    BOOST_LEAF_CHECK(checkAddress("operatorAddress", result.operatorAddress));
    BOOST_LEAF_CHECK(checkAddress("metricsAddress", result.metricsAddress));
    BOOST_LEAF_CHECK(checkAddress("listAddress", result.upstreamListAddress));
    for (const std::string &seed : result.seeds)
        BOOST_LEAF_CHECK(checkAddress("seeds", seed));
    return {};
}

} // namespace rattanrill::gateway
