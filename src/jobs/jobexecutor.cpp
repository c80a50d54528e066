#include "rattanrill/jobs/jobexecutor.h"

#include "itemrun.h"

#include "rattanrill/base/enumnames.h"
#include "rattanrill/base/logger.h"
#include "rattanrill/wire/codec.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <utility>

namespace rattanrill::jobs {
namespace {

/// Delay before a result that could not be stored is proposed again.
constexpr absl::Duration proposeRetryDelay = absl::Milliseconds(200);
/// Interval at which the progress of running items is stored. When another replica takes over after
/// a failure, an item repeats at most the output of one interval. A shorter interval costs more
/// writes, each of which is synced to disk on a majority of the stores.
constexpr absl::Duration progressPeriod = absl::Milliseconds(500);

/// Interval at which items that wait for a slot check whether they still need what they requested:
/// upstreams, links and the time without progress change without a new configuration.
constexpr absl::Duration requestUpdatePeriod = absl::Seconds(1);

constexpr std::array<EnumName<ItemWait>, 6> itemWaitNames = {{
        {ItemWait::Configuration, "configuration"},
        {ItemWait::Slot, "slot"},
        {ItemWait::Response, "response"},
        {ItemWait::Backoff, "backoff"},
        {ItemWait::BlockEnd, "block_end"},
        {ItemWait::FailureStored, "failure_stored"},
}};

} // namespace

std::string_view name(ItemWait wait)
{
    return nameOf(itemWaitNames, wait);
}

struct JobExecutor::Impl : std::enable_shared_from_this<JobExecutor::Impl>
{
    using Runs = std::map<std::string, std::shared_ptr<ItemRun>>;

    explicit Impl(const JobExecutorContext &context)
        : context(context)
    {}

    std::int64_t add(const wire::OpenJob &openJob)
    {
        if (cancelledJobs.count(openJob.job.id) != 0)
            return 0;
        const auto record = std::make_shared<const wire::JobRecord>(openJob.job);
        const auto existing = jobs.find(record->id);
        Runs runs;
        for (const wire::JobItem &item : record->items) {
            const bool isContained = existing != jobs.end() && existing->second.count(item.id) != 0;
            if (isContained || hasResult(openJob, item.id))
                continue;
            runs[item.id] = std::make_shared<ItemRun>(
                    context, record, item,
                    [self = shared_from_this(), job = record->id,
                     expectedGeneration = leadershipGeneration](wire::JobItemResult result) {
                        self->handleItemResult(expectedGeneration, job, std::move(result));
                    },
                    [self = shared_from_this(), expectedGeneration = leadershipGeneration](
                            const wire::ItemFailures &failures) {
                        self->handleItemFailures(expectedGeneration, failures);
                    });
        }
        for (const wire::ItemProgress &progress : openJob.progress) {
            const auto run = runs.find(progress.item);
            if (run != runs.end())
                run->second->resume(progress);
        }
        for (const wire::ItemFailures &failures : openJob.failures) {
            const auto run = runs.find(failures.item);
            if (run != runs.end())
                run->second->resume(failures);
        }
        if (runs.empty())
            return 0;
        jobs[record->id].insert(runs.begin(), runs.end());
        startRuns(runs);
        startTimers();
        return static_cast<std::int64_t>(runs.size());
    }

    /// Returns true for an item whose result is stored or is about to be stored.
    bool hasResult(const wire::OpenJob &openJob, const std::string &item) const
    {
        const auto &finished = openJob.finished;
        if (std::find(finished.begin(), finished.end(), item) != finished.end())
            return true;
        const auto unstored = unstoredResults.find(openJob.job.id);
        return unstored != unstoredResults.end() && unstored->second.count(item) != 0;
    }

    void startTimers()
    {
        if (progressTimer == 0)
            progressTimer = context.loop.timers().subscribeEvery(
                    progressPeriod, [self = shared_from_this()] { self->storeProgress(); });
        if (requestTimer == 0)
            requestTimer = context.loop.timers().subscribeEvery(
                    requestUpdatePeriod, [self = shared_from_this()] { self->updateRequests(); });
    }

    /// A run may be granted a slot at once and end, so that it is removed from \a jobs.
    void updateRequests()
    {
        const auto currentJobs = jobs;
        for (const auto &[job, runs] : currentJobs) {
            for (const auto &[item, run] : runs)
                run->updateRequest();
        }
    }

