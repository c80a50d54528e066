#include "rattanrill/net/message.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/net/headgrammar.h"

#include <algorithm>
#include <cctype>
#include <optional>
#include <ostream>
#include <utility>

// This header uses Boost's string view, which needs the complete stream types of <ostream>.
#include <boost/beast/http/status.hpp>

namespace rattanrill::net {
namespace {

char lower(char c)
{
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

std::string_view trimmed(std::string_view text)
{
    const auto isSpace = [](char c) { return c == ' ' || c == '\t'; };
    while (!text.empty() && isSpace(text.front()))
        text.remove_prefix(1);
    while (!text.empty() && isSpace(text.back()))
        text.remove_suffix(1);
    return text;
}

std::vector<std::string> namesInConnectionHeader(const Headers &headers)
{
    std::vector<std::string> names;
    for (const Header &header : headers.all()) {
        if (!equalsIgnoringCase(header.name, "Connection"))
            continue;
        std::string_view rest = header.value;
        while (!rest.empty()) {
            const std::size_t comma = std::min(rest.find(','), rest.size());
            names.emplace_back(trimmed(rest.substr(0, comma)));
            rest.remove_prefix(std::min(comma + 1, rest.size()));
        }
    }
    return names;
}

Failure malformedHead(std::string_view part, std::string_view text)
{
    return notRun(ErrorCode::InvalidRequest,
                  concat(part, " ", quotedExcerpt(text), " can't be part of an HTTP head"));
}

/// Appends \a headers to the \a text of a head. Returns a failure if one of them is malformed.
std::optional<Failure> appendHeaders(std::string &text, const Headers &headers)
{
    for (const Header &header : headers.all()) {
        if (!isValidToken(header.name))
            return malformedHead("the header name", header.name);
        if (!isValidFieldValue(header.value))
            return malformedHead(concat("the value of the header ", quotedExcerpt(header.name)),
                                 header.value);
        text += concat(header.name, ": ", header.value, "\r\n");
    }
    return std::nullopt;
}

} // namespace

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
           && std::equal(left.begin(), left.end(), right.begin(),
                         [](char a, char b) { return lower(a) == lower(b); });
}

const std::string *Headers::find(std::string_view name) const
{
    for (const Header &header : m_headers) {
        if (equalsIgnoringCase(header.name, name))
            return &header.value;
    }
    return nullptr;
}

std::string_view Headers::value(std::string_view name) const
{
    const std::string *found = find(name);
    return found == nullptr ? std::string_view() : std::string_view(*found);
}

std::size_t Headers::count(std::string_view name) const
{
    return static_cast<std::size_t>(
            std::count_if(m_headers.begin(), m_headers.end(), [name](const Header &header) {
                return equalsIgnoringCase(header.name, name);
            }));
}

void Headers::add(std::string name, std::string value)
{
    m_headers.push_back(Header{std::move(name), std::move(value)});
}

void Headers::set(std::string_view name, std::string value)
{
    remove(name);
    add(std::string(name), std::move(value));
}

void Headers::remove(std::string_view name)
{
    m_headers.erase(std::remove_if(m_headers.begin(), m_headers.end(),
                                   [name](const Header &header) {
                                       return equalsIgnoringCase(header.name, name);
                                   }),
                    m_headers.end());
}

void removeHopByHopHeaders(Headers &headers)
{
    for (const std::string &name : namesInConnectionHeader(headers))
        headers.remove(name);
    for (const char *name : {"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer",
                             "Transfer-Encoding", "Upgrade", "Content-Length", "Expect"})
        headers.remove(name);
}

std::string_view Request::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::string_view Request::query() const
{
    const std::size_t queryMark = target.find('?');
    return queryMark == std::string::npos ? std::string_view()
                                          : std::string_view(target).substr(queryMark + 1);
}

bool isValidStatus(std::int64_t status)
{
    constexpr std::int64_t min = 100;
    constexpr std::int64_t max = 599;
    return status >= min && status <= max;
}

std::string_view reasonPhrase(int status)
{
    const auto reason = boost::beast::http::obsolete_reason(
            static_cast<boost::beast::http::status>(static_cast<unsigned>(status)));
    return {reason.data(), reason.size()};
}

Response textResponse(int status, std::string body, std::string_view contentType)
{
    Response response;
    response.head.status = status;
    response.head.headers.add("Content-Type", std::string(contentType));
    response.body = std::move(body);
    return response;
}

Outcome<std::string> serialize(const Request &request)
{
    if (!isValidToken(request.method))
        return malformedHead("the method", request.method);
    if (!isValidTarget(request.target))
        return malformedHead("the target", request.target);
    std::string text;
    text.reserve(512 + request.body.size());
    text += concat(request.method, " ", request.target, " HTTP/1.1\r\n");
    if (const auto failure = appendHeaders(text, request.headers))
        return *failure;
    if (!request.body.empty() || (request.method != "GET" && request.method != "DELETE"))
        text += concat("Content-Length: ", request.body.size(), "\r\n");
    text += "\r\n";
    text += request.body;
    return text;
}

Outcome<std::string> serialize(const ResponseHead &head)
{
    const std::string_view reason =
            head.reason.empty() ? reasonPhrase(head.status) : std::string_view(head.reason);
    if (!isValidFieldValue(reason))
        return malformedHead("the reason phrase", reason);
    std::string text = concat("HTTP/1.1 ", head.status, " ", reason, "\r\n");
    if (const auto failure = appendHeaders(text, head.headers))
        return *failure;
    text += "\r\n";
    return text;
}

} // namespace rattanrill::net
