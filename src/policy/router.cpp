#include "rattanrill/policy/router.h"

#include <algorithm>
#include <limits>

namespace rattanrill::policy {

namespace {

/// Additional cost per unit of load above RouterSettings::loadLimit, where slots are scarce.
constexpr double scarcityFactor = 5;

bool isUsable(absl::Time now, const EngineState &engine, const std::vector<std::string> &excluded)
{
    const std::string &name = engine.info().name;
    return !engine.info().leaving && !engine.outlier().ejected(now)
           && std::find(excluded.begin(), excluded.end(), name) == excluded.end();
}

double uniform(std::mt19937_64 &random)
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

} // namespace

double expectedLoad(const EngineState &engine, std::size_t entries)
{
    if (engine.maxBatch() <= 0)
        return 0.5;
    const double batch = engine.expectedRequests(entries) / static_cast<double>(engine.maxBatch());
    return std::max(batch, engine.expectedKvUtilization(entries));
}

Router::Router(RouterSettings settings, std::string failureDomain)
    : m_settings(settings)
    , m_failureDomain(std::move(failureDomain))
{}

int Router::choose(absl::Time now, const Task &task, const std::vector<RouteCandidate> &candidates,
                   const std::vector<std::string> &excluded, const PrefixIndex &prefixes,
                   std::size_t entries, std::mt19937_64 &random) const
{
    double leastLoad = std::numeric_limits<double>::infinity();
    for (const RouteCandidate &candidate : candidates) {
        if (isUsable(now, *candidate.engine, excluded))
            leastLoad = std::min(leastLoad, expectedLoad(*candidate.engine, entries));
    }
    int best = -1;
    bool bestReturning = false;
    double bestCost = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const EngineState &engine = *candidates[i].engine;
        if (!isUsable(now, engine, excluded))
            continue;
        const double share =
                std::min(engine.outlier().trafficShare(now), candidates[i].trafficShare);
        const bool returning = uniform(random) >= share;
        const double extra = candidates[i].extraCost + m_settings.tieBreakNoise * uniform(random);
        const double cost = this->cost(now, task, engine, leastLoad, prefixes, entries) + extra;
        const bool better = returning == bestReturning ? cost < bestCost : bestReturning;
        if (best < 0 || better) {
            best = static_cast<int>(i);
            bestCost = cost;
            bestReturning = returning;
        }
    }
    return best;
}

double Router::cost(absl::Time now, const Task &task, const EngineState &engine, double leastLoad,
                    const PrefixIndex &prefixes, std::size_t entries) const
{
    const double load = expectedLoad(engine, entries);
    const std::int64_t prefill = engine.localPrefillTokens(TaskKind::Online)
                                 + engine.localPrefillTokens(TaskKind::Batch);
    const double scarcity = std::max(load - m_settings.loadLimit, 0.0) * scarcityFactor;
    double cost = load * m_settings.loadCost + scarcity;
    cost += static_cast<double>(prefill) / m_settings.prefillTokensPerLoad;
    cost += static_cast<double>(engine.load().waiting) * m_settings.waitingCost;
    const bool isRemote = engine.info().failureDomain != m_failureDomain;
    if (isRemote || load > m_settings.loadLimit)
        cost += m_settings.remoteDomainCost;
    const bool countsPrefix = load <= leastLoad + m_settings.prefixLoadBound && load < 1;
    if (countsPrefix && task.promptTokens > 0) {
        const auto cached = static_cast<double>(
                prefixes.cachedTokens(now, engine.info().name, task.prefixHashes));
        const double share = cached / static_cast<double>(task.promptTokens);
        cost -= m_settings.prefixGain * std::min(share, 1.0);
    }
    return cost;
}

} // namespace rattanrill::policy
