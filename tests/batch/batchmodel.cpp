#include "batchmodel.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/batch/statemachine.h"

#include <algorithm>
#include <limits>

namespace rattanrill::batch {

using wire::ItemState;

std::string BatchModel::observe(std::int64_t nowMs, const wire::BatchOperation &operation,
                                const Outcome<wire::BatchResult> &response)
{
    advance(nowMs);
    return std::visit([&](const auto &specific) { return observe(specific, response); }, operation);
}

void BatchModel::advance(std::int64_t nowMs)
{
    m_nowMs = std::max(m_nowMs, nowMs);
    for (auto &[id, job] : m_jobs) {
        for (Item &item : job.items) {
            const bool expired = item.state == ItemState::Leased && item.expiresAtMs <= m_nowMs;
            if (!expired)
                continue;
            item.expiredLeases += job.cancelled ? 0 : 1;
            endLease(job, item);
            if (item.state == ItemState::Open && item.expiredLeases >= maxExpiredLeases) {
                item.state = ItemState::Failed;
                item.reason = "lease_expired";
            }
        }
    }
    for (auto claim = m_claims.begin(); claim != m_claims.end();) {
        const bool isExpired =
                claim->second.expiresAtMs > 0 && claim->second.expiresAtMs <= m_nowMs;
        claim = isExpired ? m_claims.erase(claim) : std::next(claim);
    }
}

void BatchModel::endLease(const Job &job, Item &item)
{
    item.state = job.cancelled ? ItemState::Cancelled : ItemState::Open;
    item.readyAtMs = 0;
}

BatchModel::Item *BatchModel::findLeased(const wire::ItemRef &ref)
{
    const auto job = m_jobs.find(ref.jobId);
    if (job == m_jobs.end() || ref.index >= job->second.items.size())
        return nullptr;
    Item &item = job->second.items[ref.index];
    return item.state == ItemState::Leased && item.lease == ref.lease ? &item : nullptr;
}

bool BatchModel::isReady(const Job &job, const Item &item) const
{
    return !job.cancelled && item.state == ItemState::Open && item.readyAtMs <= m_nowMs;
}

std::int64_t BatchModel::earliestDueAtMs() const
{
    std::int64_t due = std::numeric_limits<std::int64_t>::max();
    for (const auto &[id, job] : m_jobs) {
        const bool ready =
                std::any_of(job.items.begin(), job.items.end(),
                            [&, &ready = job](const Item &item) { return isReady(ready, item); });
        if (ready)
            due = std::min(due, job.dueAtMs);
    }
    return due;
}

std::string BatchModel::observe(const wire::CreateJob &operation,
                                const Outcome<wire::BatchResult> &response)
{
    const auto [jobKey, added] =
            m_jobKeys.try_emplace({operation.workspace, operation.idempotencyKey}, operation.jobId);
    const bool sameFile = added || m_jobs.at(jobKey->second).fileId == operation.fileId;
    if (response.ok() != sameFile)
        return "an idempotency key was accepted for a second file, or rejected for its own";
    if (!response.ok())
        return {};
    if (response.value().job.jobId != jobKey->second)
        return "a resent CreateJob created a second job";
    if (added) {
        m_jobs[operation.jobId] = {operation.workspace, operation.fileId, operation.dueAtMs, false,
                                   std::vector<Item>(m_files.at(operation.fileId))};
    }
    return {};
}

std::string BatchModel::observe(const wire::CancelJob &operation,
                                const Outcome<wire::BatchResult> &response)
{
    if (!response.ok() || m_jobs.count(operation.jobId) == 0)
        return {};
    Job &job = m_jobs.at(operation.jobId);
    job.cancelled = true;
    for (Item &item : job.items) {
        if (item.state == ItemState::Open)
            item.state = ItemState::Cancelled;
    }
    return {};
}

std::string BatchModel::observe(const wire::LeaseItems &operation,
                                const Outcome<wire::BatchResult> &response)
{
    for (const wire::LeasedItem &leased : response.value().leased) {
        Job &job = m_jobs.at(leased.item.jobId);
        Item &item = job.items.at(leased.item.index);
        if (!isReady(job, item))
            return concat("leased an item that is ", wire::name(item.state),
                          job.cancelled ? " in a cancelled job" : "");
        if (job.dueAtMs != earliestDueAtMs())
            return "leased an item of a job that is not due first";
        if (leased.item.lease <= m_lastLease)
            return "a lease number did not increase";
        m_lastLease = leased.item.lease;
        item.state = ItemState::Leased;
        item.lease = leased.item.lease;
        item.holder = operation.holder;
        item.expiresAtMs = m_nowMs + operation.leaseMs;
    }
    const bool limitReached =
            response.value().leased.size() == static_cast<std::size_t>(operation.maxItems);
    const bool hasReadyItem = earliestDueAtMs() != std::numeric_limits<std::int64_t>::max();
    return !limitReached && hasReadyItem ? "an open item was not leased" : "";
}

std::string BatchModel::observe(const wire::RenewLeases &operation,
                                const Outcome<wire::BatchResult> &response)
{
    std::size_t lost = 0;
    for (const wire::ItemRef &ref : operation.items) {
        Item *item = findLeased(ref);
        const bool held = item != nullptr && item->holder == operation.holder;
        const bool renewed = held && !m_jobs.at(ref.jobId).cancelled;
        lost += renewed ? 0 : 1;
        if (renewed)
            item->expiresAtMs = m_nowMs + operation.leaseMs;
        else if (held)
            endLease(m_jobs.at(ref.jobId), *item);
    }
    return response.value().lost.size() == lost ? "" : "wrong number of lost leases";
}

std::string BatchModel::observe(const wire::ReleaseItems &operation,
                                const Outcome<wire::BatchResult> &response)
{
    std::size_t accepted = 0;
    for (const wire::ItemRef &ref : operation.items) {
        Item *item = findLeased(ref);
        if (item == nullptr)
            continue;
        ++accepted;
        endLease(m_jobs.at(ref.jobId), *item);
        if (item->state != ItemState::Open)
            continue;
        item->readyAtMs = m_nowMs + operation.backoffMs;
        item->failedAttempts += operation.failedTry ? 1 : 0;
        if (operation.failedTry && item->failedAttempts >= maxFailedAttempts) {
            item->state = ItemState::Failed;
            item->reason = operation.reason;
        }
    }
    return response.value().accepted == accepted ? "" : "wrong number of released items";
}

std::string BatchModel::observe(const wire::CompleteItems &operation,
                                const Outcome<wire::BatchResult> &response)
{
    std::size_t accepted = 0;
    for (const wire::ItemResult &result : operation.results) {
        Item *item = findLeased(result.item);
        if (item == nullptr)
            continue;
        ++accepted;
        item->state = result.failed ? ItemState::Failed : ItemState::Completed;
        item->body = result.body;
        item->reason = result.reason;
    }
    if (response.value().accepted > accepted)
        return "a result without a current lease was accepted";
    const bool allAccepted = response.value().accepted == accepted
                             && response.value().dropped == operation.results.size() - accepted;
    return allAccepted ? "" : "a result with a current lease was dropped";
}

std::string BatchModel::observe(const wire::ClaimRequest &operation,
                                const Outcome<wire::BatchResult> &response)
{
    const auto existing = m_claims.find(operation.idempotencyKey);
    const bool abandoned = existing != m_claims.end() && existing->second.abandoned;
    if (abandoned && existing->second.holder == operation.holder)
        return response.ok() ? "a holder won a claim that it had abandoned" : "";
    if (abandoned)
        m_claims.erase(existing);
    const auto [claim, added] =
            m_claims.try_emplace(operation.idempotencyKey, Claim{operation.holder, "", 0, false});
    const wire::ClaimStatus &status = response.value().claim;
    const bool running = claim->second.expiresAtMs == 0;
    const bool mayRun = running && claim->second.holder == operation.holder;
    if (status.won != mayRun)
        return "a claim was won by a second holder, or refused to its own holder";
    const bool sameResponse = running || status.body == claim->second.response;
    return sameResponse ? "" : "a finished claim returned a different response";
}

std::string BatchModel::observe(const wire::FinishClaim &operation,
                                const Outcome<wire::BatchResult> &response)
{
    const auto claim = m_claims.find(operation.idempotencyKey);
    const bool isHolder = claim != m_claims.end() && claim->second.holder == operation.holder
                          && !claim->second.abandoned;
    if (isHolder != response.ok())
        return "a claim was finished by another holder, or not by its own holder";
    if (isHolder && claim->second.expiresAtMs == 0) {
        claim->second.response = operation.body;
        claim->second.expiresAtMs = m_nowMs + 5000;
    }
    return {};
}

std::string BatchModel::observe(const wire::AbandonClaim &operation,
                                const Outcome<wire::BatchResult> &response)
{
    if (response.ok()) {
        m_claims[operation.idempotencyKey] = {operation.holder, "",
                                              m_nowMs + abandonedClaimRetentionMs, true};
    }
    return {};
}

std::string BatchModel::checkStatus(const wire::JobStatus &status) const
{
    const auto job = m_jobs.find(status.jobId);
    if (job == m_jobs.end())
        return "unknown job";
    std::map<ItemState, std::uint64_t> states;
    for (const Item &item : job->second.items)
        ++states[item.state];
    const wire::JobCounts &counts = status.counts;
    const std::uint64_t open = states[ItemState::Open] + states[ItemState::Leased];
    const bool same = counts.completed == states[ItemState::Completed]
                      && counts.failed == states[ItemState::Failed]
                      && counts.cancelled == states[ItemState::Cancelled] && counts.open == open;
    if (!same)
        return concat("counts of ", status.jobId, " differ from its items");
    const bool ended =
            status.state == wire::JobState::Completed || status.state == wire::JobState::Cancelled;
    return ended == (open == 0) ? "" : concat(status.jobId, " ended too early or too late");
}

std::string BatchModel::checkResults(const std::string &jobId,
                                     const std::vector<wire::ResultLine> &lines) const
{
    std::size_t next = 0;
    const std::vector<Item> &items = m_jobs.at(jobId).items;
    for (std::size_t index = 0; index < items.size(); ++index) {
        const Item &item = items[index];
        if (item.state == ItemState::Open || item.state == ItemState::Leased)
            continue;
        if (next == lines.size())
            return "a result is missing";
        const wire::ResultLine &line = lines[next++];
        const bool failed = item.state == ItemState::Failed;
        const bool same = line.index == index && line.state == item.state && line.body == item.body
                          && (!failed || line.reason == item.reason);
        if (!same)
            return concat("wrong result of item ", index);
    }
    return next == lines.size() ? "" : "more results than finished items";
}

} // namespace rattanrill::batch
