#include "openjobreader.h"

#include "rattanrill/base/logger.h"
#include "rattanrill/wire/codec.h"
#include "rattanrill/wire/decodeoutcome.h"

#include <utility>

namespace rattanrill::jobs {
namespace {

/// Delay before a failed read is repeated.
constexpr absl::Duration retryDelay = absl::Milliseconds(100);
/// Delay before a new leader starts the items of open jobs. Items that the former leader started
/// may run at upstreams until its connections are closed. The delay leaves time for the upstreams
/// to report these items in their responses, so that the same slots are not granted twice.
constexpr absl::Duration takeOverDelay = absl::Milliseconds(600);

} // namespace

OpenJobReader::OpenJobReader(const JobExecutorContext &context, JobExecutor &executor)
    : m_context(context)
    , m_executor(executor)
{}

void OpenJobReader::start(std::function<void()> ready)
{
    stop();
    m_ready = std::move(ready);
    read({});
}

void OpenJobReader::stop()
{
    ++m_generation;
    m_ready = nullptr;
    m_requested.clear();
    m_incomplete.clear();
    m_isReading = false;
    m_hasTakenOver = false;
}

void OpenJobReader::request(const std::string &job)
{
    if (m_executor.contains(job))
        return;
    m_requested.insert(job);
    readRequested();
}

void OpenJobReader::requestMissingItems(const std::set<std::string> &jobs)
{
    m_incomplete.insert(jobs.begin(), jobs.end());
    readRequested();
}

void OpenJobReader::readRequested()
{
    if (m_isReading || !m_hasTakenOver)
        return;
    std::set<std::string> jobs = std::exchange(m_incomplete, {});
    for (const std::string &job : std::exchange(m_requested, {})) {
        if (!m_executor.contains(job))
            jobs.insert(job);
    }
    if (!jobs.empty())
        read(jobs);
}

void OpenJobReader::read(const std::set<std::string> &jobs)
{
    m_isReading = true;
    wire::ListOpenJobs query;
    query.jobs.assign(jobs.begin(), jobs.end());
    m_context.replica.readOnLeader(
            wire::encode(wire::JobQuery{query}),
            [self = shared_from_this(), jobs, generation = m_generation,
             startedAt = m_context.clock.now()](const Outcome<std::string> &outcome) {
                self->logRead(startedAt, jobs, outcome);
                if (generation == self->m_generation)
                    self->handleResponse(jobs, outcome);
            });
}

void OpenJobReader::handleResponse(const std::set<std::string> &jobs,
                                   const Outcome<std::string> &outcome)
{
    auto open = wire::decodeOutcome<wire::OpenJobs>(outcome);
    if (!open.ok())
        return callLater(retryDelay, [this, jobs] { read(jobs); });
    m_isReading = false;
    if (jobs.empty())
        return takeOver(std::move(open.value()));
    const std::int64_t added = addToExecutor(open.value());
    m_context.metrics.count("rattanrill_batch_items_recovered_total", {},
                            static_cast<std::uint64_t>(added));
    readRequested();
}

void OpenJobReader::takeOver(wire::OpenJobs open)
{
    if (!open.jobs.empty())
        log(LogLevel::Info, "open-jobs-taken-over",
            {{"jobs", static_cast<std::int64_t>(open.jobs.size())},
             {"term", m_context.replica.status().term}});
    callLater(takeOverDelay, [this, open = std::move(open)] {
        m_hasTakenOver = true;
        addToExecutor(open);
        readRequested();
    });
    if (m_ready)
        m_ready();
}

std::int64_t OpenJobReader::addToExecutor(const wire::OpenJobs &open)
{
    std::int64_t added = 0;
    for (const wire::OpenJob &job : open.jobs)
        added += m_executor.add(job);
    return added;
}

void OpenJobReader::logRead(absl::Time startedAt, const std::set<std::string> &jobs,
                            const Outcome<std::string> &outcome) const
{
    const std::string_view reason = jobs.empty() ? "leadership_gained" : "requested";
    m_context.metrics.count("rattanrill_open_job_reads_total", {{"reason", std::string(reason)}});
    log(outcome.ok() ? LogLevel::Info : LogLevel::Warning, "open-jobs-read",
        {{"reason", reason},
         {"jobs", static_cast<std::int64_t>(jobs.size())},
         {"code", outcome.ok() ? "ok" : name(outcome.failure().code)},
         {"bytes", outcome.ok() ? static_cast<std::int64_t>(outcome.value().size()) : 0},
         {"durationMs", absl::ToInt64Milliseconds(m_context.clock.now() - startedAt)}});
}

void OpenJobReader::callLater(absl::Duration delay, std::function<void()> task)
{
    m_context.loop.timers().subscribeOnce(
            delay, [self = shared_from_this(), generation = m_generation, task = std::move(task)] {
                if (generation == self->m_generation)
                    task();
            });
}

} // namespace rattanrill::jobs
