#include "jobstatemachine.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/freememory.h"
#include "rattanrill/jobs/statemachine.h"
#include "rattanrill/wire/codec.h"

#include <algorithm>
#include <utility>

namespace rattanrill::jobs {
namespace {

/// Maximum total output of the results in one response, in bytes. A larger result is returned in a
/// response of its own.
constexpr std::size_t maxReadBytes = 1000000;

Failure jobNotFound(const std::string &job)
{
    return notRun(ErrorCode::NotFound, concat("the workspace has no job \"", job, "\""));
}

} // namespace

std::unique_ptr<replication::StateMachine> makeJobStateMachine()
{
    return std::make_unique<JobStateMachine>();
}

std::string JobStateMachine::apply(std::uint64_t, std::string_view command)
{
    return wire::encodeCommandResult(outcomeOf([&]() -> Result<wire::JobCommandResult> {
        BOOST_LEAF_AUTO(decoded, wire::decode<wire::JobCommand>(command));
        return std::visit([this](const auto &operation) { return perform(operation); },
                          decoded.operation);
    }));
}

Result<wire::JobCommandResult> JobStateMachine::perform(const wire::AcceptJob &operation)
{
    const wire::JobRecord &record = operation.job;
    wire::JobCommandResult result;
    std::int64_t &waiting = m_waitingTokens[{record.workspace, record.route}];
    result.waitingTokens = waiting;
    const auto existing = m_jobs.find(record.id);
    if (existing != m_jobs.end()) {
        if (existing->second.record.workspace != record.workspace)
            return fail(notRun(ErrorCode::Conflict,
                               concat("job \"", record.id, "\" belongs to another workspace")));
        return result;
    }
    Job job;
    job.record = record;
    const std::int64_t tokens = unfinishedTokens(job);
    result.overLimit =
            operation.maxWaitingTokens > 0 && waiting + tokens > operation.maxWaitingTokens;
    if (result.overLimit)
        return result;
    waiting += tokens;
    result.isNew = true;
    result.waitingTokens = waiting;
    m_jobs.emplace(record.id, std::move(job));
    return result;
}

Result<wire::JobCommandResult> JobStateMachine::perform(const wire::AppendResults &operation)
{
    const auto found = m_jobs.find(operation.job);
    if (found == m_jobs.end())
        return fail(jobNotFound(operation.job));
    Job &job = found->second;
    const auto &items = job.record.items;
    addWaitingTokens(job, -1);
    for (const wire::JobItemResult &result : operation.results) {
        const bool isItem = std::any_of(items.begin(), items.end(), [&](const wire::JobItem &item) {
            return item.id == result.id;
        });
        if (isItem && job.finished.insert(result.id).second)
            job.results.push_back(result);
        job.progress.erase(result.id);
        job.serverErrors.erase(result.id);
    }
    addWaitingTokens(job, 1);
    freeRequests(job);
    return wire::JobCommandResult();
}

/// Frees the bodies and headers of the items that are not sent any more.
void JobStateMachine::freeRequests(Job &job)
{
    for (wire::JobItem &item : job.record.items) {
        if (!job.isOpenItem(item.id)) {
            freeMemory(item.body);
            decltype(item.headers)().swap(item.headers);
        }
    }
}

Result<wire::JobCommandResult> JobStateMachine::perform(const wire::AppendProgress &operation)
{
    for (const wire::ItemProgress &progress : operation.items) {
        const auto found = m_jobs.find(progress.job);
        if (found == m_jobs.end() || found->second.finished.count(progress.item) != 0)
            continue;
        wire::ItemProgress &stored = found->second.progress[progress.item];
        if (stored.lastEvent != progress.after || progress.lastEvent <= progress.after)
            continue;
        if (stored.lastEvent >= 0)
            stored.output += '\n';
        stored.output += progress.output;
        stored.lastEvent = progress.lastEvent;
        stored.servedMs = progress.servedMs;
        stored.version = progress.version;
        stored.job = progress.job;
        stored.item = progress.item;
    }
    for (const wire::ItemFailures &failures : operation.failures)
        recordFailures(failures);
    return wire::JobCommandResult();
}

void JobStateMachine::recordFailures(const wire::ItemFailures &failures)
{
    const auto found = m_jobs.find(failures.job);
    if (found == m_jobs.end())
        return;
    Job &job = found->second;
    if (job.ended || job.finished.count(failures.item) != 0)
        return;
    std::int64_t &stored = job.serverErrors[failures.item];
    stored = std::max(stored, failures.serverErrors);
}

Result<wire::JobCommandResult> JobStateMachine::perform(const wire::EndJob &operation)
{
    BOOST_LEAF_CHECK(find(operation.workspace, operation.job));
    Job &job = m_jobs.at(operation.job);
    addWaitingTokens(job, -1);
    job.ended = true;
    job.progress.clear();
    job.serverErrors.clear();
    freeRequests(job);
    return wire::JobCommandResult();
}

Result<wire::JobCommandResult> JobStateMachine::perform(const wire::PurgeJobs &operation)
{
    for (auto entry = m_jobs.begin(); entry != m_jobs.end();) {
        const Job &job = entry->second;
        const bool isExpired = job.record.acceptedAtMs < operation.beforeMs && !job.isOpen();
        entry = isExpired ? m_jobs.erase(entry) : std::next(entry);
    }
    return wire::JobCommandResult();
}

std::vector<wire::ItemProgress> JobStateMachine::progressOf(const Job &job)
{
    std::vector<wire::ItemProgress> items;
    for (const auto &[item, progress] : job.progress) {
        if (progress.lastEvent >= 0)
            items.push_back(progress);
    }
    return items;
}

std::vector<wire::ItemFailures> JobStateMachine::failuresOf(const Job &job)
{
    std::vector<wire::ItemFailures> items;
    for (const auto &[item, serverErrors] : job.serverErrors)
        items.push_back({job.record.id, item, serverErrors});
    return items;
}

std::int64_t JobStateMachine::unfinishedTokens(const Job &job)
{
    std::int64_t tokens = 0;
    for (const wire::JobItem &item : job.record.items) {
        if (job.finished.count(item.id) == 0)
            tokens += item.tokens;
    }
    return tokens;
}

void JobStateMachine::addWaitingTokens(const Job &job, int sign)
{
    if (!job.ended)
        m_waitingTokens[{job.record.workspace, job.record.route}] += sign * unfinishedTokens(job);
}

Result<const JobStateMachine::Job *> JobStateMachine::find(const std::string &workspace,
                                                           const std::string &job) const
{
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end() || found->second.record.workspace != workspace)
        return fail(jobNotFound(job));
    return &found->second;
}

