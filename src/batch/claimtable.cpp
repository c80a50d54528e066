#include "claimtable.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/batch/statemachine.h"

namespace rattanrill::batch {
namespace {

using wire::ClaimState;

boost::leaf::error_id conflict(const std::string &key, std::string_view reason)
{
    return fail(notRun(ErrorCode::Conflict, concat("idempotency key \"", key, "\" ", reason)));
}

} // namespace

Result<wire::ClaimStatus> ClaimTable::claim(const wire::ClaimRequest &request)
{
    const Key key(request.workspace, request.idempotencyKey);
    const auto known = m_claims.find(key);
    if (known != m_claims.end()) {
        const Claim &claim = known->second;
        if (claim.requestHash != request.requestHash)
            return conflict(request.idempotencyKey, "belongs to another request");
        wire::ClaimStatus status = claim.status;
        status.won = status.state == ClaimState::Running && claim.holder == request.holder;
        return status;
    }
    if (m_running >= maxRunningClaims) {
        return fail(notRun(ErrorCode::QueueFull,
                           concat(maxRunningClaims, " claims are running already")));
    }
    ++m_running;
    Claim claim;
    claim.requestHash = request.requestHash;
    claim.holder = request.holder;
    claim.keepMs = request.keepMs;
    wire::ClaimStatus status = claim.status;
    status.won = true;
    m_claims.emplace(key, std::move(claim));
    return status;
}

Result<wire::ClaimStatus> ClaimTable::finish(const wire::FinishClaim &request, std::int64_t nowMs)
{
    const Key key(request.workspace, request.idempotencyKey);
    const auto known = m_claims.find(key);
    if (known == m_claims.end()) {
        return fail(notRun(ErrorCode::NotFound,
                           concat("no claim of key \"", request.idempotencyKey, "\"")));
    }
    Claim &claim = known->second;
    if (claim.holder != request.holder)
        return conflict(request.idempotencyKey, "is claimed by another holder");
    if (claim.status.state == ClaimState::Finished)
        return claim.status;
    --m_running;
    claim.expiresAtMs = nowMs + claim.keepMs;
    claim.status.state = ClaimState::Finished;
    claim.status.status = request.status;
    claim.status.contentType = request.contentType;
    claim.status.body = request.body;
    addFinished(key, claim);
    return claim.status;
}

void ClaimTable::addFinished(const Key &key, const Claim &claim)
{
    m_textBytes += claim.status.body.size();
    m_expiry.emplace(claim.expiresAtMs, key);
}

Result<void> ClaimTable::abandon(const wire::AbandonClaim &request)
{
    const auto known = m_claims.find({request.workspace, request.idempotencyKey});
    if (known == m_claims.end())
        return {};
    if (known->second.holder != request.holder)
        return conflict(request.idempotencyKey, "is claimed by another holder");
    if (known->second.status.state == ClaimState::Finished)
        return conflict(request.idempotencyKey, "is finished");
    --m_running;
    m_claims.erase(known);
    return {};
}

void ClaimTable::expire(std::int64_t nowMs)
{
    while (!m_expiry.empty() && m_expiry.begin()->first <= nowMs) {
        const auto claim = m_claims.find(m_expiry.begin()->second);
        m_textBytes -= claim->second.status.body.size();
        m_claims.erase(claim);
        m_expiry.erase(m_expiry.begin());
    }
}

void ClaimTable::write(ByteWriter &writer) const
{
    writer.number(m_claims.size());
    for (const auto &[key, claim] : m_claims) {
        writer.text(key.first);
        writer.text(key.second);
        writer.text(claim.requestHash);
        writer.text(claim.holder);
        writer.signedNumber(claim.keepMs);
        const bool finished = claim.status.state == ClaimState::Finished;
        writer.number(finished ? 1 : 0);
        if (!finished)
            continue;
        writer.signedNumber(claim.expiresAtMs);
        writer.signedNumber(claim.status.status);
        writer.text(claim.status.contentType);
        writer.text(claim.status.body);
    }
}

void ClaimTable::read(ByteReader &reader)
{
    const std::size_t claims = reader.count();
    for (std::size_t count = 0; count < claims; ++count) {
        Key key;
        key.first = reader.string();
        key.second = reader.string();
        Claim claim;
        claim.requestHash = reader.string();
        claim.holder = reader.string();
        claim.keepMs = reader.signedNumber();
        if (reader.numberBelow(2) == 1) {
            claim.status.state = ClaimState::Finished;
            claim.expiresAtMs = reader.signedNumber();
            claim.status.status = reader.signedNumber();
            claim.status.contentType = reader.string();
            claim.status.body = reader.string();
        }
        if (!m_claims.emplace(key, claim).second)
            return reader.setFailed();
        if (claim.status.state == ClaimState::Finished)
            addFinished(key, claim);
        else
            ++m_running;
    }
}

} // namespace rattanrill::batch
