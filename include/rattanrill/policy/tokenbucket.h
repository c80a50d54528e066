#pragma once

#include "absl/time/time.h"

namespace rattanrill::policy {

/// Rate and burst that a workspace's contract grants.
struct RateContract
{
    /// Units (requests) per second. With 0, the bucket never refills.
    double ratePerSecond = 0;
    /// Capacity of the bucket: number of units that may come into use at once.
    double burst = 0;
};

/// Result of a request for units.
struct RateGrant
{
    bool granted = false;
    /// Granted: time to wait before the units may be used. Refused: time after which a retry can
    /// succeed, or InfiniteDuration() when no retry can.
    absl::Duration wait;
};

/// Limits the rate and burst of one workspace (generic cell rate algorithm). One process, the
/// owner, counts the units of a workspace. In any window of length t, at most rate * t + burst
/// units come into use, where a grant with a wait comes into use at the end of the wait. When the
/// contract changes within the window, the bound is the sum of rate * t over the parts of the
/// window plus the largest burst in it. A lower rate applies from the end of the waits granted
/// before it.
///
/// A new owner starts with the level that the previous owner handed over. Without one it starts
/// empty, because the previous owner may just have granted the whole burst.
class TokenBucket
{
public:
    /// Constructs a bucket that holds \a level units, limited to the burst, at \a start and fills
    /// at the contract's rate from then on. A new owner without a level passes as \a start the end
    /// of the previous owner's lease plus the longest wait that the previous owner granted.
    TokenBucket(RateContract contract, absl::Time start, double level = 0);

    /// Takes \a units when they are available after at most \a maxWait; otherwise takes nothing.
    /// When \a now is before the start or before an earlier call, the wait includes the time until
    /// then.
    RateGrant take(absl::Time now, double units, absl::Duration maxWait = absl::ZeroDuration());
    /// Changes rate and burst. Keeps the level, limited to the new burst, so that a change never
    /// grants a second burst.
    void setContract(absl::Time now, RateContract contract);
    /// Takes \a units that came into use since \a since without a grant of this bucket, also when
    /// they are not available. Units that the bucket could not hold meanwhile because it was full
    /// are used first. The level becomes negative by at most the burst.
    void charge(absl::Time now, double units, absl::Time since);
    /// Replaces the level, because another process has counted the units until \a now.
    void setLevel(absl::Time now, double level);
    /// Returns \a units that were granted and did not come into use, up to the burst.
    void refund(absl::Time now, double units);
    /// Units available at \a now. Negative while units that were granted with a wait are not yet
    /// covered.
    double level(absl::Time now) const;
    const RateContract &contract() const { return m_contract; }

private:
    void advance(absl::Time now);

    RateContract m_contract;
    double m_level = 0;
    absl::Time m_levelTime;
    /// Time since which the bucket has been full; InfiniteFuture() while it is not.
    absl::Time m_fullSince = absl::InfiniteFuture();
};

} // namespace rattanrill::policy
