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

/// Durable claims of requests that must run at most once. The workspace and the idempotency key
/// determine the partition of a claim, so that all entries use the same one.
class Claims
{
public:
    Claims(Partitions &partitions, absl::Duration retention);

    /// Fails with Conflict when the key was used for another request, or with a NotRun failure when
    /// the partition cannot be reached.
    Outcome<wire::ClaimStatus> claim(const ClaimKey &key);
    /// Stores the response for later requests with the same key. Until it is stored, service calls
    /// with the same key fail with DuplicateRequest (MayHaveRun).
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
