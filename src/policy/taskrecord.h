#pragma once

#include "rattanrill/policy/task.h"

#include "absl/time/time.h"

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace rattanrill::policy {

/// One work as the scheduler tracks it from arrival to its end.
struct TaskRecord
{
    enum class Phase {
        /// In a fair queue, or among the suspects that wait for isolation.
        Waiting,
        /// Waits for the end of a backoff.
        BackingOff,
        /// A try is on \a engine.
        Running,
        /// As Running; the end of the try has been ordered.
        Preempting,
    };

    Task task;
    Phase phase = Phase::Waiting;
    std::string engine;
    /// Engines on which a try failed.
    std::vector<std::string> excluded;
    std::string kvHandle;
    absl::Time waitingSince;
    absl::Time startedAt;
    /// Keys of the waiting work in the scheduler's ordered sets; estimates change while it waits.
    absl::Time latestStart;
    absl::Time onlineDeadline;
    absl::Time notBefore;
    int attempt = 0;
    int failures = 0;
    int preemptions = 0;
    std::int64_t deliveredTokens = 0;
    absl::Time progressAt;
    /// Prompt tokens that the running try counts as its engine's prefill; 0 from its first token.
    std::int64_t prefillTokens = 0;
    /// Tokens of KV memory that the running try counts on its engine.
    std::int64_t kvTokens = 0;
    /// Tokens charged to the workspace for the running try.
    double charged = 0;
    bool mayHaveRun = false;
    /// Runs only where no other suspect runs.
    bool suspect = false;
    /// A suspect that delivers this many tokens has passed the point of the crash.
    std::int64_t clearedAtTokens = std::numeric_limits<std::int64_t>::max();
    /// The crash of the running try's engine has been counted.
    bool crashCounted = false;

    bool isOnline() const { return task.kind == TaskKind::Online; }
    bool isRunning() const { return phase == Phase::Running || phase == Phase::Preempting; }
    std::int64_t contextTokens() const { return task.promptTokens + deliveredTokens; }
    std::int64_t remainingTokens() const { return task.maxTokens - deliveredTokens; }
};

} // namespace rattanrill::policy
