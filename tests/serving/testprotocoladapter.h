#pragma once

#include "rattanrill/serving/protocoladapter.h"

#include <string>

namespace rattanrill::serving {

/// Protocol adapter with short header names, so that the tests do not depend on the protocol of a
/// deployment.
class TestProtocolAdapter : public ProtocolAdapter
{
public:
    Result<CallerRequest> parseRequest(const net::Request &request) const override
    {
        CallerRequest caller;
        caller.id = std::string(request.headers.value("Id"));
        caller.timeout = absl::Seconds(3);
        if (const std::string *part = request.headers.find("Part"))
            caller.sharedPromptParts = {*part};
        if (const std::string *after = request.headers.find("After"))
            caller.resumeAfter = std::stoll(*after);
        caller.resumedAttempt = std::string(request.headers.value("Resumes"));
        return caller;
    }
    net::Request upstreamRequest(const net::Request &request,
                                 const UpstreamAttempt &attempt) const override
    {
        net::Request result = request;
        net::removeHopByHopHeaders(result.headers);
        if (attempt.resumeAfter)
            result.headers.set("After", std::to_string(*attempt.resumeAfter));
        result.headers.set("Left",
                           std::to_string(absl::ToInt64Milliseconds(attempt.remainingTime)));
        return result;
    }
    void setRemainingTime(std::string &request, absl::Duration remainingTime) const override
    {
        const std::size_t field = request.find("Left: ");
        if (field == std::string::npos)
            return;
        const std::size_t value = field + 6;
        request.replace(value, request.find("\r\n", value) - value,
                        std::to_string(absl::ToInt64Milliseconds(remainingTime)));
    }
    net::Request itemRequest(const wire::JobItem &item, const std::string &,
                             const UpstreamAttempt &attempt) const override
    {
        net::Request request;
        request.method = "POST";
        request.target = item.path;
        request.headers.add("Id", item.id);
        return upstreamRequest(request, attempt);
    }
    ResponseInfo parseResponse(const net::ResponseHead &head) const override
    {
        ResponseInfo info;
        info.requestId = std::string(head.headers.value("Id"));
        info.isInstanceMismatch = head.headers.find("Other-Instance") != nullptr;
        info.notRun = head.headers.find("Not-Run") != nullptr || info.isInstanceMismatch;
        info.promisesNotRun = head.status == 503;
        info.isLeaving = head.headers.find("Leaving") != nullptr;
        return info;
    }
    bool isEventStream(const net::ResponseHead &head) const override
    {
        return head.headers.value("Content-Type") == "text/event-stream";
    }
    bool isJobCall(const net::Request &) const override { return false; }
    Result<JobCall> parseJobCall(const net::Request &, const CallerRequest &) const override
    {
        return fail(notRun(ErrorCode::NotFound, ""));
    }
    net::Response jobResultsResponse(const wire::ReadJobResponse &) const override { return {}; }
    net::Response errorResponse(const Failure &failure, absl::Duration retryAfter) const override
    {
        net::Response response = net::textResponse(
                failure.effect == EffectState::NotRun ? 503 : 502, failure.detail, "t");
        if (retryAfter > absl::ZeroDuration())
            response.head.headers.add("Retry-After",
                                      std::to_string(absl::ToDoubleSeconds(retryAfter)));
        return response;
    }
};

} // namespace rattanrill::serving
