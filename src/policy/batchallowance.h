#pragma once

#include "enginerecord.h"

#include "absl/time/time.h"

#include <cstddef>

namespace rattanrill::policy {

struct SchedulerSettings;

/// Limits the batch tasks that this entry starts on an engine. The online tail weight determines
/// the online reserve and the spacing of batch prefills.
class BatchAllowance
{
public:
    explicit BatchAllowance(const SchedulerSettings &settings);

    /// Number of slots of an engine that are kept free for online tasks that arrive before the next
    /// report includes them. Arrivals during the load report delay are close to a Poisson process,
    /// so their standard deviation is the square root of their expected number.
    double onlineReserve(double onlineRatePerEngine) const;
    /// Number of batch tasks that this entry may start on \a engine now, as limited by the slots; 0
    /// or less when only the online reserve is free, and 0 without a load report or with too much
    /// KV memory in use. Every entry uses only its share of the free slots, so that all entries
    /// together do not exceed them. \a unreportedOnline is the estimated number of online tasks
    /// that other entries have sent to the engine since its last report.
    int batchCapacity(const EngineRecord &engine, double onlineRatePerEngine,
                      double unreportedOnline, std::size_t entries) const;
    /// Time between two batch starts of this entry on one engine, so that entries do not start
    /// their batch prompts at the same moment. Shorter with a larger online tail weight, because
    /// the prefill windows are then shorter.
    absl::Duration startInterval(std::int64_t prefillTokens, std::size_t entries) const;
    /// Maximum number of prompt tokens of this entry's batch tasks that may be in prefill on an
    /// engine at a time. A longer prompt starts only when no other one is in prefill.
    static std::int64_t prefillLimit();

private:
    double m_loadReportDelaySeconds;
    double m_prefillTokensPerSecond;
    /// Online reserve, in standard deviations of the number of arrivals.
    double m_reserveDeviations;
    /// Rate of batch prompt tokens on an engine, as a multiple of its prefill speed.
    double m_prefillRateFactor;
};

} // namespace rattanrill::policy
