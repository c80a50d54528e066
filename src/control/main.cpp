#include "controlnode.h"

#include "rattanrill/base/logger.h"
#include "rattanrill/base/shutdownsignal.h"
#include "rattanrill/settings/program.h"

#include <utility>

using namespace rattanrill;
using namespace rattanrill::control;

namespace {

int reportFailure(std::string_view event, const Failure &failure)
{
    log(LogLevel::Error, event, {{"code", name(failure.code)}, {"detail", failure.detail}});
    return exitFailure;
}

int runControl(const Json &json)
{
    ShutdownSignal signal;
    ControlSettings settings;
    const auto read = outcomeOf([&] { return readControlSettings(json, settings); });
    if (!read.ok()) {
        reportFailure("settings-refused", read.failure());
        return exitUsage;
    }
    ControlNode node(std::move(settings), SystemClock::instance(), replication::startRaftNode);
    const auto started = outcomeOf([&] { return node.start(); });
    if (!started.ok())
        return reportFailure("start-failed", started.failure());
    log(LogLevel::Info, "started",
        {{"peerPort", node.peerPort()}, {"operatorPort", node.operatorPort()}});
    const int signalNumber = signal.wait();
    log(LogLevel::Info, "stopping", {{"signal", signalNumber}});
    node.stop();
    log(LogLevel::Info, "stopped");
    return exitOk;
}

} // namespace

int main(int argc, char **argv)
{
    ServerProgram program;
    program.name = "rattanrill-control";
    program.summary = "replicated durable state of a deployment and the operators' interface";
    program.settingsSchema = controlSettingsSchema();
    program.checkSettings = checkControlSettings;
    program.run = runControl;
    return runServerProgram(program, argc, argv);
}
