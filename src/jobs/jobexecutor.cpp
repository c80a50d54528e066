#include "rattanrill/jobs/jobexecutor.h"

#include "itemrun.h"

#include "rattanrill/base/logger.h"
#include "rattanrill/wire/codec.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace rattanrill::jobs {
namespace {

/// Wait before a result that could not be stored is proposed again.
constexpr absl::Duration proposeAgain = absl::Milliseconds(200);
/// How often the progress of running items is stored: what a lost executor repeats at most, against
/// a synced write on most stores.
constexpr absl::Duration progressPeriod = absl::Milliseconds(500);

} // namespace

struct JobExecutor::Impl : std::enable_shared_from_this<JobExecutor::Impl>
{
    using Runs = std::map<std::string, std::shared_ptr<ItemRun>>;

    explicit Impl(const JobExecutorContext &context)
        : context(context)
    {}

    void add(const wire::OpenJob &open)
    {
        if (jobs.count(open.job.id) != 0 || endedJobs.count(open.job.id) != 0)
            return;
        const auto record = std::make_shared<const wire::JobRecord>(open.job);
        Runs &runs = jobs[record->id];
        for (const wire::JobItem &item : record->items) {
            const auto &finished = open.finished;
            if (std::find(finished.begin(), finished.end(), item.id) != finished.end())
                continue;
            runs[item.id] =
                    std::make_shared<ItemRun>(context, record, item,
                                              [self = shared_from_this(), job = record->id,
                                               current = generation](wire::ItemResult result) {
                                                  self->itemDone(current, job, std::move(result));
                                              });
        }
        for (const wire::ItemProgress &step : open.progress) {
            const auto run = runs.find(step.item);
            if (run != runs.end())
                run->second->resume(step);
        }
        startRuns(Runs(runs));
        startStoring();
    }

    void startStoring()
    {
        if (progressTimer == 0)
            progressTimer = context.loop.timers().subscribeEvery(
                    progressPeriod, [self = shared_from_this()] { self->storeProgress(); });
    }

    /// One command for all items. Steps of a command that failed come again with the next one.
    void storeProgress()
    {
        if (isStoring || jobs.empty())
            return;
        wire::AppendProgress operation;
        for (const auto &[job, runs] : jobs) {
            for (const auto &[item, run] : runs) {
                if (auto step = run->unstored())
                    operation.items.push_back(std::move(*step));
            }
        }
        if (operation.items.empty())
            return;
        isStoring = true;
        const std::string command = wire::encode(wire::JobCommand{operation});
        context.replica.propose(
                command, [self = shared_from_this(), current = generation,
                          steps = std::move(operation.items)](const Outcome<std::string> &outcome) {
                    self->isStoring = false;
                    if (current == self->generation && outcome.ok())
                        self->progressStored(steps);
                });
    }

    void progressStored(const std::vector<wire::ItemProgress> &steps)
    {
        for (const wire::ItemProgress &step : steps) {
            const auto job = jobs.find(step.job);
            if (job == jobs.end())
                continue;
            const auto run = job->second.find(step.item);
            if (run != job->second.end())
                run->second->stored(step.lastEvent);
        }
    }

    /// A run may end at once and change the table.
    void startRuns(const Runs &runs)
    {
        if (!deployment)
            return;
        for (const auto &[item, run] : runs)
            run->setDeployment(deployment);
    }

    void itemDone(std::uint64_t current, const std::string &job, wire::ItemResult result)
    {
        if (current != generation)
            return;
        const auto found = jobs.find(job);
        if (found != jobs.end()) {
            found->second.erase(result.id);
            if (found->second.empty())
                jobs.erase(found);
        }
        wire::AppendResults operation;
        operation.job = job;
        operation.results.push_back(std::move(result));
        propose(current, job, wire::encode(wire::JobCommand{std::move(operation)}));
    }

    void propose(std::uint64_t current, const std::string &job, const std::string &command)
    {
        context.replica.propose(command, [self = shared_from_this(), current, job,
                                          command](const Outcome<std::string> &outcome) {
            if (current != self->generation)
                return;
            if (outcome.ok())
                return self->noteStored(job);
            log(LogLevel::Warning, "result-not-stored",
                {{"code", name(outcome.failure().code)}, {"detail", outcome.failure().detail}});
            self->context.loop.timers().subscribeOnce(proposeAgain, [self, current, job, command] {
                if (current == self->generation)
                    self->propose(current, job, command);
            });
        });
    }

    void noteStored(const std::string &job) const
    {
        if (storedListener)
            storedListener(job);
    }

    void end(const std::string &job)
    {
        endedJobs.insert(job);
        const auto found = jobs.find(job);
        if (found == jobs.end())
            return;
        const Runs runs = std::move(found->second);
        jobs.erase(found);
        for (const auto &[item, run] : runs)
            run->stop();
    }

    void clear()
    {
        ++generation;
        endedJobs.clear();
        if (progressTimer != 0)
            context.loop.timers().unsubscribe(std::exchange(progressTimer, 0));
        const auto ended = std::exchange(jobs, {});
        for (const auto &[job, runs] : ended) {
            for (const auto &[item, run] : runs)
                run->stop();
        }
    }

    const JobExecutorContext context;
    std::shared_ptr<const serving::DeploymentIndex> deployment;
    std::map<std::string, Runs> jobs;
    /// Jobs that were ended under this leadership; a list of open jobs may be older than an end.
    std::set<std::string> endedJobs;
    std::function<void(const std::string &)> storedListener;
    /// Raised when leadership ends, so that late callbacks are recognized.
    std::uint64_t generation = 0;
    TimerService::TimerId progressTimer = 0;
    bool isStoring = false;
};

JobExecutor::JobExecutor(const JobExecutorContext &context)
    : m_impl(std::make_shared<Impl>(context))
{}

JobExecutor::~JobExecutor()
{
    stopAll();
}

void JobExecutor::setDeployment(std::shared_ptr<const serving::DeploymentIndex> deployment)
{
    m_impl->deployment = std::move(deployment);
    const auto jobs = m_impl->jobs;
    for (const auto &[job, runs] : jobs)
        m_impl->startRuns(runs);
}

void JobExecutor::onResultStored(std::function<void(const std::string &job)> listener)
{
    m_impl->storedListener = std::move(listener);
}

void JobExecutor::add(const wire::OpenJob &job)
{
    m_impl->add(job);
}

void JobExecutor::cancel(const std::string &job)
{
    m_impl->end(job);
}

void JobExecutor::stopAll()
{
    m_impl->clear();
}

std::size_t JobExecutor::openItemCount() const
{
    std::size_t count = 0;
    for (const auto &[job, runs] : m_impl->jobs)
        count += runs.size();
    return count;
}

} // namespace rattanrill::jobs
