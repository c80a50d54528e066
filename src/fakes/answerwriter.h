#pragma once

#include "rattanrill/fakes/engineeventqueue.h"

#include <optional>
#include <string>

namespace rattanrill::fakes {

/// Response format that the client requested.
struct ResponseFormat
{
    bool chat = false;
    bool stream = false;
};

/// Converts engine events to the body of a complete response or to a stream of server-sent events.
class AnswerWriter
{
public:
    explicit AnswerWriter(ResponseFormat format);

    /// Returns the bytes to send for \a delivered; empty when there are none yet.
    std::string write(const DeliveredEvent &delivered);
    bool finished() const { return m_finished; }
    /// Number of Token events passed to write() so far.
    std::int64_t tokens() const { return m_tokens; }

private:
    std::string tokenEvent(const DeliveredEvent &delivered) const;
    std::string finalEvents(const DeliveredEvent &delivered) const;
    std::string completeResponse(const DeliveredEvent &delivered) const;

    ResponseFormat m_format;
    std::string m_text;
    std::int64_t m_tokens = 0;
    bool m_finished = false;
};

} // namespace rattanrill::fakes
