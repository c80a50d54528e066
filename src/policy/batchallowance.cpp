#include "batchallowance.h"

#include "interpolate.h"

#include "rattanrill/policy/scheduler.h"

#include <algorithm>
#include <cmath>

namespace rattanrill::policy {

namespace {

/// Share of the KV memory in use above which no batch task is started, because the contexts of
/// running tasks still grow.
constexpr double maxKvUtilization = 0.9;
/// Equals about two prefill chunks, so that prefills slow the decoding of running tasks only
/// briefly.
constexpr std::int64_t maxPrefillTokens = 1000;

} // namespace

BatchAllowance::BatchAllowance(const SchedulerSettings &settings)
    : m_loadReportDelaySeconds(absl::ToDoubleSeconds(settings.loadReportDelay))
    , m_prefillTokensPerSecond(settings.prefillTokensPerSecond)
    , m_reserveDeviations(interpolate(1, 2.5, settings.onlineTailWeight))
    , m_prefillRateFactor(interpolate(0.9, 2, settings.onlineTailWeight))
{}

std::int64_t BatchAllowance::prefillLimit()
{
    return maxPrefillTokens;
}

double BatchAllowance::onlineReserve(double onlineRatePerEngine) const
{
    const double arrivals = onlineRatePerEngine * m_loadReportDelaySeconds;
    return m_reserveDeviations * std::sqrt(arrivals) + 1;
}

int BatchAllowance::batchCapacity(const EngineRecord &engine, double onlineRatePerEngine,
                                  double unreportedOnline, std::size_t entries) const
{
    const EngineState &state = engine.state;
    if (!state.hasReport() || state.expectedKvUtilization(entries) > maxKvUtilization)
        return 0;
    const double limit = static_cast<double>(state.maxBatch()) - onlineReserve(onlineRatePerEngine)
                         - unreportedOnline;
    const auto reported = static_cast<double>(state.load().running + state.load().waiting);
    const double share =
            (limit - reported) / static_cast<double>(std::max<std::size_t>(entries, 1));
    const auto localChange = static_cast<double>(state.localTaskChange(TaskKind::Online)
                                                 + state.localTaskChange(TaskKind::Batch));
    return static_cast<int>(std::floor(share - localChange + engine.roundingOffset));
}

absl::Duration BatchAllowance::startInterval(std::int64_t prefillTokens, std::size_t entries) const
{
    const double tokens = static_cast<double>(prefillTokens * static_cast<std::int64_t>(entries));
    return absl::Seconds(tokens / (m_prefillTokensPerSecond * m_prefillRateFactor));
}

} // namespace rattanrill::policy
