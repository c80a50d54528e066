#pragma once

#include "requestmetrics.h"

#include "rattanrill/base/result.h"

#include "absl/time/time.h"

#include <httplib.h>

#include <cstddef>
#include <string>

namespace rattanrill::entry {

/// One request of a caller and its answer.
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

    /// Whole body. Fails with BodyTooLarge or ClientDisconnected.
    Outcome<std::string> readBody(std::size_t limit);
    bool hasBody() const;
    const httplib::ContentReader &reader();

    void sendJson(const std::string &body);
    /// Adds Retry-After to 429 and 503; \a retryAfter of zero stands for the shortest.
    void sendFailure(const Failure &failure, absl::Duration retryAfter = absl::ZeroDuration());
    /// What the answer is counted for.
    RequestLabels &labels() { return m_labels; }
    /// Failure that was sent.
    const std::optional<Failure> &failure() const { return m_failure; }
    /// The answer goes on after its handler has returned; its end is counted there.
    void setStreamed() { m_streamed = true; }
    bool isStreamed() const { return m_streamed; }
    /// The connection ends with this answer when the body was not read.
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
