#include "crashhistory.h"

#include <algorithm>

namespace rattanrill::policy {

namespace {

/// Upstreams of a lost domain fail within the spread of their connection timeouts.
constexpr absl::Duration window = absl::Seconds(2);

bool shareRequest(const Crash &left, const Crash &right)
{
    return std::any_of(left.fingerprints.begin(), left.fingerprints.end(),
                       [&](const std::string &fingerprint) {
                           return std::find(right.fingerprints.begin(), right.fingerprints.end(),
                                            fingerprint)
                                  != right.fingerprints.end();
                       });
}

} // namespace

std::vector<Crash> CrashHistory::add(Crash crash)
{
    const absl::Time oldest = crash.at - window;
    m_recent.erase(std::remove_if(m_recent.begin(), m_recent.end(),
                                  [&](const Crash &old) { return old.at < oldest; }),
                   m_recent.end());
    std::vector<Crash> together;
    for (const Crash &old : m_recent) {
        const bool other = old.upstream != crash.upstream;
        if (other && old.failureDomain == crash.failureDomain && !shareRequest(old, crash))
            together.push_back(old);
    }
    m_recent.push_back(crash);
    if (!together.empty())
        together.push_back(std::move(crash));
    return together;
}

} // namespace rattanrill::policy
