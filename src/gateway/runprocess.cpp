#include "rattanrill/gateway/processes.h"

#include "rattanrill/base/logger.h"
#include "rattanrill/settings/program.h"

#include <csignal>
#include <utility>

namespace rattanrill::gateway {
namespace {

/// Seeds are reloaded periodically because the settings may change without a signal.
constexpr absl::Duration seedReloadPeriod = absl::Seconds(5);

} // namespace

int runProcess(const ProcessSettings &settings, const ProcessContext &processContext,
               ProcessFactory makeProcess, std::function<std::vector<std::string>()> readSeeds)
{
    const std::unique_ptr<Process> process = makeProcess(settings, processContext);
    bool isStopping = false;
    const auto reload = [&, readSeeds = std::move(readSeeds)] {
        const std::vector<std::string> seeds = readSeeds();
        if (!seeds.empty() && !isStopping)
            process->setSeeds(seeds);
    };
    processContext.loop.onSignal([&](int signal) {
        if (signal == SIGHUP) {
            log(LogLevel::Info, "settings-reloaded");
            return reload();
        }
        if (std::exchange(isStopping, true))
            return;
        log(LogLevel::Info, "stopping", {{"signal", signal}});
        process->drain([&] { processContext.loop.stop(); });
    });
    const auto started = outcomeOf([&] { return process->start(); });
    if (!started.ok()) {
        log(LogLevel::Error, "start-failed",
            {{"code", name(started.failure().code)}, {"detail", started.failure().detail}});
        return exitFailure;
    }
    processContext.loop.timers().subscribeEvery(seedReloadPeriod, reload);
    log(LogLevel::Info, "started",
        {{"peerAddress", settings.peerAddress()}, {"founding", settings.bootstrap}});
    processContext.loop.run();
    log(LogLevel::Info, "stopped");
    return exitOk;
}

} // namespace rattanrill::gateway
