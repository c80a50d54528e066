#pragma once

#include "rattanrill/base/result.h"
#include "rattanrill/service/serviceclient.h"

namespace rattanrill::entry {

/// How a call to an instance of a plain service ended, as far as this indicates its health.
enum class CallEnd {
    /// A complete response that is no server error.
    Completed,
    /// A complete response with a server error (5xx). The instance can be reached.
    ServerError,
    /// The instance refused the call, which did not run.
    Refused,
    /// There was no complete response.
    Failed,
    /// The connection was lost, and nothing listens at the address any more.
    Crashed,
};

/// How the call with \a response ended, unless the instance has crashed.
CallEnd callEndOf(const Outcome<service::ServiceResponse> &response);

} // namespace rattanrill::entry
