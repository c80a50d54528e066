#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

/// Messages by which an entry forwards the calls of a process that is cut off from the upstreams.
namespace rattanrill::wire {

/// Request of Method::ForwardCall: sends \a request to an upstream. The response is a
/// ForwardedPart. A failure means that nothing was sent if its effect is NotRun.
struct ForwardCall
{
    /// Chosen by the sender at random, so that no two calls have the same.
    std::string callId;
    std::string upstream;
    /// Address of the upstream.
    std::string address;
    /// Id that the response to the request repeats.
    std::string requestId;
    /// The serialized HTTP request.
    std::string request;
    /// Time left until the response is no longer needed.
    std::int64_t deadlineMs = 0;
    /// Traits of the request by which a crash of the upstream is attributed: ids of the shared
    /// parts of its prompt, and its fingerprint.
    std::vector<std::string> promptParts{};
    std::string fingerprint{};
};

/// Request of Method::ReadForwardedCall: waits for the next part, which is the response. The call
/// ends when its sender does not read on. Fails with NotFound.
struct ReadForwardedCall
{
    std::string callId;
};

/// What has arrived from the upstream since the last part; nothing at all when the wait has ended.
struct ForwardedPart
{
    /// Whether the part has the head of the response: \a status, \a reason and \a headers.
    bool hasHead = false;
    std::int64_t status = 0;
    std::string reason;
    std::vector<std::pair<std::string, std::string>> headers;
    /// Follows the head and the body of the parts before.
    std::string body;
    /// Name of the net::CallStatus with which the call ended; empty in all parts but the last.
    std::string end;
    /// Whether a connection that could not be established was neither accepted nor refused. A
    /// member of its own, because an earlier version takes an unknown name in \a end for Broken.
    bool isUnanswered = false;
};

/// Push of Method::CancelForwardedCall: the response is no longer needed.
struct CancelForwardedCall
{
    std::string callId;
};

} // namespace rattanrill::wire
