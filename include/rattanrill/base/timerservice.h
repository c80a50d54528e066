#pragma once

#include "rattanrill/base/clock.h"

#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace rattanrill {

/// Parts subscribe to points in time here instead of sleeping. Callbacks are short: they run one
/// after another on one thread, so longer work is posted to a WorkerPool.
class TimerService
{
public:
    using TimerId = std::uint64_t;
    using Callback = std::function<void()>;

    virtual ~TimerService() = default;

    /// Calls \a callback once, after \a delay.
    virtual TimerId subscribeOnce(absl::Duration delay, Callback callback) = 0;
    /// Calls \a callback every \a period, the first time after one period.
    virtual TimerId subscribeEvery(absl::Duration period, Callback callback) = 0;
    /// After return the callback does not run and will not run again, unless called from it.
    virtual void unsubscribe(TimerId timer) = 0;
};

/// Timer service with a thread of its own.
class ThreadTimerService : public TimerService
{
public:
    explicit ThreadTimerService(const Clock &clock = SystemClock::instance());
    ~ThreadTimerService() override;

    TimerId subscribeOnce(absl::Duration delay, Callback callback) override;
    TimerId subscribeEvery(absl::Duration period, Callback callback) override;
    void unsubscribe(TimerId timer) override;
    /// Ends the thread; later subscriptions never fire.
    void stop();

private:
    struct State;

    std::unique_ptr<State> m_state;
};

/// Timer service that fires when a test advances it, together with a ManualClock.
class ManualTimerService : public TimerService
{
public:
    explicit ManualTimerService(ManualClock &clock);

    TimerId subscribeOnce(absl::Duration delay, Callback callback) override;
    TimerId subscribeEvery(absl::Duration period, Callback callback) override;
    void unsubscribe(TimerId timer) override;
    /// Moves the clock by \a step and fires every timer that comes due, in order of time.
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
