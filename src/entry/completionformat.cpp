#include "completionformat.h"

#include "rattanrill/base/concat.h"

namespace rattanrill::entry {
namespace {

/// Token usage of the whole answer. The engine's own count of completion tokens covers one attempt
/// only.
Json usageOf(const engine::StreamSummary &summary)
{
    const Json reported = Json::parse(summary.usage, nullptr, false);
    std::int64_t promptTokens = 0;
    if (reported.is_object() && reported.contains("prompt_tokens")
        && reported.at("prompt_tokens").is_number_integer())
        promptTokens = reported.at("prompt_tokens").get<std::int64_t>();
    const auto completionTokens = static_cast<std::int64_t>(summary.tokens);
    return {{"prompt_tokens", promptTokens},
            {"completion_tokens", completionTokens},
            {"total_tokens", promptTokens + completionTokens}};
}

} // namespace

std::string sseEvent(std::string_view data)
{
    return concat("data: ", data, "\n\n");
}

CompletionFormat::CompletionFormat(const CompletionRequest &request, std::string_view requestId,
                                   std::int64_t createdSeconds)
    : m_chat(request.chat)
    , m_streamUsage(request.streamUsage)
    , m_model(request.model)
    , m_id(concat(request.chat ? "chatcmpl-" : "cmpl-", requestId))
    , m_createdSeconds(createdSeconds)
{}

Json CompletionFormat::commonMembers(std::string_view object) const
{
    return {{"id", m_id}, {"object", object}, {"created", m_createdSeconds}, {"model", m_model}};
}

std::string CompletionFormat::answerJson(const std::string &text,
                                         const engine::StreamSummary &summary) const
{
    Json answer = commonMembers(m_chat ? "chat.completion" : "text_completion");
    Json choice = {{"index", 0}, {"logprobs", nullptr}, {"finish_reason", summary.finishReason}};
    if (m_chat)
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    else
        choice["text"] = text;
    answer["choices"] = Json::array({std::move(choice)});
    answer["usage"] = usageOf(summary);
    return dumpJson(answer);
}

Json CompletionFormat::chunk(Json choice) const
{
    Json event = commonMembers(m_chat ? "chat.completion.chunk" : "text_completion");
    choice["index"] = 0;
    choice["logprobs"] = nullptr;
    event["choices"] = Json::array({std::move(choice)});
    return event;
}

std::string CompletionFormat::tokenEvent(const engine::Token &token) const
{
    Json choice = {{"finish_reason", nullptr}};
    if (!m_chat) {
        choice["text"] = token.text;
        return sseEvent(dumpJson(chunk(std::move(choice))));
    }
    choice["delta"] = {{"content", token.text}};
    if (token.index == 0)
        choice["delta"]["role"] = "assistant";
    return sseEvent(dumpJson(chunk(std::move(choice))));
}

std::string CompletionFormat::endEvents(const engine::StreamSummary &summary) const
{
    Json choice = {{"finish_reason", summary.finishReason}};
    if (m_chat)
        choice["delta"] = Json::object();
    else
        choice["text"] = "";
    std::string events = sseEvent(dumpJson(chunk(std::move(choice))));
    if (m_streamUsage) {
        Json usage = chunk(Json::object());
        usage["choices"] = Json::array();
        usage["usage"] = usageOf(summary);
        events += sseEvent(dumpJson(usage));
    }
    return events + sseEvent("[DONE]");
}

} // namespace rattanrill::entry