    /// Stores the progress of all items with one command. If the command fails, the next one
    /// contains the same progress again.
    void storeProgress()
    {
        if (isStoringProgress || jobs.empty())
            return;
        wire::AppendProgress operation;
        for (const auto &[job, runs] : jobs) {
            for (const auto &[item, run] : runs) {
                if (auto progress = run->unstoredProgress())
                    operation.items.push_back(std::move(*progress));
            }
        }
        if (operation.items.empty())
            return;
        isStoringProgress = true;
        const std::string command = wire::encode(wire::JobCommand{operation});
        context.replica.propose(
                command,
                [self = shared_from_this(), expectedGeneration = leadershipGeneration,
                 progressItems = std::move(operation.items)](const Outcome<std::string> &outcome) {
                    self->isStoringProgress = false;
                    if (expectedGeneration == self->leadershipGeneration && outcome.ok())
                        self->handleProgressStored(progressItems);
                });
    }

    void handleProgressStored(const std::vector<wire::ItemProgress> &progressItems)
    {
        for (const wire::ItemProgress &progress : progressItems) {
            const auto job = jobs.find(progress.job);
            if (job == jobs.end())
                continue;
            const auto run = job->second.find(progress.item);
            if (run != job->second.end())
                run->second->markStored(progress.lastEvent);
        }
    }

    void handleItemFailures(std::uint64_t expectedGeneration, const wire::ItemFailures &failures)
    {
        if (expectedGeneration != leadershipGeneration)
            return;
        unstoredFailures.push_back(failures);
        storeFailures();
    }

    /// Stores all failures that are not stored yet with one command. Those that are added until it
    /// is committed are stored with the next one.
    void storeFailures()
    {
        if (isStoringFailures || unstoredFailures.empty())
            return;
        isStoringFailures = true;
        wire::AppendProgress operation;
        operation.failures = std::exchange(unstoredFailures, {});
        const std::string command = wire::encode(wire::JobCommand{operation});
        propose("failures-not-stored", command,
                [this, stored = std::move(operation.failures)] { handleFailuresStored(stored); });
    }

    void handleFailuresStored(const std::vector<wire::ItemFailures> &stored)
    {
        isStoringFailures = false;
        for (const wire::ItemFailures &failures : stored) {
            const auto job = jobs.find(failures.job);
            if (job == jobs.end())
                continue;
            const auto run = job->second.find(failures.item);
            if (run == job->second.end())
                continue;
            // The run may end at once and is then removed.
            const std::shared_ptr<ItemRun> current = run->second;
            current->markFailuresStored(failures.serverErrors);
        }
        storeFailures();
    }

    /// Starts \a runs, which must be a copy: a run may end immediately and is then removed from
    /// \a jobs.
    void startRuns(const Runs &runs)
    {
        if (!deployment)
            return;
        for (const auto &[item, run] : runs)
            run->setDeployment(deployment);
    }

    void handleItemResult(std::uint64_t expectedGeneration, const std::string &job,
                          wire::JobItemResult result)
    {
        if (expectedGeneration != leadershipGeneration)
            return;
        const auto found = jobs.find(job);
        if (found != jobs.end()) {
            found->second.erase(result.id);
            if (found->second.empty())
                jobs.erase(found);
        }
        unstoredResults[job].insert(result.id);
        const std::string item = result.id;
        wire::AppendResults operation;
        operation.job = job;
        operation.results.push_back(std::move(result));
        propose("result-not-stored", wire::encode(wire::JobCommand{std::move(operation)}),
                [this, job, item] { handleResultStored(job, item); });
    }

    /// Proposes \a command until it is committed or this replica no longer leads, and then calls
    /// \a stored. Each failure is logged as \a event.
    void propose(std::string_view event, const std::string &command,
                 const std::function<void()> &stored)
    {
        context.replica.propose(command, [self = shared_from_this(), event, command, stored,
                                          expectedGeneration = leadershipGeneration](
                                                 const Outcome<std::string> &outcome) {
            if (expectedGeneration != self->leadershipGeneration)
                return;
            // A job that was removed has no open items, and needs nothing more.
            if (outcome.ok() || outcome.failure().code == ErrorCode::NotFound)
                return stored();
            log(LogLevel::Warning, event,
                {{"code", name(outcome.failure().code)}, {"detail", outcome.failure().detail}});
            self->context.loop.timers().subscribeOnce(
                    proposeRetryDelay, [self, event, command, stored, expectedGeneration] {
                        if (expectedGeneration == self->leadershipGeneration)
                            self->propose(event, command, stored);
                    });
        });
    }

    void handleResultStored(const std::string &job, const std::string &item)
    {
        const auto unstored = unstoredResults.find(job);
        if (unstored != unstoredResults.end()) {
            unstored->second.erase(item);
            if (unstored->second.empty())
                unstoredResults.erase(unstored);
        }
        if (resultStoredListener)
            resultStoredListener(job);
    }

    void cancel(const std::string &job)
    {
        cancelledJobs.insert(job);
        const auto found = jobs.find(job);
        if (found == jobs.end())
            return;
        const Runs runs = std::move(found->second);
        jobs.erase(found);
        for (const auto &[item, run] : runs)
            run->stop();
    }

