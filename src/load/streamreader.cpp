#include "streamreader.h"

#include "rattanrill/base/concat.h"

#include <utility>

namespace rattanrill::load {
namespace {

constexpr std::string_view dataPrefix = "data: ";

/// Returns the first element of "choices"; null when there is none.
Json firstChoice(const Json &event)
{
    const Json choices = event.value("choices", Json::array());
    return choices.is_array() && !choices.empty() ? choices.front() : Json();
}

std::string textOf(const Json &choice)
{
    if (!choice.is_object())
        return {};
    const Json text = choice.contains("delta") ? choice.at("delta").value("content", Json(""))
                                               : choice.value("text", Json(""));
    return text.is_string() ? text.get<std::string>() : std::string();
}

} // namespace

int StreamReader::feed(std::string_view bytes)
{
    m_incompleteLine += bytes;
    int tokens = 0;
    std::size_t start = 0;
    for (std::size_t end = m_incompleteLine.find('\n'); end != std::string::npos;
         end = m_incompleteLine.find('\n', start)) {
        tokens += readLine(std::string_view(m_incompleteLine).substr(start, end - start));
        start = end + 1;
    }
    m_incompleteLine.erase(0, start);
    return tokens;
}

int StreamReader::readLine(std::string_view line)
{
    if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
    if (line.substr(0, dataPrefix.size()) != dataPrefix)
        return 0;
    line.remove_prefix(dataPrefix.size());
    if (m_done) {
        recordFormatError("event after [DONE]");
        return 0;
    }
    if (line == "[DONE]") {
        m_done = true;
        return 0;
    }
    const auto event = outcomeOf([&] { return parseJson(line, "event"); });
    if (event.ok() && event.value().is_object())
        return readEvent(event.value());
    recordFormatError("event is not a JSON object");
    return 0;
}

int StreamReader::readEvent(const Json &event)
{
    if (event.contains("error")) {
        m_error = event.at("error");
        return 0;
    }
    const Json choice = firstChoice(event);
    const std::string text = textOf(choice);
    if (choice.is_object() && choice.contains("finish_reason")
        && choice.at("finish_reason").is_string())
        m_finishReason = choice.at("finish_reason");
    if (text.empty())
        return 0;
    // The index is optional. Where it is present, it reveals a repeated or missing token.
    const Json index = event.value("index", Json());
    if (index.is_number_integer() && index.get<std::int64_t>() != m_tokens)
        recordFormatError(
                concat("index ", index.get<std::int64_t>(), " received, ", m_tokens, " expected"));
    m_text += text;
    ++m_tokens;
    return 1;
}

void StreamReader::recordFormatError(std::string message)
{
    if (m_formatError.empty())
        m_formatError = std::move(message);
}

} // namespace rattanrill::load
