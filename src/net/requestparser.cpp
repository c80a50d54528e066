#include "rattanrill/net/requestparser.h"

#include "firstchunk.h"

#include "rattanrill/base/freememory.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/optional/optional.hpp>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <utility>

namespace rattanrill::net {
namespace {

namespace http = boost::beast::http;

/// Bytes that separate the name of a field from its value and end its line, ": \r\n".
constexpr std::size_t fieldSeparatorBytes = 4;
/// Memory of a field beside its text: two strings, whose text may need an allocation each.
constexpr std::size_t fieldOverheadBytes = 96;

/// Body that is kept in a string. Unlike Beast's string_body it reserves no memory for an announced
/// body, of which nothing may ever arrive.
struct ReceivedBody
{
    using value_type = std::string;

    // Beast requires this name.
    class reader // NOLINT(readability-identifier-naming)
    {
    public:
        template <bool isRequest, typename Fields>
        reader(http::header<isRequest, Fields> &, value_type &body)
            : m_body(body)
        {}

        void init(const boost::optional<std::uint64_t> &, boost::system::error_code &error)
        {
            error = {};
        }

        template <typename Buffers>
        std::size_t put(const Buffers &buffers, boost::system::error_code &error)
        {
            error = {};
            const std::size_t former = m_body.size();
            for (auto it = boost::asio::buffer_sequence_begin(buffers);
                 it != boost::asio::buffer_sequence_end(buffers); ++it) {
                const boost::asio::const_buffer buffer = *it;
                m_body.append(static_cast<const char *>(buffer.data()), buffer.size());
            }
            return m_body.size() - former;
        }

        void finish(boost::system::error_code &error) { error = {}; }

