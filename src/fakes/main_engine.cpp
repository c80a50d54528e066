#include "engineserver.h"
#include "enginesettings.h"
#include "rattanrill/settings/program.h"

using namespace rattanrill;
using namespace rattanrill::fakes;

namespace {

int runEngine(const Json &settings)
{
    ShutdownSignal signal;
    Faults faults;
    RequestLog records(recordSettings(settings));
    EngineRunner runner(engineModelSettings(settings), faults, records);
    FakeHttpServer server(httpSettings(settings));
    const EngineServer engine(server, runner, faults, records);
    return server.serveUntil(signal);
}

} // namespace

int main(int argc, char **argv)
{
    ServerProgram program;
    program.name = "rattanrill-fake-engine";
    program.summary = "fake model engine for tests";
    program.settingsSchema = engineSettingsSchema();
    program.run = runEngine;
    return runServerProgram(program, argc, argv);
}
