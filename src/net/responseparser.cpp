#include "rattanrill/net/responseparser.h"

#include "firstchunk.h"

#include "rattanrill/base/enumnames.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <cstdint>
#include <limits>
#include <utility>

namespace rattanrill::net {
namespace {

namespace http = boost::beast::http;

constexpr std::array<EnumName<ResponseFault>, 6> faultNames = {{
        {ResponseFault::None, "none"},
        {ResponseFault::Malformed, "malformed"},
        {ResponseFault::Truncated, "truncated"},
        {ResponseFault::HeadTooLong, "head_too_long"},
        {ResponseFault::SkippedTooLong, "skipped_too_long"},
        {ResponseFault::BodyTooLong, "body_too_long"},
}};

std::string text(boost::beast::string_view view)
{
    return {view.data(), view.size()};
}

} // namespace

std::string_view name(ResponseFault fault)
{
    return nameOf(faultNames, fault);
}

struct ResponseParser::Parser
{
    http::response_parser<http::string_body> parser;
    bool hasBegunBody = false;
};

ResponseParser::ResponseParser(Handlers handlers, ResponseLimits limits)
    : m_handlers(std::move(handlers))
    , m_limits(limits)
{
    startResponse();
}

ResponseParser::~ResponseParser() = default;

void ResponseParser::startResponse()
{
    m_parser = std::make_unique<Parser>();
    m_parser->parser.header_limit(static_cast<std::uint32_t>(m_limits.maxHeadBytes));
    // The body is passed on as it arrives and not collected, so its length needs no limit.
    m_parser->parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    m_headerHandled = false;
    m_isOwnResponse = true;
}

void ResponseParser::feed(std::string_view bytes)
{
    m_pending.append(bytes);
    while (m_state == State::Reading && !m_pending.empty() && parseAvailable()) {
    }
}

/// Parses the pending bytes. Returns false when more bytes are needed or the response is malformed.
bool ResponseParser::parseAvailable()
{
    auto &parser = m_parser->parser;
    if (!m_parser->hasBegunBody && awaitsFirstChunk(parser, m_pending.size()))
        return false;
    m_parser->hasBegunBody = parser.is_header_done();
    // Without the body, the parser stops after the header section.
    parser.eager(m_parser->hasBegunBody);
    boost::system::error_code error;
    const std::size_t used =
            parser.put(boost::asio::buffer(m_pending.data(), m_pending.size()), error);
    m_pending.erase(0, used);
    if (error && error != http::error::need_more) {
        setBroken(error == http::error::header_limit ? ResponseFault::HeadTooLong
                                                     : ResponseFault::Malformed);
        return false;
    }
    if (parser.is_header_done() && !hasValidStatus()) {
        setBroken(ResponseFault::Malformed);
        return false;
    }
    if (parser.is_header_done()) {
        handleHeader();
        forwardBody();
    }
    m_skippedBytes += m_isOwnResponse ? 0 : used;
    if (m_skippedBytes > m_limits.maxSkippedBytes) {
        setBroken(ResponseFault::SkippedTooLong);
        return false;
    }
    // The parser leaves a chunk header or a trailer in the buffer until it is complete.
    if (m_pending.size() > m_limits.maxHeadBytes && used == 0) {
        setBroken(ResponseFault::HeadTooLong);
        return false;
    }
    if (parser.is_done()) {
        handleComplete();
        return true;
    }
    return used > 0 && error != http::error::need_more;
}

/// The library accepts any three digits.
bool ResponseParser::hasValidStatus() const
{
    return isValidStatus(m_parser->parser.get().result_int());
}

void ResponseParser::handleHeader()
{
    if (m_headerHandled)
        return;
    m_headerHandled = true;
    const auto &message = m_parser->parser.get();
    ResponseHead head;
    head.status = static_cast<int>(message.result_int());
    head.reason = text(message.reason());
    for (const auto &field : message)
        head.headers.add(text(field.name_string()), text(field.value()));
    const bool isInterim = head.status >= 100 && head.status < 200;
    m_isOwnResponse = !isInterim && m_handlers.onHead(head);
    m_hasSkippedResponses = m_hasSkippedResponses || !(isInterim || m_isOwnResponse);
}

void ResponseParser::forwardBody()
{
    std::string part;
    part.swap(m_parser->parser.get().body());
    if (!part.empty() && m_isOwnResponse && m_handlers.onBody)
        m_handlers.onBody(part);
}

void ResponseParser::handleComplete()
{
    if (!m_isOwnResponse) {
        startResponse();
        return;
    }
    m_isKeepAlive = m_parser->parser.keep_alive();
    m_state = State::Complete;
}

void ResponseParser::setBroken(ResponseFault fault)
{
    m_state = State::Broken;
    m_fault = fault;
}

void ResponseParser::handleEof()
{
    if (m_state != State::Reading)
        return;
    auto &parser = m_parser->parser;
    boost::system::error_code error;
    if (parser.got_some())
        parser.put_eof(error);
    if (error || !parser.is_done())
        return setBroken(ResponseFault::Truncated);
    forwardBody();
    handleComplete();
    m_isKeepAlive = false;
    if (m_state == State::Reading)
        setBroken(ResponseFault::Truncated);
}

} // namespace rattanrill::net
