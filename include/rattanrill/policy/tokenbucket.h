#pragma once

#include "absl/time/time.h"

namespace rattanrill::policy {

/// Rate and burst that a workspace's contract grants.
struct RateContract
{
    /// Units (requests) per second; 0 grants only what is left of the burst.
    double ratePerSecond = 0;
    /// Units that may exceed the rate at once.
    double burst = 0;
};

/// Answer to a request for units.
struct RateGrant
{
    bool granted = false;
    /// Granted: time to wait before use. Refused: time after which a retry can succeed;
    /// InfiniteDuration() when it never can.
    absl::Duration wait;
};

/// Rate and burst of one workspace, as counted by its owner (generic cell rate algorithm). In any
/// window of length t, no more than rate * t + burst units come into use, where a grant with a
/// wait comes into use when the wait is over. With a changed contract the bound is the sum of
/// rate * t over the parts of the window, plus the largest burst in it; a lower rate counts from
/// the end of the waits that were granted before it.
///
/// A new owner starts with the level that the former one handed over, or empty, because the former
/// one may just have granted the whole burst.
class TokenBucket
{
public:
    /// Bucket that holds \a level units at \a start, cut to the burst, and fills at the contract's
    /// rate from then on. A new owner that knows no level passes the end of the former owner's
    /// lease plus the longest wait that it granted.
    TokenBucket(RateContract contract, absl::Time start, double level = 0);

    /// Takes \a units when they are available after at most \a maxWait; otherwise takes nothing.
    /// A call with \a now before the start or an earlier call waits for that time as well.
    RateGrant take(absl::Time now, double units, absl::Duration maxWait = absl::ZeroDuration());
    /// Changes rate and burst. Keeps the level, cut to the new burst, so that a change never
    /// grants a second burst.
    void setContract(absl::Time now, RateContract contract);
    /// Units available at \a now; negative while granted units wait for theirs.
    double level(absl::Time now) const;
    const RateContract &contract() const { return m_contract; }

private:
    void advance(absl::Time now);

    RateContract m_contract;
    double m_level = 0;
    absl::Time m_levelAt;
};

} // namespace rattanrill::policy
