#include "rattanrill/serving/eventstream.h"

#include <algorithm>
#include <charconv>

namespace rattanrill::serving {
namespace {

/// Returns the length of the first event in \a text including the empty line that ends it, or 0
/// when the event is incomplete. The search for the empty line starts at \a from.
std::size_t eventLength(std::string_view text, std::size_t from)
{
    for (std::size_t at = text.find('\n', from); at != std::string_view::npos;
         at = text.find('\n', at + 1)) {
        if (at + 1 < text.size() && text[at + 1] == '\n')
            return at + 2;
        if (at + 2 < text.size() && text[at + 1] == '\r' && text[at + 2] == '\n')
            return at + 3;
    }
    return 0;
}

std::string_view fieldValue(std::string_view line, std::size_t nameLength)
{
    line.remove_prefix(nameLength + 1);
    if (!line.empty() && line.front() == ' ')
        line.remove_prefix(1);
    return line;
}

bool isField(std::string_view line, std::string_view name)
{
    return line.size() > name.size() && line.substr(0, name.size()) == name
           && line[name.size()] == ':';
}

void parseLine(std::string_view line, StreamEvent &event)
{
    if (isField(line, "id")) {
        const std::string_view value = fieldValue(line, 2);
        std::int64_t id = 0;
        const auto parsed = std::from_chars(value.data(), value.data() + value.size(), id);
        if (parsed.ec == std::errc() && parsed.ptr == value.data() + value.size())
            event.id = id;
    } else if (isField(line, "data")) {
        if (event.hasData)
            event.data += '\n';
        event.data += fieldValue(line, 4);
        event.hasData = true;
    }
}

StreamEvent parseEvent(std::string_view text)
{
    StreamEvent event;
    event.bytes = std::string(text);
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        std::string_view line = text.substr(0, end);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        parseLine(line, event);
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return event;
}

} // namespace

void EventSplitter::feed(std::string_view bytes, std::vector<StreamEvent> &events)
{
    // The empty line that ends an event may be split between the pending and the new bytes, so the
    // search starts before the end of the pending ones.
    std::size_t from = m_pending.size() < 3 ? 0 : m_pending.size() - 3;
    m_pending.append(bytes);
    std::size_t begin = 0;
    while (true) {
        const std::string_view text = std::string_view(m_pending).substr(begin);
        const std::size_t length = eventLength(text, from);
        if (length == 0)
            break;
        events.push_back(parseEvent(text.substr(0, length)));
        begin += length;
        from = 0;
    }
    m_pending.erase(0, begin);
}

bool isBrokenOff(const net::ResponseHead &head, const EventSplitter &splitter, bool hasEvents)
{
    const bool endsWithConnection = head.headers.find("Content-Length") == nullptr
                                    && head.headers.find("Transfer-Encoding") == nullptr;
    return !splitter.incompleteEvent().empty() || (endsWithConnection && !hasEvents);
}

void StreamPosition::beginAttempt()
{
    m_hasUnnumberedTail = false;
    m_attemptLastId.reset();
    m_isResumed = m_lastId.has_value();
    m_hasReceivedEvent = false;
}

/// Whether the attempt is repeating events before the last delivered one.
bool StreamPosition::isBehind() const
{
    return m_attemptLastId && *m_attemptLastId < *m_lastId;
}

SequenceCheck StreamPosition::advance(const StreamEvent &event)
{
    m_hasReceivedEvent = m_hasReceivedEvent || event.hasContent();
    if (!event.id) {
        if (m_isResumed && !hasReachedLast())
            return event.hasContent() && !isBehind() ? SequenceCheck::Unnumbered
                                                     : SequenceCheck::Repeated;
        m_hasUnnumberedTail = m_hasUnnumberedTail || event.hasContent();
        return SequenceCheck::InOrder;
    }
    m_attemptLastId = event.id;
    if (m_lastId && *event.id <= *m_lastId)
        return SequenceCheck::Repeated;
    if (m_lastId && *event.id != *m_lastId + 1)
        return SequenceCheck::Gap;
    m_lastId = event.id;
    m_hasUnnumberedTail = false;
    return SequenceCheck::InOrder;
}

} // namespace rattanrill::serving
