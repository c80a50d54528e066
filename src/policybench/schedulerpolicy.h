#pragma once

#include "benchpolicy.h"

namespace rattanrill::policy::bench {

/// Runs the Scheduler of the serving system.
class SchedulerPolicy : public BenchPolicy
{
public:
    SchedulerPolicy(const SchedulerSettings &settings, std::uint64_t seed)
        : m_scheduler(settings, seed)
    {}

    void setEngines(absl::Time now, const std::vector<EngineInfo> &engines) override
    {
        m_scheduler.setEngines(now, engines);
    }
    void setEntries(const std::string &self, const std::vector<std::string> &all) override
    {
        m_scheduler.setEntries(self, all);
    }
    void setWorkspaces(const std::vector<WorkspaceWeights> &workspaces) override
    {
        m_scheduler.setWorkspaces(workspaces);
    }
    void setClockOffset(absl::Duration offset) override { m_scheduler.setClockOffset(offset); }
    void applyCrashRecord(absl::Time now, const std::string &fingerprint,
                          const std::vector<std::string> &crashed) override
    {
        m_scheduler.applyCrashRecord(now, fingerprint, crashed, crashed.size() >= 2);
    }
    void loadReported(absl::Time now, const std::string &engine, const EngineLoad &load) override
    {
        m_scheduler.loadReported(now, engine, load);
    }
    void cacheEvent(absl::Time now, const std::string &engine, const CacheEvent &event) override
    {
        m_scheduler.cacheEventsReported(now, engine, {event});
    }
    void arrived(absl::Time now, const Task &task) override { m_scheduler.arrived(now, task); }
    void firstToken(absl::Time now, TaskId task, int attempt) override
    {
        m_scheduler.firstToken(now, task, attempt);
    }
    void progress(absl::Time now, TaskId task, int attempt, std::int64_t tokens) override
    {
        m_scheduler.progress(now, task, attempt, tokens);
    }
    void finished(absl::Time now, TaskId task, int attempt, std::int64_t tokens) override
    {
        m_scheduler.finished(now, task, attempt, tokens);
    }
    void failed(absl::Time now, TaskId task, int attempt, const AttemptFailure &failure) override
    {
        m_scheduler.failed(now, task, attempt, failure);
    }
    void preempted(absl::Time now, TaskId task, int attempt, std::int64_t tokens,
                   const std::string &kvHandle) override
    {
        m_scheduler.preempted(now, task, attempt, tokens, kvHandle);
    }
    std::vector<SchedulerDecision> decide(absl::Time now) override
    {
        return m_scheduler.decide(now);
    }
    absl::Time nextDecision() const override { return m_scheduler.nextDecision(); }
    std::size_t batchCapacity(absl::Time now) const override
    {
        return m_scheduler.batchCapacity(now);
    }

private:
    Scheduler m_scheduler;
};

} // namespace rattanrill::policy::bench
