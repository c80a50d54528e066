#pragma once

#include "rattanrill/policy/scheduler.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace rattanrill::policy::bench {

enum class PolicyKind {
    Rattanrill,
    FirstComeFirstServed,
    StaticRateShare,
    RoundRobin,
    LeastReportedLoad,
};

std::string_view name(PolicyKind kind);

/// Scheduling policy of one entry, as the benchmark drives it. The functions have the same meaning
/// as those of Scheduler.
class BenchPolicy
{
public:
    virtual ~BenchPolicy() = default;

    virtual void setEngines(absl::Time now, const std::vector<EngineInfo> &engines) = 0;
    virtual void setEntries(const std::string &self, const std::vector<std::string> &all) = 0;
    virtual void setWorkspaces(const std::vector<WorkspaceWeights> &workspaces) = 0;
    virtual void setClockOffset(absl::Duration offset) = 0;
    virtual void applyCrashRecord(absl::Time now, const std::string &fingerprint,
                                  const std::vector<std::string> &crashed) = 0;
    virtual void loadReported(absl::Time now, const std::string &engine,
                              const EngineLoad &load) = 0;
    virtual void cacheEvent(absl::Time now, const std::string &engine, const CacheEvent &event) = 0;
    virtual void arrived(absl::Time now, const Task &task) = 0;
    virtual void firstToken(absl::Time now, TaskId task, int attempt) = 0;
    virtual void progress(absl::Time now, TaskId task, int attempt, std::int64_t tokens) = 0;
    virtual void finished(absl::Time now, TaskId task, int attempt, std::int64_t tokens) = 0;
    virtual void failed(absl::Time now, TaskId task, int attempt,
                        const AttemptFailure &failure) = 0;
    virtual void preempted(absl::Time now, TaskId task, int attempt, std::int64_t tokens,
                           const std::string &kvHandle) = 0;
    virtual std::vector<SchedulerDecision> decide(absl::Time now) = 0;
    virtual absl::Time nextDecision() const = 0;
    virtual std::size_t batchCapacity(absl::Time now) const = 0;
};

std::unique_ptr<BenchPolicy> makePolicy(PolicyKind kind, const SchedulerSettings &settings,
                                        std::uint64_t seed);

} // namespace rattanrill::policy::bench
