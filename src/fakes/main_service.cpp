#include "rattanrill/settings/program.h"
#include "serviceserver.h"

using namespace rattanrill;
using namespace rattanrill::fakes;

namespace {

constexpr std::string_view settingsSchema = R"json({
  "type": "object", "additionalProperties": false, "required": ["instance", "http", "service"],
  "properties": {
    "instance": { "type": "string", "minLength": 1 },
    "failureDomain": { "type": "string" },
    "log": { "type": "object", "additionalProperties": false,
             "properties": { "level": { "enum": ["debug", "info", "warning", "error"] },
                             "file": { "type": "string" } } },
    "http": { "type": "object", "additionalProperties": false, "required": ["host", "port"],
              "properties": { "host": { "type": "string" },
                              "port": { "type": "integer", "minimum": 0, "maximum": 65535 } } },
    "service": { "type": "string", "minLength": 1 },
    "timings": { "type": "object", "additionalProperties": false,
                 "properties": { "serviceTimeMs": { "type": "number", "minimum": 0 },
                                 "loadReportLagMs": { "type": "number", "minimum": 0 } } },
    "limits": { "type": "object", "additionalProperties": false,
                "properties": { "capacity": { "type": "integer", "minimum": 1 },
                                "maxWaiting": { "type": "integer", "minimum": 1 },
                                "maxConnections": { "type": "integer", "minimum": 1,
                                                    "maximum": 4096 } } },
    "records": { "type": "object", "additionalProperties": false,
                 "properties": { "limit": { "type": "integer", "minimum": 1 },
                                 "file": { "type": "string" } } }
  }
})json";

absl::Duration milliseconds(const Json &timings, const char *key, absl::Duration fallback)
{
    return timings.contains(key) ? absl::Milliseconds(timings.at(key).get<double>()) : fallback;
}

ServiceSettings serviceSettings(const Json &settings)
{
    ServiceSettings service;
    service.service = settings.at("service");
    const Json timings = settings.value("timings", Json::object());
    service.serviceTime = milliseconds(timings, "serviceTimeMs", service.serviceTime);
    service.loadReportLag = milliseconds(timings, "loadReportLagMs", service.loadReportLag);
    const Json limits = settings.value("limits", Json::object());
    service.capacity = limits.value("capacity", service.capacity);
    service.maxWaiting = limits.value("maxWaiting", service.maxWaiting);
    return service;
}

int runService(const Json &settings)
{
    ShutdownSignal signal;
    Faults faults;
    RequestLog records(recordSettings(settings));
    ServiceModel model(serviceSettings(settings), faults);
    FakeHttpServer server(httpSettings(settings));
    const ServiceServer service(server, model, faults, records);
    return server.serveUntil(signal);
}

} // namespace

int main(int argc, char **argv)
{
    ServerProgram program;
    program.name = "rattanrill-fake-service";
    program.summary = "fake plain service for tests";
    program.settingsSchema = settingsSchema;
    program.run = runService;
    return runServerProgram(program, argc, argv);
}
