#pragma once

#include "rattanrill/base/result.h"

#include "absl/time/time.h"

#include <string>

namespace rattanrill::entry {

/// Result of a request for a rate grant.
struct RateDecision
{
    bool granted = false;
    /// Granted: time to wait before the request may run. Refused: time after which a retry can
    /// succeed.
    absl::Duration wait;
};

/// Counts the requests of a workspace against its contract.
class RateAdmission
{
public:
    virtual ~RateAdmission() = default;
    /// Requests a grant for one request. Blocks for a call to the owner of the workspace or, while
    /// ownership is being transferred, for the longest wait of a grant; does not wait until the
    /// grant may be used. Fails with RateUnknown (NotRun) when the owner cannot be reached.
    virtual Outcome<RateDecision> take(const std::string &workspace) = 0;
};

} // namespace rattanrill::entry
