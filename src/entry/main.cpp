#include "entry.h"

#include "rattanrill/base/failure.h"
#include "rattanrill/base/logger.h"
#include "rattanrill/base/shutdownsignal.h"
#include "rattanrill/settings/program.h"

#include <iostream>

namespace {

using namespace rattanrill;

int reportFailure(const Failure &failure)
{
    std::cerr << "rattanrill-entry: " << describe(failure) << '\n';
    log(LogLevel::Error, "start-failed", {{"detail", describe(failure)}});
    return exitFailure;
}

int runEntry(const Json &json)
{
    ShutdownSignal signal;
    const auto settings = entry::readEntrySettings(json);
    if (!settings.ok())
        return reportFailure(settings.failure());
    entry::Entry entry(settings.value());
    const auto started = outcomeOf([&] { return entry.start(); });
    if (!started.ok())
        return reportFailure(started.failure());
    signal.wait();
    return entry.drain() ? exitOk : exitFailure;
}

} // namespace

int main(int argc, char **argv)
{
    ServerProgram program;
    program.name = "rattanrill-entry";
    program.summary = "serves callers: key check, admission, routing, online and batch dispatch";
    program.settingsSchema = entry::entrySettingsSchema();
    program.checkSettings = entry::checkEntrySettings;
    program.run = runEntry;
    return runServerProgram(program, argc, argv);
}
