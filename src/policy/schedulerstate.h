#pragma once

#include "arrivalrate.h"
#include "batchallowance.h"
#include "crashhistory.h"
#include "engineassignment.h"
#include "enginerecord.h"
#include "prefillwindows.h"
#include "taskrecord.h"

#include "rattanrill/policy/fairqueue.h"
#include "rattanrill/policy/prefixindex.h"
#include "rattanrill/policy/scheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>

namespace rattanrill::policy {

inline std::size_t index(TaskKind kind)
{
    return static_cast<std::size_t>(kind);
}

using Deadline = std::pair<absl::Time, TaskId>;

/// Engines and waiting work of one model.
struct ModelPool
{
    /// In order of name.
    std::vector<EngineRecord *> engines;
    /// Names of the engines in the order in which this entry uses them for suspects.
    std::vector<std::string> suspectOrder;
    FairQueue online;
    /// Online work outside its contract.
    FairQueue outside;
    FairQueue batch;
    /// Waiting batch work by the latest time at which it may start.
    std::set<Deadline> latestStarts;
    /// Suspects that wait for an engine without another suspect; online before batch.
    std::set<std::pair<TaskKind, TaskId>> suspects;
    ArrivalRate onlineRate;
};

struct Scheduler::State
{
    State(SchedulerSettings schedulerSettings, std::uint64_t seed);

    // Lists
    void setEngines(const std::vector<EngineInfo> &engines);
    void setWorkspaces(const std::vector<WorkspaceWeights> &list);
    ModelPool &pool(const std::string &model);
    EngineRecord *engine(const std::string &name);
    TaskRecord *find(TaskId task);
    /// The item when try \a attempt is the one that runs.
    TaskRecord *running(TaskId task, int attempt);

    // Events
    void enqueue(absl::Time now, TaskRecord &item);
    void dequeue(TaskRecord &item);
    void noteProgress(absl::Time now, TaskRecord &item, std::int64_t deliveredTokens);
    void noteFirstToken(absl::Time now, TaskRecord &item);
    void endAttempt(absl::Time now, TaskRecord &item);
    void forget(TaskRecord &item);
    void countCrash(absl::Time now, TaskRecord &item);
    void retractCrash(absl::Time now, const Crash &crash);
    /// The item runs beside other suspects again.
    void clearSuspect(TaskRecord &item);
    void attemptFailed(absl::Time now, TaskRecord &item, const AttemptFailure &failure);
    void retryOnline(absl::Time now, TaskRecord &item, const AttemptFailure &failure);
    void retryBatch(absl::Time now, TaskRecord &item, const AttemptFailure &failure);
    void backOff(absl::Time now, TaskRecord &item);

    // Decisions
    void decide(absl::Time now);
    void wakeBackedOff(absl::Time now);
    void dispatchSuspects(absl::Time now, ModelPool &pool);
    /// The engine on which this entry runs the suspect, away from suspects of other entries.
    EngineRecord *suspectEngine(absl::Time now, const ModelPool &pool, const TaskRecord &item);
    /// Not leaving or ejected, and its load is known.
    static bool isUsable(absl::Time now, const EngineRecord &record);
    void dispatchOnline(absl::Time now, ModelPool &pool, FairQueue &queue);
    void shedOutside(ModelPool &pool);
    void refuseLate(absl::Time now);
    void dispatchUrgent(absl::Time now, ModelPool &pool);
    void dispatchBatch(absl::Time now, ModelPool &pool);
    bool startBatchOn(absl::Time now, ModelPool &pool, EngineRecord &record);
    EngineRecord *chooseOnlineEngine(absl::Time now, ModelPool &pool, const TaskRecord &item);
    RouteCandidate candidate(absl::Time now, const ModelPool &pool,
                             const EngineRecord &record) const;
    /// With few engines there would be no other to go to.
    static bool usesWindows(const ModelPool &pool);
    void assignEngines(ModelPool &pool);
    void assignAllEngines();
    bool canTake(absl::Time now, const EngineRecord &record) const;
    void makeRoom(absl::Time now, ModelPool &pool, EngineRecord &record);
    TaskRecord *victimOn(absl::Time now, const EngineRecord &record);
    bool isPreemptible(absl::Time now, const TaskRecord &item) const;
    void preempt(TaskRecord &item);
    void start(absl::Time now, TaskRecord &item, EngineRecord &record);
    void refuse(TaskRecord &item, ErrorCode code, std::string detail);
    /// Refuses the item when its fingerprint is held.
    bool refuseHeld(absl::Time now, TaskRecord &item);

    // Estimates
    absl::Duration remainingTime(const TaskRecord &item) const;
    absl::Time latestStart(const TaskRecord &item) const;
    absl::Time onlineDeadline(const TaskRecord &item) const;
    double onlineRatePerEngine(absl::Time now, const ModelPool &pool) const;
    /// Online work that other entries probably sent to each engine since its report.
    double unseenOnline(const ModelPool &pool) const;
    int batchCapacityOn(absl::Time now, const ModelPool &pool, const EngineRecord &record) const;
    std::size_t batchCapacity(absl::Time now, const ModelPool &pool) const;
    void wakeAt(absl::Time time) { nextDecision = std::min(nextDecision, time); }

    SchedulerSettings settings;
    Router router;
    BatchAllowance allowance;
    PrefillWindows prefillWindows;
    RetryPolicy retry;
    Quarantine quarantine;
    CrashHistory crashes;
    PrefixIndex prefixes;
    EngineAssignment ownEngines;
    std::mt19937_64 random;
    std::size_t entries = 1;
    std::map<std::string, std::unique_ptr<EngineRecord>, std::less<>> engines;
    std::map<std::string, ModelPool, std::less<>> pools;
    std::map<std::string, WorkspaceWeights> workspaces;
    std::unordered_map<TaskId, TaskRecord> items;
    std::set<Deadline> onlineDeadlines;
    std::set<Deadline> backoffs;
    std::vector<SchedulerDecision> decisions;
    absl::Time nextDecision = absl::InfiniteFuture();
    /// Smoothed time between two tokens of one answer.
    absl::Duration tokenTime;
    /// Smoothed time to first token over all engines.
    absl::Duration firstTokenTime;
    std::array<std::size_t, 2> runningCount{};
};

} // namespace rattanrill::policy
