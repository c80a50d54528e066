#include "rattanrill/base/clock.h"

#include "absl/time/clock.h"

#include <algorithm>
#include <chrono>

namespace rattanrill {

absl::Time SystemClock::now() const
{
    return absl::UnixEpoch()
           + absl::FromChrono(std::chrono::steady_clock::now().time_since_epoch());
}

absl::Time SystemClock::wallNow() const
{
    return absl::Now();
}

const SystemClock &SystemClock::instance()
{
    static const SystemClock clock;
    return clock;
}

ManualClock::ManualClock(absl::Time start)
    : m_now(start)
{}

absl::Time ManualClock::now() const
{
    absl::MutexLock lock(&m_mutex);
    return m_now;
}

void ManualClock::advance(absl::Duration step)
{
    absl::MutexLock lock(&m_mutex);
    m_now += step;
}

void ManualClock::advanceTo(absl::Time time)
{
    absl::MutexLock lock(&m_mutex);
    m_now = std::max(m_now, time);
}

} // namespace rattanrill
