#pragma once

#include "requestmetrics.h"

#include "rattanrill/base/result.h"

#include "absl/time/time.h"

#include <httplib.h>

#include <cstddef>
#include <string>

namespace rattanrill::entry {

/// One request of a caller and the response to it.
class Exchange
{
public:
    /// \a reader is null for methods without a body.
    Exchange(const httplib::Request &request, httplib::Response &response,
             const httplib::ContentReader *reader);

    const httplib::Request &request() const { return m_request; }
    httplib::Response &response() { return m_response; }
    const std::string &requestId() const;
    /// Path without query.
    const std::string &path() const { return m_request.path; }
    /// Query without "?", as sent.
    std::string query() const;
    std::string header(const std::string &name) const;

    /// Reads the whole body. Fails with InvalidRequest for form data, BodyTooLarge or
    /// ClientDisconnected.
    Outcome<std::string> readBody(std::size_t limit);
    bool hasBody() const;
    const httplib::ContentReader &reader();

    void sendJson(const std::string &body);
    /// Sends \a failure. Responses with status 429 and 503 have a Retry-After header: the value
    /// of \a retryAfter, limited to the range from 1 s to 1 h.
    void sendFailure(const Failure &failure, absl::Duration retryAfter = absl::ZeroDuration());
    /// Labels under which the request is counted.
    RequestLabels &labels() { return m_labels; }
    /// Failure that was sent, if any.
    const std::optional<Failure> &failure() const { return m_failure; }
    /// Marks the response as one that continues after the handler has returned. The end of such a
    /// response is counted separately.
    void setStreamed() { m_streamed = true; }
    bool isStreamed() const { return m_streamed; }
    /// Makes the server close the connection after this response if the request body was not read.
    void closeUnlessRead();

private:
    const httplib::Request &m_request;
    httplib::Response &m_response;
    const httplib::ContentReader *m_reader;
    bool m_bodyRead = false;
    RequestLabels m_labels;
    std::optional<Failure> m_failure;
    bool m_streamed = false;
};

} // namespace rattanrill::entry
