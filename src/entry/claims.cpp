#include "claims.h"

#include "objectid.h"

#include "rattanrill/base/logger.h"

namespace rattanrill::entry {

Claims::Claims(Partitions &partitions, absl::Duration retention)
    : m_partitions(partitions)
    , m_retention(retention)
{}

int Claims::partition(const ClaimKey &key) const
{
    return partitionOf(key.workspace, key.idempotencyKey, m_partitions.count());
}

Outcome<wire::ClaimStatus> Claims::claim(const ClaimKey &key)
{
    wire::ClaimRequest command;
    command.workspace = key.workspace;
    command.idempotencyKey = key.idempotencyKey;
    command.requestHash = key.requestHash;
    command.holder = key.holder;
    command.keepMs = absl::ToInt64Milliseconds(m_retention);
    const auto response = m_partitions.propose(partition(key), command, true);
    if (response.ok())
        return response.value().claim;
    // The claim may have been recorded although its request will not run, so it is released.
    if (response.failure().effect == EffectState::MayHaveRun)
        abandon(key);
    return notRun(response.failure().code, response.failure().detail);
}

Outcome<Done> Claims::finish(const ClaimKey &key, int status, const std::string &contentType,
                             const std::string &body)
{
    wire::FinishClaim command;
    command.workspace = key.workspace;
    command.idempotencyKey = key.idempotencyKey;
    command.holder = key.holder;
    command.status = status;
    command.contentType = contentType;
    command.body = body;
    const auto response = m_partitions.propose(partition(key), command, true);
    if (response.ok())
        return Done{};
    log(LogLevel::Warning, "claim-not-finished",
        {{"workspace", key.workspace}, {"detail", describe(response.failure())}});
    return response.failure();
}

void Claims::abandon(const ClaimKey &key)
{
    wire::AbandonClaim command;
    command.workspace = key.workspace;
    command.idempotencyKey = key.idempotencyKey;
    command.holder = key.holder;
    const auto response = m_partitions.propose(partition(key), command, true);
    if (!response.ok())
        log(LogLevel::Warning, "claim-not-abandoned",
            {{"workspace", key.workspace}, {"detail", describe(response.failure())}});
}

} // namespace rattanrill::entry
