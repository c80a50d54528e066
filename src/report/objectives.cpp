#include "objectives.h"

namespace rattanrill::report {
namespace {

constexpr std::string_view schema = R"json({
  "type": "object", "additionalProperties": false,
  "properties": {
    "ttft": { "type": "object", "additionalProperties": false,
              "properties": { "seconds": { "type": "number", "exclusiveMinimum": 0 },
                              "target": { "type": "number", "minimum": 0.5, "maximum": 0.99999 } } },
    "tbt": { "type": "object", "additionalProperties": false,
             "properties": { "seconds": { "type": "number", "exclusiveMinimum": 0 },
                             "target": { "type": "number", "minimum": 0.5, "maximum": 0.99999 } } },
    "servedInsideRate": { "type": "object", "additionalProperties": false,
             "properties": { "target": { "type": "number", "minimum": 0.5, "maximum": 0.99999 } } },
    "batchOnTime": { "type": "object", "additionalProperties": false,
             "properties": { "target": { "type": "number", "minimum": 0.5, "maximum": 0.99999 } } },
    "windows": { "type": "array", "minItems": 1, "items": {
        "type": "object", "additionalProperties": false,
        "required": ["shortSeconds", "longSeconds", "alertRate"],
        "properties": { "shortSeconds": { "type": "number", "exclusiveMinimum": 0 },
                        "longSeconds": { "type": "number", "exclusiveMinimum": 0 },
                        "alertRate": { "type": "number", "exclusiveMinimum": 0 } } } }
  }
})json";

/// Each alert rate consumes a fixed part of a 30-day error budget in its long window: 2% in 1 h, 5%
/// in 6 h and 10% in 3 days.
std::vector<WindowPair> defaultWindows()
{
    return {{absl::Minutes(5), absl::Hours(1), 14.4},
            {absl::Minutes(30), absl::Hours(6), 6},
            {absl::Hours(6), absl::Hours(72), 1}};
}

double member(const Json &json, const char *object, const char *key, double fallback)
{
    return json.contains(object) ? json.at(object).value(key, fallback) : fallback;
}

} // namespace

std::string_view objectivesSchema()
{
    return schema;
}

Objectives objectivesOf(const Json &json)
{
    Objectives objectives;
    objectives.ttftSeconds = member(json, "ttft", "seconds", objectives.ttftSeconds);
    objectives.ttftTarget = member(json, "ttft", "target", objectives.ttftTarget);
    objectives.tbtSeconds = member(json, "tbt", "seconds", objectives.tbtSeconds);
    objectives.tbtTarget = member(json, "tbt", "target", objectives.tbtTarget);
    objectives.servedInsideRateTarget =
            member(json, "servedInsideRate", "target", objectives.servedInsideRateTarget);
    objectives.batchOnTimeTarget =
            member(json, "batchOnTime", "target", objectives.batchOnTimeTarget);
    objectives.windows = defaultWindows();
    if (!json.contains("windows"))
        return objectives;
    objectives.windows.clear();
    for (const Json &window : json.at("windows"))
        objectives.windows.push_back({absl::Seconds(window.at("shortSeconds").get<double>()),
                                      absl::Seconds(window.at("longSeconds").get<double>()),
                                      window.at("alertRate")});
    return objectives;
}

} // namespace rattanrill::report
