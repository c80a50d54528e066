#pragma once

#include "rattanrill/net/message.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace rattanrill::net {

/// Why a response is broken.
enum class ResponseFault {
    None,
    /// The bytes are not a valid response, or its status is outside of 100 to 599.
    Malformed,
    /// The connection was closed before the end of the response.
    Truncated,
    /// The head, a chunk header or the trailer exceeds ResponseLimits::maxHeadBytes.
    HeadTooLong,
    /// The skipped responses exceed ResponseLimits::maxSkippedBytes.
    SkippedTooLong,
    /// The body exceeds the bound of its receiver. The parser does not report this itself.
    BodyTooLong,
};

std::string_view name(ResponseFault fault);

/// Bounds in bytes of what a parser reads apart from the body of its response, which is passed on
/// as it arrives. The receiver of the body bounds what it keeps.
struct ResponseLimits
{
    std::size_t maxHeadBytes = std::size_t(64) << 10;
    /// Total size of interim responses and of responses to other requests.
    std::size_t maxSkippedBytes = std::size_t(1) << 20;
};

/// Parses one response in the byte stream of a connection. It performs no input or output itself.
/// Interim responses (1xx) and responses to other requests are skipped. Bytes without end, in
/// place of a head or before the response, end in state Broken.
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

    explicit ResponseParser(Handlers handlers, ResponseLimits limits = {});
    ~ResponseParser();

    void feed(std::string_view bytes);
    /// Handles an orderly close of the connection by the upstream.
    void handleEof();
    State state() const { return m_state; }
    /// Why the response is broken; None in the other states.
    ResponseFault fault() const { return m_fault; }
    /// Whether a response to another request was received.
    bool hasSkippedResponses() const { return m_hasSkippedResponses; }
    /// Whether bytes follow the complete response. They belong to no request.
    bool hasExtraBytes() const { return !m_pending.empty(); }
    /// Whether the connection can carry another request. Valid in state Complete.
    bool isKeepAlive() const { return m_isKeepAlive; }

private:
    struct Parser;

    void startResponse();
    bool parseAvailable();
    bool hasValidStatus() const;
    void handleHeader();
    void forwardBody();
    void handleComplete();
    void setBroken(ResponseFault fault);

    Handlers m_handlers;
    const ResponseLimits m_limits;
    std::unique_ptr<Parser> m_parser;
    std::string m_pending;
    State m_state = State::Reading;
    ResponseFault m_fault = ResponseFault::None;
    /// Size of the skipped responses, including the part of the current one that has been parsed.
    std::size_t m_skippedBytes = 0;
    bool m_headerHandled = false;
    bool m_isOwnResponse = true;
    bool m_hasSkippedResponses = false;
    bool m_isKeepAlive = false;
};

} // namespace rattanrill::net
