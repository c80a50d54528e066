#include "batchstatemachine.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/batch/statemachine.h"
#include "rattanrill/wire/codec.h"
#include "rattanrill/wire/envelope.h"

#include <algorithm>
#include <initializer_list>

namespace rattanrill::batch {
namespace {

using wire::BatchQueryResult;
using wire::BatchResult;
using wire::ItemState;

/// Limits on the members of commands; commands that exceed them fail with InvalidRequest.
/// maxLeasedItems applies to each LeaseItems command.
constexpr std::size_t maxNameBytes = 512;
constexpr std::size_t maxMetadataBytes = 64 * 1024;
constexpr std::int64_t maxLeasedItems = 10000;
constexpr std::int64_t maxLeaseMs = 3600 * 1000;
constexpr std::int64_t maxBackoffMs = 3600 * 1000;
constexpr std::int64_t maxRetentionMs = 366LL * 24 * 3600 * 1000;
/// Latest accepted time in milliseconds since the Unix epoch, after the year 4000. A later time can
/// only be the result of corrupt data. The limit also prevents an overflow when durations are
/// added.
constexpr std::int64_t maxTimeMs = 1LL << 46;
/// Maximum number of results that ReadResults returns in one response.
constexpr std::uint64_t maxResultLines = 10000;
/// Maximum number of jobs that ListJobs returns; older ones are left out. A few thousand jobs end
/// in a partition each day.
constexpr std::size_t maxListedJobs = 1000;
/// A higher HTTP status in a result is stored as this value.
constexpr std::int64_t maxHttpStatus = 999;

boost::leaf::error_id failNotRun(ErrorCode code, std::string detail)
{
    return fail(notRun(code, std::move(detail)));
}

struct NamedText
{
    std::string_view name;
    const std::string &value;
};

Result<void> validateNames(std::initializer_list<NamedText> names)
{
    for (const NamedText &text : names) {
        if (text.value.empty() || text.value.size() > maxNameBytes) {
            return failNotRun(
                    ErrorCode::InvalidRequest,
                    concat("\"", text.name, "\" must have 1 to ", maxNameBytes, " bytes"));
        }
    }
    return {};
}

Result<void> validateRange(std::string_view name, std::int64_t value, std::int64_t low,
                           std::int64_t high)
{
    if (value < low || value > high) {
        return failNotRun(ErrorCode::InvalidRequest,
                          concat("\"", name, "\" must be from ", low, " to ", high));
    }
    return {};
}

ErrorCode reasonCode(const std::string &reason)
{
    return errorCodeFromName(reason).value_or(ErrorCode::ItemFailed);
}

bool isVisibleTo(const std::string &owner, const std::string &workspace)
{
    return workspace.empty() || owner == workspace;
}

wire::ResultLine resultLine(const Job &job, const ItemFile &file, std::uint64_t index)
{
    const Job::Item &item = job.item(index);
    wire::ResultLine line;
    line.index = index;
    line.customId = std::string(file.item(index).customId);
    line.state = item.state();
    line.status = item.status;
    line.body = std::string(job.resultBody(item));
    if (item.state() == ItemState::Failed)
        line.reason = name(item.reason());
    if (item.state() == ItemState::Cancelled)
        line.reason = name(ErrorCode::JobCancelled);
    return line;
}

bool isFinal(ItemState state)
{
    return state != ItemState::Open && state != ItemState::Leased;
}

} // namespace

std::unique_ptr<replication::StateMachine> makeBatchStateMachine()
{
    return std::make_unique<BatchStateMachine>();
}

std::string resultFileId(std::string_view jobId)
{
    return concat("results-", jobId);
}

BatchStateMachine::BatchStateMachine()
    : m_state(std::make_unique<BatchState>())
{}

std::string BatchStateMachine::apply(std::uint64_t, std::string_view bytes)
{
    return wire::encodeCommandResult(outcomeOf([&]() -> ApplyResult {
        BOOST_LEAF_AUTO(command, wire::decode<wire::BatchCommand>(bytes));
        return applyCommand(command);
    }));
}

BatchStateMachine::ApplyResult BatchStateMachine::applyCommand(const wire::BatchCommand &command)
{
    BOOST_LEAF_CHECK(validateRange("now_ms", command.nowMs, 0, maxTimeMs));
    m_state->advance(command.nowMs);
    return std::visit([this](const auto &operation) { return execute(operation); },
                      command.operation);
}

std::string BatchStateMachine::query(std::string_view bytes) const
{
    return wire::encodeCommandResult(outcomeOf([&]() -> QueryResult {
        BOOST_LEAF_AUTO(message, wire::decode<wire::BatchQueryMessage>(bytes));
        return std::visit([this](const auto &query) { return evaluate(query); }, message.query);
    }));
}

std::string BatchStateMachine::snapshot() const
{
    return m_state->serialize();
}

Result<void> BatchStateMachine::restore(std::string_view snapshot)
{
    auto state = std::make_unique<BatchState>();
    BOOST_LEAF_CHECK(state->deserialize(snapshot));
    m_state = std::move(state);
    return {};
}

BatchStateMachine::ApplyResult BatchStateMachine::execute(const wire::AppendItems &operation)
{
    BOOST_LEAF_CHECK(
            validateNames({{"file_id", operation.fileId}, {"workspace", operation.workspace}}));
    ItemFile *file = m_state->file(operation.fileId);
    if (file != nullptr && file->workspace() != operation.workspace) {
        return failNotRun(ErrorCode::Conflict,
                          concat("file id \"", operation.fileId, "\" is used already"));
    }
    if (file == nullptr) {
        ItemFile created(operation.fileId, operation.workspace);
        BOOST_LEAF_CHECK(created.append(operation.firstIndex, operation.items));
        file = &m_state->addFile(std::move(created));
    } else {
        BOOST_LEAF_CHECK(file->append(operation.firstIndex, operation.items));
    }
    m_state->touchFile(*file);
    BatchResult result;
    result.file = file->status();
    return result;
}

BatchStateMachine::ApplyResult BatchStateMachine::execute(const wire::SealFile &operation)
{
    ItemFile *file = m_state->file(operation.fileId);
    if (file == nullptr || file->workspace() != operation.workspace)
        return failNotRun(ErrorCode::NotFound, concat("no file \"", operation.fileId, "\""));
    BOOST_LEAF_CHECK(file->seal(operation.itemCount, operation.bytes));
    m_state->touchFile(*file);
    BatchResult result;
    result.file = file->status();
    return result;
}

BatchStateMachine::ApplyResult BatchStateMachine::execute(const wire::DropFile &operation)
{
    const ItemFile *file = m_state->file(operation.fileId);
    if (file == nullptr)
        return BatchResult();
    if (file->isSealed()) {
        return failNotRun(ErrorCode::Conflict, concat("file \"", operation.fileId, "\" is sealed"));
    }
    m_state->removeFile(operation.fileId);
    return BatchResult();
}

Result<void> BatchStateMachine::checkFileForJob(const wire::CreateJob &operation) const
{
    const ItemFile *file = std::as_const(*m_state).file(operation.fileId);
    if (file == nullptr || file->workspace() != operation.workspace)
        return failNotRun(ErrorCode::NotFound, concat("no file \"", operation.fileId, "\""));
    if (!file->isSealed()) {
        return failNotRun(ErrorCode::InvalidRequest,
                          concat("file \"", operation.fileId, "\" is not sealed"));
    }
    return {};
}

/// Returns the job that was already created with the idempotency key or the job id of the
/// operation, or null if there is none. Fails with Conflict if that job has another file, workspace
/// or idempotency key.
Result<Job *> BatchStateMachine::existingJob(const wire::CreateJob &operation)
{
    Job *job = nullptr;
    if (!operation.idempotencyKey.empty())
        job = m_state->jobByKey(operation.workspace, operation.idempotencyKey);
    if (job != nullptr && job->fileId() != operation.fileId) {
        return failNotRun(ErrorCode::Conflict,
                          concat("idempotency key \"", operation.idempotencyKey,
                                 "\" already identifies a job of file \"", job->fileId(), "\""));
    }
    if (job != nullptr)
        return job;
    job = m_state->job(operation.jobId);
    const bool same =
            job == nullptr
            || (job->workspace() == operation.workspace && job->fileId() == operation.fileId
                && job->idempotencyKey() == operation.idempotencyKey);
    if (!same) {
        return failNotRun(ErrorCode::Conflict,
                          concat("job id \"", operation.jobId, "\" is used already"));
    }
    return job;
}

BatchStateMachine::ApplyResult BatchStateMachine::execute(const wire::CreateJob &operation)
{
    BOOST_LEAF_CHECK(validateNames({{"job_id", operation.jobId},
                                    {"file_id", operation.fileId},
                                    {"workspace", operation.workspace}}));
    BOOST_LEAF_CHECK(validateRange("due_at_ms", operation.dueAtMs, 0, maxTimeMs));
    BOOST_LEAF_CHECK(validateRange("retention_ms", operation.retentionMs, 0, maxRetentionMs));
    const bool fits = operation.metadata.size() <= maxMetadataBytes
                      && operation.idempotencyKey.size() <= maxNameBytes;
    if (!fits)
        return failNotRun(ErrorCode::InvalidRequest, "metadata or idempotency key is too long");
    BOOST_LEAF_AUTO(job, existingJob(operation));
    if (job == nullptr) {
        BOOST_LEAF_CHECK(checkFileForJob(operation));
        job = &m_state->addJob(operation);
    }
    BatchResult result;
    result.job = job->status();
    return result;
}

BatchStateMachine::ApplyResult BatchStateMachine::execute(const wire::CancelJob &operation)
{
    BOOST_LEAF_CHECK(findJob(operation.jobId, operation.workspace));
    Job &job = *m_state->job(operation.jobId);
    const wire::JobState state = job.status().state;
    if (state == wire::JobState::Completed) {
        return failNotRun(ErrorCode::JobFinished,
                          concat("job \"", operation.jobId, "\" is completed"));
    }
    if (state == wire::JobState::InProgress)
        m_state->cancelJob(job);
    BatchResult result;
    result.job = job.status();
    return result;
}

BatchStateMachine::ApplyResult BatchStateMachine::execute(const wire::LeaseItems &operation)
{
    BOOST_LEAF_CHECK(validateNames({{"holder", operation.holder}}));
    BOOST_LEAF_CHECK(validateRange("lease_ms", operation.leaseMs, 1, maxLeaseMs));
    BOOST_LEAF_CHECK(validateRange("max_items", operation.maxItems, 0, maxLeasedItems));
    BatchResult result;
    std::size_t bytes = 0;
    const auto limit = static_cast<std::size_t>(operation.maxItems);
    while (result.leased.size() < limit && bytes < maxResponseBytes
           && m_state->nextJob() != nullptr) {
        result.leased.push_back(leaseNext(operation));
        bytes += result.leased.back().spec.body.size();
    }
    return result;
}

wire::LeasedItem BatchStateMachine::leaseNext(const wire::LeaseItems &operation)
{
    const Job &job = *m_state->nextJob();
    const auto [lease, index] = m_state->leaseNext(operation.holder, operation.leaseMs);
    const ItemFile::Item spec = m_state->file(job.fileId())->item(index);
    wire::LeasedItem leased;
    leased.item = {job.jobId(), index, lease};
    leased.workspace = job.workspace();
    leased.spec = {std::string(spec.customId), std::string(spec.url), std::string(spec.body)};
    leased.dueAtMs = job.dueAtMs();
    leased.failedTries = job.item(index).failedAttempts;
    return leased;
}

BatchStateMachine::ApplyResult BatchStateMachine::execute(const wire::RenewLeases &operation)
{
    BOOST_LEAF_CHECK(validateRange("lease_ms", operation.leaseMs, 1, maxLeaseMs));
    BatchResult result;
    for (const wire::ItemRef &item : operation.items) {
        const Lease *lease = m_state->lease(item);
        if (lease == nullptr || lease->holder != operation.holder) {
            result.lost.push_back(item);
        } else if (m_state->jobOf(*lease).isCancelling()) {
            result.lost.push_back(item);
            m_state->releaseItem(item.lease, 0);
        } else {
            m_state->renew(item.lease, operation.leaseMs);
        }
    }
    return result;
}

BatchStateMachine::ApplyResult BatchStateMachine::execute(const wire::ReleaseItems &operation)
{
    BOOST_LEAF_CHECK(validateRange("backoff_ms", operation.backoffMs, 0, maxBackoffMs));
    BatchResult result;
    for (const wire::ItemRef &item : operation.items) {
        if (m_state->lease(item) == nullptr) {
            ++result.dropped;
            continue;
        }
        release(item.lease, operation);
        ++result.accepted;
    }
    return result;
}

void BatchStateMachine::release(LeaseTable::Number number, const wire::ReleaseItems &operation)
{
    const Lease &lease = *m_state->leaseByNumber(number);
    Job &job = m_state->jobOf(lease);
    const bool countsAsFailed = operation.failedTry && !job.isCancelling();
    if (countsAsFailed)
        job.countFailedAttempt(lease.index);
    if (countsAsFailed && job.item(lease.index).failedAttempts >= maxFailedAttempts)
        m_state->finish(number, ItemState::Failed, {0, {}, reasonCode(operation.reason)});
    else
        m_state->releaseItem(number, operation.backoffMs);
}

BatchStateMachine::ApplyResult BatchStateMachine::execute(const wire::CompleteItems &operation)
{
    BatchResult response;
    for (const wire::ItemResult &result : operation.results) {
        if (m_state->lease(result.item) == nullptr) {
            ++response.dropped;
            continue;
        }
        complete(result);
        ++response.accepted;
    }
    return response;
}

void BatchStateMachine::complete(const wire::ItemResult &result)
{
    const ItemState state = result.failed ? ItemState::Failed : ItemState::Completed;
    const std::int64_t status = std::clamp<std::int64_t>(result.status, 0, maxHttpStatus);
    m_state->finish(result.item.lease, state, {status, result.body, reasonCode(result.reason)});
}

BatchStateMachine::ApplyResult BatchStateMachine::execute(const wire::ClaimRequest &operation)
{
    BOOST_LEAF_CHECK(validateNames({{"workspace", operation.workspace},
                                    {"idempotency_key", operation.idempotencyKey},
                                    {"request_hash", operation.requestHash},
                                    {"holder", operation.holder}}));
    BOOST_LEAF_CHECK(validateRange("keep_ms", operation.keepMs, 1, maxRetentionMs));
    BatchResult result;
    BOOST_LEAF_ASSIGN(result.claim, m_state->claims().claim(operation, m_state->nowMs()));
    return result;
}

BatchStateMachine::ApplyResult BatchStateMachine::execute(const wire::FinishClaim &operation)
{
    BatchResult result;
    BOOST_LEAF_ASSIGN(result.claim, m_state->claims().finish(operation, m_state->nowMs()));
    return result;
}

BatchStateMachine::ApplyResult BatchStateMachine::execute(const wire::AbandonClaim &operation)
{
    BOOST_LEAF_CHECK(m_state->claims().abandon(operation, m_state->nowMs()));
    return BatchResult();
}

BatchStateMachine::ApplyResult BatchStateMachine::execute(const wire::AdvanceTime &)
{
    return BatchResult();
}

Result<const Job *> BatchStateMachine::findJob(const std::string &jobId,
                                               const std::string &workspace) const
{
    const Job *job = std::as_const(*m_state).job(jobId);
    if (job == nullptr || !isVisibleTo(job->workspace(), workspace))
        return failNotRun(ErrorCode::NotFound, concat("no job \"", jobId, "\""));
    return job;
}

BatchStateMachine::QueryResult BatchStateMachine::evaluate(const wire::ReadJob &query) const
{
    BatchQueryResult result;
    BOOST_LEAF_AUTO(job, findJob(query.jobId, query.workspace));
    result.job = job->status();
    return result;
}

BatchStateMachine::QueryResult BatchStateMachine::evaluate(const wire::ReadFile &query) const
{
    const ItemFile *file = std::as_const(*m_state).file(query.fileId);
    if (file == nullptr || !isVisibleTo(file->workspace(), query.workspace))
        return failNotRun(ErrorCode::NotFound, concat("no file \"", query.fileId, "\""));
    BatchQueryResult result;
    result.file = file->status();
    return result;
}

BatchStateMachine::QueryResult BatchStateMachine::evaluate(const wire::ReadResults &query) const
{
    BOOST_LEAF_AUTO(job, findJob(query.jobId, query.workspace));
    if (job->isExpired()) {
        return failNotRun(ErrorCode::ResultExpired,
                          concat("results of job \"", query.jobId, "\" were removed"));
    }
    const ItemFile &file = *std::as_const(*m_state).file(job->fileId());
    const std::uint64_t limit = std::min(query.maxItems, maxResultLines);
    BatchQueryResult result;
    result.job = job->status();
    std::size_t bytes = 0;
    std::uint64_t index = query.firstIndex;
    for (; index < job->itemCount(); ++index) {
        if (!isFinal(job->item(index).state()))
            continue;
        if (result.results.size() >= limit || bytes >= maxResponseBytes)
            break;
        result.results.push_back(resultLine(*job, file, index));
        bytes += result.results.back().body.size();
    }
    result.nextIndex = std::min<std::uint64_t>(index, job->itemCount());
    return result;
}

BatchStateMachine::QueryResult BatchStateMachine::evaluate(const wire::ListJobs &query) const
{
    BatchQueryResult result;
    const auto &jobs = m_state->jobs();
    for (auto job = jobs.rbegin(); job != jobs.rend() && result.jobs.size() < maxListedJobs;
         ++job) {
        if (isVisibleTo(job->second.workspace(), query.workspace))
            result.jobs.push_back(job->second.status());
    }
    std::reverse(result.jobs.begin(), result.jobs.end());
    return result;
}

} // namespace rattanrill::batch
