#pragma once

#include "rattanrill/policy/enginestate.h"
#include "rattanrill/policy/prefixindex.h"
#include "rattanrill/policy/task.h"

#include "absl/time/time.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace rattanrill::policy {

struct RouterSettings
{
    OutlierSettings outlier;
    /// Cost of each part of load below the limit; low, because as long as a place is free the load
    /// only lengthens the decode step, and the report is late.
    double loadCost = 0.3;
    /// Load (0 to 1) above which load counts fully several times over and distance no longer does:
    /// the next arrivals may have to wait for a place.
    double loadLimit = 0.97;
    /// Cost of leaving the near failure domain: some milliseconds of delay, small against a step.
    double farCost = 0.002;
    /// Gain in load of a prompt that is cached completely.
    double prefixGain = 0.15;
    /// A prefix never draws work to an engine that is this much above the least loaded.
    double prefixLoadBound = 0.25;
    /// Own prompt tokens still in prefill on the engine that cost as much as a full load.
    double prefillTokensPerLoad = 2000;
    /// Cost in load of a request that the engine reported as waiting.
    double waitingCost = 0.05;
    /// Random cost in load, so that entries with the same reports do not all choose one engine.
    double tieNoise = 0.04;
};

/// An engine that could take the work, and what speaks against it beside its load.
struct RouteCandidate
{
    const EngineState *engine = nullptr;
    /// In the unit of load.
    double extraCost = 0;
};

/// Choice of an engine for one work by expected load, prefix affinity and failure domain.
class Router
{
public:
    Router(RouterSettings settings, std::string failureDomain);

    /// Index in \a candidates of the best engine for \a task, or -1 when every one is leaving,
    /// ejected, or in \a excluded. \a random breaks ties and thins out returning engines.
    int choose(absl::Time now, const Task &task, const std::vector<RouteCandidate> &candidates,
               const std::vector<std::string> &excluded, const PrefixIndex &prefixes,
               std::size_t entries, std::mt19937_64 &random) const;

private:
    double cost(absl::Time now, const Task &task, const EngineState &engine, double leastLoad,
                const PrefixIndex &prefixes, std::size_t entries) const;

    RouterSettings m_settings;
    std::string m_failureDomain;
};

/// Expected load of \a engine from 0 (empty) to 1 (full batch or full KV memory), and above 1 when
/// work queues there.
double expectedLoad(const EngineState &engine, std::size_t entries);

} // namespace rattanrill::policy
