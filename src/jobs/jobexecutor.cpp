#include "rattanrill/jobs/jobexecutor.h"

#include "itemrun.h"

#include "rattanrill/base/logger.h"
#include "rattanrill/wire/codec.h"

#include <algorithm>
#include <map>
#include <utility>

namespace rattanrill::jobs {
namespace {

/// Wait before a result that could not be stored is proposed again.
constexpr absl::Duration proposeAgain = absl::Milliseconds(200);

} // namespace

struct JobExecutor::Impl : std::enable_shared_from_this<JobExecutor::Impl>
{
    using Runs = std::map<std::string, std::shared_ptr<ItemRun>>;

    explicit Impl(const ExecutorContext &context)
        : context(context)
    {}

    void add(const wire::OpenJob &open)
    {
        if (jobs.count(open.job.id) != 0)
            return;
        const auto record = std::make_shared<const wire::JobRecord>(open.job);
        Runs &runs = jobs[record->id];
        for (const wire::JobItem &item : record->items) {
            const auto &finished = open.finished;
            if (std::find(finished.begin(), finished.end(), item.id) != finished.end())
                continue;
            runs[item.id] = std::make_shared<ItemRun>(
                    context, record, item,
                    [self = shared_from_this(), job = record->id,
                     current = generation](wire::ItemResult result) {
                        self->itemDone(current, job, std::move(result));
                    });
        }
        startRuns(Runs(runs));
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
        propose(current, wire::encode(wire::JobCommand{std::move(operation)}));
    }

    void propose(std::uint64_t current, const std::string &command)
    {
        context.replica.propose(
                command, [self = shared_from_this(), current,
                          command](const Outcome<std::string> &outcome) {
                    if (outcome.ok() || current != self->generation)
                        return;
                    log(LogLevel::Warning, "result-not-stored",
                        {{"code", name(outcome.failure().code)},
                         {"detail", outcome.failure().detail}});
                    self->context.loop.timers().subscribeOnce(
                            proposeAgain, [self, current, command] {
                                if (current == self->generation)
                                    self->propose(current, command);
                            });
                });
    }

    void end(const std::string &job)
    {
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
        const auto ended = std::exchange(jobs, {});
        for (const auto &[job, runs] : ended) {
            for (const auto &[item, run] : runs)
                run->stop();
        }
    }

    const ExecutorContext context;
    std::shared_ptr<const serving::DeploymentIndex> deployment;
    std::map<std::string, Runs> jobs;
    /// Raised when leadership ends, so that late callbacks are recognized.
    std::uint64_t generation = 0;
};

JobExecutor::JobExecutor(const ExecutorContext &context)
    : m_impl(std::make_shared<Impl>(context))
{}

JobExecutor::~JobExecutor()
{
    clear();
}

void JobExecutor::setDeployment(std::shared_ptr<const serving::DeploymentIndex> deployment)
{
    m_impl->deployment = std::move(deployment);
    const auto jobs = m_impl->jobs;
    for (const auto &[job, runs] : jobs)
        m_impl->startRuns(runs);
}

void JobExecutor::add(const wire::OpenJob &job)
{
    m_impl->add(job);
}

void JobExecutor::end(const std::string &job)
{
    m_impl->end(job);
}

void JobExecutor::clear()
{
    m_impl->clear();
}

std::size_t JobExecutor::openItems() const
{
    std::size_t count = 0;
    for (const auto &[job, runs] : m_impl->jobs)
        count += runs.size();
    return count;
}

} // namespace rattanrill::jobs
