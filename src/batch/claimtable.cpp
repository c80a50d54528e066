#include "claimtable.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/batch/statemachine.h"

namespace rattanrill::batch {
namespace {

constexpr std::uint64_t claimStateCount = 4;

boost::leaf::error_id conflict(const std::string &key, std::string_view reason)
{
    return fail(notRun(ErrorCode::Conflict, concat("idempotency key \"", key, "\" ", reason)));
}

} // namespace

wire::ClaimStatus ClaimTable::statusOf(const Claim &claim)
{
    const bool finished = claim.state == State::Finished;
    const auto state = finished ? wire::ClaimState::Finished : wire::ClaimState::Running;
    return {false, state, claim.status, claim.contentType, claim.body};
}

Result<wire::ClaimStatus> ClaimTable::claim(const wire::ClaimRequest &request, std::int64_t nowMs)
{
    const Key key(request.workspace, request.idempotencyKey);
    const auto existing = m_claims.find(key);
    if (existing == m_claims.end())
        return start(key, request, nowMs);
    const bool canStart =
            existing->second.state == State::Abandoned && existing->second.holder != request.holder;
    return canStart ? start(key, request, nowMs) : claimExisting(existing->second, request);
}

Result<wire::ClaimStatus> ClaimTable::claimExisting(const Claim &claim,
                                                    const wire::ClaimRequest &request) const
{
    if (claim.state == State::Abandoned)
        return conflict(request.idempotencyKey, "was abandoned by this holder");
    if (claim.requestHash != request.requestHash)
        return conflict(request.idempotencyKey, "belongs to another request");
    wire::ClaimStatus status = statusOf(claim);
    status.won = claim.state != State::Finished && claim.holder == request.holder;
    return status;
}

Result<wire::ClaimStatus> ClaimTable::start(const Key &key, const wire::ClaimRequest &request,
                                            std::int64_t nowMs)
{
    if (m_running >= maxRunningClaims) {
        return fail(notRun(ErrorCode::QueueFull,
                           concat(maxRunningClaims, " claims are running already")));
    }
    Claim claim;
    claim.requestHash = request.requestHash;
    claim.holder = request.holder;
    claim.keepMs = request.keepMs;
    claim.expiresAtMs = nowMs + request.keepMs;
    wire::ClaimStatus status = statusOf(claim);
    status.won = true;
    store(key, std::move(claim));
    return status;
}

Result<wire::ClaimStatus> ClaimTable::finish(const wire::FinishClaim &request, std::int64_t nowMs)
{
    const Key key(request.workspace, request.idempotencyKey);
    const auto existing = m_claims.find(key);
    if (existing == m_claims.end() || existing->second.state == State::Abandoned) {
        return fail(notRun(ErrorCode::NotFound,
                           concat("no claim of key \"", request.idempotencyKey, "\"")));
    }
    if (existing->second.holder != request.holder)
        return conflict(request.idempotencyKey, "is claimed by another holder");
    if (existing->second.state == State::Finished)
        return statusOf(existing->second);
    Claim claim = existing->second;
    claim.state = State::Finished;
    claim.expiresAtMs = nowMs + claim.keepMs;
    claim.status = request.status;
    claim.contentType = request.contentType;
    claim.body = request.body;
    wire::ClaimStatus status = statusOf(claim);
    store(key, std::move(claim));
    return status;
}

Result<void> ClaimTable::abandon(const wire::AbandonClaim &request, std::int64_t nowMs)
{
    const Key key(request.workspace, request.idempotencyKey);
    const auto existing = m_claims.find(key);
    const bool isHeld = existing != m_claims.end() && existing->second.state != State::Abandoned;
    if (isHeld && existing->second.holder != request.holder)
        return conflict(request.idempotencyKey, "is claimed by another holder");
    if (isHeld && existing->second.state == State::Finished)
        return conflict(request.idempotencyKey, "is finished");
    Claim claim;
    claim.holder = request.holder;
    claim.state = State::Abandoned;
    claim.expiresAtMs = nowMs + abandonedClaimRetentionMs;
    store(key, std::move(claim));
    return {};
}

void ClaimTable::expire(std::int64_t nowMs)
{
    while (!m_expiry.empty() && m_expiry.begin()->first <= nowMs) {
        const Key key = m_expiry.begin()->second;
        Claim claim = m_claims.at(key);
        erase(key);
        if (claim.state != State::Running)
            continue;
        claim.state = State::Overdue;
        store(key, std::move(claim));
    }
}

void ClaimTable::store(const Key &key, Claim claim)
{
    erase(key);
    indexClaim(key, m_claims.emplace(key, std::move(claim)).first->second);
}

void ClaimTable::indexClaim(const Key &key, const Claim &claim)
{
    m_running += claim.state == State::Running ? 1 : 0;
    m_textBytes += claim.body.size();
    if (claim.state != State::Overdue)
        m_expiry.emplace(claim.expiresAtMs, key);
}

void ClaimTable::erase(const Key &key)
{
    const auto claim = m_claims.find(key);
    if (claim == m_claims.end())
        return;
    m_running -= claim->second.state == State::Running ? 1 : 0;
    m_textBytes -= claim->second.body.size();
    m_expiry.erase({claim->second.expiresAtMs, key});
    m_claims.erase(claim);
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
        writer.number(static_cast<std::uint64_t>(claim.state));
        writer.signedNumber(claim.expiresAtMs);
        if (claim.state != State::Finished)
            continue;
        writer.signedNumber(claim.status);
        writer.text(claim.contentType);
        writer.text(claim.body);
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
        claim.state = static_cast<State>(reader.numberBelow(claimStateCount));
        claim.expiresAtMs = reader.signedNumber();
        if (claim.state == State::Finished) {
            claim.status = reader.signedNumber();
            claim.contentType = reader.string();
            claim.body = reader.string();
        }
        store(key, std::move(claim));
    }
}

} // namespace rattanrill::batch