    private:
        value_type &m_body;
    };
};

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
    http::request_parser<ReceivedBody> parser;
    bool hasBegunBody = false;
    /// The request without its body, once its header is complete.
    Request request;
    std::size_t headerBytes = 0;
};

RequestParser::RequestParser(RequestLimits limits)
    : m_limits(limits)
{}

RequestParser::~RequestParser() = default;

void RequestParser::feed(std::string_view bytes)
{
    if (m_state == State::Refused)
        return;
    if (m_pending.empty()) {
        bytes.remove_prefix(parse(bytes));
        if (m_state != State::Refused)
            m_pending.assign(bytes);
        return;
    }
    m_pending.append(bytes);
    parsePending();
}

void RequestParser::parsePending()
{
    m_pending.erase(0, parse(m_pending));
    if (m_pending.empty())
        freeMemory(m_pending);
}

std::size_t RequestParser::bodyBytes() const
{
    if (!m_parser || !m_parser->parser.is_header_done())
        return 0;
    const std::size_t received = m_parser->parser.get().body().size();
    const auto announced = m_parser->parser.content_length();
    return announced ? std::max(received, static_cast<std::size_t>(*announced)) : received;
}

std::size_t RequestParser::headerBytes() const
{
    return m_parser ? m_parser->headerBytes : 0;
}

void RequestParser::startRequest()
{
    m_parser = std::make_unique<Parser>();
    m_parser->parser.header_limit(static_cast<std::uint32_t>(std::min<std::size_t>(
            m_limits.maxHeaderBytes, std::numeric_limits<std::uint32_t>::max())));
    m_parser->parser.body_limit(m_limits.maxBodyBytes);
    m_headerChecked = false;
    m_state = State::Header;
}

/// Parses \a bytes, the ones that have not been parsed before. Returns how many of them were used.
std::size_t RequestParser::parse(std::string_view bytes)
{
    if (m_state == State::Complete || m_state == State::Refused || bytes.empty())
        return 0;
    std::size_t parsed = 0;
    if (m_state == State::Idle)
        startRequest();
    auto &parser = m_parser->parser;
    while (parsed < bytes.size() && !parser.is_done()) {
        const std::string_view rest = bytes.substr(parsed);
        if (!m_parser->hasBegunBody && awaitsFirstChunk(parser, rest.size()))
            break;
        m_parser->hasBegunBody = parser.is_header_done();
        // Without the body, the parser stops after the header section.
        parser.eager(m_parser->hasBegunBody);
        boost::system::error_code error;
        const std::size_t used = parser.put(boost::asio::buffer(rest.data(), rest.size()), error);
        parsed += used;
        int refusal = 0;
        if (error && error != http::error::need_more)
            refusal = statusOf(error);
        else if (!parser.is_header_done() && bytes.size() - parsed > m_limits.maxHeaderBytes)
            refusal = 431;
        else if (parser.is_header_done() && !m_headerChecked)
            refusal = checkHeader();
        else if (m_headerChecked && (parser.is_done() || error == http::error::need_more))
            refusal = checkTrailer(bytes.size() - parsed);
        if (refusal != 0) {
            refuse(refusal);
            return bytes.size();
        }
        if (error == http::error::need_more || used == 0)
            break;
    }
    if (parser.is_done()) {
        m_isKeepAlive = parser.keep_alive();
        m_state = State::Complete;
    } else if (parser.is_header_done()) {
        m_state = State::Body;
    }
    return parsed;
}

/// Returns the status with which to refuse headers that two HTTP implementations could frame or
/// route differently, because such differences allow request smuggling, or 0 if they are sound.
int RequestParser::checkHeader()
{
    m_headerChecked = true;
    const auto &message = m_parser->parser.get();
    const bool hasTransferEncoding = message.count(http::field::transfer_encoding) > 0;
    const bool hasContentLength = message.count(http::field::content_length) > 0;
    if (message.version() != 11 && message.version() != 10)
        return 400;
    if (hasTransferEncoding && (hasContentLength || !m_parser->parser.chunked()))
        return 400;
    if (message.count(http::field::content_length) > 1)
        return 400;
    if (message.version() == 11 && message.count(http::field::host) != 1)
        return 400;
    const std::string target = text(message.target());
    if (target.empty() || target.front() != '/')
        return 400;
    m_expectsContinue = message.count(http::field::expect) > 0;
    moveHeader();
    return 0;
}

/// Moves the header out of the parser of Beast, which adds the fields of a trailer to its own.
void RequestParser::moveHeader()
{
    auto &message = m_parser->parser.get();
    Request &request = m_parser->request;
    request.method = text(message.method_string());
    request.target = text(message.target());
    for (const auto &field : message) {
        request.headers.add(text(field.name_string()), text(field.value()));
        m_parser->headerBytes +=
                field.name_string().size() + field.value().size() + fieldOverheadBytes;
    }
    message.base().clear();
}

/// Returns the status with which to refuse a trailer that exceeds the limit of the header, or 0.
/// Drops the fields of a trailer, because they must not replace headers that have been checked.
/// \a unparsedBytes: bytes of a chunk's header or a trailer that is not complete.
int RequestParser::checkTrailer(std::size_t unparsedBytes)
{
    auto &message = m_parser->parser.get();
    std::size_t trailerBytes = m_parser->parser.is_done() ? 0 : unparsedBytes;
    for (const auto &field : message)
        trailerBytes += field.name_string().size() + field.value().size() + fieldSeparatorBytes;
    message.base().clear();
    return trailerBytes > m_limits.maxHeaderBytes ? 431 : 0;
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
    m_parser.reset();
    freeMemory(m_pending);
}

bool isSingleRequest(std::string_view bytes)
{
    RequestParser parser({bytes.size(), bytes.size()});
    parser.feed(bytes);
    return parser.state() == RequestParser::State::Complete && parser.pendingBytes() == 0;
}

Request RequestParser::take()
{
    Request request = std::move(m_parser->request);
    request.body = std::move(m_parser->parser.get().body());
    m_parser.reset();
    m_expectsContinue = false;
    m_state = State::Idle;
    parsePending();
    return request;
}

} // namespace rattanrill::net
