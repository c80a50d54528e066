#pragma once

#include "rattanrill/policy/tokenbucket.h"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rattanrill::policy::bench {

enum class AdmissionKind {
    /// One bucket for each workspace, at the entry that rendezvous hashing selects.
    Owner,
    /// One bucket for each workspace at each entry. With n entries, each bucket has 1/n of the
    /// contract's rate and burst.
    StaticShare,
    None,
};

/// Rate admission of all entries.
class BenchAdmission
{
public:
    BenchAdmission(AdmissionKind kind, std::vector<RateContract> contracts,
                   std::vector<std::string> entries);

    /// Returns the entry that holds the bucket of \a workspace for requests that arrive at
    /// \a entry. This is \a entry itself when no message is needed.
    std::size_t owner(std::size_t workspace, std::size_t entry) const;
    RateGrant take(absl::Time now, std::size_t workspace, std::size_t entry);
    /// Marks entries as lost. The buckets that they owned get new owners, which grant nothing
    /// before \a ownedFrom.
    void loseEntries(const std::vector<std::size_t> &lost, absl::Time ownedFrom);
    /// Returns whether the bucket of \a workspace has no owner that may grant at \a now.
    bool isOwnerMoving(absl::Time now, std::size_t workspace) const;

private:
    AdmissionKind m_kind;
    std::vector<RateContract> m_contracts;
    std::vector<std::string> m_entries;
    std::vector<bool> m_lost;
    std::vector<std::size_t> m_owners;
    std::vector<absl::Time> m_ownerSince;
    /// Indexed by workspace; for static shares by workspace and entry.
    std::vector<TokenBucket> m_buckets;
};

} // namespace rattanrill::policy::bench
