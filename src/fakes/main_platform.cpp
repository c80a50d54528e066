#include "platformserver.h"
#include "rattanrill/base/concat.h"
#include "rattanrill/settings/program.h"

#include <iostream>

using namespace rattanrill;
using namespace rattanrill::fakes;

namespace {

constexpr std::string_view settingsSchema = R"json({
  "type": "object", "additionalProperties": false, "required": ["instance", "http"],
  "properties": {
    "instance": { "type": "string", "minLength": 1 },
    "failureDomain": { "type": "string" },
    "log": { "type": "object", "additionalProperties": false,
             "properties": { "level": { "enum": ["debug", "info", "warning", "error"] },
                             "file": { "type": "string" } } },
    "http": { "type": "object", "additionalProperties": false, "required": ["host", "port"],
              "properties": { "host": { "type": "string" },
                              "port": { "type": "integer", "minimum": 0, "maximum": 65535 } } },
    "listLagMs": { "type": "number", "minimum": 0 },
    "instances": { "type": "array", "items": {
        "type": "object", "additionalProperties": false, "required": ["name", "host", "port"],
        "properties": { "name": { "type": "string", "minLength": 1 },
                        "role": { "type": "string" },
                        "host": { "type": "string" },
                        "port": { "type": "integer", "minimum": 1, "maximum": 65535 },
                        "failure_domain": { "type": "string" },
                        "state": { "enum": ["live", "leaving", "gone"] } } } },
    "balancer": { "type": "object", "additionalProperties": false, "required": ["host", "port"],
                  "properties": { "host": { "type": "string" },
                                  "port": { "type": "integer", "minimum": 0, "maximum": 65535 },
                                  "role": { "type": "string" },
                                  "healthPath": { "type": "string" },
                                  "healthPeriodMs": { "type": "number", "minimum": 1 },
                                  "healthTimeoutMs": { "type": "number", "minimum": 1 },
                                  "unhealthyAfter": { "type": "integer", "minimum": 1 } } },
    "weights": { "type": "object", "additionalProperties": false,
                 "properties": { "bytesPerSecond": { "type": "number", "minimum": 1 },
                                 "burstBytes": { "type": "number", "minimum": 1 },
                                 "sizes": { "type": "object", "additionalProperties":
                                            { "type": "integer", "minimum": 0 } } } },
    "limits": { "type": "object", "additionalProperties": false,
                "properties": { "maxConnections": { "type": "integer", "minimum": 1,
                                                    "maximum": 4096 } } }
  }
})json";

constexpr double defaultListLagMs = 2000;

WeightStoreSettings weightSettings(const Json &settings)
{
    WeightStoreSettings weights;
    const Json member = settings.value("weights", Json::object());
    weights.bytesPerSecond = member.value("bytesPerSecond", weights.bytesPerSecond);
    weights.burstBytes = member.value("burstBytes", weights.burstBytes);
    weights.weights = member.value("sizes", weights.weights);
    return weights;
}

absl::Duration milliseconds(const Json &json, const char *key, absl::Duration fallback)
{
    return json.contains(key) ? absl::Milliseconds(json.at(key).get<double>()) : fallback;
}

BalancerSettings balancerSettings(const Json &json)
{
    BalancerSettings balancer;
    balancer.listen = {json.at("host"), json.at("port")};
    balancer.role = json.value("role", balancer.role);
    balancer.healthPath = json.value("healthPath", balancer.healthPath);
    balancer.healthPeriod = milliseconds(json, "healthPeriodMs", balancer.healthPeriod);
    balancer.healthTimeout = milliseconds(json, "healthTimeoutMs", balancer.healthTimeout);
    balancer.unhealthyAfter = json.value("unhealthyAfter", balancer.unhealthyAfter);
    return balancer;
}

Result<void> addInstances(PlatformServer &platform, const Json &settings)
{
    for (Json instance : settings.value("instances", Json::array())) {
        const std::string name = instance.at("name");
        BOOST_LEAF_CHECK(platform.addInitialInstance(name, instance));
    }
    return {};
}

int reportFailure(const Failure &failure)
{
    log(LogLevel::Error, "start-failed", {{"detail", failure.detail}});
    return exitFailure;
}

int runPlatform(const Json &settings)
{
    ShutdownSignal signal;
    ThreadTimerService timers;
    FakeHttpServer server(httpSettings(settings));
    PlatformServer platform(server,
                            absl::Milliseconds(settings.value("listLagMs", defaultListLagMs)),
                            weightSettings(settings));
    const auto added = outcomeOf([&] { return addInstances(platform, settings); });
    if (!added.ok())
        return reportFailure(added.failure());
    if (!settings.contains("balancer"))
        return server.serveUntil(signal);
    Balancer balancer(
            balancerSettings(settings.at("balancer")), [&] { return platform.visibleInstances(); },
            timers);
    platform.addBalancerRoute(balancer);
    const auto port = outcomeOf([&] { return balancer.start(); });
    if (!port.ok())
        return reportFailure(port.failure());
    const std::string host = settings.at("balancer").at("host");
    return server.serveUntil(signal, {{"balancer", concat(host, ":", port.value())}});
}

} // namespace

int main(int argc, char **argv)
{
    ServerProgram program;
    program.name = "rattanrill-fake-platform";
    program.summary = "fake platform for tests: instance list, balancer, weight store";
    program.settingsSchema = settingsSchema;
    program.run = runPlatform;
    return runServerProgram(program, argc, argv);
}
