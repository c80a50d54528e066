#include "rattanrill/policy/outlierdetector.h"

#include <algorithm>

namespace rattanrill::policy {

namespace {

/// Weight of a new sample of the time to first token.
constexpr double sampleWeight = 0.2;
/// Number of samples before an upstream can be ejected as slow, so that one long prompt does not
/// cause an ejection.
constexpr int minSamples = 8;
/// Share of its normal traffic that an upstream gets right after an ejection.
constexpr double minTrafficShare = 0.1;

} // namespace

OutlierDetector::OutlierDetector(OutlierSettings settings)
    : m_settings(settings)
{}

void OutlierDetector::succeeded(absl::Time now)
{
    m_consecutiveFailures = 0;
    if (now > m_ejectedUntil + m_settings.rampUpTime)
        m_ejections = 0;
}

void OutlierDetector::failed(absl::Time now, bool crashed)
{
    ++m_consecutiveFailures;
    if (crashed || m_consecutiveFailures >= m_settings.consecutiveFailures)
        eject(now);
}

void OutlierDetector::firstToken(absl::Time now, absl::Duration time, absl::Duration fleetTime)
{
    m_smoothed = m_samples == 0 ? time : m_smoothed + (time - m_smoothed) * sampleWeight;
    ++m_samples;
    const bool slow = m_smoothed > fleetTime * m_settings.slowFactor
                      && m_smoothed > fleetTime + m_settings.slowMargin;
    if (slow && m_samples >= minSamples)
        eject(now);
}

void OutlierDetector::endEjection(absl::Time now)
{
    if (now >= m_ejectedUntil + m_settings.rampUpTime)
        return;
    m_ejectedUntil = absl::InfinitePast();
    m_consecutiveFailures = 0;
    --m_ejections;
}

double OutlierDetector::trafficShare(absl::Time now) const
{
    if (ejected(now))
        return 0;
    const double rampUpProgress = absl::FDivDuration(now - m_ejectedUntil, m_settings.rampUpTime);
    return std::clamp(minTrafficShare + (1 - minTrafficShare) * rampUpProgress, minTrafficShare,
                      1.0);
}

void OutlierDetector::eject(absl::Time now)
{
    // Responses to tasks that were sent before the ejection are no new evidence.
    if (ejected(now))
        return;
    const absl::Duration ejection = m_settings.firstEjection * (1 << std::min(m_ejections, 10));
    m_ejectedUntil = now + std::min(ejection, m_settings.maxEjection);
    ++m_ejections;
    m_consecutiveFailures = 0;
    m_samples = 0;
}

} // namespace rattanrill::policy
