#pragma once

#include "rattanrill/policy/tokenbucket.h"

#include "absl/time/time.h"

#include <optional>

namespace rattanrill::policy {

/// Settings of RequestLimit.
struct RequestLimitSettings
{
    /// Time for which unused requests accumulate, so that requests that arrive in bursts can use
    /// the whole limit.
    absl::Duration burstTime = absl::Milliseconds(1500);
    /// Number of requests that accumulate in addition, so that low limits allow bursts, too.
    double burstRequests = 2;
    /// A limit that no response has named for this long ends.
    absl::Duration lifetime = absl::Seconds(10);
};

/// Number of requests per second that an upstream accepts, as named in its responses. Without a
/// limit all requests are allowed.
class RequestLimit
{
public:
    explicit RequestLimit(RequestLimitSettings settings);

    /// Records the limit that a response named, in requests per second, or that it named none. A
    /// new limit starts without accumulated requests.
    void report(absl::Time now, std::optional<double> limit);
    /// Drops the accumulated requests.
    void clearAccumulated(absl::Time now);
    /// Whether \a requests have accumulated, or there is no limit.
    bool allows(absl::Time now, double requests = 1) const;
    /// Counts a request that is sent to the upstream.
    void take(absl::Time now);
    /// Time from which allows() is true; not later than \a now if it is true now.
    absl::Time nextAllowed(absl::Time now, double requests = 1) const;
    /// The limit in requests per second; absent when there is none.
    std::optional<double> limit(absl::Time now) const;

private:
    RateContract contract(double limit) const;

    RequestLimitSettings m_settings;
    std::optional<TokenBucket> m_bucket;
    absl::Time m_reportedAt = absl::InfinitePast();
};

} // namespace rattanrill::policy
