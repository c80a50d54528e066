#pragma once

#include "absl/time/time.h"

#include <string>
#include <vector>

namespace rattanrill::policy {

/// A crashed upstream and the requests that ran there.
struct Crash
{
    absl::Time at;
    std::string upstream;
    std::string failureDomain;
    std::vector<std::string> fingerprints;
};

/// Recent crashes. Distinguishes the loss of a failure domain from a request that crashes
/// upstreams.
class CrashHistory
{
public:
    /// Adds \a crash. Returns the crashes, including this one, that indicate the loss of the
    /// failure domain: those of several upstreams of the domain within a short time that had no
    /// request in common. Returns an empty list when there are no such crashes.
    std::vector<Crash> add(Crash crash);

private:
    std::vector<Crash> m_recent;
};

} // namespace rattanrill::policy
