#include "crashhistory.h"

#include <algorithm>

namespace rattanrill::policy {

namespace {

/// Time within which crashes in a failure domain are correlated. Covers the spread of the
/// connection timeouts, within which the upstreams of a lost failure domain fail.
constexpr absl::Duration correlationWindow = absl::Seconds(2);

bool haveCommonRequest(const Crash &left, const Crash &right)
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
    const absl::Time windowStart = crash.at - correlationWindow;
    m_recent.erase(std::remove_if(m_recent.begin(), m_recent.end(),
                                  [&](const Crash &recent) { return recent.at < windowStart; }),
                   m_recent.end());
    std::vector<Crash> correlated;
    for (const Crash &recent : m_recent) {
        const bool isOtherUpstream = recent.upstream != crash.upstream;
        if (isOtherUpstream && recent.failureDomain == crash.failureDomain
            && !haveCommonRequest(recent, crash))
            correlated.push_back(recent);
    }
    m_recent.push_back(crash);
    if (!correlated.empty())
        correlated.push_back(std::move(crash));
    return correlated;
}

} // namespace rattanrill::policy
