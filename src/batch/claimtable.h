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

/// Claims of non-idempotent requests by workspace and key. A running claim ends only by its
/// holder; a finished one is forgotten after its time.
class ClaimTable
{
public:
    /// Fails with Conflict (the key belongs to another request) or QueueFull.
    Result<wire::ClaimStatus> claim(const wire::ClaimRequest &request);
    /// Fails with NotFound, or with Conflict for another holder. A resend changes nothing.
    Result<wire::ClaimStatus> finish(const wire::FinishClaim &request, std::int64_t nowMs);
    /// Fails with Conflict for another holder or a finished claim. A resend changes nothing.
    Result<void> abandon(const wire::AbandonClaim &request);
    /// Forgets finished claims whose time is over.
    void expire(std::int64_t nowMs);

    std::size_t textBytes() const { return m_textBytes; }
    void write(ByteWriter &writer) const;
    void read(ByteReader &reader);

private:
    /// Workspace and idempotency key.
    using Key = std::pair<std::string, std::string>;

    struct Claim
    {
        std::string requestHash;
        std::string holder;
        std::int64_t keepMs = 0;
        /// Of a finished claim.
        std::int64_t expiresAtMs = 0;
        wire::ClaimStatus status;
    };

    void addFinished(const Key &key, const Claim &claim);

    std::map<Key, Claim> m_claims;
    std::set<std::pair<std::int64_t, Key>> m_expiry;
    std::size_t m_running = 0;
    std::size_t m_textBytes = 0;
};

} // namespace rattanrill::batch
