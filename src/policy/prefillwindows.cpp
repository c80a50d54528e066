#include "prefillwindows.h"

#include "between.h"

#include <cmath>

namespace rattanrill::policy {

namespace {

/// Several steps of an engine, but short against the run time of a batch item, because a place that
/// becomes free outside the window stays empty until the next one.
constexpr double longestWindowSeconds = 0.25;
constexpr double shortestWindowSeconds = 0.12;
constexpr double fewestGroups = 3;
constexpr double mostGroups = 9;
/// A prompt that started at the end of the window is prefilled after one to two steps.
constexpr double shortestPrefillSeconds = 0.06;
constexpr double longestPrefillSeconds = 0.1;

} // namespace

PrefillWindows::PrefillWindows(double tailWeight)
    : m_groups(static_cast<std::size_t>(std::lround(between(fewestGroups, mostGroups, tailWeight))))
    , m_window(absl::Seconds(between(longestWindowSeconds, shortestWindowSeconds, tailWeight)))
    , m_prefillTime(
              absl::Seconds(between(shortestPrefillSeconds, longestPrefillSeconds, tailWeight)))
{}

bool PrefillWindows::isOpen(absl::Time now, std::size_t group) const
{
    return sinceOpening(now, group) < m_window;
}

bool PrefillWindows::isBusy(absl::Time now, std::size_t group) const
{
    return sinceOpening(now, group) < m_window + m_prefillTime;
}

absl::Time PrefillWindows::nextOpening(absl::Time now, std::size_t group) const
{
    return now + m_window * static_cast<int>(m_groups) - sinceOpening(now, group);
}

absl::Duration PrefillWindows::sinceOpening(absl::Time now, std::size_t group) const
{
    const absl::Duration phase = m_window * static_cast<int>(group % m_groups);
    const absl::Duration since = now + m_offset - absl::UnixEpoch() - phase;
    const absl::Duration cycle = m_window * static_cast<int>(m_groups);
    const absl::Duration part = since % cycle;
    return part < absl::ZeroDuration() ? part + cycle : part;
}

} // namespace rattanrill::policy
