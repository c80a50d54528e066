#include "rattanrill/serving/protocoladapter.h"

namespace rattanrill::serving {

net::ResponseOwner ownerOf(const ResponseInfo &info, std::string_view requestId)
{
    if (info.requestId.empty() || requestId.empty())
        return net::ResponseOwner::Unknown;
    return info.requestId == requestId ? net::ResponseOwner::ThisRequest
                                       : net::ResponseOwner::AnotherRequest;
}

wire::UpstreamLoad loadOf(const std::string &upstream, const std::string &address,
                          const ResponseInfo &info)
{
    return {upstream,
            info.outstandingRequests.value_or(-1),
            info.requestLimit.value_or(0),
            info.isLeaving,
            0,
            address,
            info.coldRemainingMs.value_or(-1),
            info.pace.value_or(0)};
}

std::optional<wire::UpstreamLoad>
leavingReportOf(const std::string &upstream, const std::string &address, const ResponseInfo &info)
{
    if (!info.isLeaving || info.isInstanceMismatch)
        return std::nullopt;
    return wire::UpstreamLoad{upstream, -1, -1, true, 0, address};
}

policy::ReleaseReason refusalReason(const ResponseInfo &info)
{
    if (info.isInstanceMismatch)
        return policy::ReleaseReason::Unreachable;
    return info.requestLimit || info.isLeaving ? policy::ReleaseReason::Cancelled
                                               : policy::ReleaseReason::Failed;
}

policy::ReleaseReason notSentReason(net::CallStatus status, bool isCutOff)
{
    if (status != net::CallStatus::Unanswered)
        return policy::ReleaseReason::Unreachable;
    return isCutOff ? policy::ReleaseReason::Cancelled : policy::ReleaseReason::Unanswered;
}

policy::ReleaseReason responseReason(int status)
{
    return status >= 500 ? policy::ReleaseReason::ServerError : policy::ReleaseReason::Completed;
}

} // namespace rattanrill::serving