    void stopAll()
    {
        ++leadershipGeneration;
        cancelledJobs.clear();
        unstoredResults.clear();
        unstoredFailures.clear();
        isStoringFailures = false;
        for (TimerService::TimerId *timer : {&progressTimer, &requestTimer}) {
            if (*timer != 0)
                context.loop.timers().unsubscribe(std::exchange(*timer, 0));
        }
        const auto stoppedJobs = std::exchange(jobs, {});
        for (const auto &[job, runs] : stoppedJobs) {
            for (const auto &[item, run] : runs)
                run->stop();
        }
    }

    const JobExecutorContext context;
    std::shared_ptr<const serving::DeploymentIndex> deployment;
    std::map<std::string, Runs> jobs;
    /// Jobs that were cancelled since this replica gained leadership. A list of open jobs that was
    /// read before a cancellation still contains the job.
    std::set<std::string> cancelledJobs;
    /// Items whose results have been proposed but are not known to be stored, by job.
    std::map<std::string, std::set<std::string>> unstoredResults;
    /// Failures that the command in progress does not contain.
    std::vector<wire::ItemFailures> unstoredFailures;
    bool isStoringFailures = false;
    std::function<void(const std::string &)> resultStoredListener;
    /// Incremented by stopAll(), which runs whenever this replica gains or loses leadership;
    /// callbacks that were registered before are then ignored.
    std::uint64_t leadershipGeneration = 0;
    TimerService::TimerId progressTimer = 0;
    TimerService::TimerId requestTimer = 0;
    bool isStoringProgress = false;
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
    m_impl->resultStoredListener = std::move(listener);
}

std::int64_t JobExecutor::add(const wire::OpenJob &job)
{
    return m_impl->add(job);
}

void JobExecutor::addAccepted(const wire::JobRecord &job)
{
    m_impl->cancelledJobs.erase(job.id);
    m_impl->add(wire::OpenJob{job, {}, {}});
}

bool JobExecutor::contains(const std::string &job) const
{
    return m_impl->jobs.count(job) != 0 || m_impl->unstoredResults.count(job) != 0;
}

bool JobExecutor::runs(const std::string &job) const
{
    return m_impl->jobs.count(job) != 0;
}

std::map<std::string, std::int64_t> JobExecutor::itemCounts() const
{
    std::map<std::string, std::int64_t> counts;
    for (const auto &[job, runs] : m_impl->jobs)
        counts[job] += static_cast<std::int64_t>(runs.size());
    for (const auto &[job, items] : m_impl->unstoredResults)
        counts[job] += static_cast<std::int64_t>(items.size());
    return counts;
}

void JobExecutor::cancel(const std::string &job)
{
    m_impl->cancel(job);
}

void JobExecutor::stopAll()
{
    m_impl->stopAll();
}

std::size_t JobExecutor::openItemCount() const
{
    std::size_t count = 0;
    for (const auto &[job, runs] : m_impl->jobs)
        count += runs.size();
    return count;
}

OpenItemCounts JobExecutor::openItemCounts() const
{
    OpenItemCounts counts;
    for (const auto &[job, runs] : m_impl->jobs) {
        for (const auto &[item, run] : runs) {
            const ItemRun::State state = run->state();
            counts.running += state == ItemRun::State::Running ? 1 : 0;
            counts.backingOff += state == ItemRun::State::BackingOff ? 1 : 0;
            const bool isWaiting =
                    state == ItemRun::State::Waiting || state == ItemRun::State::Idle;
            counts.waiting += isWaiting ? 1 : 0;
            counts.held += run->isHeld() ? 1 : 0;
        }
    }
    return counts;
}

StalledItems JobExecutor::stalledItems(absl::Duration minStall, std::size_t maxDescribed) const
{
    std::vector<std::pair<absl::Duration, const ItemRun *>> stalled;
    for (const auto &[job, runs] : m_impl->jobs) {
        for (const auto &[item, run] : runs) {
            const absl::Duration stalledFor = run->stalledFor();
            if (stalledFor >= minStall)
                stalled.emplace_back(stalledFor, run.get());
        }
    }
    // Thousands of items wait when a surge exceeds the slots.
    const auto end =
            stalled.begin() + static_cast<std::ptrdiff_t>(std::min(maxDescribed, stalled.size()));
    std::partial_sort(stalled.begin(), end, stalled.end(),
                      [](const auto &left, const auto &right) { return left.first > right.first; });
    StalledItems result;
    result.count = static_cast<std::int64_t>(stalled.size());
    for (auto item = stalled.begin(); item != end; ++item)
        result.longest.push_back(item->second->stall());
    return result;
}

} // namespace rattanrill::jobs
