#pragma once

#include "absl/time/time.h"

#include <cstdint>
#include <string>

namespace rattanrill::policy {

/// An ejection of an upstream for its share of server errors (FailureShares) that begins. Until it
/// ends, the upstream gets only requests that have no other one.
struct ServerErrorEjection
{
    std::string upstream;
    /// Service or model that the upstream serves.
    std::string serves;
    absl::Duration length;
    /// Number of this entry's requests that run there.
    std::int64_t runningTasks = 0;
};

} // namespace rattanrill::policy
