#include "rattanrill/fakes/loadhistory.h"

namespace rattanrill::fakes {

LoadHistory::LoadHistory(absl::Duration lag)
    : m_lag(lag)
{}

void LoadHistory::record(absl::Time now, LoadSample load)
{
    m_samples.push_back({now, load});
    // Keeps the newest sample that is at least one lag old, because it is the current report.
    while (m_samples.size() > 1 && m_samples[1].at <= now - m_lag)
        m_samples.pop_front();
}

LoadSample LoadHistory::report(absl::Time now) const
{
    LoadSample load;
    for (const Sample &sample : m_samples) {
        if (sample.at > now - m_lag)
            break;
        load = sample.load;
    }
    return load;
}

} // namespace rattanrill::fakes
