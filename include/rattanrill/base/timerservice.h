#pragma once

#include "rattanrill/base/clock.h"

#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace rattanrill {

/// One-shot and periodic timers, which components use instead of sleeping. Callbacks run one after
/// another on one thread and must therefore be short; post longer work to a WorkerPool.
class TimerService
{
public:
    using TimerId = std::uint64_t;
    using Callback = std::function<void()>;

    virtual ~TimerService() = default;

    /// Calls \a callback once, after \a delay.
    virtual TimerId subscribeOnce(absl::Duration delay, Callback callback) = 0;
    /// Calls \a callback every \a period, for the first time after one period.
    virtual TimerId subscribeEvery(absl::Duration period, Callback callback) = 0;
    /// Removes \a timer. After return its callback is not running and will not run again. If the
    /// callback itself calls this, the current run continues.
    virtual void unsubscribe(TimerId timer) = 0;
};

/// Timer service that runs callbacks on its own thread. Its methods may be called from any thread.
class ThreadTimerService : public TimerService
{
public:
    explicit ThreadTimerService(const Clock &clock = SystemClock::instance());
    ~ThreadTimerService() override;

    TimerId subscribeOnce(absl::Duration delay, Callback callback) override;
    TimerId subscribeEvery(absl::Duration period, Callback callback) override;
    void unsubscribe(TimerId timer) override;
    /// Ends the thread. No timer fires after that, including timers that are added later.
    void stop();

private:
    struct State;

    std::unique_ptr<State> m_state;
};

/// Timer service for tests, whose timers fire only while advance() moves its ManualClock.
class ManualTimerService : public TimerService
{
public:
    explicit ManualTimerService(ManualClock &clock);

    TimerId subscribeOnce(absl::Duration delay, Callback callback) override;
    TimerId subscribeEvery(absl::Duration period, Callback callback) override;
    void unsubscribe(TimerId timer) override;
    /// Advances the clock by \a step and fires every timer that becomes due, ordered by time.
    void advance(absl::Duration step);

private:
    struct Entry
    {
        TimerId id;
        absl::Duration period;
        Callback callback;
    };

    ManualClock &m_clock;
    TimerId m_nextId = 1;
    std::multimap<absl::Time, Entry> m_entries;
};

} // namespace rattanrill
