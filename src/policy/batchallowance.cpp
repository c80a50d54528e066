#include "batchallowance.h"

#include "between.h"

#include "rattanrill/policy/scheduler.h"

#include <algorithm>
#include <cmath>

namespace rattanrill::policy {

namespace {

/// KV memory above which no batch work is started: running answers still grow.
constexpr double kvLimit = 0.9;
/// About two chunks of prefill, so that an answer already running is not slowed for long.
constexpr std::int64_t mostPrefillTokens = 1000;

} // namespace

BatchAllowance::BatchAllowance(const SchedulerSettings &settings)
    : m_lagSeconds(absl::ToDoubleSeconds(settings.loadLag))
    , m_prefillTokensPerSecond(settings.prefillTokensPerSecond)
    , m_reserveDeviations(between(1, 2.5, settings.onlineTailWeight))
    , m_prefillShare(between(0.9, 2, settings.onlineTailWeight))
{}

std::int64_t BatchAllowance::prefillLimit()
{
    return mostPrefillTokens;
}

double BatchAllowance::onlineReserve(double onlineRatePerEngine) const
{
    const double arrivals = onlineRatePerEngine * m_lagSeconds;
    return m_reserveDeviations * std::sqrt(arrivals) + 1;
}

int BatchAllowance::batchCapacity(const EngineRecord &engine, double onlineRatePerEngine,
                                  double unseenOnline, std::size_t entries) const
{
    const EngineState &state = engine.state;
    if (!state.hasReport() || state.expectedKvShare(entries) > kvLimit)
        return 0;
    const double limit = static_cast<double>(state.maxBatch()) - onlineReserve(onlineRatePerEngine)
                         - unseenOnline;
    const auto reported = static_cast<double>(state.load().running + state.load().waiting);
    const double share =
            (limit - reported) / static_cast<double>(std::max<std::size_t>(entries, 1));
    const auto own = static_cast<double>(state.localTaskChange(TaskKind::Online)
                                         + state.localTaskChange(TaskKind::Batch));
    return static_cast<int>(std::floor(share - own + engine.rounding));
}

absl::Duration BatchAllowance::spacing(std::int64_t prefillTokens, std::size_t entries) const
{
    const double tokens = static_cast<double>(prefillTokens * static_cast<std::int64_t>(entries));
    return absl::Seconds(tokens / (m_prefillTokensPerSecond * m_prefillShare));
}

} // namespace rattanrill::policy
