#pragma once

#include "partitions.h"

#include "rattanrill/base/clock.h"

#include "absl/time/time.h"

#include <string>

namespace rattanrill::entry {

/// Identifies the claim of a workspace's idempotency key.
struct ClaimKey
{
    std::string workspace;
    std::string idempotencyKey;
    /// Hash of method, path and body.
    std::string requestHash;
    /// Unique for each attempt to claim the key, so that a resent command of the same attempt wins
    /// the claim again.
    std::string holder;
};

/// Claims of requests that must run at most once. All entries compute the same partition for a
/// claim.
class Claims
{
public:
    Claims(Partitions &partitions, absl::Duration retention);

    /// Fails with Conflict when the key was used for another request, or with a NotRun failure when
    /// the partition cannot be reached.
    Outcome<wire::ClaimStatus> claim(const ClaimKey &key);
    /// Stores the answer for later requests with the same key. Without it, such requests fail with
    /// a failure that says that the request may have run.
    Outcome<Done> finish(const ClaimKey &key, int status, const std::string &contentType,
                         const std::string &body);
    /// Releases the claim. To be called only when the request certainly did not run.
    void abandon(const ClaimKey &key);

private:
    int partition(const ClaimKey &key) const;

    Partitions &m_partitions;
    absl::Duration m_retention;
};

} // namespace rattanrill::entry
