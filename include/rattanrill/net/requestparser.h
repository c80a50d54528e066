#pragma once

#include "rattanrill/net/message.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace rattanrill::net {

struct RequestLimits
{
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = std::size_t(4) << 20;
};

/// Reads requests from the bytes of one connection, apart from any input or output.
class RequestParser
{
public:
    enum class State {
        /// No byte of a request is there.
        Idle,
        Header,
        Body,
        /// take() gives the request.
        Complete,
        /// The bytes are no request that is served; status() says why.
        Refused,
    };

    explicit RequestParser(RequestLimits limits);
    ~RequestParser();

    /// Takes bytes; those after a complete request are kept for the next one.
    void feed(std::string_view bytes);
    State state() const { return m_state; }
    /// HTTP status for a refused request: 400, 413, 431 or 501.
    int status() const { return m_status; }
    /// The header asks for an interim answer before the body is sent. True once for a request.
    bool wantsContinue();
    /// The client keeps the connection open after this request. Valid when complete.
    bool keepsAlive() const { return m_keepsAlive; }
    /// The complete request; reading goes on with the next one.
    Request take();
    /// Bytes that wait behind the complete request.
    std::size_t pendingBytes() const { return m_pending.size(); }

private:
    struct Parser;

    void parse();
    void startRequest();
    void checkHeader();
    void refuse(int status);

    const RequestLimits m_limits;
    std::unique_ptr<Parser> m_parser;
    std::string m_pending;
    State m_state = State::Idle;
    int m_status = 0;
    bool m_headerChecked = false;
    bool m_wantsContinue = false;
    bool m_keepsAlive = true;
};

} // namespace rattanrill::net
