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
/// event of the stream was received in this or an earlier attempt.
bool isBrokenOff(const net::ResponseHead &head, const EventSplitter &splitter, bool hasEvents);

/// Result of checking an event's id in a stream that may have been resumed.
enum class SequenceCheck {
    InOrder,
    /// The event was delivered before.
    Repeated,
    /// At least one event before this one is missing.
    Gap,
};

/// Detects repeated and missing events when a stream is resumed. Ids must increase by one from the
/// position where the stream began.
class StreamPosition
{
public:
    /// \a lastId: the event after which the caller resumes; absent for a complete stream.
    explicit StreamPosition(std::optional<std::int64_t> lastId)
        : m_lastId(lastId)
    {}

    /// Checks \a event and, when it is in order, makes it the last delivered one. An event without
    /// an id is always in order.
    SequenceCheck advance(const StreamEvent &event);
    /// Id of the last delivered event; absent before the first one.
    std::optional<std::int64_t> lastId() const { return m_lastId; }

private:
    std::optional<std::int64_t> m_lastId;
};

} // namespace rattanrill::serving
