#include "rattanrill/policy/outlierdetector.h"

#include <algorithm>

namespace rattanrill::policy {

namespace {

/// Weight of a new sample of the time to first token.
constexpr double smoothing = 0.2;
/// Samples before slowness is judged, so that one long prompt ejects nothing.
constexpr int samplesToJudge = 8;
/// Share right after an ejection.
constexpr double firstShare = 0.1;

} // namespace

OutlierDetector::OutlierDetector(OutlierSettings settings)
    : m_settings(settings)
{}

void OutlierDetector::succeeded(absl::Time now)
{
    m_failuresInRow = 0;
    if (now > m_ejectedUntil + m_settings.rampUpTime)
        m_ejections = 0;
}

void OutlierDetector::failed(absl::Time now, bool crashed)
{
    ++m_failuresInRow;
    if (crashed || m_failuresInRow >= m_settings.failuresInRow)
        eject(now);
}

void OutlierDetector::firstToken(absl::Time now, absl::Duration time, absl::Duration fleetTime)
{
    m_smoothed = m_samples == 0 ? time : m_smoothed + (time - m_smoothed) * smoothing;
    ++m_samples;
    const bool slow = m_smoothed > fleetTime * m_settings.slowFactor
                      && m_smoothed > fleetTime + m_settings.slowMargin;
    if (slow && m_samples >= samplesToJudge)
        eject(now);
}

double OutlierDetector::trafficShare(absl::Time now) const
{
    if (ejected(now))
        return 0;
    const double back = absl::FDivDuration(now - m_ejectedUntil, m_settings.rampUpTime);
    return std::clamp(firstShare + (1 - firstShare) * back, firstShare, 1.0);
}

void OutlierDetector::eject(absl::Time now)
{
    // Answers to work sent before the ejection say nothing new.
    if (ejected(now))
        return;
    const absl::Duration time = m_settings.firstEjection * (1 << std::min(m_ejections, 10));
    m_ejectedUntil = now + std::min(time, m_settings.maxEjection);
    ++m_ejections;
    m_failuresInRow = 0;
    m_samples = 0;
}

} // namespace rattanrill::policy
