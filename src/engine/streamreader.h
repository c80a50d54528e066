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
/// request and continues it. An event of another request and a repeated token are dropped and
/// counted; a gap or an end without "[DONE]" is a broken stream.
class StreamReader
{
public:
    using TokenHandler = std::function<void(const Token &token)>;

    StreamReader(std::string requestId, std::uint64_t resumeAfter, TokenHandler onToken);

    /// Takes the next bytes of the body; false when the stream is broken.
    bool feed(std::string_view bytes);
    /// How the stream ended. Fails with StreamBroken when it is not complete.
    Outcome<StreamSummary> finish() const;
    std::uint64_t dropped() const { return m_dropped; }
    /// "[DONE]" has arrived.
    bool complete() const { return m_done; }

private:
    bool handleLine(std::string_view line);
    bool handleEvent(const Json &event);
    bool handleToken(const Json &event, const std::string &text);
    void handleEnd(const Json &event, const std::string &reason);
    bool drop();
    bool breakStream(std::string reason);

    std::string m_requestId;
    std::uint64_t m_next;
    TokenHandler m_onToken;
    std::string m_buffer;
    std::optional<StreamSummary> m_end;
    std::string m_broken;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedInRow = 0;
    bool m_done = false;
};

} // namespace rattanrill::engine
