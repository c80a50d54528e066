#pragma once

#include "rattanrill/base/failure.h"
#include "rattanrill/policy/enginestate.h"
#include "rattanrill/policy/quarantine.h"
#include "rattanrill/policy/retrypolicy.h"
#include "rattanrill/policy/router.h"
#include "rattanrill/policy/task.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace rattanrill::policy {

struct SchedulerSettings
{
    /// Failure domain of this entry.
    std::string failureDomain;
    /// 0 favours batch throughput, 1 favours online tail latency. It sets the online reserve, the
    /// part of an engine that batch may fill and the spacing of batch prefills.
    double onlineTailWeight = 0.5;
    /// Longest time that online work waits for an engine before it is refused.
    absl::Duration onlineQueueLimit = absl::Milliseconds(400);
    /// Waiting online works above which new ones are refused at once.
    std::size_t onlineQueueSize = 512;
    /// Round trip from the entry to an engine plus the engine's report interval.
    absl::Duration loadLag = absl::Milliseconds(250);
    /// Preempted batch work with at least this many tokens of context is exported, not cancelled.
    std::int64_t kvExportTokens = 512;
    /// Time of one decode step with a full batch, used until progress has been observed.
    absl::Duration decodeStep = absl::Milliseconds(50);
    /// Batch work is no longer preempted when less than this many times its remaining run time is
    /// left before it is due.
    double dueSafetyFactor = 2.0;
    /// Engine prefill speed (tokens/s) used until first tokens have been observed.
    double prefillTokensPerSecond = 8000;
    /// Failed tries of a batch item after which it counts as impossible.
    int maxBatchAttempts = 4;
    /// Cost in load of sending online work to an engine where batch prompts are being prefilled.
    double batchPrefillCost = 0.3;
    RouterSettings router;
    RetrySettings retry;
    /// Longest wait of online work that must run isolated from other suspects.
    absl::Duration isolationLimit = absl::Seconds(30);
    QuarantineSettings quarantine;
};

/// Contract values of one workspace that the scheduler uses.
struct WorkspaceWeights
{
    std::string workspace;
    /// Weight of online work, by convention the contract's rate.
    double onlineWeight = 1;
    /// Weight of batch work; 0 grants none.
    double batchWeight = 1;
};

/// Start \a task on \a engine as try \a attempt. Answers that belong to an earlier try are ignored.
struct StartTask
{
    TaskId task = 0;
    std::string engine;
    /// Number of the try, from 1; part of the engine's request id.
    int attempt = 0;
    /// Tokens already delivered (`resume_after`).
    std::int64_t resumeAfter = 0;
    /// Exported KV cache to import; empty for none.
    std::string kvHandle;
};

enum class PreemptMethod {
    Cancel,
    ExportKv,
};

std::string_view name(PreemptMethod method);

/// End batch \a task on \a engine and answer with Scheduler::preempted(). The scheduler keeps the
/// work and starts it again from its progress.
struct PreemptTask
{
    TaskId task = 0;
    std::string engine;
    int attempt = 0;
    PreemptMethod method = PreemptMethod::Cancel;
};

/// End \a task with a failure. The scheduler has forgotten it.
struct RejectTask
{
    TaskId task = 0;
    /// RunState::NotRun only when no try can have run.
    Failure failure;
    /// For the Retry-After header; zero when a retry is pointless.
    absl::Duration retryAfter;
};

/// Record at the directory that \a engine crashed while it ran a request with \a fingerprint.
struct RecordCrash
{
    std::string fingerprint;
    std::string engine;
};

using SchedulerDecision = std::variant<StartTask, PreemptTask, RejectTask, RecordCrash>;

/// How a try failed.
struct AttemptFailure
{
    enum class Kind {
        /// The engine refused (503, no connection): nothing ran.
        Refused,
        /// The answer ended early, timed out or was malformed, but the engine still answers.
        Broken,
        /// The connection was lost while the work ran and the engine no longer answers.
        Crashed,
        /// The engine answered that the request itself is invalid: no retry.
        Invalid,
    };

