#include "shutdowndeadline.h"

namespace rattanrill::entry {

ShutdownDeadline::ShutdownDeadline(const Clock &clock)
    : m_clock(clock)
{}

void ShutdownDeadline::set(absl::Time time)
{
    absl::MutexLock lock(&m_mutex);
    m_time = time;
}

bool ShutdownDeadline::hasPassed() const
{
    absl::MutexLock lock(&m_mutex);
    return m_clock.now() >= m_time;
}

} // namespace rattanrill::entry
