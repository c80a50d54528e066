#pragma once

#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::policy {

/// Id of a request or batch item, unique within an entry process. All attempts share it.
using TaskId = std::uint64_t;

/// Online tasks have a waiting caller; batch tasks are items of a job.
enum class TaskKind {
    Online,
    Batch,
};

std::string_view name(TaskKind kind);
std::optional<TaskKind> taskKindFromName(std::string_view name);

/// One request or batch item, with the properties that the scheduler uses.
struct Task
{
    TaskId id = 0;
    std::string workspace;
    TaskKind kind = TaskKind::Online;
    std::string model;
    std::int64_t promptTokens = 0;
    /// Largest number of tokens to generate.
    std::int64_t maxTokens = 0;
    /// Online: latest time at which the first token is still useful to the caller. Batch: time by
    /// which the job must be completed.
    absl::Time deadline = absl::InfiniteFuture();
    /// Stable hashes of the first 64, 128, 256, ... bytes of the prompt, shortest first.
    std::vector<std::uint64_t> prefixHashes;
    /// Stable hash of workspace, model and body; equal when a caller resends the request.
    std::string fingerprint;
    /// Whether the request may run more than once. Batch items are always idempotent.
    bool idempotent = true;
    /// Whether a rate grant covers the task. Tasks outside the contract are rejected first under
    /// overload.
    bool insideContract = true;
    /// Number of tokens that were delivered before the task arrived at this entry.
    std::int64_t deliveredTokens = 0;
    /// Handle of the KV cache that was exported before the task arrived at this entry; empty for
    /// none.
    std::string kvHandle;
};

} // namespace rattanrill::policy
