#pragma once

#include "rattanrill/base/failure.h"
#include "rattanrill/policy/enginestate.h"
#include "rattanrill/policy/quarantine.h"
#include "rattanrill/policy/retrypolicy.h"
#include "rattanrill/policy/router.h"
#include "rattanrill/policy/servererrorejection.h"
#include "rattanrill/policy/task.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace rattanrill::policy {

/// Settings of Scheduler.
struct SchedulerSettings
{
    /// Failure domain of this entry.
    std::string failureDomain;
    /// From 0, which favours batch throughput, to 1, which favours online tail latency. Determines
    /// the online reserve, the part of an engine that batch tasks may fill and the spacing of batch
    /// prefills.
    double onlineTailWeight = 0.5;
    /// Longest time that an online task waits for an engine before it is rejected.
    absl::Duration maxOnlineQueueTime = absl::Milliseconds(400);
    /// Number of waiting online tasks above which new ones are rejected at once.
    std::size_t maxOnlineQueueLength = 512;
    /// Round-trip time from the entry to an engine plus the engine's report interval.
    absl::Duration loadReportDelay = absl::Milliseconds(250);
    /// Preemption exports the KV cache of batch tasks with at least this many tokens of context,
    /// and cancels the others.
    std::int64_t minKvExportTokens = 512;
    /// Duration of one decode step with a full batch, used until progress has been observed.
    absl::Duration initialDecodeStep = absl::Milliseconds(50);
    /// When the time left before the deadline of a batch task is less than its remaining run time
    /// multiplied by this factor, the task is no longer preempted and, if it waits, is started as
    /// an online task is.
    double deadlineSafetyFactor = 2.0;
    /// Assumed prefill speed of an engine, in tokens per second.
    double prefillTokensPerSecond = 8000;
    /// Number of failed attempts after which a batch item is rejected with ItemFailed. Attempts
    /// that the engine refused, or whose engine crashed, do not count.
    int maxBatchAttempts = 4;
    /// Cost, in units of load, of sending an online task to an engine where batch prompts are being
    /// prefilled.
    double batchPrefillCost = 0.3;
    RouterSettings router;
    RetrySettings retry;
    /// Longest wait of an online task that must run isolated from other suspects.
    absl::Duration maxIsolationWait = absl::Seconds(30);
    QuarantineSettings quarantine;
};

/// Contract values of one workspace that the scheduler uses.
struct WorkspaceWeights
{
    std::string workspace;
    /// Weight of online tasks, by convention the contract's rate.
    double onlineWeight = 1;
    /// Weight of batch tasks. With 0, the smallest weight applies, so that batch tasks of other
    /// workspaces go first.
    double batchWeight = 1;
};

/// Start \a task on \a engine as attempt number \a attempt. Responses that belong to an earlier
/// attempt are ignored.
struct StartTask
{
    TaskId task = 0;
    std::string engine;
    /// Number of the attempt, from 1. Part of the request id that the engine receives.
    int attempt = 0;
    /// Number of tokens already delivered (`resume_after`).
    std::int64_t resumeAfter = 0;
    /// Handle of the exported KV cache to import; empty for none.
    std::string kvHandle;
};

/// How a batch task is preempted: cancelled, or with its KV cache exported.
enum class PreemptMethod {
    Cancel,
    ExportKv,
};

std::string_view name(PreemptMethod method);

/// Stop batch task \a task on \a engine, then call Scheduler::preempted(). The scheduler keeps the
/// task and later resumes it from its progress.
struct PreemptTask
{
    TaskId task = 0;
    std::string engine;
    int attempt = 0;
    PreemptMethod method = PreemptMethod::Cancel;
};

/// End \a task with a failure. The scheduler has removed it.
struct RejectTask
{
    TaskId task = 0;
    /// Its effect is EffectState::NotRun only when no attempt can have run.
    Failure failure;
    /// Value of the Retry-After header; zero for none.
    absl::Duration retryAfter;
};

/// Record in the directory that \a engine crashed while it ran a request with \a fingerprint.
struct RecordCrash
{
    std::string fingerprint;
    std::string engine;
};

/// A decision that the caller of Scheduler carries out.
using SchedulerDecision = std::variant<StartTask, PreemptTask, RejectTask, RecordCrash>;

/// Describes how an attempt failed.
struct AttemptFailure
{
    enum class Kind {
        /// The engine refused the request (503 or no connection); it did not run.
        Refused,
        /// The engine still responds, but the response ended early, timed out, was malformed or was
        /// an error response of none of the other kinds.
        Broken,
        /// The response ended early or timed out, and the engine accepts connections without a
        /// response: it may continue, so no task counts as the cause.
        Silent,
        /// The connection was lost while the task ran and the engine no longer responds.
        Crashed,
        /// The engine reported that the request itself is invalid; it is not retried.
        Invalid,
    };

