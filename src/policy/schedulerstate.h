#pragma once

#include "arrivalrate.h"
#include "batchallowance.h"
#include "crashhistory.h"
#include "engineassignment.h"
#include "enginerecord.h"
#include "prefillwindows.h"
#include "taskrecord.h"

#include "rattanrill/policy/failureshares.h"
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

/// Key of the ordered sets below: a time and a task.
using TimedTask = std::pair<absl::Time, TaskId>;

/// Engines and waiting tasks of one model.
struct ModelPool
{
    /// Sorted by name.
    std::vector<EngineRecord *> engines;
    /// Share of server errors of each engine, by its name.
    FailureShares failures;
    /// Names of the engines in the order in which this entry uses them for suspects.
    std::vector<std::string> suspectOrder;
    FairQueue online;
    /// Waiting online tasks outside their contract.
    FairQueue outsideContract;
    FairQueue batch;
    /// Waiting batch tasks by the latest time at which they should start, which leaves a safety
    /// margin before their deadline.
    std::set<TimedTask> latestStarts;
    /// Suspects that wait for an engine that runs no other suspect; online tasks before batch
    /// tasks.
    std::set<std::pair<TaskKind, TaskId>> suspects;
    ArrivalRate onlineRate;
};

/// An engine with the number of batch tasks that this entry may start on it.
struct BatchCapacity
{
    EngineRecord *engine = nullptr;
    int tasks = 0;
};

struct Scheduler::State
{
    State(SchedulerSettings schedulerSettings, std::uint64_t seed);

    // Engines, workspaces and tasks
    void setEngines(const std::vector<EngineInfo> &engines);
    void setWorkspaces(const std::vector<WorkspaceWeights> &list);
    ModelPool &pool(const std::string &model);
    EngineRecord *engine(const std::string &name);
    TaskRecord *find(TaskId task);
    /// Returns the record of \a task, or nullptr unless attempt \a attempt is running.
    TaskRecord *running(TaskId task, int attempt);

    // Events
    void enqueue(absl::Time now, TaskRecord &taskRecord);
    void dequeue(TaskRecord &taskRecord);
    void recordProgress(absl::Time now, TaskRecord &taskRecord, std::int64_t deliveredTokens);
    void recordFirstToken(absl::Time now, TaskRecord &taskRecord);
    void endAttempt(absl::Time now, TaskRecord &taskRecord);
    void removeTask(TaskRecord &taskRecord);
    QuarantineStatus quarantineStatus(absl::Time now, const Task &task) const;
    void recordCrash(absl::Time now, TaskRecord &taskRecord);
    /// Withdraws a crash that the loss of a failure domain caused, so that the requests affected
    /// are no longer suspects.
    void retractCrash(absl::Time now, const Crash &crash);
    /// Allows the task to run alongside other suspects again.
    void clearSuspect(TaskRecord &taskRecord);
    std::optional<EngineEjection> attemptFailed(absl::Time now, TaskRecord &taskRecord,
                                                const AttemptFailure &failure);
    void recordSuccess(absl::Time now, EngineRecord &engineRecord, const std::string &workspace);
    /// Judges the engine by its share of server errors.
    std::optional<EngineEjection> recordServerError(absl::Time now,
                                                    const EngineRecord &engineRecord,
                                                    const std::string &workspace);
    void retryOnline(absl::Time now, TaskRecord &taskRecord, const AttemptFailure &failure);
    void retryBatch(absl::Time now, TaskRecord &taskRecord, const AttemptFailure &failure);
    void backOff(absl::Time now, TaskRecord &taskRecord);

