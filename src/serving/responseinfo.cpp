#include "rattanrill/serving/protocoladapter.h"

namespace rattanrill::serving {

wire::UpstreamLoad loadOf(const std::string &upstream, const ResponseInfo &info)
{
    return {upstream, info.outstandingRequests.value_or(-1), info.requestLimit.value_or(0)};
}

policy::ReleaseReason refusalReason(const ResponseInfo &info)
{
    if (info.isInstanceMismatch)
        return policy::ReleaseReason::Unreachable;
    return info.requestLimit ? policy::ReleaseReason::Cancelled : policy::ReleaseReason::Failed;
}

} // namespace rattanrill::serving
