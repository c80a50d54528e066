#pragma once

#include "rattanrill/net/message.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace rattanrill::net {

/// Reads one response from the bytes of a connection, apart from any input or output. Interim
/// responses and responses to other requests are passed over.
class ResponseParser
{
public:
    enum class State {
        Reading,
        /// The response ended as its framing says.
        Complete,
        /// The bytes are no response, or the connection ended inside one.
        Broken,
    };

    struct Handlers
    {
        /// Returns false when the response belongs to another request.
        std::function<bool(const ResponseHead &)> head;
        std::function<void(std::string_view)> body;
    };

    explicit ResponseParser(Handlers handlers);
    ~ResponseParser();

    void feed(std::string_view bytes);
    /// The connection was closed in order by the other side.
    void end();
    State state() const { return m_state; }
    /// Bytes follow the complete response; they belong to no request.
    bool hasExtraBytes() const { return !m_pending.empty(); }
    /// The connection may carry another request. Valid when complete.
    bool keepsAlive() const { return m_keepsAlive; }

private:
    struct Parser;

    void startResponse();
    bool step();
    void noteHeader();
    void passBody();
    void noteDone();

    Handlers m_handlers;
    std::unique_ptr<Parser> m_parser;
    std::string m_pending;
    State m_state = State::Reading;
    bool m_headerSeen = false;
    bool m_isOwn = true;
    bool m_keepsAlive = false;
};

} // namespace rattanrill::net
