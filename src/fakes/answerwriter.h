#pragma once

#include "rattanrill/fakes/engineeventqueue.h"

#include <optional>
#include <string>

namespace rattanrill::fakes {

/// Form in which a caller asked for the answer.
struct AnswerForm
{
    bool chat = false;
    bool stream = false;
};

/// Turns engine events into the bytes of a whole answer or of server-sent events.
class AnswerWriter
{
public:
    explicit AnswerWriter(AnswerForm form);

    /// Bytes to send for \a delivered; empty when there are none yet.
    std::string write(const DeliveredEvent &delivered);
    bool finished() const { return m_finished; }
    /// Tokens taken so far.
    std::int64_t tokens() const { return m_tokens; }

private:
    std::string tokenEvent(const DeliveredEvent &delivered) const;
    std::string lastEvent(const DeliveredEvent &delivered) const;
    std::string wholeAnswer(const DeliveredEvent &delivered) const;

    AnswerForm m_form;
    std::string m_text;
    std::int64_t m_tokens = 0;
    bool m_finished = false;
};

} // namespace rattanrill::fakes
