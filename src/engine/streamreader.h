#pragma once

#include "rattanrill/base/json.h"
#include "rattanrill/engine/streamevents.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace rattanrill::engine {

/// Reads the server-sent events of one completion stream and checks that each belongs to the
/// request and continues it. Events of other requests and repeated tokens are dropped and counted.
/// The stream is broken when a token is missing or when it ends without "[DONE]".
class StreamReader
{
public:
    using TokenHandler = std::function<void(const Token &token)>;

    StreamReader(std::string requestId, std::uint64_t deliveredTokens, TokenHandler onToken);

    /// Processes the next bytes of the body. Returns false when the stream is broken.
    bool feed(std::string_view bytes);
    /// Returns how the stream ended. Fails with StreamBroken when it is broken or not complete.
    Outcome<StreamSummary> finish() const;
    /// Number of events that belonged to the request and were not dropped.
    std::uint64_t events() const { return m_events; }
    /// Number of dropped events.
    std::uint64_t dropped() const { return m_dropped; }
    /// Whether "[DONE]" was received.
    bool complete() const { return m_done; }

private:
    // The handle functions and dropEvent() return false when the stream is broken.
    bool handleLine(std::string_view line);
    bool handleEvent(const Json &event);
    bool handleToken(const Json &event, const std::string &text);
    void handleFinish(const Json &event, const std::string &reason);
    bool dropEvent();
    /// Marks the stream as broken. Always returns false.
    bool markBroken(std::string reason);

    std::string m_requestId;
    /// Index of the next token.
    std::uint64_t m_nextIndex;
    TokenHandler m_onToken;
    /// Bytes of a line that is not complete yet.
    std::string m_buffer;
    /// Set by the event with a finish reason.
    std::optional<StreamSummary> m_summary;
    /// Why the stream is broken; empty while it is intact.
    std::string m_breakReason;
    std::uint64_t m_events = 0;
    std::uint64_t m_dropped = 0;
    /// Number of events dropped since the last token was passed to the handler.
    std::uint64_t m_consecutiveDrops = 0;
    bool m_done = false;
};

} // namespace rattanrill::engine
