#pragma once

#include "absl/time/time.h"

namespace rattanrill::policy {

/// Settings of OutlierDetector.
struct OutlierSettings
{
    /// Number of consecutive failures after which an upstream is ejected.
    int consecutiveFailures = 3;
    /// An upstream is treated as slow only when its smoothed time to first token exceeds this
    /// multiple of that of the fleet.
    double slowFactor = 3.0;
    /// An upstream whose smoothed time to first token exceeds that of the fleet by less than this
    /// is not treated as slow. Avoids ejections because of noise at low load.
    absl::Duration slowMargin = absl::Milliseconds(300);
    /// Length of the first ejection. Each further one before the upstream has recovered takes twice
    /// as long, up to maxEjection.
    absl::Duration firstEjection = absl::Seconds(2);
    absl::Duration maxEjection = absl::Seconds(30);
    /// Time over which the upstream's share of traffic grows from 0.1 to 1 after an ejection.
    absl::Duration rampUpTime = absl::Seconds(10);
};

/// Detects a faulty upstream from its responses. An ejected upstream gets no tasks. After the
/// ejection, its share of traffic grows gradually so that a partly recovered upstream is not
/// overloaded.
class OutlierDetector
{
public:
    explicit OutlierDetector(OutlierSettings settings);

    void succeeded(absl::Time now);
    /// Counts a failure. The upstream is ejected at once when \a crashed is true.
    void failed(absl::Time now, bool crashed);
    /// Records a time to first token. The upstream is ejected when it is slow over several samples.
    /// \a time is the time of one task; \a fleetTime is the smoothed time over all upstreams.
    void firstToken(absl::Time now, absl::Duration time, absl::Duration fleetTime);
    /// Ends an ejection whose cause turned out to be elsewhere; the upstream gets all its traffic
    /// again, without the gradual growth.
    void endEjection(absl::Time now);

    /// Share of its normal traffic that the upstream may get at \a now: 0 while ejected, then
    /// growing from 0.1 to 1.
    double trafficShare(absl::Time now) const;
    bool ejected(absl::Time now) const { return now < m_ejectedUntil; }
    absl::Time ejectedUntil() const { return m_ejectedUntil; }
    absl::Duration smoothedFirstToken() const { return m_smoothed; }

private:
    void eject(absl::Time now);

    OutlierSettings m_settings;
    int m_consecutiveFailures = 0;
    int m_ejections = 0;
    int m_samples = 0;
    absl::Duration m_smoothed;
    absl::Time m_ejectedUntil = absl::InfinitePast();
};

} // namespace rattanrill::policy
