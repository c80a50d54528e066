#pragma once

#include "rattanrill/policy/tokenbucket.h"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rattanrill::policy::bench {

enum class AdmissionKind {
    /// One bucket for each workspace, at an entry chosen by rendezvous hash.
    Owner,
    /// A bucket for each workspace at each entry with 1 / entries of rate and burst.
    StaticShare,
    None,
};

/// Rate grants of all entries together.
class BenchAdmission
{
public:
    BenchAdmission(AdmissionKind kind, std::vector<RateContract> contracts,
                   std::vector<std::string> entries);

    /// Entry that counts \a workspace for requests at \a entry; \a entry itself when no message is
    /// needed.
    std::size_t owner(std::size_t workspace, std::size_t entry) const;
    RateGrant take(absl::Time now, std::size_t workspace, std::size_t entry);
    /// Entries stop counting. Their workspaces have no owner until \a later.
    void loseEntries(const std::vector<std::size_t> &lost, absl::Time later);
    /// No entry may count \a workspace at \a now.
    bool isMoving(absl::Time now, std::size_t workspace) const;

private:
    AdmissionKind m_kind;
    std::vector<RateContract> m_contracts;
    std::vector<std::string> m_entries;
    std::vector<bool> m_lost;
    std::vector<std::size_t> m_owners;
    std::vector<absl::Time> m_ownerSince;
    /// By workspace, or by workspace and entry for static shares.
    std::vector<TokenBucket> m_buckets;
};

} // namespace rattanrill::policy::bench
