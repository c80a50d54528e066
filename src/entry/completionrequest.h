#pragma once

#include "rattanrill/base/json.h"
#include "rattanrill/policy/task.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace rattanrill::entry {

constexpr std::string_view completionsPath = "/v1/completions";
constexpr std::string_view chatPath = "/v1/chat/completions";

/// A caller's completion request, checked.
struct CompletionRequest
{
    bool chat = false;
    std::string path;
    std::string model;
    /// Prompt, or the contents of the messages joined with a newline.
    std::string prompt;
    std::int64_t maxTokens = 0;
    bool stream = false;
    /// The caller asked for a usage event at the end of the stream.
    bool streamUsage = false;
    /// JSON object without members of the transport, as it goes to engines.
    std::string body;
};

/// Fails with InvalidRequest.
Result<CompletionRequest> parseCompletion(std::string_view path, std::string_view body);

/// Hash of workspace, path and body by which a request that crashes upstreams is recognized. How
/// the answer is delivered does not count.
std::string fingerprintOf(const std::string &workspace, const CompletionRequest &request);

/// \a request as the scheduler needs to know it; id and due time are left to the caller.
policy::Task taskOf(const std::string &workspace, const CompletionRequest &request,
                    policy::TaskKind kind);

} // namespace rattanrill::entry
