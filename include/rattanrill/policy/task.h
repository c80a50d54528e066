#pragma once

#include "absl/time/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::policy {

/// Number of one request or batch item, unique within an entry process. All tries share it.
using TaskId = std::uint64_t;

enum class TaskKind {
    Online,
    Batch,
};

std::string_view name(TaskKind kind);

/// One request or batch item as the scheduler needs to know it.
struct Task
{
    TaskId id = 0;
    std::string workspace;
    TaskKind kind = TaskKind::Online;
    std::string model;
    std::int64_t promptTokens = 0;
    std::int64_t maxTokens = 0;
    /// Online: latest time at which the caller still wants the first token. Batch: time by which
    /// the job must be done.
    absl::Time deadline = absl::InfiniteFuture();
    /// Stable hashes of the first 64, 128, 256, ... bytes of the prompt, shortest first.
    std::vector<std::uint64_t> prefixHashes;
    /// Stable hash of workspace, model and body; equal when a caller resends the request.
    std::string fingerprint;
    /// May run more than once. Batch items always are.
    bool idempotent = true;
    /// The rate grant covers it. Work outside the contract is refused first under overload.
    bool insideContract = true;
    /// Tokens that an earlier holder of the work already delivered.
    std::int64_t deliveredTokens = 0;
    /// Exported KV cache of an earlier holder; empty for none.
    std::string kvHandle;
};

} // namespace rattanrill::policy
