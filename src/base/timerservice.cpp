#include "rattanrill/base/timerservice.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <thread>

namespace rattanrill {

struct ThreadTimerService::State
{
    struct Entry
    {
        TimerId id;
        absl::Duration period;
        std::shared_ptr<Callback> callback;
    };

    explicit State(const Clock &clock)
        : clock(clock)
    {}

    TimerId add(absl::Duration delay, absl::Duration period, Callback callback)
    {
        absl::MutexLock lock(&mutex);
        const TimerId id = nextId++;
        Entry entry{id, period, std::make_shared<Callback>(std::move(callback))};
        entries.emplace(clock.now() + delay, std::move(entry));
        changed.Signal();
        return id;
    }

    void run()
    {
        absl::MutexLock lock(&mutex);
        while (!stopping) {
            waitForNextTimer();
            if (!stopping)
                fireFirst();
        }
    }

    void waitForNextTimer() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        while (!stopping) {
            if (entries.empty()) {
                changed.Wait(&mutex);
                continue;
            }
            const absl::Duration wait = entries.begin()->first - clock.now();
            if (wait <= absl::ZeroDuration())
                return;
            changed.WaitWithTimeout(&mutex, wait);
        }
    }

    void fireFirst() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        const auto first = entries.begin();
        const absl::Time due = first->first;
        Entry entry = first->second;
        entries.erase(first);
        if (entry.period > absl::ZeroDuration()) {
            // A periodic timer that is late skips the missed periods instead of firing once for
            // each of them.
            const absl::Time next = std::max(due + entry.period, clock.now());
            entries.emplace(next, entry);
        }
        running = entry.id;
        mutex.Unlock();
        (*entry.callback)();
        mutex.Lock();
        running = 0;
        changed.SignalAll();
    }

    void remove(TimerId id)
    {
        absl::MutexLock lock(&mutex);
        for (auto it = entries.begin(); it != entries.end(); ++it) {
            if (it->second.id == id) {
                entries.erase(it);
                break;
            }
        }
        // Waits until a running callback of the timer has returned, except on the timer thread:
        // there, the running callback is the caller itself and would wait forever.
        if (std::this_thread::get_id() == thread.get_id())
            return;
        while (running == id)
            changed.Wait(&mutex);
    }

    const Clock &clock;
    absl::Mutex mutex;
    absl::CondVar changed;
    std::multimap<absl::Time, Entry> entries ABSL_GUARDED_BY(mutex);
    TimerId nextId ABSL_GUARDED_BY(mutex) = 1;
    TimerId running ABSL_GUARDED_BY(mutex) = 0;
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    std::thread thread;
};

ThreadTimerService::ThreadTimerService(const Clock &clock)
    : m_state(new State(clock))
{
    m_state->thread = std::thread([state = m_state.get()] { state->run(); });
}

ThreadTimerService::~ThreadTimerService()
{
    stop();
}

TimerService::TimerId ThreadTimerService::subscribeOnce(absl::Duration delay, Callback callback)
{
    return m_state->add(delay, absl::ZeroDuration(), std::move(callback));
}

TimerService::TimerId ThreadTimerService::subscribeEvery(absl::Duration period, Callback callback)
{
    return m_state->add(period, period, std::move(callback));
}

void ThreadTimerService::unsubscribe(TimerId timer)
{
    m_state->remove(timer);
}

void ThreadTimerService::stop()
{
    {
        absl::MutexLock lock(&m_state->mutex);
        m_state->stopping = true;
        m_state->changed.SignalAll();
    }
    if (m_state->thread.joinable())
        m_state->thread.join();
}

ManualTimerService::ManualTimerService(ManualClock &clock)
    : m_clock(clock)
{}

TimerService::TimerId ManualTimerService::subscribeOnce(absl::Duration delay, Callback callback)
{
    const TimerId id = m_nextId++;
    m_entries.emplace(m_clock.now() + delay, Entry{id, absl::ZeroDuration(), std::move(callback)});
    return id;
}

TimerService::TimerId ManualTimerService::subscribeEvery(absl::Duration period, Callback callback)
{
    const TimerId id = m_nextId++;
    m_entries.emplace(m_clock.now() + period, Entry{id, period, std::move(callback)});
    return id;
}

void ManualTimerService::unsubscribe(TimerId timer)
{
    for (auto it = m_entries.begin(); it != m_entries.end(); ++it) {
        if (it->second.id == timer) {
            m_entries.erase(it);
            return;
        }
    }
}

void ManualTimerService::advance(absl::Duration step)
{
    const absl::Time end = m_clock.now() + step;
    while (!m_entries.empty() && m_entries.begin()->first <= end) {
        const absl::Time due = m_entries.begin()->first;
        const Entry entry = m_entries.begin()->second;
        m_entries.erase(m_entries.begin());
        m_clock.advanceTo(due);
        if (entry.period > absl::ZeroDuration())
            m_entries.emplace(due + entry.period, entry);
        entry.callback();
    }
    m_clock.advanceTo(end);
}

} // namespace rattanrill
