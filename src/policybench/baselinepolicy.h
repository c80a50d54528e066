#pragma once

#include "benchpolicy.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace rattanrill::policy::bench {

/// Parameters in which the baselines differ.
struct BaselineRules
{
    /// Selects the engines in turn instead of the one with the least reported load.
    bool roundRobin = false;
    /// Share of an engine's slots up to which batch tasks are started.
    double batchFillLimit = 0.9;
};

/// Simple policy that Scheduler is compared with. It has no preemption, no fairness and no
/// quarantine, and doesn't add the tasks that it has started since the last report to the reported
/// load. Online tasks start at once; batch tasks fill the slots that the last report shows as free.
class BaselinePolicy : public BenchPolicy
{
public:
    explicit BaselinePolicy(BaselineRules rules);

    void setEngines(absl::Time now, const std::vector<EngineInfo> &engines) override;
    void setEntries(const std::string &self, const std::vector<std::string> &all) override;
    void setWorkspaces(const std::vector<WorkspaceWeights> & /*workspaces*/) override {}
    void setClockOffset(absl::Duration /*offset*/) override {}
    void applyCrashRecord(absl::Time /*now*/, const std::string & /*fingerprint*/,
                          const std::vector<std::string> & /*crashed*/) override
    {}
    void loadReported(absl::Time now, const std::string &engine, const EngineLoad &load) override;
    void cacheEvent(absl::Time /*now*/, const std::string & /*engine*/,
                    const CacheEvent & /*event*/) override
    {}
    void arrived(absl::Time now, const Task &task) override;
    void firstToken(absl::Time /*now*/, TaskId /*task*/, int /*attempt*/) override {}
    void progress(absl::Time now, TaskId task, int attempt, std::int64_t tokens) override;
    void finished(absl::Time now, TaskId task, int attempt, std::int64_t tokens) override;
    void failed(absl::Time now, TaskId task, int attempt, const AttemptFailure &failure) override;
    void preempted(absl::Time now, TaskId task, int attempt, std::int64_t tokens,
                   const std::string &kvHandle) override;
    std::vector<SchedulerDecision> decide(absl::Time now) override;
    absl::Time nextDecision() const override { return absl::InfiniteFuture(); }
    std::size_t batchCapacity(absl::Time now) const override;

private:
    struct Engine
    {
        std::string name;
        EngineLoad load;
        /// The engine failed recently and is not selected before this time.
        absl::Time avoidUntil = absl::InfinitePast();
        /// Batch tasks that this entry may still start, based on the last load report.
        std::int64_t freeSlots = 0;
    };
    struct TaskState
    {
        Task task;
        int attempt = 0;
        std::int64_t delivered = 0;
        std::string engine;
    };

    Engine *choose(absl::Time now);
    void start(TaskState &state, const Engine &engine);

    BaselineRules m_rules;
    std::size_t m_entries = 1;
    std::size_t m_next = 0;
    std::vector<Engine> m_engines;
    std::unordered_map<TaskId, TaskState> m_tasks;
    std::deque<TaskId> m_online;
    std::deque<TaskId> m_batch;
    std::vector<SchedulerDecision> m_decisions;
};

} // namespace rattanrill::policy::bench