    // Decisions
    void decide(absl::Time now);
    void enqueueBackedOff(absl::Time now);
    void dispatchSuspects(absl::Time now, ModelPool &pool);
    /// Returns the engine on which this entry runs the suspect, apart from suspects of other
    /// entries. An engine that crashed under the suspect is the last choice.
    EngineRecord *chooseSuspectEngine(absl::Time now, const ModelPool &pool,
                                      const TaskRecord &taskRecord);
    /// Returns true when the engine is neither leaving nor ejected for its failures and its load
    /// report is recent.
    static bool isAvailable(absl::Time now, const EngineRecord &engineRecord);
    /// Returns true when the engine is ejected for its share of server errors and another one of
    /// the model, which \a excluded does not name, is available.
    static bool isWithheld(absl::Time now, const ModelPool &pool,
                           const std::vector<std::string> &excluded,
                           const EngineRecord &engineRecord);
    /// Returns true when the engine is available and not withheld from tasks without exclusions.
    static bool isUsable(absl::Time now, const ModelPool &pool, const EngineRecord &engineRecord);
    /// Leaves out engines that are passed over because of server errors. Only engines that can
    /// start the task without preemption count as alternatives to them.
    void removePassedOver(absl::Time now, const ModelPool &pool, const TaskRecord &taskRecord,
                          const std::vector<std::string> &excluded,
                          std::vector<EngineRecord *> &open) const;
    /// Returns false when the task is outside its contract and the load of the engine exceeds the
    /// limit for such tasks.
    bool isWithinLoadLimit(const TaskRecord &taskRecord, const EngineRecord &engineRecord) const;
    void dispatchOnline(absl::Time now, ModelPool &pool, FairQueue &queue);
    void rejectOutsideContract(ModelPool &pool);
    void rejectExpired(absl::Time now);
    /// Starts batch tasks that have reached their latest start, as online tasks are started.
    void dispatchUrgent(absl::Time now, ModelPool &pool);
    /// Starts batch tasks on engines with capacity for them. Does nothing while online tasks wait.
    void dispatchBatch(absl::Time now, ModelPool &pool);
    /// Returns the engines with capacity for batch tasks that are not passed over.
    std::vector<BatchCapacity> enginesForBatch(absl::Time now, const ModelPool &pool) const;
    bool startBatchOn(absl::Time now, ModelPool &pool, EngineRecord &engineRecord);
    EngineRecord *chooseOnlineEngine(absl::Time now, const ModelPool &pool,
                                     const TaskRecord &taskRecord);
    /// Chooses among the engines with a recent load report.
    EngineRecord *chooseReportedEngine(absl::Time now, const ModelPool &pool,
                                       const TaskRecord &taskRecord,
                                       const std::vector<std::string> &excluded);
    /// Chooses among the engines whose load report is missing or outdated.
    EngineRecord *chooseUnreportedEngine(absl::Time now, const ModelPool &pool,
                                         const TaskRecord &taskRecord);
    /// Returns the best of \a records, or nullptr when the router accepts none.
    EngineRecord *route(absl::Time now, const ModelPool &pool, const TaskRecord &taskRecord,
                        const std::vector<std::string> &excluded,
                        const std::vector<EngineRecord *> &records);
    RouteCandidate candidate(absl::Time now, const ModelPool &pool,
                             const EngineRecord &engineRecord) const;
    /// Returns true when the model has enough engines for prefill windows: online tasks need other
    /// engines while batch prompts start.
    static bool usesWindows(const ModelPool &pool);
    void assignEngines(ModelPool &pool);
    void assignAllEngines();
    bool hasCapacity(absl::Time now, const EngineRecord &engineRecord) const;
    /// Preempts a batch task of this entry when the engine has no free slot.
    void preemptIfFull(absl::Time now, ModelPool &pool, EngineRecord &engineRecord);
    TaskRecord *chooseVictim(absl::Time now, const EngineRecord &engineRecord);
    bool isPreemptible(absl::Time now, const TaskRecord &taskRecord) const;
    void preempt(TaskRecord &taskRecord);
    void start(absl::Time now, TaskRecord &taskRecord, EngineRecord &engineRecord);
    void reject(TaskRecord &taskRecord, ErrorCode code, std::string detail);
    /// Rejects the task and returns true when its fingerprint is blocked.
    bool rejectBlocked(absl::Time now, TaskRecord &taskRecord);

    // Estimates
    absl::Duration remainingTime(const TaskRecord &taskRecord) const;
    absl::Time latestStart(const TaskRecord &taskRecord) const;
    absl::Time onlineDeadline(const TaskRecord &taskRecord) const;
    double onlineRatePerEngine(absl::Time now, const ModelPool &pool) const;
    /// Estimated number of online tasks that other entries have sent to each engine since its last
    /// report.
    double unreportedOnline(const ModelPool &pool) const;
    int batchCapacityOn(absl::Time now, const ModelPool &pool,
                        const EngineRecord &engineRecord) const;
    std::size_t batchCapacity(absl::Time now, const ModelPool &pool) const;
    /// Requests a call of decide() at \a time or earlier.
    void scheduleDecision(absl::Time time) { nextDecision = std::min(nextDecision, time); }

    SchedulerSettings settings;
    Router router;
    BatchAllowance batchAllowance;
    PrefillWindows prefillWindows;
    RetryPolicy retry;
    Quarantine quarantine;
    CrashHistory crashHistory;
    PrefixIndex prefixes;
    EngineAssignment engineAssignment;
    std::mt19937_64 random;
    std::size_t entries = 1;
    std::map<std::string, std::unique_ptr<EngineRecord>, std::less<>> engines;
    std::map<std::string, ModelPool, std::less<>> pools;
    std::map<std::string, WorkspaceWeights> workspaces;
    std::unordered_map<TaskId, TaskRecord> taskRecords;
    std::set<TimedTask> onlineDeadlines;
    std::set<TimedTask> backoffs;
    std::vector<SchedulerDecision> decisions;
    absl::Time nextDecision = absl::InfiniteFuture();
    /// Smoothed time between two tokens of one response.
    absl::Duration timePerToken;
    /// Smoothed time to first token over all engines.
    absl::Duration timeToFirstToken;
    std::array<std::size_t, 2> runningCount{};
};

} // namespace rattanrill::policy
