#include "benchadmission.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"

namespace rattanrill::policy::bench {

namespace {

/// Longest wait for a grant that still fits into the latency budget of the first token.
constexpr absl::Duration maxGrantWait = absl::Milliseconds(200);

} // namespace

BenchAdmission::BenchAdmission(AdmissionKind kind, std::vector<RateContract> contracts,
                               std::vector<std::string> entries)
    : m_kind(kind)
    , m_contracts(std::move(contracts))
    , m_entries(std::move(entries))
    , m_lost(m_entries.size(), false)
    , m_ownerSince(m_contracts.size(), absl::UnixEpoch())
{
    const auto count = static_cast<double>(m_entries.size());
    for (std::size_t i = 0; i < m_contracts.size(); ++i) {
        m_owners.push_back(rendezvousOwner(concat("workspace-", i), m_entries));
        if (kind == AdmissionKind::Owner)
            m_buckets.emplace_back(m_contracts[i], absl::UnixEpoch());
        RateContract share = m_contracts[i];
        share.ratePerSecond /= count;
        share.burst /= count;
        for (std::size_t entry = 0; kind == AdmissionKind::StaticShare && entry < m_entries.size();
             ++entry)
            m_buckets.emplace_back(share, absl::UnixEpoch());
    }
}

std::size_t BenchAdmission::owner(std::size_t workspace, std::size_t entry) const
{
    return m_kind == AdmissionKind::Owner ? m_owners[workspace] : entry;
}

RateGrant BenchAdmission::take(absl::Time now, std::size_t workspace, std::size_t entry)
{
    if (m_kind == AdmissionKind::None)
        return {true, absl::ZeroDuration()};
    if (m_kind == AdmissionKind::Owner)
        return m_buckets[workspace].take(now, 1, maxGrantWait);
    return m_buckets[workspace * m_entries.size() + entry].take(now, 1, maxGrantWait);
}

void BenchAdmission::loseEntries(const std::vector<std::size_t> &lost, absl::Time ownedFrom)
{
    for (const std::size_t entry : lost)
        m_lost[entry] = true;
    std::vector<std::string> remaining;
    std::vector<std::size_t> remainingIndex;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        if (!m_lost[i]) {
            remaining.push_back(m_entries[i]);
            remainingIndex.push_back(i);
        }
    }
    for (std::size_t i = 0; i < m_contracts.size() && m_kind == AdmissionKind::Owner; ++i) {
        if (!m_lost[m_owners[i]])
            continue;
        m_owners[i] = remainingIndex[rendezvousOwner(concat("workspace-", i), remaining)];
        m_ownerSince[i] = ownedFrom;
        m_buckets[i] = TokenBucket(m_contracts[i], ownedFrom + maxGrantWait);
    }
}

bool BenchAdmission::isOwnerMoving(absl::Time now, std::size_t workspace) const
{
    return m_kind == AdmissionKind::Owner && now < m_ownerSince[workspace];
}

} // namespace rattanrill::policy::bench
