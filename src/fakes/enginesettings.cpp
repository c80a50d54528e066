#include "enginesettings.h"

namespace rattanrill::fakes {
namespace {

constexpr std::string_view schema = R"json({
  "type": "object", "additionalProperties": false, "required": ["instance", "http", "models"],
  "properties": {
    "instance": { "type": "string", "minLength": 1 },
    "failureDomain": { "type": "string" },
    "log": { "type": "object", "additionalProperties": false,
             "properties": { "level": { "enum": ["debug", "info", "warning", "error"] },
                             "file": { "type": "string" } } },
    "http": { "type": "object", "additionalProperties": false, "required": ["host", "port"],
              "properties": { "host": { "type": "string" },
                              "port": { "type": "integer", "minimum": 0, "maximum": 65535 } } },
    "models": { "type": "array", "items": { "type": "string", "minLength": 1 } },
    "checksFence": { "type": "boolean" },
    "cacheEventLoss": { "type": "number", "minimum": 0, "maximum": 1 },
    "seed": { "type": "integer", "minimum": 0 },
    "timings": { "type": "object", "additionalProperties": false,
                 "properties": { "stepBaseMs": { "type": "number", "minimum": 0.01 },
                                 "stepPerSequenceUs": { "type": "number", "minimum": 0 },
                                 "stepPerContextTokenUs": { "type": "number", "minimum": 0 },
                                 "prefillPerTokenUs": { "type": "number", "minimum": 0 },
                                 "kvImportPerTokenUs": { "type": "number", "minimum": 0 },
                                 "modelLoadMs": { "type": "number", "minimum": 0 },
                                 "loadReportLagMs": { "type": "number", "minimum": 0 },
                                 "cacheEventDelayMs": { "type": "number", "minimum": 0 } } },
    "limits": { "type": "object", "additionalProperties": false,
                "properties": { "maxBatch": { "type": "integer", "minimum": 1 },
                                "maxWaiting": { "type": "integer", "minimum": 1 },
                                "kvCapacityTokens": { "type": "integer", "minimum": 1 },
                                "prefixCacheTokens": { "type": "integer", "minimum": 0 },
                                "maxConnections": { "type": "integer", "minimum": 1,
                                                    "maximum": 4096 } } },
    "records": { "type": "object", "additionalProperties": false,
                 "properties": { "limit": { "type": "integer", "minimum": 1 },
                                 "file": { "type": "string" } } }
  }
})json";

struct TimingMember
{
    const char *key;
    absl::Duration EngineTimings::*field;
    absl::Duration unit;
};

const std::vector<TimingMember> &timingMembers()
{
    static const std::vector<TimingMember> members = {
            {"stepBaseMs", &EngineTimings::stepBase, absl::Milliseconds(1)},
            {"stepPerSequenceUs", &EngineTimings::stepPerSequence, absl::Microseconds(1)},
            {"stepPerContextTokenUs", &EngineTimings::stepPerContextToken, absl::Microseconds(1)},
            {"prefillPerTokenUs", &EngineTimings::prefillPerToken, absl::Microseconds(1)},
            {"kvImportPerTokenUs", &EngineTimings::kvImportPerToken, absl::Microseconds(1)},
            {"modelLoadMs", &EngineTimings::modelLoad, absl::Milliseconds(1)},
            {"loadReportLagMs", &EngineTimings::loadReportLag, absl::Milliseconds(1)},
            {"cacheEventDelayMs", &EngineTimings::cacheEventDelay, absl::Milliseconds(1)},
    };
    return members;
}

struct LimitMember
{
    const char *key;
    std::int64_t EngineLimits::*field;
};

constexpr LimitMember limitMembers[] = {
        {"maxBatch", &EngineLimits::maxBatch},
        {"maxWaiting", &EngineLimits::maxWaiting},
        {"kvCapacityTokens", &EngineLimits::kvCapacityTokens},
        {"prefixCacheTokens", &EngineLimits::prefixCacheTokens},
};

} // namespace

std::string_view engineSettingsSchema()
{
    return schema;
}

EngineModelSettings engineModelSettings(const Json &settings)
{
    EngineModelSettings model;
    model.models = settings.at("models").get<std::vector<std::string>>();
    model.checksFence = settings.value("checksFence", model.checksFence);
    model.cacheEventLoss = settings.value("cacheEventLoss", model.cacheEventLoss);
    model.seed = settings.value("seed", model.seed);
    const Json timings = settings.value("timings", Json::object());
    for (const TimingMember &member : timingMembers()) {
        if (timings.contains(member.key))
            model.timings.*member.field = timings.at(member.key).get<double>() * member.unit;
    }
    const Json limits = settings.value("limits", Json::object());
    for (const LimitMember &member : limitMembers) {
        if (limits.contains(member.key))
            model.limits.*member.field = limits.at(member.key);
    }
    return model;
}

} // namespace rattanrill::fakes
