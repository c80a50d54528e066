#pragma once

#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

namespace rattanrill::policy::bench {

/// Event loop in virtual time. Runs events in order of time, and those at the same time in order of
/// creation.
class BenchLoop
{
public:
    using Action = std::function<void()>;

    absl::Time now() const { return m_now; }

    void at(absl::Time time, Action action)
    {
        m_events.push(Event{std::max(time, m_now), m_nextSequence++, std::move(action)});
    }
    void after(absl::Duration delay, Action action) { at(m_now + delay, std::move(action)); }

    void runUntil(absl::Time end)
    {
        while (!m_events.empty() && m_events.top().time <= end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.time;
            event.action();
        }
        m_now = end;
    }

private:
    struct Event
    {
        absl::Time time;
        std::uint64_t sequence;
        Action action;

        bool operator<(const Event &other) const
        {
            return std::tie(other.time, other.sequence) < std::tie(time, sequence);
        }
    };

    absl::Time m_now = absl::UnixEpoch();
    std::uint64_t m_nextSequence = 0;
    std::priority_queue<Event> m_events;
};

} // namespace rattanrill::policy::bench
