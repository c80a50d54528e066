#include "streamreader.h"

#include "rattanrill/base/concat.h"

namespace rattanrill::engine {
namespace {

constexpr std::string_view dataPrefix = "data:";
constexpr std::string_view doneMarker = "[DONE]";
/// Maximum length of a line. Valid events are shorter; the limit prevents a faulty engine from
/// exhausting the memory of this process.
constexpr std::size_t maxLineBytes = 4u << 20;
/// After this many consecutive dropped events, the stream is treated as that of another request.
/// Reading it to its end would only delay the next attempt.
constexpr std::uint64_t maxConsecutiveDrops = 16;

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.back() == '\r' || text.back() == ' '))
        text.remove_suffix(1);
    while (!text.empty() && text.front() == ' ')
        text.remove_prefix(1);
    return text;
}

std::string stringAt(const Json &object, const char *key)
{
    const auto member = object.find(key);
    return member != object.end() && member->is_string() ? member->get<std::string>()
                                                         : std::string();
}

/// Returns the text of a choice, either of the chat or of the completions endpoint.
std::string textOf(const Json &choice)
{
    const auto delta = choice.find("delta");
    if (delta != choice.end() && delta->is_object())
        return stringAt(*delta, "content");
    return stringAt(choice, "text");
}

const Json *firstChoice(const Json &event)
{
    const auto choices = event.find("choices");
    if (choices == event.end() || !choices->is_array() || choices->empty())
        return nullptr;
    return choices->front().is_object() ? &choices->front() : nullptr;
}

} // namespace

StreamReader::StreamReader(std::string requestId, std::uint64_t deliveredTokens,
                           TokenHandler onToken)
    : m_requestId(std::move(requestId))
    , m_nextIndex(deliveredTokens)
    , m_onToken(std::move(onToken))
{}

bool StreamReader::feed(std::string_view bytes)
{
    if (!m_breakReason.empty())
        return false;
    m_buffer += bytes;
    std::size_t start = 0;
    for (std::size_t end = m_buffer.find('\n'); end != std::string::npos;
         end = m_buffer.find('\n', start)) {
        if (!handleLine(trimmed(std::string_view(m_buffer).substr(start, end - start))))
            return false;
        start = end + 1;
    }
    m_buffer.erase(0, start);
    if (m_buffer.size() > maxLineBytes)
        return markBroken("an event is longer than 4 MiB");
    return true;
}

Outcome<StreamSummary> StreamReader::finish() const
{
    if (!m_breakReason.empty())
        return mayHaveRun(ErrorCode::StreamBroken, m_breakReason);
    if (!m_done)
        return mayHaveRun(ErrorCode::StreamBroken, "the stream ended without [DONE]");
    if (!m_summary)
        return mayHaveRun(ErrorCode::StreamBroken, "the stream ended without a finish reason");
    return *m_summary;
}

bool StreamReader::handleLine(std::string_view line)
{
    if (m_done || line.substr(0, dataPrefix.size()) != dataPrefix)
        return true;
    const std::string_view data = trimmed(line.substr(dataPrefix.size()));
    if (data == doneMarker) {
        m_done = true;
        return true;
    }
    const Json event = Json::parse(data.begin(), data.end(), nullptr, false);
    if (!event.is_object())
        return markBroken("an event is not a JSON object");
    return handleEvent(event);
}

bool StreamReader::handleEvent(const Json &event)
{
    if (stringAt(event, "request_id") != m_requestId)
        return dropEvent();
    if (m_summary)
        return dropEvent();
    const Json *choice = firstChoice(event);
    if (choice == nullptr)
        return markBroken("an event has no choice");
    const std::string text = textOf(*choice);
    const std::string reason = stringAt(*choice, "finish_reason");
    // The last event may carry no token. handleFinish() checks that no token is missing before it.
    if ((reason.empty() || !text.empty()) && !handleToken(event, text))
        return false;
    if (!reason.empty() && m_breakReason.empty()) {
        handleFinish(event, reason);
        ++m_events;
    }
    return m_breakReason.empty();
}

bool StreamReader::handleToken(const Json &event, const std::string &text)
{
    const auto index = event.find("index");
    if (index == event.end() || !index->is_number_integer())
        return markBroken("an event has no token index");
    const auto position = index->get<std::uint64_t>();
    if (position < m_nextIndex)
        return dropEvent();
    if (position > m_nextIndex)
        return markBroken(
                concat("expected token ", m_nextIndex, " but token ", position, " was received"));
    m_consecutiveDrops = 0;
    ++m_events;
    ++m_nextIndex;
    m_onToken(Token{position, text});
    return true;
}

void StreamReader::handleFinish(const Json &event, const std::string &reason)
{
    const auto index = event.find("index");
    if (index != event.end() && index->is_number_integer()
        && index->get<std::uint64_t>() > m_nextIndex) {
        markBroken(concat("token ", m_nextIndex, " is missing before the end of the stream"));
        return;
    }
    StreamSummary summary;
    summary.finishReason = reason;
    summary.tokens = m_nextIndex;
    const auto usage = event.find("usage");
    if (usage != event.end() && usage->is_object())
        summary.usage = dumpJson(*usage);
    m_summary = std::move(summary);
}

bool StreamReader::dropEvent()
{
    ++m_dropped;
    if (++m_consecutiveDrops >= maxConsecutiveDrops)
        return markBroken(
                "too many consecutive events belong to another request or repeat a token");
    return true;
}

bool StreamReader::markBroken(std::string reason)
{
    m_breakReason = std::move(reason);
    return false;
}

} // namespace rattanrill::engine
