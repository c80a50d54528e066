#pragma once

#include "rattanrill/base/result.h"

#include "absl/time/time.h"

#include <string>

namespace rattanrill::entry {

/// Answer to a request for rate.
struct RateDecision
{
    bool granted = false;
    /// Granted: wait before the request may run. Refused: earliest time for another try.
    absl::Duration wait;
};

/// Counts requests of a workspace against its contract.
class RateAdmission
{
public:
    virtual ~RateAdmission() = default;
    /// Blocks for a call to the workspace's owner, or, while the ownership moves, for the longest
    /// wait of a grant; does not wait for the grant itself.
    /// Fails with RateUnknown (NotRun) when the owner cannot be reached.
    virtual Outcome<RateDecision> take(const std::string &workspace) = 0;
};

} // namespace rattanrill::entry
