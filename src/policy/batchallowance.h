#pragma once

#include "enginerecord.h"

#include "absl/time/time.h"

#include <cstddef>

namespace rattanrill::policy {

struct SchedulerSettings;

/// How much batch work this entry may put on an engine. The online tail weight sets the reserve
/// and the spacing of batch prefills.
class BatchAllowance
{
public:
    explicit BatchAllowance(const SchedulerSettings &settings);

    /// Slots of an engine kept free for online work that arrives before the next report shows it.
    /// Arrivals during the lag are close to a Poisson process, so their spread is the square root
    /// of their number.
    double onlineReserve(double onlineRatePerEngine) const;
    /// Batch works that this entry may start on \a engine now, as far as slots are concerned; not
    /// above 0 when the reserve is touched. Every entry takes its share of the free slots, so that
    /// all of them together do not overshoot.
    int batchCapacity(const EngineRecord &engine, double onlineRatePerEngine, double unseenOnline,
                      std::size_t entries) const;
    /// Time between two batch starts of this entry on one engine, so that entries do not
    /// start their batch prompts at the same moment. Denser with a larger tail weight, because the
    /// windows for it are shorter.
    absl::Duration spacing(std::int64_t prefillTokens, std::size_t entries) const;
    /// Own prompt tokens of batch work that may be in prefill on an engine at a time.
    static std::int64_t prefillLimit();

private:
    double m_lagSeconds;
    double m_prefillTokensPerSecond;
    double m_reserveDeviations;
    double m_prefillShare;
};

} // namespace rattanrill::policy
