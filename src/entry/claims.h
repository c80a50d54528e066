#pragma once

#include "partitions.h"

#include "rattanrill/base/clock.h"

#include "absl/time/time.h"

#include <string>

namespace rattanrill::entry {

/// A claim of a workspace's idempotency key.
struct ClaimKey
{
    std::string workspace;
    std::string idempotencyKey;
    /// Hash of method, path and body.
    std::string requestHash;
    /// Unique per try to claim, so that a repeated command of the same try wins again.
    std::string holder;
};

/// Claims of requests that must run at most once. All entries agree on the partition of a claim.
class Claims
{
public:
    Claims(Partitions &partitions, absl::Duration keep);

    /// Fails with Conflict when the key was used for another request, or as not run when the
    /// partition cannot be reached.
    Outcome<wire::ClaimStatus> claim(const ClaimKey &key);
    /// Stores the answer for resends. Without it a resend is told that the request may have run.
    Outcome<Done> finish(const ClaimKey &key, int status, const std::string &contentType,
                         const std::string &body);
    /// Gives the claim back; only when the request certainly did not run.
    void abandon(const ClaimKey &key);

private:
    int partition(const ClaimKey &key) const;

    Partitions &m_partitions;
    absl::Duration m_keep;
};

} // namespace rattanrill::entry