    Kind kind = Kind::Broken;
    /// Number of tokens of this task delivered so far, including those of earlier attempts.
    std::int64_t deliveredTokens = 0;
    Failure failure;

    /// Whether the engine responded with an error that is no refusal and no fault of the request.
    /// It may have run the request.
    bool isServerError() const;
};

/// An ejection of an engine; it serves its model.
using EngineEjection = ServerErrorEjection;

/// Decides in which order, when and on which engine the tasks of one entry run. The caller reports
/// events, calls decide() after each event and at nextDecision(), and carries out the decisions in
/// order. All times, including deadlines, are those of the monotonic clock. Not thread-safe.
///
/// Engines are judged by the detector of consecutive failures (OutlierDetector) and, for failures
/// that single successes interrupt, by their share of server errors (FailureShares).
class Scheduler
{
public:
    /// \a seed initialises the random generator. Each entry should use a different seed.
    Scheduler(SchedulerSettings settings, std::uint64_t seed);
    ~Scheduler();
    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;

    /// Replaces the list of engines. Tasks on an engine that left the list keep running until the
    /// caller reports their end. A leaving engine gets no new tasks.
    void setEngines(absl::Time now, const std::vector<EngineInfo> &engines);
    /// Sets the weights of the listed workspaces; other workspaces keep theirs.
    void setWorkspaces(const std::vector<WorkspaceWeights> &workspaces);
    /// Replaces the list of entries that share the engines. \a self is this entry's instance, which
    /// \a instances contains. From the list, each entry derives the engines that it prefers and the
    /// order in which it uses engines for suspects.
    void setEntries(const std::string &self, const std::vector<std::string> &instances);
    /// Sets the offset of the wall clock from the clock of \a now (wall clock minus monotonic).
    /// Entries derive the time windows for batch prefills from the wall clock. Call this at the
    /// start and every few seconds.
    void setClockOffset(absl::Duration offset);
    /// Merges a crash record of the directory. \a blocked is true for a fingerprint that is
    /// blocked. A record without crashed upstreams releases the fingerprint.
    void applyCrashRecord(absl::Time now, const std::string &fingerprint,
                          const std::vector<std::string> &crashedUpstreams, bool blocked);

    /// Reports the load of \a engine. \a load.age is the age of the report's values.
    void loadReported(absl::Time now, const std::string &engine, const EngineLoad &load);
    void cacheEventsReported(absl::Time now, const std::string &engine,
                             const std::vector<CacheEvent> &events);

    /// Adds a new task. It ends with RejectTask, or with the caller's finished() or cancelled().
    void arrived(absl::Time now, const Task &task);
    /// Removes a task that its client or its job has cancelled. The caller of this class ends a
    /// running attempt itself.
    void cancelled(absl::Time now, TaskId task);
    /// Reports that the engine accepted the attempt.
    void started(absl::Time now, TaskId task, int attempt);
    void firstToken(absl::Time now, TaskId task, int attempt);
    /// Reports progress. \a deliveredTokens counts all tokens of the response, including those of
    /// earlier attempts. Call this at least every few hundred milliseconds, but not for every
    /// token.
    void progress(absl::Time now, TaskId task, int attempt, std::int64_t deliveredTokens);
    /// Reports that the response is complete. The scheduler removes the task.
    void finished(absl::Time now, TaskId task, int attempt, std::int64_t deliveredTokens);
    /// Reports that the attempt failed. The scheduler retries or rejects the task, as returned by
    /// later calls of decide(). Returns the ejection of the engine for its share of server errors
    /// when it begins with this failure.
    std::optional<EngineEjection> failed(absl::Time now, TaskId task, int attempt,
                                         const AttemptFailure &failure);
    /// Reports that a PreemptTask was carried out. \a kvHandle is empty after
    /// PreemptMethod::Cancel.
    void preempted(absl::Time now, TaskId task, int attempt, std::int64_t deliveredTokens,
                   const std::string &kvHandle);

    /// Returns the decisions due at \a now, to be carried out in order.
    std::vector<SchedulerDecision> decide(absl::Time now);
    /// Latest time for the next call of decide() when no event occurs before.
    absl::Time nextDecision() const;
    /// Number of batch items to lease now, over all models, so that capacity that becomes free is
    /// used at once. A model adds nothing while its online tasks wait or enough of its batch tasks
    /// do.
    std::size_t batchCapacity(absl::Time now) const;
    /// Same as batchCapacity(), but for one model.
    std::size_t batchCapacity(absl::Time now, std::string_view model) const;

    /// Number of waiting tasks, for metrics.
    std::size_t waiting(TaskKind kind) const;
    /// Number of running tasks, for metrics.
    std::size_t running(TaskKind kind) const;
    /// State of an engine as estimated by this entry; nullptr for unknown engines.
    const EngineState *engine(std::string_view name) const;

private:
    struct State;

    std::unique_ptr<State> m_state;
};

} // namespace rattanrill::policy
