#pragma once

#include "rattanrill/net/message.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace rattanrill::net {

/// Maximum sizes of a request.
struct RequestLimits
{
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = std::size_t(4) << 20;
};

/// Parses the requests in the byte stream of one connection. It performs no input or output itself.
class RequestParser
{
public:
    enum class State {
        /// No byte of the next request has arrived.
        Idle,
        Header,
        Body,
        /// take() returns the request.
        Complete,
        /// The request is malformed, too large or not supported; see status().
        Refused,
    };

    explicit RequestParser(RequestLimits limits);
    ~RequestParser();

    /// Parses \a bytes. Bytes after a complete request are kept for the next one.
    void feed(std::string_view bytes);
    State state() const { return m_state; }
    /// HTTP status with which to answer a refused request: 400, 413, 431 or 501.
    int status() const { return m_status; }
    /// Whether the client expects a 100 (Continue) response before it sends the body. Returns true
    /// at most once per request.
    bool takeExpectContinue();
    /// Whether the client keeps the connection open after this request. Valid in state Complete.
    bool isKeepAlive() const { return m_isKeepAlive; }
    /// Returns the complete request and starts to parse the next one. Requires state Complete.
    Request take();
    /// Number of received bytes that have not been parsed: an incomplete header, or what follows
    /// the complete request.
    std::size_t pendingBytes() const { return m_pending.size(); }
    /// Size of the body of the request that is being parsed: the announced one, or else that of
    /// what has been received.
    std::size_t bodyBytes() const;
    /// Memory of the header of the request that is being parsed, once it is complete.
    std::size_t headerBytes() const;
    /// Frees what has been received and refuses the request. All further bytes are ignored.
    void abandon(int status) { refuse(status); }

private:
    struct Parser;

    std::size_t parse(std::string_view bytes);
    void parsePending();
    void startRequest();
    int checkHeader();
    void moveHeader();
    int checkTrailer(std::size_t unparsedBytes);
    void refuse(int status);

    const RequestLimits m_limits;
    std::unique_ptr<Parser> m_parser;
    std::string m_pending;
    State m_state = State::Idle;
    int m_status = 0;
    bool m_headerChecked = false;
    bool m_expectsContinue = false;
    bool m_isKeepAlive = true;
};

/// Whether \a bytes are one complete request and nothing else.
bool isSingleRequest(std::string_view bytes);

} // namespace rattanrill::net
