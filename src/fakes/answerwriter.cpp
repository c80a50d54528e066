#include "answerwriter.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/json.h"
#include "rattanrill/fakes/answer.h"

namespace rattanrill::fakes {
namespace {

Json usageOf(const DeliveredEvent &delivered)
{
    const std::int64_t prompt = promptTokens(delivered.request->prompt.size());
    return {{"prompt_tokens", prompt},
            {"completion_tokens", delivered.event.index},
            {"total_tokens", prompt + delivered.event.index}};
}

Json envelope(const DeliveredEvent &delivered, std::string_view object)
{
    const EngineRequest &request = *delivered.request;
    return {{"request_id", request.requestId},
            {"id", request.requestId},
            {"object", object},
            {"model", request.model}};
}

std::string serverSentEvent(const Json &json)
{
    return concat("data: ", dumpJson(json), "\n\n");
}

std::string_view chunkObject(const ResponseFormat &format)
{
    return format.chat ? "chat.completion.chunk" : "text_completion";
}

Json chunkChoice(const ResponseFormat &format, const std::string &text, const Json &finishReason)
{
    Json choice = {{"index", 0}, {"finish_reason", finishReason}};
    if (format.chat)
        choice["delta"] = {{"content", text}};
    else
        choice["text"] = text;
    return choice;
}

Json completeChoice(const ResponseFormat &format, const std::string &text, FinishReason reason)
{
    Json choice = {{"index", 0}, {"finish_reason", name(reason)}};
    if (format.chat)
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    else
        choice["text"] = text;
    return choice;
}

} // namespace

AnswerWriter::AnswerWriter(ResponseFormat format)
    : m_format(format)
{}

std::string AnswerWriter::write(const DeliveredEvent &delivered)
{
    if (delivered.event.kind == EngineEvent::Kind::Started)
        return {};
    if (delivered.event.kind == EngineEvent::Kind::Token) {
        ++m_tokens;
        if (m_format.stream)
            return tokenEvent(delivered);
        m_text += expectedToken(delivered.request->prompt, delivered.event.index);
        return {};
    }
    m_finished = true;
    return m_format.stream ? finalEvents(delivered) : completeResponse(delivered);
}

std::string AnswerWriter::tokenEvent(const DeliveredEvent &delivered) const
{
    Json json = envelope(delivered, chunkObject(m_format));
    json["index"] = delivered.event.index;
    const std::string token = expectedToken(delivered.request->prompt, delivered.event.index);
    json["choices"] = Json::array({chunkChoice(m_format, token, nullptr)});
    return serverSentEvent(json);
}

std::string AnswerWriter::finalEvents(const DeliveredEvent &delivered) const
{
    Json json = envelope(delivered, chunkObject(m_format));
    json["index"] = delivered.event.index;
    json["choices"] = Json::array({chunkChoice(m_format, "", name(delivered.event.reason))});
    json["usage"] = usageOf(delivered);
    return serverSentEvent(json) + "data: [DONE]\n\n";
}

std::string AnswerWriter::completeResponse(const DeliveredEvent &delivered) const
{
    Json json = envelope(delivered, m_format.chat ? "chat.completion" : "text_completion");
    json["choices"] = Json::array({completeChoice(m_format, m_text, delivered.event.reason)});
    json["usage"] = usageOf(delivered);
    return dumpJson(json);
}

} // namespace rattanrill::fakes
