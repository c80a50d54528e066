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

/// Recent crashes, to tell the loss of a failure domain from a request that crashes upstreams.
class CrashHistory
{
public:
    /// Adds \a crash. Returns the crashes, this one included, that it shows to be a loss of the
    /// failure domain: several upstreams of the domain within a short time without a request in
    /// common. Empty when there is no such sign.
    std::vector<Crash> add(Crash crash);

private:
    std::vector<Crash> m_recent;
};

} // namespace rattanrill::policy
