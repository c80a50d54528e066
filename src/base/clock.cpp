#include "rattanrill/base/clock.h"

#include "absl/time/clock.h"

#include <algorithm>
#include <ctime>

namespace rattanrill {

absl::Time SystemClock::now() const
{
    // The steady clock of the standard library stands still while the machine is suspended. A lease
    // or an age that began before would then seem to last longer than it does for other processes.
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return absl::TimeFromTimespec(time);
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
