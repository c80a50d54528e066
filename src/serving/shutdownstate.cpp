#include "rattanrill/serving/shutdownstate.h"

#include <algorithm>

namespace rattanrill::serving {

void ShutdownState::begin(absl::Time startedAt, absl::Duration timeout)
{
    m_startedAt = startedAt;
    m_timeout = timeout;
}

std::int64_t ShutdownState::elapsedMs(absl::Time now) const
{
    return hasBegun() ? absl::ToInt64Milliseconds(now - m_startedAt) : -1;
}

std::int64_t ShutdownState::remainingMs(absl::Time now) const
{
    if (!hasBegun())
        return -1;
    const absl::Duration remaining = m_startedAt + m_timeout - now;
    return absl::ToInt64Milliseconds(std::max(remaining, absl::ZeroDuration()));
}

} // namespace rattanrill::serving