    Kind kind = Kind::Broken;
    /// Tokens of this work delivered so far, those of earlier tries included.
    std::int64_t deliveredTokens = 0;
    Failure failure;
};

/// Order, engine and time of all work of one entry. The caller feeds events, calls decide() after
/// each and at nextDecision(), and carries out the decisions in order. Times are of the monotonic
/// clock, due times included. Not thread-safe.
class Scheduler
{
public:
    /// \a seed starts the random choices; entries should differ in it.
    Scheduler(SchedulerSettings settings, std::uint64_t seed);
    ~Scheduler();
    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;

    /// Replaces the list of engines. Work on an engine that left the list keeps running until the
    /// caller reports its end; a leaving engine gets no new work.
    void setEngines(absl::Time now, const std::vector<EngineInfo> &engines);
    /// Replaces weights of workspaces.
    void setWorkspaces(const std::vector<WorkspaceWeights> &workspaces);
    /// Replaces the list of entries that share the engines. \a self is this entry's instance and
    /// is in the list. All entries derive from it which of them tests suspects on which engine.
    void setEntries(const std::string &self, const std::vector<std::string> &instances);
    /// Wall-clock time minus the time passed as now. Entries take turns by it; call it at the start
    /// and every few seconds.
    void setClockOffset(absl::Duration offset);
    /// Adds to what is known of crashes, from the directory's records; \a held marks a fingerprint
    /// that is refused. A record without crashed upstreams releases the fingerprint.
    void setCrashRecord(absl::Time now, const std::string &fingerprint,
                        const std::vector<std::string> &crashedUpstreams, bool held);

    /// A load report; \a load.age says how old its figures are.
    void loadReported(absl::Time now, const std::string &engine, const EngineLoad &load);
    void cacheEvents(absl::Time now, const std::string &engine,
                     const std::vector<CacheEvent> &events);

    /// New work. Its outcome is RejectTask or the caller's own finished().
    void arrived(absl::Time now, const Task &task);
    /// The caller or the job gave the work up; the caller of this class ends a running try itself.
    void cancelled(absl::Time now, TaskId task);
    /// The engine accepted the try.
    void started(absl::Time now, TaskId task, int attempt);
    void firstToken(absl::Time now, TaskId task, int attempt);
    /// \a deliveredTokens counts all tokens of the answer, those of earlier tries included. Call at
    /// least every few hundred milliseconds, not for every token.
    void progress(absl::Time now, TaskId task, int attempt, std::int64_t deliveredTokens);
    /// Complete answer; the scheduler forgets the work.
    void finished(absl::Time now, TaskId task, int attempt, std::int64_t deliveredTokens);
    /// The try failed; the scheduler retries or refuses with the next decide().
    void failed(absl::Time now, TaskId task, int attempt, const AttemptFailure &failure);
    /// A PreemptTask was carried out. \a kvHandle is empty after a cancel.
    void preempted(absl::Time now, TaskId task, int attempt, std::int64_t deliveredTokens,
                   const std::string &kvHandle);

    /// Decisions due at \a now, to be carried out in order.
    std::vector<SchedulerDecision> decide(absl::Time now);
    /// Latest time for the next call of decide() when no event comes before.
    absl::Time nextDecision() const;
    /// Batch items to lease now, so that room that opens is filled at once; 0 while engines are
    /// busy or enough items wait.
    std::size_t batchCapacity(absl::Time now) const;
    /// As batchCapacity(), for one model.
    std::size_t batchCapacity(absl::Time now, std::string_view model) const;

    /// Figures for metrics.
    std::size_t waiting(TaskKind kind) const;
    std::size_t running(TaskKind kind) const;
    /// State of an engine as this entry sees it; nullptr when unknown.
    const EngineState *engine(std::string_view name) const;

private:
    struct State;

    std::unique_ptr<State> m_state;
};

} // namespace rattanrill::policy
