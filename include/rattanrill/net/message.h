#pragma once

#include "rattanrill/base/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::net {

/// One HTTP header field.
struct Header
{
    std::string name;
    std::string value;
};

/// Header fields in order of arrival. Names are compared without regard to case.
class Headers
{
public:
    /// Value of the first header with this name, or null if there is none.
    const std::string *find(std::string_view name) const;
    /// Value of the first header with this name, or an empty string if there is none.
    std::string_view value(std::string_view name) const;
    /// Number of headers with this name.
    std::size_t count(std::string_view name) const;
    void add(std::string name, std::string value);
    /// Replaces all headers with this name by a single one.
    void set(std::string_view name, std::string value);
    /// Removes all headers with this name.
    void remove(std::string_view name);
    const std::vector<Header> &all() const { return m_headers; }

private:
    std::vector<Header> m_headers;
};

bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// Removes the hop-by-hop headers, including those that a Connection header names. Framing headers
/// are removed as well; the sender sets them again.
void removeHopByHopHeaders(Headers &headers);

/// HTTP request with its complete body.
struct Request
{
    std::string method;
    /// Path and query as received.
    std::string target;
    Headers headers;
    std::string body;

    /// Part of the target before the first '?'.
    std::string_view path() const;
    /// Part of the target after the first '?'; empty when there is none.
    std::string_view query() const;
};

/// Whether \a status is an HTTP status, from 100 to 599.
bool isValidStatus(std::int64_t status);

/// Status line and headers of an HTTP response.
struct ResponseHead
{
    int status = 0;
    std::string reason;
    Headers headers;
};

/// HTTP response with its complete body.
struct Response
{
    ResponseHead head;
    std::string body;
};

/// Standard reason phrase of \a status.
std::string_view reasonPhrase(int status);

/// Creates a response with \a body and the Content-Type \a contentType.
Response textResponse(int status, std::string body, std::string_view contentType);

/// Serializes \a request with a Content-Length header, as it is sent to an upstream. Fails with
/// InvalidRequest, naming the part, if the head would not be valid HTTP: a line break in a part
/// would begin another field, or another request.
Outcome<std::string> serialize(const Request &request);
/// Serializes the status line and the headers, including the empty line that ends them. Fails like
/// the serialization of a request.
Outcome<std::string> serialize(const ResponseHead &head);

} // namespace rattanrill::net
