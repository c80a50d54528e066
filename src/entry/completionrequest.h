#pragma once

#include "rattanrill/base/json.h"
#include "rattanrill/policy/task.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace rattanrill::entry {

constexpr std::string_view completionsPath = "/v1/completions";
constexpr std::string_view chatPath = "/v1/chat/completions";

/// A caller's completion request after validation.
struct CompletionRequest
{
    bool chat = false;
    std::string path;
    std::string model;
    /// Prompt, or the contents of the messages joined with a newline.
    std::string prompt;
    std::int64_t maxTokens = 0;
    bool stream = false;
    /// Whether the caller requested a usage event at the end of the stream.
    bool streamUsage = false;
    /// JSON object to send to engines, without the members that control how the answer is
    /// delivered.
    std::string body;
};

/// Fails with InvalidRequest.
Result<CompletionRequest> parseCompletion(std::string_view path, std::string_view body);

/// Hash of workspace, path and body that identifies a request that crashes upstreams. It does not
/// depend on how the answer is delivered.
std::string fingerprintOf(const std::string &workspace, const CompletionRequest &request);

/// Converts \a request to a task for the scheduler. The caller sets its id and deadline.
policy::Task taskOf(const std::string &workspace, const CompletionRequest &request,
                    policy::TaskKind kind);

} // namespace rattanrill::entry
