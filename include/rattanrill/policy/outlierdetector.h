#pragma once

#include "absl/time/time.h"

namespace rattanrill::policy {

struct OutlierSettings
{
    /// Failures in a row after which an upstream is ejected.
    int failuresInRow = 3;
    /// An upstream whose smoothed time to first token exceeds this many times that of the fleet is
    /// treated as slow.
    double slowFactor = 3.0;
    /// Slower than the fleet by less than this is never an outlier; guards against noise at low
    /// load.
    absl::Duration slowMargin = absl::Milliseconds(300);
    absl::Duration firstEjection = absl::Seconds(2);
    absl::Duration longestEjection = absl::Seconds(30);
    /// After an ejection the upstream's share grows from a tenth to the whole over this time.
    absl::Duration rampUpTime = absl::Seconds(10);
};

/// Detection of a faulty upstream from its answers. An ejected upstream gets no work; afterwards
/// its share grows gradually, so that a half-recovered upstream is not flooded.
class OutlierDetector
{
public:
    explicit OutlierDetector(OutlierSettings settings);

    void succeeded(absl::Time now);
    /// \a crashed ejects at once.
    void failed(absl::Time now, bool crashed);
    /// \a seconds is the time to first token; \a fleetSeconds the smoothed one of all upstreams.
    void firstToken(absl::Time now, absl::Duration time, absl::Duration fleetTime);

    /// Share of normal work that the upstream may get at \a now: 0 while ejected, then growing
    /// to 1.
    double trafficShare(absl::Time now) const;
    bool ejected(absl::Time now) const { return now < m_ejectedUntil; }
    absl::Time ejectedUntil() const { return m_ejectedUntil; }
    absl::Duration smoothedFirstToken() const { return m_smoothed; }

private:
    void eject(absl::Time now);

    OutlierSettings m_settings;
    int m_failuresInRow = 0;
    int m_ejections = 0;
    int m_samples = 0;
    absl::Duration m_smoothed;
    absl::Time m_ejectedUntil = absl::InfinitePast();
};

} // namespace rattanrill::policy
