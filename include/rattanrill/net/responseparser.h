#pragma once

#include "rattanrill/net/message.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace rattanrill::net {

/// Parses one response in the byte stream of a connection. It performs no input or output itself.
/// Interim responses (1xx) and responses to other requests are skipped.
class ResponseParser
{
public:
    enum class State {
        Reading,
        /// The response is complete according to its framing.
        Complete,
        /// The bytes are not a valid response, or the connection was closed before its end.
        Broken,
    };

    /// Callbacks that receive the parts of the response during feed() or handleEof().
    struct Handlers
    {
        /// Returns false when the response belongs to another request.
        std::function<bool(const ResponseHead &)> onHead;
        std::function<void(std::string_view)> onBody;
    };

    explicit ResponseParser(Handlers handlers);
    ~ResponseParser();

    void feed(std::string_view bytes);
    /// Handles an orderly close of the connection by the upstream.
    void handleEof();
    State state() const { return m_state; }
    /// Whether bytes follow the complete response. They belong to no request.
    bool hasExtraBytes() const { return !m_pending.empty(); }
    /// Whether the connection can carry another request. Valid in state Complete.
    bool isKeepAlive() const { return m_isKeepAlive; }

private:
    struct Parser;

    void startResponse();
    bool parseAvailable();
    void handleHeader();
    void forwardBody();
    void handleComplete();

    Handlers m_handlers;
    std::unique_ptr<Parser> m_parser;
    std::string m_pending;
    State m_state = State::Reading;
    bool m_headerHandled = false;
    bool m_isOwnResponse = true;
    bool m_isKeepAlive = false;
};

} // namespace rattanrill::net
