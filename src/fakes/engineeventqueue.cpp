#include "rattanrill/fakes/engineeventqueue.h"

#include <algorithm>
#include <utility>

namespace rattanrill::fakes {

void EngineEventQueue::push(absl::Time readyAt, DeliveredEvent event)
{
    absl::MutexLock lock(&m_mutex);
    m_entries.push_back({readyAt, std::move(event)});
    m_changed.Signal();
}

std::optional<DeliveredEvent> EngineEventQueue::pop(const Clock &clock, absl::Duration timeout)
{
    const absl::Time deadline = clock.now() + timeout;
    absl::MutexLock lock(&m_mutex);
    while (m_entries.empty() || m_entries.front().readyAt > clock.now()) {
        const absl::Time wakeAt =
                m_entries.empty() ? deadline : std::min(deadline, m_entries.front().readyAt);
        const absl::Duration left = wakeAt - clock.now();
        if (left <= absl::ZeroDuration() && wakeAt == deadline)
            return std::nullopt;
        m_changed.WaitWithTimeout(&m_mutex, left);
    }
    DeliveredEvent event = std::move(m_entries.front().event);
    m_entries.pop_front();
    return event;
}

} // namespace rattanrill::fakes
