#pragma once

#include "rattanrill/base/json.h"

#include "absl/time/time.h"

#include <string_view>
#include <vector>

namespace rattanrill::report {

/// Two windows whose burn rates must both exceed \a alertRate for an alert: the long one shows that
/// the burn is significant, the short one that it still continues.
struct WindowPair
{
    absl::Duration shortWindow;
    absl::Duration longWindow;
    double alertRate = 1;
};

/// Service-level objectives. A target is a share of good events.
struct Objectives
{
    /// A time to first token above this is a bad event.
    double ttftSeconds = 0.41;
    double ttftTarget = 0.95;
    /// A time between tokens above this is a bad event.
    double tbtSeconds = 0.067;
    double tbtTarget = 0.95;
    /// Share of requests that are good; a request is bad when it is refused although it is within
    /// the contract's rate.
    double servedInsideRateTarget = 0.999;
    /// Share of batch items that ended before their due time.
    double batchOnTimeTarget = 0.999;
    std::vector<WindowPair> windows;
};

/// JSON schema of the objectives file.
std::string_view objectivesSchema();

/// Reads objectives from JSON that conforms to objectivesSchema(); missing members keep their
/// defaults.
Objectives objectivesOf(const Json &json);

} // namespace rattanrill::report
