#include "rattanrill/policy/quarantine.h"

#include <algorithm>

namespace rattanrill::policy {

Quarantine::Quarantine(QuarantineSettings settings)
    : m_settings(settings)
{}

std::vector<std::string> Quarantine::crashed(absl::Time now, const std::string &upstream,
                                             const std::vector<std::string> &fingerprints,
                                             bool alone)
{
    expire(now);
    std::vector<std::string> changed;
    const bool isOnlyRequest = alone && fingerprints.size() == 1;
    for (const std::string &fingerprint : fingerprints) {
        Suspect &suspect = m_suspects[fingerprint];
        if (!suspect.upstreams.insert(upstream).second)
            continue;
        suspect.blocked = suspect.blocked || suspect.upstreams.size() >= m_settings.crashLimit;
        const bool certain = suspect.blocked || isOnlyRequest;
        const absl::Time expires = now + (certain ? m_settings.blockTime : m_settings.suspectTime);
        suspect.expires = std::max(suspect.expires, expires);
        changed.push_back(fingerprint);
    }
    return changed;
}

void Quarantine::crashedUnderBatchItems(absl::Time now, const std::string &upstream,
                                        const std::vector<std::string> &fingerprints)
{
    expire(now);
    for (const std::string &fingerprint : fingerprints) {
        Suspect &suspect = m_suspects[fingerprint];
        suspect.upstreams.insert(upstream);
        suspect.expires = std::max(suspect.expires, now + m_settings.suspectTime);
    }
}

void Quarantine::retractCrash(const std::string &upstream,
                              const std::vector<std::string> &fingerprints)
{
    for (const std::string &fingerprint : fingerprints) {
        const auto found = m_suspects.find(fingerprint);
        if (found == m_suspects.end() || found->second.blocked)
            continue;
        found->second.upstreams.erase(upstream);
        if (found->second.upstreams.empty())
            m_suspects.erase(found);
    }
}

void Quarantine::succeeded(const std::string &fingerprint)
{
    const auto found = m_suspects.find(fingerprint);
    if (found != m_suspects.end() && !found->second.blocked)
        m_suspects.erase(found);
}

void Quarantine::applyRecord(absl::Time now, const std::string &fingerprint,
                             const std::vector<std::string> &crashedUpstreams, bool blocked)
{
    if (crashedUpstreams.empty()) {
        m_suspects.erase(fingerprint);
        return;
    }
    Suspect &suspect = m_suspects[fingerprint];
    suspect.upstreams.insert(crashedUpstreams.begin(), crashedUpstreams.end());
    suspect.blocked =
            suspect.blocked || blocked || suspect.upstreams.size() >= m_settings.crashLimit;
    const absl::Duration time = suspect.blocked ? m_settings.blockTime : m_settings.suspectTime;
    suspect.expires = std::max(suspect.expires, now + time);
}

QuarantineStatus Quarantine::status(absl::Time now, const std::string &fingerprint) const
{
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end() || found->second.expires <= now)
        return QuarantineStatus::Allowed;
    return found->second.blocked ? QuarantineStatus::Blocked : QuarantineStatus::Suspect;
}

std::size_t Quarantine::crashCount(const std::string &fingerprint) const
{
    const auto found = m_suspects.find(fingerprint);
    return found == m_suspects.end() ? 0 : found->second.upstreams.size();
}

bool Quarantine::hasCrashed(const std::string &fingerprint, const std::string &upstream) const
{
    const auto found = m_suspects.find(fingerprint);
    return found != m_suspects.end() && found->second.upstreams.count(upstream) > 0;
}

void Quarantine::expire(absl::Time now)
{
    for (auto suspect = m_suspects.begin(); suspect != m_suspects.end();) {
        if (suspect->second.expires <= now)
            suspect = m_suspects.erase(suspect);
        else
            ++suspect;
    }
}

} // namespace rattanrill::policy
