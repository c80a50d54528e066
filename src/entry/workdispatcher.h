#pragma once

#include "crashrecords.h"
#include "crashreporter.h"
#include "enginetable.h"
#include "enginetry.h"
#include "worklistener.h"

#include "rattanrill/base/metrics.h"
#include "rattanrill/base/timerservice.h"
#include "rattanrill/base/workerpool.h"
#include "rattanrill/policy/scheduler.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rattanrill::entry {

/// One completion to run: its scheduling data, its request and who receives the answer.
struct WorkOrder
{
    /// The id is filled in by the dispatcher.
    policy::Task task;
    std::string path;
    std::string body;
    /// Caller's request id or id of the batch item; tries add their number.
    std::string requestId;
    absl::Time deadline = absl::InfiniteFuture();
    std::shared_ptr<WorkListener> listener;
};

/// Carries out the scheduler's decisions: runs tries on engines, resumes broken streams, preempts
/// batch work and records crashes. Online and batch work share it.
///
/// Lock order: m_mutex comes before the locks of EngineTry and CrashRecords. No network call and no
/// listener runs under it.
class WorkDispatcher
{
public:
    struct Parts
    {
        EngineTable &engines;
        CrashReporter &crashes;
        TimerService &timers;
        /// Runs tries; needs a thread for each work that may run at once.
        WorkerPool &tries;
        /// Runs short calls to engines.
        WorkerPool &calls;
        const Clock &clock;
        Metrics &metrics;
        /// Time after which no entry runs a request that was held before it.
        absl::Duration heldAnswerDelay = absl::ZeroDuration();
    };

    WorkDispatcher(const policy::SchedulerSettings &settings, std::uint64_t seed, Parts parts);
    ~WorkDispatcher();

    policy::TaskId submit(WorkOrder order) ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Ends a work without an answer; a running try is cancelled at its engine.
    void withdraw(policy::TaskId id) ABSL_LOCKS_EXCLUDED(m_mutex);

    /// Passes facts to the scheduler and carries out what follows.
    void inform(const std::function<void(policy::Scheduler &, absl::Time)> &event)
            ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Batch items to lease now.
    std::size_t batchCapacity() const ABSL_LOCKS_EXCLUDED(m_mutex);
    std::size_t running(policy::TaskKind kind) const ABSL_LOCKS_EXCLUDED(m_mutex);
    std::size_t waiting(policy::TaskKind kind) const ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Ends the timer; no decision is made after return.
    void stop();

private:
    struct Task
    {
        WorkOrder order;
        std::atomic<bool> withdrawn{false};
        /// Guarded by the dispatcher's mutex.
        std::shared_ptr<EngineTry> running;
    };
    using TaskPointer = std::shared_ptr<Task>;
    using Action = std::function<void()>;

    void pump() ABSL_LOCKS_EXCLUDED(m_mutex);
    std::vector<Action> decide() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    Action prepare(const policy::StartTask &start) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    Action prepare(const policy::PreemptTask &preempt) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    Action prepare(const policy::RejectTask &refuse) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    Action prepare(const policy::RecordCrash &crash) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void perform(const std::vector<Action> &actions);
    void armTimer() ABSL_LOCKS_EXCLUDED(m_mutex);

    void runTry(const TaskPointer &task, const std::shared_ptr<EngineTry> &engineTry);
    Outcome<engine::StreamSummary> stream(const TaskPointer &task, EngineTry &engineTry,
                                          std::uint64_t &delivered);
    void noteToken(const TaskPointer &task, EngineTry &engineTry, std::uint64_t delivered,
                   bool first);
    void settle(const TaskPointer &task, EngineTry &engineTry, std::uint64_t delivered,
                const Outcome<engine::StreamSummary> &outcome);
    void settlePreempted(const TaskPointer &task, EngineTry &engineTry, std::uint64_t delivered);
    void settleFailed(const TaskPointer &task, EngineTry &engineTry, std::uint64_t delivered,
                      const Failure &failure, policy::AttemptFailure::Kind kind);
    policy::AttemptFailure::Kind kindOf(EngineTry &engineTry, const Failure &failure) const;
    void endTask(const TaskPointer &task) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    Parts m_parts;
    CrashRecords m_crashRecords;
    mutable absl::Mutex m_mutex;
    policy::Scheduler m_scheduler ABSL_GUARDED_BY(m_mutex);
    std::map<policy::TaskId, TaskPointer> m_tasks ABSL_GUARDED_BY(m_mutex);
    policy::TaskId m_nextId ABSL_GUARDED_BY(m_mutex) = 1;
    absl::Time m_wanted ABSL_GUARDED_BY(m_mutex) = absl::InfiniteFuture();
    absl::Time m_armed ABSL_GUARDED_BY(m_mutex) = absl::InfiniteFuture();
    TimerService::TimerId m_timer ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_stopped ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace rattanrill::entry
