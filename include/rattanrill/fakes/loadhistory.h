#pragma once

#include "absl/time/time.h"

#include <cstdint>
#include <deque>

namespace rattanrill::fakes {

struct EngineLoad
{
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t kvTokens = 0;
};

/// Load of an engine over time, reported a fixed lag late.
class LoadHistory
{
public:
    explicit LoadHistory(absl::Duration lag);

    absl::Duration lag() const { return m_lag; }
    void record(absl::Time now, EngineLoad load);
    /// Load as it was one lag before \a now.
    EngineLoad report(absl::Time now) const;

private:
    struct Sample
    {
        absl::Time at;
        EngineLoad load;
    };

    absl::Duration m_lag;
    std::deque<Sample> m_samples;
};

} // namespace rattanrill::fakes
