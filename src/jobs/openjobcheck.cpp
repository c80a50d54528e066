#include "openjobcheck.h"

#include "rattanrill/base/logger.h"
#include "rattanrill/wire/codec.h"
#include "rattanrill/wire/decodeoutcome.h"

#include <algorithm>
#include <set>
#include <utility>

namespace rattanrill::jobs {
namespace {

constexpr absl::Duration checkPeriod = absl::Seconds(1);

std::int64_t countOf(const std::map<std::string, std::int64_t> &counts, const std::string &job)
{
    const auto found = counts.find(job);
    return found == counts.end() ? 0 : found->second;
}

} // namespace

OpenJobCheck::OpenJobCheck(const JobExecutorContext &context, JobExecutor &executor,
                           std::shared_ptr<OpenJobReader> reader)
    : m_context(context)
    , m_executor(executor)
    , m_reader(std::move(reader))
{}

void OpenJobCheck::start()
{
    stop();
    m_timer = m_context.loop.timers().subscribeEvery(
            checkPeriod, [self = shared_from_this()] { self->check(); });
}

void OpenJobCheck::stop()
{
    ++m_generation;
    m_isPending = false;
    if (m_timer != 0)
        m_context.loop.timers().unsubscribe(std::exchange(m_timer, 0));
}

void OpenJobCheck::check()
{
    if (m_isPending || !m_reader->hasTakenOver())
        return;
    m_isPending = true;
    m_context.replica.readOnLeader(
            wire::encode(wire::JobQuery{wire::CountUnfinishedItems()}),
            [self = shared_from_this(), generation = m_generation,
             countsBefore = m_executor.itemCounts()](const Outcome<std::string> &outcome) {
                if (generation != self->m_generation)
                    return;
                self->m_isPending = false;
                const auto open = wire::decodeOutcome<wire::UnfinishedItemCounts>(outcome);
                if (open.ok())
                    self->compare(countsBefore, open.value());
            });
}

void OpenJobCheck::compare(const ItemCounts &countsBefore, const wire::UnfinishedItemCounts &open)
{
    addMissing(countsBefore, open);
    stopClosed(countsBefore, open);
}

/// The executor lacks items of a job only if it had too few both before and after the query:
/// results are stored, and jobs are accepted, in between.
void OpenJobCheck::addMissing(const ItemCounts &countsBefore,
                              const wire::UnfinishedItemCounts &open)
{
    const ItemCounts countsAfter = m_executor.itemCounts();
    std::set<std::string> jobs;
    std::int64_t missing = 0;
    for (const wire::UnfinishedItemCount &job : open.jobs) {
        const std::int64_t known =
                std::max(countOf(countsBefore, job.job), countOf(countsAfter, job.job));
        if (known >= job.items)
            continue;
        jobs.insert(job.job);
        missing += job.items - known;
    }
    if (jobs.empty())
        return;
    log(LogLevel::Warning, "open-items-missing",
        {{"jobs", static_cast<std::int64_t>(jobs.size())},
         {"items", missing},
         {"job", *jobs.begin()},
         {"term", m_context.replica.status().term},
         {"instance", m_context.instance}});
    m_reader->requestMissingItems(jobs);
}

/// A job that the executor had when the query was sent is in the group's state then, so it is no
/// longer open if the response lacks it.
void OpenJobCheck::stopClosed(const ItemCounts &countsBefore,
                              const wire::UnfinishedItemCounts &open)
{
    std::set<std::string> openJobs;
    for (const wire::UnfinishedItemCount &job : open.jobs)
        openJobs.insert(job.job);
    for (const auto &[job, items] : countsBefore) {
        if (openJobs.count(job) != 0 || !m_executor.runs(job))
            continue;
        log(LogLevel::Warning, "closed-job-stopped",
            {{"job", job}, {"items", items}, {"instance", m_context.instance}});
        m_executor.cancel(job);
    }
}

} // namespace rattanrill::jobs