std::string JobStateMachine::query(std::string_view query) const
{
    const auto decoded = outcomeOf([&] { return wire::decode<wire::JobQuery>(query); });
    if (!decoded.ok())
        return wire::encodeCommandResult(Outcome<wire::OpenJobs>(decoded.failure()));
    return std::visit([this](const auto &request) { return evaluate(request); },
                      decoded.value().query);
}

std::string JobStateMachine::evaluate(const wire::ReadJobRequest &query) const
{
    return wire::encodeCommandResult(outcomeOf([&]() -> Result<wire::ReadJobResponse> {
        BOOST_LEAF_AUTO(job, find(query.workspace, query.job));
        wire::ReadJobResponse response;
        response.total = static_cast<std::int64_t>(job->record.items.size());
        const auto size = static_cast<std::int64_t>(job->results.size());
        std::size_t bytes = 0;
        std::int64_t position = std::clamp<std::int64_t>(query.after, 0, size);
        while (position < size && bytes < maxReadBytes) {
            const wire::JobItemResult &result = job->results[static_cast<std::size_t>(position)];
            bytes += result.output.size();
            if (bytes > maxReadBytes && !response.results.empty())
                break;
            response.results.push_back(result);
            ++position;
        }
        response.next = std::max(query.after, std::int64_t(0))
                        + static_cast<std::int64_t>(response.results.size());
        return response;
    }));
}

std::string JobStateMachine::evaluate(const wire::ReadItemRequest &query) const
{
    return wire::encodeCommandResult(outcomeOf([&]() -> Result<wire::ReadItemResponse> {
        BOOST_LEAF_AUTO(job, find(query.workspace, query.job));
        for (const wire::JobItem &item : job->record.items) {
            if (item.id != query.item)
                continue;
            if (!job->isOpenItem(item.id))
                return fail(notRun(
                        ErrorCode::NotFound,
                        concat("item \"", query.item, "\" has a result, or its job was ended")));
            return wire::ReadItemResponse{item.body};
        }
        return fail(notRun(ErrorCode::NotFound,
                           concat("job \"", query.job, "\" has no item \"", query.item, "\"")));
    }));
}

std::string JobStateMachine::evaluate(const wire::ListOpenJobs &query) const
{
    wire::OpenJobs open;
    const auto append = [&open](const Job &job) {
        if (job.isOpen())
            open.jobs.push_back({job.record,
                                 {job.finished.begin(), job.finished.end()},
                                 progressOf(job),
                                 failuresOf(job)});
    };
    for (const std::string &id : query.jobs) {
        const auto found = m_jobs.find(id);
        if (found != m_jobs.end())
            append(found->second);
    }
    if (query.jobs.empty()) {
        for (const auto &[id, job] : m_jobs)
            append(job);
    }
    return wire::encodeCommandResult(Outcome<wire::OpenJobs>(std::move(open)));
}

std::string JobStateMachine::evaluate(const wire::CountUnfinishedItems &) const
{
    wire::UnfinishedItemCounts counts;
    for (const auto &[id, job] : m_jobs) {
        if (job.isOpen())
            counts.jobs.push_back(
                    {id, static_cast<std::int64_t>(job.record.items.size() - job.results.size())});
    }
    return wire::encodeCommandResult(Outcome<wire::UnfinishedItemCounts>(std::move(counts)));
}

std::string JobStateMachine::snapshot() const
{
    wire::StoredJobsEncoder encoder(m_jobs.size());
    for (const auto &[id, job] : m_jobs)
        encoder.add({job.record, job.results, progressOf(job), job.ended, failuresOf(job)});
    return encoder.take();
}

Result<void> JobStateMachine::restore(std::string_view snapshot)
{
    m_jobs.clear();
    m_waitingTokens.clear();
    const auto decoded = outcomeOf([&] {
        return wire::decodeStoredJobs(
                snapshot, [this](wire::StoredJob stored) { restoreJob(std::move(stored)); });
    });
    if (!decoded.ok())
        return fail(notRun(ErrorCode::CorruptData, decoded.failure().detail));
    return {};
}

void JobStateMachine::restoreJob(wire::StoredJob stored)
{
    Job job;
    job.record = std::move(stored.job);
    job.results = std::move(stored.results);
    job.ended = stored.ended;
    for (wire::ItemProgress &progress : stored.progress)
        job.progress[progress.item] = std::move(progress);
    for (const wire::ItemFailures &failures : stored.failures)
        job.serverErrors[failures.item] = failures.serverErrors;
    for (const wire::JobItemResult &result : job.results)
        job.finished.insert(result.id);
    addWaitingTokens(job, 1);
    // A snapshot of an earlier version contains them.
    freeRequests(job);
    m_jobs.emplace(job.record.id, std::move(job));
}

} // namespace rattanrill::jobs
