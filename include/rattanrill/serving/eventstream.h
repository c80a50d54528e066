#pragma once

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
    /// Absent when the event has no numeric id.
    std::optional<std::int64_t> id;
    /// Its data lines, joined by line feeds.
    std::string data;
    /// All its bytes with the empty line at its end.
    std::string bytes;
};

/// Cuts the bytes of a text/event-stream into whole events.
class EventSplitter
{
public:
    /// Appends the events that \a bytes complete to \a events.
    void feed(std::string_view bytes, std::vector<StreamEvent> &events);
    /// Bytes of an event that is not complete.
    const std::string &rest() const { return m_pending; }
    /// Forgets an incomplete event, whose upstream has broken off.
    void reset() { m_pending.clear(); }

private:
    std::string m_pending;
};

/// What becomes of an event of a stream that may have been resumed.
enum class SequenceCheck {
    InOrder,
    /// It was delivered before.
    Repeated,
    /// An event before it is missing.
    Gap,
};

/// Keeps a stream whole over resumes: ids rise by one from where the stream began.
class StreamPosition
{
public:
    /// \a lastId: the event after which the caller wants to go on; absent for a whole stream.
    explicit StreamPosition(std::optional<std::int64_t> lastId)
        : m_lastId(lastId)
    {}

    /// Notes a delivered event.
    SequenceCheck advance(const StreamEvent &event);
    /// Last delivered id; absent before the first one.
    std::optional<std::int64_t> lastId() const { return m_lastId; }

private:
    std::optional<std::int64_t> m_lastId;
};

} // namespace rattanrill::serving
