#include "linkserver.h"
#include "rattanrill/base/concat.h"
#include "rattanrill/settings/program.h"

using namespace rattanrill;
using namespace rattanrill::fakes;

namespace {

constexpr std::string_view settingsSchema = R"json({
  "type": "object", "additionalProperties": false, "required": ["instance", "http", "links"],
  "properties": {
    "instance": { "type": "string", "minLength": 1 },
    "failureDomain": { "type": "string" },
    "log": { "type": "object", "additionalProperties": false,
             "properties": { "level": { "enum": ["debug", "info", "warning", "error"] },
                             "file": { "type": "string" } } },
    "http": { "type": "object", "additionalProperties": false, "required": ["host", "port"],
              "properties": { "host": { "type": "string" },
                              "port": { "type": "integer", "minimum": 0, "maximum": 65535 } } },
    "links": { "type": "array", "minItems": 1, "items": {
        "type": "object", "additionalProperties": false, "required": ["name", "listen", "target"],
        "properties": {
          "name": { "type": "string", "minLength": 1 },
          "listen": { "type": "object", "additionalProperties": false,
                      "required": ["host", "port"],
                      "properties": { "host": { "type": "string" },
                                      "port": { "type": "integer", "minimum": 0,
                                                "maximum": 65535 } } },
          "target": { "type": "object", "additionalProperties": false,
                      "required": ["host", "port"],
                      "properties": { "host": { "type": "string" },
                                      "port": { "type": "integer", "minimum": 1,
                                                "maximum": 65535 } } } } } },
    "limits": { "type": "object", "additionalProperties": false,
                "properties": { "maxConnections": { "type": "integer", "minimum": 1,
                                                    "maximum": 4096 } } }
  }
})json";

RelayAddress addressOf(const Json &json)
{
    return {json.at("host"), json.at("port")};
}

/// Starts the links; returns their addresses for the start line.
Result<Json> addLinks(LinkServer &links, const Json &settings)
{
    Json addresses = Json::object();
    for (const Json &link : settings.at("links")) {
        const std::string name = link.at("name");
        const RelayAddress listen = addressOf(link.at("listen"));
        BOOST_LEAF_AUTO(port, links.addLink(name, listen, addressOf(link.at("target"))));
        addresses[name] = concat(listen.host, ":", port);
    }
    return addresses;
}

int runLink(const Json &settings)
{
    ShutdownSignal signal;
    FakeHttpServer server(httpSettings(settings));
    LinkServer links(server);
    const auto addresses = outcomeOf([&] { return addLinks(links, settings); });
    if (!addresses.ok()) {
        log(LogLevel::Error, "start-failed", {{"detail", addresses.failure().detail}});
        return exitFailure;
    }
    return server.serveUntil(signal, {{"links", addresses.value()}});
}

} // namespace

int main(int argc, char **argv)
{
    ServerProgram program;
    program.name = "rattanrill-fake-link";
    program.summary = "TCP relay for tests that holds, drops or delays bytes";
    program.settingsSchema = settingsSchema;
    program.run = runLink;
    return runServerProgram(program, argc, argv);
}
