#pragma once

#include "rattanrill/policy/task.h"

#include "absl/time/time.h"

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace rattanrill::policy {

/// State of a task in the scheduler, from its arrival to its end.
struct TaskRecord
{
    enum class Phase {
        /// In a fair queue, or among the suspects that wait for isolation.
        Waiting,
        /// Waits for the end of a backoff.
        BackingOff,
        /// An attempt runs on TaskRecord::engine.
        Running,
        /// As Running, and the preemption of the attempt has been requested.
        Preempting,
    };

    Task task;
    Phase phase = Phase::Waiting;
    std::string engine;
    /// Engines on which an attempt failed.
    std::vector<std::string> excluded;
    std::string kvHandle;
    absl::Time waitingSince;
    absl::Time startedAt;
    /// latestStart, onlineDeadline and retryAt are the task's keys in the scheduler's ordered sets.
    /// They are stored because the values that they are computed from change while the task waits.
    absl::Time latestStart;
    absl::Time onlineDeadline;
    /// End of the backoff.
    absl::Time retryAt;
    int attempt = 0;
    /// Failed attempts. For a batch task without those whose engine crashed or refused the attempt.
    int failures = 0;
    /// Batch tasks only: attempts whose engine crashed.
    int crashes = 0;
    int preemptions = 0;
    std::int64_t deliveredTokens = 0;
    absl::Time progressAt;
    /// Number of prompt tokens that the running attempt adds to the prefill of its engine; 0 after
    /// the first token.
    std::int64_t prefillTokens = 0;
    /// Estimated KV memory, in tokens, that the running attempt adds to its engine.
    std::int64_t kvTokens = 0;
    /// Tokens charged to the workspace for the running attempt.
    double chargedTokens = 0;
    /// Whether an attempt of the task may have run.
    bool mayHaveRun = false;
    /// Whether the task runs only on an engine that runs no other suspect.
    bool suspect = false;
    /// Number of delivered tokens at which a suspect has got past the point of the crash.
    std::int64_t clearedAtTokens = std::numeric_limits<std::int64_t>::max();
    /// Whether a crash of the engine during the running attempt has been recorded.
    bool crashRecorded = false;

    bool isOnline() const { return task.kind == TaskKind::Online; }
    bool isRunning() const { return phase == Phase::Running || phase == Phase::Preempting; }
    std::int64_t contextTokens() const { return task.promptTokens + deliveredTokens; }
    std::int64_t remainingTokens() const { return task.maxTokens - deliveredTokens; }
};

} // namespace rattanrill::policy
