#pragma once

#include "rattanrill/base/json.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rattanrill::load {

/// Reads the server-sent events of a streamed completion as they arrive.
class StreamReader
{
public:
    /// Parses \a bytes; returns the number of tokens that they completed.
    int feed(std::string_view bytes);

    const std::string &text() const { return m_text; }
    std::int64_t tokens() const { return m_tokens; }
    const std::string &finishReason() const { return m_finishReason; }
    /// Whether "data: [DONE]" was received.
    bool done() const { return m_done; }
    /// The typed error that ended the stream, if any.
    const std::optional<Json> &error() const { return m_error; }
    /// First violation of the stream format; empty when there was none.
    const std::string &formatError() const { return m_formatError; }

private:
    int readLine(std::string_view line);
    int readEvent(const Json &event);
    void recordFormatError(std::string message);

    std::string m_incompleteLine;
    std::string m_text;
    std::int64_t m_tokens = 0;
    std::string m_finishReason;
    bool m_done = false;
    std::optional<Json> m_error;
    std::string m_formatError;
};

} // namespace rattanrill::load
