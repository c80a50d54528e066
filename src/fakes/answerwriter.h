#pragma once

#include "rattanrill/fakes/engineeventqueue.h"

#include <optional>
#include <string>

namespace rattanrill::fakes {

/// Response format that the client requested.
struct AnswerFormat
{
    bool chat = false;
    bool stream = false;
};

/// Converts engine events to the body of a complete answer or of a stream of server-sent events.
class AnswerWriter
{
public:
    explicit AnswerWriter(AnswerFormat format);

    /// Bytes to send for \a delivered; empty when there are none yet.
    std::string write(const DeliveredEvent &delivered);
    bool finished() const { return m_finished; }
    /// Number of Token events passed to write() so far.
    std::int64_t tokens() const { return m_tokens; }

private:
    std::string tokenEvent(const DeliveredEvent &delivered) const;
    std::string lastEvent(const DeliveredEvent &delivered) const;
    std::string wholeAnswer(const DeliveredEvent &delivered) const;

    AnswerFormat m_format;
    std::string m_text;
    std::int64_t m_tokens = 0;
    bool m_finished = false;
};

} // namespace rattanrill::fakes
