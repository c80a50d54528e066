#pragma once

#include "loadplan.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rattanrill::load {

enum class RequestKind {
    Whole,
    Stream,
    Service,
};

std::string_view name(RequestKind kind);

/// One request that the plan sends.
struct PlannedRequest
{
    /// Since the start of the run.
    absl::Duration at;
    RequestKind kind = RequestKind::Whole;
    std::string requestId;
    std::string workspace;
    std::string key;
    std::string method = "POST";
    std::string path;
    std::string body;
    /// Empty: none.
    std::string idempotencyKey;
    int resends = 0;
    /// Completions: what the answer is checked against.
    std::string prompt;
    std::int64_t maxTokens = 0;
    std::size_t target = 0;
};

/// All requests of the plan in order of time. The same plan and prompts give the same requests:
/// each workspace and service call has a generator of its own, seeded from the plan's seed.
/// Fails with InvalidRequest when a prompt line has neither "prompt" nor "messages".
Result<std::vector<PlannedRequest>> makeSchedule(const LoadPlan &plan,
                                                 const std::vector<Json> &prompts);

} // namespace rattanrill::load
