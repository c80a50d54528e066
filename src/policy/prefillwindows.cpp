#include "prefillwindows.h"

#include "interpolate.h"

#include <cmath>

namespace rattanrill::policy {

namespace {

/// Length of a window: the maximum applies at an online tail weight of 0, the minimum at 1. A
/// window takes several decode steps, but is short compared with the run time of a batch item,
/// because a slot that becomes free outside the window stays empty until the next window.
constexpr double maxWindowSeconds = 0.25;
constexpr double minWindowSeconds = 0.12;
/// Number of groups: the minimum applies at an online tail weight of 0, the maximum at 1.
constexpr double minGroups = 3;
constexpr double maxGroups = 9;
/// Time after the end of a window during which a batch prompt may still be in prefill: the prefill
/// of a prompt that is started at the end takes one to two decode steps. The minimum applies at an
/// online tail weight of 0, the maximum at 1.
constexpr double minPrefillSeconds = 0.06;
constexpr double maxPrefillSeconds = 0.1;

} // namespace

PrefillWindows::PrefillWindows(double tailWeight)
    : m_groups(static_cast<std::size_t>(std::lround(interpolate(minGroups, maxGroups, tailWeight))))
    , m_window(absl::Seconds(interpolate(maxWindowSeconds, minWindowSeconds, tailWeight)))
    , m_prefillTime(absl::Seconds(interpolate(minPrefillSeconds, maxPrefillSeconds, tailWeight)))
{}

bool PrefillWindows::isOpen(absl::Time now, std::size_t group) const
{
    return timeSinceOpening(now, group) < m_window;
}

bool PrefillWindows::isBusy(absl::Time now, std::size_t group) const
{
    return timeSinceOpening(now, group) < m_window + m_prefillTime;
}

absl::Time PrefillWindows::nextOpening(absl::Time now, std::size_t group) const
{
    return now + m_window * static_cast<int>(m_groups) - timeSinceOpening(now, group);
}

absl::Duration PrefillWindows::timeSinceOpening(absl::Time now, std::size_t group) const
{
    const absl::Duration groupOffset = m_window * static_cast<int>(group % m_groups);
    const absl::Duration since = now + m_clockOffset - absl::UnixEpoch() - groupOffset;
    const absl::Duration cycle = m_window * static_cast<int>(m_groups);
    const absl::Duration elapsed = since % cycle;
    return elapsed < absl::ZeroDuration() ? elapsed + cycle : elapsed;
}

} // namespace rattanrill::policy
