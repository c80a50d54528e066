#pragma once

#include "bytereader.h"
#include "bytewriter.h"

#include "rattanrill/base/result.h"
#include "rattanrill/wire/batchmessages.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace rattanrill::batch {

/// Claims of non-idempotent requests by workspace and idempotency key. Only its holder can end a
/// running claim. A finished claim is removed keepMs after it was finished.
class ClaimTable
{
public:
    /// Fails with Conflict (the key belongs to another request, or this holder has abandoned it) or
    /// QueueFull.
    Result<wire::ClaimStatus> claim(const wire::ClaimRequest &request, std::int64_t nowMs);
    /// Fails with NotFound, or with Conflict for another holder. A resend changes nothing.
    Result<wire::ClaimStatus> finish(const wire::FinishClaim &request, std::int64_t nowMs);
    /// Fails with Conflict for another holder or a finished claim. A resend changes nothing.
    Result<void> abandon(const wire::AbandonClaim &request, std::int64_t nowMs);
    /// Removes finished and abandoned claims that have expired. Expired running claims are kept,
    /// but no longer count towards maxRunningClaims.
    void expire(std::int64_t nowMs);

    std::size_t textBytes() const { return m_textBytes; }
    void write(ByteWriter &writer) const;
    void read(ByteReader &reader);

private:
    /// Workspace and idempotency key.
    using Key = std::pair<std::string, std::string>;

    enum class State {
        Running,
        /// Running for longer than keepMs; its holder has probably failed.
        Overdue,
        Finished,
        /// Other holders can claim the key. The entry is kept for abandonedClaimRetentionMs,
        /// because otherwise a delayed copy of the holder's ClaimRequest would start a claim that
        /// nobody ends.
        Abandoned,
    };

    struct Claim
    {
        std::string requestHash;
        std::string holder;
        std::int64_t keepMs = 0;
        State state = State::Running;
        std::int64_t expiresAtMs = 0;
        std::int64_t status = 0;
        std::string contentType;
        std::string body;
    };

    static wire::ClaimStatus statusOf(const Claim &claim);
    Result<wire::ClaimStatus> claimExisting(const Claim &claim,
                                            const wire::ClaimRequest &request) const;
    Result<wire::ClaimStatus> start(const Key &key, const wire::ClaimRequest &request,
                                    std::int64_t nowMs);
    /// Replaces the claim of \a key and updates the totals and m_expiry.
    void store(const Key &key, Claim claim);
    void erase(const Key &key);
    /// Adds a stored claim to the totals and to m_expiry.
    void indexClaim(const Key &key, const Claim &claim);

    std::map<Key, Claim> m_claims;
    /// Claims that are not overdue, ordered by expiry time.
    std::set<std::pair<std::int64_t, Key>> m_expiry;
    /// Number of running claims without the overdue ones.
    std::size_t m_running = 0;
    std::size_t m_textBytes = 0;
};

} // namespace rattanrill::batch
