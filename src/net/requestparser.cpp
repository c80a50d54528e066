#include "rattanrill/net/requestparser.h"

#include "firstchunk.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <utility>

namespace rattanrill::net {
namespace {

namespace http = boost::beast::http;

std::string text(boost::beast::string_view view)
{
    return {view.data(), view.size()};
}

int statusOf(const boost::system::error_code &error)
{
    if (error == http::error::header_limit)
        return 431;
    if (error == http::error::body_limit)
        return 413;
    return 400;
}

} // namespace

struct RequestParser::Parser
{
    http::request_parser<http::string_body> parser;
    bool hasBegunBody = false;
};

RequestParser::RequestParser(RequestLimits limits)
    : m_limits(limits)
{}

RequestParser::~RequestParser() = default;

void RequestParser::feed(std::string_view bytes)
{
    m_pending.append(bytes);
    parse();
}

void RequestParser::startRequest()
{
    m_parser = std::make_unique<Parser>();
    m_parser->parser.header_limit(static_cast<std::uint32_t>(m_limits.maxHeaderBytes));
    m_parser->parser.body_limit(m_limits.maxBodyBytes);
    m_headerChecked = false;
    m_state = State::Header;
}

void RequestParser::parse()
{
    if (m_state == State::Complete || m_state == State::Refused || m_pending.empty())
        return;
    if (m_state == State::Idle)
        startRequest();
    auto &parser = m_parser->parser;
    while (!m_pending.empty() && m_state != State::Refused && !parser.is_done()) {
        if (!m_parser->hasBegunBody && awaitsFirstChunk(parser, m_pending.size()))
            break;
        m_parser->hasBegunBody = parser.is_header_done();
        // Without the body, the parser stops after the header section.
        parser.eager(m_parser->hasBegunBody);
        boost::system::error_code error;
        const std::size_t used =
                parser.put(boost::asio::buffer(m_pending.data(), m_pending.size()), error);
        m_pending.erase(0, used);
        if (error && error != http::error::need_more)
            return refuse(statusOf(error));
        if (!parser.is_header_done() && m_pending.size() > m_limits.maxHeaderBytes)
            return refuse(431);
        if (parser.is_header_done() && !m_headerChecked)
            checkHeader();
        if (error == http::error::need_more || used == 0)
            break;
    }
    if (m_state == State::Refused)
        return;
    if (parser.is_done()) {
        m_isKeepAlive = parser.keep_alive();
        m_state = State::Complete;
    } else if (parser.is_header_done()) {
        m_state = State::Body;
    }
}

/// Refuses headers that two HTTP implementations could frame or route differently, because such
/// differences allow request smuggling.
void RequestParser::checkHeader()
{
    m_headerChecked = true;
    const auto &message = m_parser->parser.get();
    const bool hasTransferEncoding = message.count(http::field::transfer_encoding) > 0;
    const bool hasContentLength = message.count(http::field::content_length) > 0;
    if (message.version() != 11 && message.version() != 10)
        return refuse(400);
    if (hasTransferEncoding && (hasContentLength || !m_parser->parser.chunked()))
        return refuse(400);
    if (message.count(http::field::content_length) > 1)
        return refuse(400);
    if (message.version() == 11 && message.count(http::field::host) != 1)
        return refuse(400);
    const std::string target = text(message.target());
    if (target.empty() || target.front() != '/')
        return refuse(400);
    m_expectsContinue = message.count(http::field::expect) > 0;
}

bool RequestParser::takeExpectContinue()
{
    const bool isPending = m_expectsContinue && m_state == State::Body;
    m_expectsContinue = m_expectsContinue && !isPending;
    return isPending;
}

void RequestParser::refuse(int status)
{
    m_state = State::Refused;
    m_status = status;
}

Request RequestParser::take()
{
    auto message = m_parser->parser.release();
    Request request;
    request.method = text(message.method_string());
    request.target = text(message.target());
    for (const auto &field : message)
        request.headers.add(text(field.name_string()), text(field.value()));
    request.body = std::move(message.body());
    m_parser.reset();
    m_expectsContinue = false;
    m_state = State::Idle;
    parse();
    return request;
}

} // namespace rattanrill::net
