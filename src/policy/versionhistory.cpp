#include "rattanrill/policy/versionhistory.h"

#include <algorithm>

namespace rattanrill::policy {
namespace {

/// Time after which a version that is no longer listed is dropped.
constexpr absl::Duration versionLifetime = absl::Minutes(10);
/// Longest time between two reads of the list within which no upstream joins, serves and leaves. A
/// leader reads the list each second, and members learn of a read 0.5 s later.
constexpr absl::Duration maxReadInterval = absl::Seconds(3);

} // namespace

void VersionHistory::setUpstreams(absl::Time now, const std::vector<SlotUpstream> &upstreams,
                                  absl::Time readAt)
{
    confirm(readAt);
    for (auto &[service, versions] : m_listedUntil) {
        for (auto version = versions.begin(); version != versions.end();) {
            version->second = std::min(version->second, now);
            const bool isExpired = version->second + versionLifetime < now;
            version = isExpired ? versions.erase(version) : std::next(version);
        }
    }
    for (const SlotUpstream &upstream : upstreams)
        m_listedUntil[upstream.service][upstream.version] = absl::InfiniteFuture();
}

void VersionHistory::confirm(absl::Time readAt)
{
    if (readAt == absl::InfinitePast())
        return;
    if (m_readAt == absl::InfinitePast() || readAt - m_readAt > maxReadInterval)
        m_knownSince = readAt;
    m_readAt = std::max(m_readAt, readAt);
}

std::optional<std::string> VersionHistory::onlyVersion(const std::string &service,
                                                       absl::Time since) const
{
    const auto found = m_listedUntil.find(service);
    if (m_knownSince > since || found == m_listedUntil.end())
        return std::nullopt;
    std::optional<std::string> only;
    for (const auto &[version, until] : found->second) {
        if (until < since)
            continue;
        if (only)
            return std::nullopt;
        only = version;
    }
    return only;
}

} // namespace rattanrill::policy
