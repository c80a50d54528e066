#pragma once

#include "rattanrill/base/result.h"
#include "rattanrill/net/connectionpool.h"
#include "rattanrill/net/message.h"
#include "rattanrill/policy/slotscheduler.h"
#include "rattanrill/serving/deployment.h"
#include "rattanrill/wire/fleetmessages.h"
#include "rattanrill/wire/jobmessages.h"

#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace rattanrill::serving {

/// Fields of a caller's request that serving decisions use. The request itself is not changed.
struct CallerRequest
{
    /// Identifies this attempt of the caller.
    std::string id;
    std::string host;
    /// Empty when the request carries no key.
    std::string apiKey;
    /// Time for which the caller waits for the response, counted from the arrival of the request.
    absl::Duration timeout = absl::InfiniteDuration();
    /// Id of the last event that the caller has received; absent unless it resumes a stream.
    std::optional<std::int64_t> resumeAfter;
    /// Id of the caller's attempt that brought the first event of the stream that it resumes; empty
    /// if unknown.
    std::string resumedAttempt;
    std::int64_t promptTokens = 0;
    std::int64_t outputTokens = 0;
    /// Ids of the parts of the prompt that other requests may share, in the order of the prompt.
    std::vector<std::string> sharedPromptParts;
};

/// One attempt of a request at an upstream.
struct UpstreamAttempt
{
    /// Instance that is expected at the address; any other instance rejects the request.
    std::string expectedInstance;
    /// Workspace of the caller; empty for a request without a key.
    std::string workspace;
    /// Time until the deadline of the request.
    absl::Duration remainingTime = absl::InfiniteDuration();
    std::optional<std::int64_t> resumeAfter;
};

/// Fields that the head of an upstream's response carries for the serving system.
struct ResponseInfo
{
    /// Id of the request that the response belongs to; empty when the response has none.
    std::string requestId;
    /// The upstream reports that the request did not run.
    bool notRun = false;
    /// Callers read the status as a promise that the request did not and will not run, which only
    /// \a notRun makes true.
    bool promisesNotRun = false;
    /// An instance other than the expected one responded.
    bool isInstanceMismatch = false;
    /// Number of requests that run or wait at the upstream; absent when it does not report them.
    std::optional<std::int64_t> outstandingRequests;
    /// Time that work takes on the upstream now, as a multiple of the usual time; absent when it
    /// does not report it. Reported together with outstandingRequests only.
    std::optional<double> pace;
    /// Requests per second that the upstream accepts from all senders together; absent while it
    /// names no limit.
    std::optional<double> requestLimit;
    /// The upstream announces that it leaves.
    bool isLeaving = false;
    /// Time in milliseconds for which the upstream remains cold; absent when it does not report it.
    std::optional<std::int64_t> coldRemainingMs{};
};

/// Returns whether a response belongs to the request with the id \a requestId, which is empty when
/// the request has none.
net::ResponseOwner ownerOf(const ResponseInfo &info, std::string_view requestId);
/// Returns what a response of \a upstream, which has \a address, reports.
wire::UpstreamLoad loadOf(const std::string &upstream, const std::string &address,
                          const ResponseInfo &info);
/// Returns the part of a report that is valid although the response belongs to another request: the
/// announcement that the upstream leaves. Absent when the response contains none, or comes from
/// another instance.
std::optional<wire::UpstreamLoad>
leavingReportOf(const std::string &upstream, const std::string &address, const ResponseInfo &info);
/// Returns how an attempt that did not run left its slot. A refusal by an upstream that names a
/// limit or leaves indicates no fault.
policy::ReleaseReason refusalReason(const ResponseInfo &info);
/// Returns how an attempt that ended with \a status before its request was sent left its slot.
/// \a isCutOff: the process is cut off from the upstreams, so an unanswered connection says nothing
/// about this one.
policy::ReleaseReason notSentReason(net::CallStatus status, bool isCutOff);

/// Returns how an attempt left its slot whose upstream may have run the request and responded
/// completely, with the HTTP status \a status.
policy::ReleaseReason responseReason(int status);

/// A caller's request to submit a batch job.
struct SubmitJobCall
{
    wire::JobRecord job;
};

/// A caller's request to read the results of a batch job from position \a after on, waiting up to
/// \a wait for new ones.
struct ReadJobCall
{
    std::string job;
    std::int64_t after = 0;
    absl::Duration wait;
};

/// A caller's request to read one result of a batch job.
struct ReadItemCall
{
    std::string job;
    std::string item;
};

/// A caller's request to end a batch job.
struct CancelJobCall
{
    std::string job;
};

using JobCall = std::variant<SubmitJobCall, ReadJobCall, ReadItemCall, CancelJobCall>;

/// Translates between the HTTP protocol of a deployment's callers and upstreams and the types of
/// this library. Defines names, formats and encodings only; makes no decisions.
class ProtocolAdapter
{
public:
    virtual ~ProtocolAdapter() = default;

    /// Reads the fields of a caller's request. Fails with InvalidRequest.
    virtual Result<CallerRequest> parseRequest(const net::Request &request) const = 0;
    /// Returns the caller's request as sent to an upstream: method, path and body are unchanged,
    /// and the API key is removed.
    virtual net::Request upstreamRequest(const net::Request &request,
                                         const UpstreamAttempt &attempt) const = 0;
    /// Replaces the remaining time that \a request, which is serialized, states to its upstream. A
    /// request that states none is not changed.
    virtual void setRemainingTime(std::string &request, absl::Duration remainingTime) const = 0;
    /// Returns the request that runs \a item of a batch job. \a host is the host to which the job
    /// was submitted.
    virtual net::Request itemRequest(const wire::JobItem &item, const std::string &host,
                                     const UpstreamAttempt &attempt) const = 0;
    virtual ResponseInfo parseResponse(const net::ResponseHead &head) const = 0;
    /// True when the body that follows \a head is a series of events.
    virtual bool isEventStream(const net::ResponseHead &head) const = 0;

    /// True when \a request concerns an existing job. The paths of such requests belong to no
    /// route.
    virtual bool isJobCall(const net::Request &request) const = 0;
    /// Fails with InvalidRequest or NotFound.
    virtual Result<JobCall> parseJobCall(const net::Request &request,
                                         const CallerRequest &caller) const = 0;
    virtual net::Response jobResultsResponse(const wire::ReadJobResponse &results) const = 0;

    /// Returns the error response for a request. With a \a retryAfter of zero, the response does
    /// not state when to retry.
    virtual net::Response errorResponse(const Failure &failure,
                                        absl::Duration retryAfter) const = 0;
};

} // namespace rattanrill::serving
