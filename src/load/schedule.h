#pragma once

#include "loadplan.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rattanrill::load {

enum class RequestKind {
    NonStreamed,
    Stream,
    Service,
};

std::string_view name(RequestKind kind);

/// One request of the schedule.
struct PlannedRequest
{
    /// Time of the send, relative to the start of the run.
    absl::Duration at;
    RequestKind kind = RequestKind::NonStreamed;
    std::string requestId;
    std::string workspace;
    std::string key;
    std::string method = "POST";
    std::string path;
    std::string body;
    /// Empty when the request has none.
    std::string idempotencyKey;
    int resends = 0;
    /// For completions: prompt and number of tokens, from which the expected text is computed.
    std::string prompt;
    std::int64_t maxTokens = 0;
    /// Index of the target in the plan.
    std::size_t target = 0;
};

/// Returns all requests of the plan, ordered by time. The same plan and prompts yield the same
/// requests. Each workspace and service call has its own random generator, seeded from the seed of
/// the plan.
/// Fails with InvalidRequest when a prompt line has neither "prompt" nor "messages".
Result<std::vector<PlannedRequest>> makeSchedule(const LoadPlan &plan,
                                                 const std::vector<Json> &prompts);

} // namespace rattanrill::load
