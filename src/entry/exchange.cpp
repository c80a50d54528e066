#include "exchange.h"

#include "callerserver.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/http/serversetup.h"

#include <algorithm>
#include <cmath>

namespace rattanrill::entry {
namespace {

constexpr int statusTooManyRequests = 429;
constexpr int statusUnavailable = 503;

} // namespace

Exchange::Exchange(const httplib::Request &request, httplib::Response &response,
                   const httplib::ContentReader *reader)
    : m_request(request)
    , m_response(response)
    , m_reader(reader)
{
    m_response.status = 200;
}

const std::string &Exchange::requestId() const
{
    return CallerServer::requestId();
}

std::string Exchange::query() const
{
    const std::size_t questionMark = m_request.target.find('?');
    return questionMark == std::string::npos ? std::string()
                                             : m_request.target.substr(questionMark + 1);
}

std::string Exchange::header(const std::string &name) const
{
    return m_request.get_header_value(name);
}

bool Exchange::hasBody() const
{
    // A request without either header has no body; httplib would read until the connection ends.
    const bool hasLength = m_request.has_header("Content-Length")
                           && m_request.get_header_value("Content-Length") != "0";
    return m_reader != nullptr && (hasLength || m_request.has_header("Transfer-Encoding"));
}

const httplib::ContentReader &Exchange::reader()
{
    m_bodyRead = true;
    return *m_reader;
}

Outcome<std::string> Exchange::readBody(std::size_t limit)
{
    std::string body;
    if (!hasBody())
        return body;
    if (m_request.is_multipart_form_data())
        return notRun(ErrorCode::InvalidRequest,
                      "multipart form data is accepted for file uploads only");
    bool tooLarge = false;
    const bool complete = (*m_reader)([&](const char *data, std::size_t size) {
        tooLarge = body.size() + size > limit;
        if (!tooLarge)
            body.append(data, size);
        return !tooLarge;
    });
    if (tooLarge)
        return notRun(ErrorCode::BodyTooLarge,
                      concat("the request body is longer than ", limit, " bytes"));
    if (!complete)
        return notRun(ErrorCode::ClientDisconnected, "the request body ended early");
    m_bodyRead = true;
    return body;
}

void Exchange::sendJson(const std::string &body)
{
    m_response.status = 200;
    m_response.set_content(body, "application/json");
}

void Exchange::sendFailure(const Failure &failure, absl::Duration retryAfter)
{
    m_failure = failure;
    http::sendFailure(m_response, failure, requestId());
    if (m_response.status != statusTooManyRequests && m_response.status != statusUnavailable)
        return;
    const double seconds = std::ceil(absl::ToDoubleSeconds(retryAfter));
    m_response.set_header("Retry-After",
                          std::to_string(static_cast<int>(std::clamp(seconds, 1.0, 3600.0))));
}

void Exchange::closeUnlessRead()
{
    if (!hasBody() || m_bodyRead)
        return;
    CallerServer::connection().closeAfterResponse();
    m_response.set_header("Connection", "close");
}

} // namespace rattanrill::entry
