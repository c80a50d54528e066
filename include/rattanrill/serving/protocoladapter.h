#pragma once

#include "rattanrill/base/result.h"
#include "rattanrill/net/message.h"
#include "rattanrill/serving/deployment.h"
#include "rattanrill/wire/jobmessages.h"

#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace rattanrill::serving {

/// What the product needs to know of a caller's request; the request itself stays as it is.
struct CallerRequest
{
    /// Of this try of the caller.
    std::string id;
    std::string host;
    /// Empty when the caller presents none.
    std::string apiKey;
    /// How long the caller waits, from the arrival of the request.
    absl::Duration timeout = absl::InfiniteDuration();
    /// The caller has the events up to this one.
    std::optional<std::int64_t> resumeAfter;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
};

/// One try of a request at an upstream.
struct UpstreamAttempt
{
    /// Instance that is expected at the address; another one refuses.
    std::string expectedInstance;
    /// Workspace for which the request runs; empty on open routes.
    std::string workspace;
    /// What is left of the caller's remainingTime.
    absl::Duration remainingTime = absl::InfiniteDuration();
    std::optional<std::int64_t> resumeAfter;
};

/// What an upstream's answer says besides its bytes.
struct ResponseInfo
{
    /// Request that it answers; empty when it does not say.
    std::string requestId;
    /// The upstream says that the request did not run.
    bool notRun = false;
    /// Another instance than the expected one answered.
    bool isInstanceMismatch = false;
    /// Requests that the upstream runs or that wait there, when it says so.
    std::optional<std::int64_t> outstandingRequests;
};

/// Call about a batch job, as a caller makes it.
struct SubmitJobCall
{
    wire::JobRecord job;
};

struct ReadJobCall
{
    std::string job;
    std::int64_t after = 0;
    absl::Duration wait;
};

struct ReadItemCall
{
    std::string job;
    std::string item;
};

struct EndJobCall
{
    std::string job;
};

using JobCall = std::variant<SubmitJobCall, ReadJobCall, ReadItemCall, EndJobCall>;

/// How callers and upstreams of a deployment speak: names, formats and encodings, no decisions.
class ProtocolAdapter
{
public:
    virtual ~ProtocolAdapter() = default;

    /// Fails with InvalidRequest.
    virtual Result<CallerRequest> parseRequest(const net::Request &request) const = 0;
    /// The caller's request as sent to an upstream: method, path and body are unchanged, and no key
    /// is in it.
    virtual net::Request upstreamRequest(const net::Request &request,
                                         const UpstreamAttempt &attempt) const = 0;
    virtual net::Request itemRequest(const wire::JobItem &item, const std::string &host,
                                     const UpstreamAttempt &attempt) const = 0;
    virtual ResponseInfo parseResponse(const net::ResponseHead &head) const = 0;
    /// True when \a head begins a series of events.
    virtual bool isEventStream(const net::ResponseHead &head) const = 0;

    /// True when \a request concerns a job that exists already, on a path outside all routes.
    virtual bool isJobCall(const net::Request &request) const = 0;
    /// Fails with InvalidRequest or NotFound.
    virtual Result<JobCall> parseJobCall(const net::Request &request,
                                         const CallerRequest &caller) const = 0;
    virtual net::Response jobResultsResponse(const wire::ReadJobResponse &results) const = 0;

    /// Refusal of a request. \a retryAfter of zero says nothing about a return.
    virtual net::Response errorResponse(const Failure &failure,
                                        absl::Duration retryAfter) const = 0;
};

} // namespace rattanrill::serving
