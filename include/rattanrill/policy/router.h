#pragma once

#include "rattanrill/policy/enginestate.h"
#include "rattanrill/policy/prefixindex.h"
#include "rattanrill/policy/work.h"

#include "absl/time/time.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace rattanrill::policy {

struct RouterSettings
{
    OutlierSettings outlier;
    /// Load (0 to 1) up to which an engine in the near failure domain is preferred.
    double nearLoadLimit = 0.8;
    /// Cost in load of leaving the near failure domain.
    double farCost = 0.03;
    /// Gain in load of a prompt that is cached completely.
    double prefixGain = 0.15;
    /// A prefix never draws work to an engine that is this much above the least loaded.
    double prefixLoadBound = 0.25;
    /// Cost in load of this many own prompt tokens still in prefill on the engine.
    double prefillTokensPerLoad = 4000;
    /// Cost in load of a request that the engine reported as waiting.
    double waitingCost = 0.05;
    /// Random cost in load, so that entries with the same reports do not all choose one engine.
    double tieNoise = 0.04;
};

/// Choice of an engine for one work by expected load, prefix affinity and failure domain.
class Router
{
public:
    Router(RouterSettings settings, std::string failureDomain);

    /// Index in \a candidates of the best engine for \a work, or -1 when every one is leaving,
    /// ejected, or in \a avoided. \a random breaks ties and thins out returning engines.
    int choose(absl::Time now, const Work &work, const std::vector<EngineState *> &candidates,
               const std::vector<std::string> &avoided, const PrefixIndex &prefixes,
               std::size_t entries, std::mt19937_64 &random) const;

private:
    double cost(absl::Time now, const Work &work, const EngineState &engine, double leastLoad,
                const PrefixIndex &prefixes, std::size_t entries) const;

    RouterSettings m_settings;
    std::string m_failureDomain;
};

/// Expected load of \a engine from 0 (empty) to 1 (full batch or full KV memory), and above 1 when
/// work queues there.
double expectedLoad(const EngineState &engine, std::size_t entries);

} // namespace rattanrill::policy
