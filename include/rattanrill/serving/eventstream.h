#pragma once

#include "rattanrill/net/message.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::serving {

/// One server-sent event.
struct StreamEvent
{
    /// Value of the id field; absent when the event has no numeric id.
    std::optional<std::int64_t> id;
    /// Values of the data fields, joined by line feeds.
    std::string data;
    /// Bytes of the event as received, including the empty line that ends it.
    std::string bytes;
    /// Whether the event has a data field, which may be empty.
    bool hasData = false;

    /// False for a comment, which does not advance the stream.
    bool hasContent() const { return id.has_value() || hasData; }
};

/// Splits the bytes of a text/event-stream into complete events.
class EventSplitter
{
public:
    /// Maximum size of one event in bytes. Bytes without end that never complete an event would
    /// otherwise exhaust the memory of the process.
    static constexpr std::size_t maxEventBytes = std::size_t(1) << 20;

    /// Appends to \a events those that are complete with \a bytes.
    void feed(std::string_view bytes, std::vector<StreamEvent> &events);
    /// Whether the incomplete event exceeds maxEventBytes.
    bool isEventTooLong() const { return m_pending.size() > maxEventBytes; }
    /// Bytes received so far of an incomplete event.
    const std::string &incompleteEvent() const { return m_pending; }
    /// Discards an incomplete event after the connection to its upstream was lost.
    void reset() { m_pending.clear(); }

private:
    std::string m_pending;
};

/// Whether a stream whose response ended was broken off by its upstream: it ends inside an event,
/// or it has no event at all and only the end of the connection marks its end. \a hasEvents: an
/// event was received in this response.
bool isBrokenOff(const net::ResponseHead &head, const EventSplitter &splitter, bool hasEvents);

/// Result of checking an event's id in a stream that may have been resumed.
enum class SequenceCheck {
    InOrder,
    /// The event was delivered before.
    Repeated,
    /// At least one event before this one is missing.
    Gap,
    /// The event has data but no id, and nothing shows that the attempt continues the stream.
    Unnumbered,
};

/// Detects repeated, missing and foreign events when a stream is resumed by another attempt. Ids
/// must increase by one from the position where the stream began.
class StreamPosition
{
public:
    /// \a lastId: the event after which the stream is resumed; absent for a complete stream.
    explicit StreamPosition(std::optional<std::int64_t> lastId)
        : m_lastId(lastId)
        , m_isResumed(lastId.has_value())
    {}

    /// Starts with the first event of another attempt, which resumes the stream after lastId().
    void beginAttempt();
    /// Checks \a event and, when it is in order, makes it the last delivered one. Once the attempt
    /// has reached the last numbered event, an event without an id is in order. Before that it is
    /// Repeated while earlier events are repeated or if it is a comment, and otherwise Unnumbered.
    SequenceCheck advance(const StreamEvent &event);
    /// Id of the last delivered event; absent before the first one.
    std::optional<std::int64_t> lastId() const { return m_lastId; }
    /// Whether the last delivered event has an id, after which another attempt can resume. True
    /// before the first event.
    bool isResumable() const { return !m_hasUnnumberedTail; }
    /// Whether the attempt has received an event with content.
    bool hasReceivedEvent() const { return m_hasReceivedEvent; }
    /// Whether the last event of the attempt is the last delivered one. The end of any other
    /// attempt is not the end of the stream.
    bool hasReachedLast() const { return m_attemptLastId == m_lastId; }

private:
    bool isBehind() const;

    std::optional<std::int64_t> m_lastId;
    /// Whether events with content but no id were delivered after m_lastId.
    bool m_hasUnnumberedTail = false;
    /// The following members concern the current attempt.
    std::optional<std::int64_t> m_attemptLastId;
    bool m_isResumed = false;
    bool m_hasReceivedEvent = false;
};

} // namespace rattanrill::serving
