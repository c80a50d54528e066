#pragma once

#include "crashrecords.h"
#include "crashreporter.h"
#include "engineattempt.h"
#include "enginetable.h"
#include "tasklistener.h"

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

/// One completion to run: its scheduling data, its request and the receiver of the answer.
struct TaskSubmission
{
    /// The dispatcher sets the id.
    policy::Task task;
    std::string path;
    std::string body;
    /// Request id of the caller or id of the batch item; each attempt appends its number.
    std::string requestId;
    absl::Time deadline = absl::InfiniteFuture();
    std::shared_ptr<TaskListener> listener;
};

/// Carries out the scheduler's decisions: runs attempts on engines, resumes interrupted streams,
/// preempts batch tasks and records crashes. Used for both online and batch tasks.
///
/// Lock order: m_mutex is acquired before the locks of EngineAttempt and CrashRecords. It is not
/// held during network calls or calls to a listener.
class TaskDispatcher
{
public:
    struct Context
    {
        EngineTable &engines;
        CrashReporter &crashReporter;
        TimerService &timers;
        /// Runs attempts; needs one thread for each task that may run at the same time.
        WorkerPool &attemptPool;
        /// Runs short calls to engines.
        WorkerPool &callPool;
        const Clock &clock;
        Metrics &metrics;
        /// Delay of the failure response to a request that has just been quarantined. After this
        /// time, every entry refuses the request: its directory view either lists the quarantine or
        /// is too old to serve requests.
        absl::Duration quarantineResponseDelay = absl::ZeroDuration();
    };

    TaskDispatcher(const policy::SchedulerSettings &settings, std::uint64_t seed, Context context);
    ~TaskDispatcher();

    policy::TaskId submit(TaskSubmission submission) ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Ends a task without an answer; a running attempt is cancelled at its engine.
    void cancel(policy::TaskId id) ABSL_LOCKS_EXCLUDED(m_mutex);

    /// Calls \a event to update the scheduler, then carries out the resulting decisions.
    void updateScheduler(const std::function<void(policy::Scheduler &, absl::Time)> &event)
            ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Number of batch items to lease now.
    std::size_t batchCapacity() const ABSL_LOCKS_EXCLUDED(m_mutex);
    std::size_t running(policy::TaskKind kind) const ABSL_LOCKS_EXCLUDED(m_mutex);
    std::size_t waiting(policy::TaskKind kind) const ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Stops the timer; no decision is made after return.
    void stop();

private:
    struct Task
    {
        TaskSubmission submission;
        std::atomic<bool> cancelled{false};
        /// Guarded by the dispatcher's mutex.
        std::shared_ptr<EngineAttempt> running;
    };
    using TaskPtr = std::shared_ptr<Task>;
    using Action = std::function<void()>;

    void runDecisions() ABSL_LOCKS_EXCLUDED(m_mutex);
    std::vector<Action> decide() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /// Each returns the action that carries out the decision, to be called without holding m_mutex;
    /// null when the decision no longer applies.
    Action prepare(const policy::StartTask &start) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    Action prepare(const policy::PreemptTask &preempt) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    Action prepare(const policy::RejectTask &reject) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    Action prepare(const policy::RecordCrash &crash) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void perform(const std::vector<Action> &actions);
    void armTimer() ABSL_LOCKS_EXCLUDED(m_mutex);

    void runAttempt(const TaskPtr &task, const std::shared_ptr<EngineAttempt> &engineAttempt);
    /// Runs the attempt and passes its tokens to the listener. Updates \a delivered, the number of
    /// tokens that the listener has received in all attempts.
    Outcome<engine::StreamSummary> stream(const TaskPtr &task, EngineAttempt &engineAttempt,
                                          std::uint64_t &delivered);
    void reportProgress(const TaskPtr &task, EngineAttempt &engineAttempt, std::uint64_t delivered,
                        bool first);
    void endAttempt(const TaskPtr &task, EngineAttempt &engineAttempt, std::uint64_t delivered,
                    const Outcome<engine::StreamSummary> &outcome);
    void endPreemptedAttempt(const TaskPtr &task, EngineAttempt &engineAttempt,
                             std::uint64_t delivered);
    void endFailedAttempt(const TaskPtr &task, EngineAttempt &engineAttempt,
                          std::uint64_t delivered, const Failure &failure,
                          policy::AttemptFailure::Kind kind);
    policy::AttemptFailure::Kind failureKindOf(EngineAttempt &engineAttempt,
                                               const Failure &failure) const;
    void removeTask(const TaskPtr &task) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    Context m_context;
    CrashRecords m_crashRecords;
    mutable absl::Mutex m_mutex;
    policy::Scheduler m_scheduler ABSL_GUARDED_BY(m_mutex);
    std::map<policy::TaskId, TaskPtr> m_tasks ABSL_GUARDED_BY(m_mutex);
    policy::TaskId m_nextId ABSL_GUARDED_BY(m_mutex) = 1;
    absl::Time m_nextDecisionAt ABSL_GUARDED_BY(m_mutex) = absl::InfiniteFuture();
    absl::Time m_timerDueAt ABSL_GUARDED_BY(m_mutex) = absl::InfiniteFuture();
    TimerService::TimerId m_timer ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_stopped ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace rattanrill::entry
