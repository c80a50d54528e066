#pragma once

#include "absl/time/time.h"

namespace rattanrill::policy {

/// Smoothed rate of arrivals.
class ArrivalRate
{
public:
    explicit ArrivalRate(absl::Duration memory = absl::Seconds(10));

    void arrived(absl::Time now);
    double perSecond(absl::Time now) const;

private:
    absl::Duration m_memory;
    double m_rate = 0;
    absl::Time m_updated = absl::InfinitePast();
};

} // namespace rattanrill::policy
