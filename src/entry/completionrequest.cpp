#include "completionrequest.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"

namespace rattanrill::entry {
namespace {

/// Estimated numbers of tokens, used for admission when the caller sets no limit; the engine
/// applies its own limit.
constexpr std::int64_t defaultCompletionTokens = 16;
constexpr std::int64_t defaultChatTokens = 256;
constexpr std::int64_t estimatedBytesPerToken = 4;
/// Length of the shortest prompt prefix whose hash the scheduler receives; each further prefix is
/// twice as long as the one before.
constexpr std::size_t firstPrefixBytes = 64;

boost::leaf::error_id invalid(std::string detail)
{
    return fail(notRun(ErrorCode::InvalidRequest, std::move(detail)));
}

Result<std::string> textOf(const Json &value, std::string_view what)
{
    if (value.is_string())
        return value.get<std::string>();
    // Some client libraries send a list of text parts.
    if (!value.is_array())
        return invalid(concat(what, " must be a string"));
    std::string text;
    for (const Json &part : value) {
        if (part.is_string())
            text += part.get<std::string>();
        else if (part.is_object() && part.value("type", Json()) == Json("text"))
            text += part.value("text", std::string());
        else
            return invalid(concat(what, " has a part that is not text"));
    }
    return text;
}

Result<std::string> chatPrompt(const Json &body)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty())
        return invalid("\"messages\" must be a list with at least one message");
    std::string prompt;
    for (const Json &message : *messages) {
        if (!message.is_object() || !message.contains("content"))
            return invalid("each message must be an object with \"content\"");
        BOOST_LEAF_AUTO(text, textOf(message.at("content"), "\"content\""));
        prompt += prompt.empty() ? "" : "\n";
        prompt += text;
    }
    return prompt;
}

Result<std::string> completionPrompt(const Json &body)
{
    const auto prompt = body.find("prompt");
    if (prompt == body.end())
        return invalid("\"prompt\" is missing");
    if (prompt->is_string())
        return prompt->get<std::string>();
    if (prompt->is_array() && prompt->size() == 1 && prompt->front().is_string())
        return prompt->front().get<std::string>();
    return invalid("\"prompt\" must be one string");
}

Result<void> checkChoices(const Json &body)
{
    for (const char *key : {"n", "best_of"}) {
        BOOST_LEAF_AUTO(count, jsonMemberOr<std::int64_t>(body, key, 1));
        if (count != 1)
            return invalid(concat("\"", key, "\" must be 1"));
    }
    return {};
}

Result<std::int64_t> maxTokensOf(const Json &body, bool chat)
{
    const std::int64_t defaultTokens = chat ? defaultChatTokens : defaultCompletionTokens;
    BOOST_LEAF_AUTO(maxCompletionTokens,
                    jsonMemberOr<std::int64_t>(body, "max_completion_tokens", defaultTokens));
    BOOST_LEAF_AUTO(limit, jsonMemberOr<std::int64_t>(body, "max_tokens", maxCompletionTokens));
    if (limit < 1)
        return invalid("\"max_tokens\" must be at least 1");
    return limit;
}

bool requestsStreamUsage(const Json &body)
{
    const auto options = body.find("stream_options");
    return options != body.end() && options->is_object()
           && options->value("include_usage", Json()) == Json(true);
}

/// Request body for engines. Engines always stream, so that an interrupted answer can be resumed.
std::string engineBody(Json body, const std::string &prompt, bool chat, std::int64_t maxTokens)
{
    for (const char *key : {"stream", "stream_options", "request_id", "resume_after", "kv_handle"})
        body.erase(key);
    if (!chat)
        body["prompt"] = prompt;
    if (body.contains("max_completion_tokens"))
        body["max_tokens"] = maxTokens;
    return dumpJson(body);
}

} // namespace

Result<CompletionRequest> parseCompletion(std::string_view path, std::string_view text)
{
    BOOST_LEAF_AUTO(body, parseJson(text, "the request body"));
    CompletionRequest request;
    request.chat = path == chatPath;
    request.path = path;
    BOOST_LEAF_ASSIGN(request.model, jsonMember<std::string>(body, "model"));
    BOOST_LEAF_ASSIGN(request.prompt, request.chat ? chatPrompt(body) : completionPrompt(body));
    BOOST_LEAF_CHECK(checkChoices(body));
    BOOST_LEAF_ASSIGN(request.maxTokens, maxTokensOf(body, request.chat));
    BOOST_LEAF_ASSIGN(request.stream, jsonMemberOr<bool>(body, "stream", false));
    request.streamUsage = requestsStreamUsage(body);
    request.body = engineBody(std::move(body), request.prompt, request.chat, request.maxTokens);
    return request;
}

std::string fingerprintOf(const std::string &workspace, const CompletionRequest &request)
{
    return requestFingerprint(workspace, request.path, request.body);
}

policy::Task taskOf(const std::string &workspace, const CompletionRequest &request,
                    policy::TaskKind kind)
{
    policy::Task task;
    task.workspace = workspace;
    task.kind = kind;
    task.model = request.model;
    task.promptTokens =
            1 + static_cast<std::int64_t>(request.prompt.size()) / estimatedBytesPerToken;
    task.maxTokens = request.maxTokens;
    task.fingerprint = fingerprintOf(workspace, request);
    const std::string_view prompt = request.prompt;
    for (std::size_t size = firstPrefixBytes; size <= prompt.size(); size *= 2)
        task.prefixHashes.push_back(stableHash(prompt.substr(0, size)));
    return task;
}

} // namespace rattanrill::entry
