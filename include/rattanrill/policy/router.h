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

/// Settings of Router. Costs and gains are in units of load, where 1 is a full engine.
struct RouterSettings
{
    OutlierSettings outlier;
    /// Cost per unit of load. Low, because load only lengthens the decode step as long as a slot is
    /// free, and because load reports are delayed.
    double loadCost = 0.3;
    /// Load (0 to 1) above which the next arrivals may have to wait for a slot. Above it, load
    /// costs several times its value and the failure domain no longer matters.
    double loadLimit = 0.97;
    /// Cost of an engine in another failure domain: the delay is some milliseconds, which is small
    /// compared with a decode step.
    double remoteDomainCost = 0.002;
    /// Gain for a prompt that is cached completely.
    double prefixGain = 0.15;
    /// A cached prefix is ignored on an engine whose load exceeds that of the least loaded engine
    /// by more than this.
    double prefixLoadBound = 0.25;
    /// Number of this entry's prompt tokens still in prefill on the engine that cost as much as 1
    /// unit of load.
    double prefillTokensPerLoad = 2000;
    /// Cost of each request that the engine reported as waiting.
    double waitingCost = 0.05;
    /// Upper limit of a random cost, so that entries with the same reports do not all choose the
    /// same engine.
    double tieBreakNoise = 0.04;
};

/// An engine that could run the task, with a cost in addition to those that Router computes.
struct RouteCandidate
{
    const EngineState *engine = nullptr;
    /// In units of load.
    double extraCost = 0;
    /// Share of its normal traffic that the engine may get. That of its OutlierDetector applies,
    /// too.
    double trafficShare = 1;
};

/// Chooses an engine for one task by expected load, prefix affinity and failure domain.
class Router
{
public:
    /// \a failureDomain is the one of this entry.
    Router(RouterSettings settings, std::string failureDomain);

    /// Returns the index in \a candidates of the best engine for \a task, or -1 when every engine
    /// is leaving, ejected or named in \a excluded. \a entries is the number of entries that share
    /// the engines. \a random breaks ties and limits the traffic to engines that return from an
    /// ejection.
    int choose(absl::Time now, const Task &task, const std::vector<RouteCandidate> &candidates,
               const std::vector<std::string> &excluded, const PrefixIndex &prefixes,
               std::size_t entries, std::mt19937_64 &random) const;

private:
    double cost(absl::Time now, const Task &task, const EngineState &engine, double leastLoad,
                const PrefixIndex &prefixes, std::size_t entries) const;

    RouterSettings m_settings;
    std::string m_failureDomain;
};

/// Returns the expected load of \a engine when \a entries is the number of entries that share it:
/// from 0 (empty) to 1 (full batch or full KV memory), above 1 when requests queue there, and 0.5
/// before the engine has reported its batch size.
double expectedLoad(const EngineState &engine, std::size_t entries);

} // namespace rattanrill::policy
