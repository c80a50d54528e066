#pragma once

#include "absl/time/time.h"

#include <cstdint>
#include <deque>

namespace rattanrill::fakes {

/// Load of a fake engine or service at one point in time.
struct LoadSample
{
    /// Number of running requests.
    std::int64_t running = 0;
    /// Number of waiting requests.
    std::int64_t waiting = 0;
    /// Reserved KV memory in tokens; 0 for a service.
    std::int64_t kvTokens = 0;
};

/// Simulates a delayed load report: records the load over time and reports it after a fixed lag.
class LoadHistory
{
public:
    explicit LoadHistory(absl::Duration lag);

    absl::Duration lag() const { return m_lag; }
    void record(absl::Time now, LoadSample load);
    /// Load as it was one lag before \a now; all zero when nothing was recorded by then.
    LoadSample report(absl::Time now) const;

private:
    struct Sample
    {
        absl::Time at;
        LoadSample load;
    };

    absl::Duration m_lag;
    std::deque<Sample> m_samples;
};

} // namespace rattanrill::fakes
