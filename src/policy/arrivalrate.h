#pragma once

#include "absl/time/time.h"

namespace rattanrill::policy {

/// Exponentially smoothed rate of arrivals.
class ArrivalRate
{
public:
    /// The weight of an arrival falls to 1 / e within \a timeConstant.
    explicit ArrivalRate(absl::Duration timeConstant = absl::Seconds(10));

    void arrived(absl::Time now);
    double perSecond(absl::Time now) const;

private:
    absl::Duration m_timeConstant;
    double m_rate = 0;
    absl::Time m_updated = absl::InfinitePast();
};

} // namespace rattanrill::policy
