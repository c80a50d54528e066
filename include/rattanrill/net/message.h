#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::net {

struct Header
{
    std::string name;
    std::string value;
};

/// Headers in order of arrival; names compare without case.
class Headers
{
public:
    /// Null when there is no such header; the first one of several.
    const std::string *find(std::string_view name) const;
    /// Value, or an empty text.
    std::string_view value(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    void add(std::string name, std::string value);
    /// Replaces all headers of this name by one.
    void set(std::string_view name, std::string value);
    void remove(std::string_view name);
    const std::vector<Header> &all() const { return m_headers; }

private:
    std::vector<Header> m_headers;
};

bool equalsIgnoringCase(std::string_view left, std::string_view right);

/// Removes the headers that concern only one connection, also those that a Connection header
/// names. Framing headers go as well; the sender sets them anew.
void removeConnectionHeaders(Headers &headers);

struct Request
{
    std::string method;
    /// Path and query as received.
    std::string target;
    Headers headers;
    std::string body;

    std::string_view path() const;
    std::string_view query() const;
};

struct ResponseHead
{
    int status = 0;
    std::string reason;
    Headers headers;
};

struct Response
{
    ResponseHead head;
    std::string body;
};

/// Standard reason phrase of \a status.
std::string_view reasonOf(int status);

/// Response with a text body.
Response textResponse(int status, std::string body, std::string_view contentType);

/// Request as sent to an upstream, with Content-Length.
std::string serialize(const Request &request);
/// Status line and headers up to and with the empty line.
std::string serialize(const ResponseHead &head);

} // namespace rattanrill::net
