#include "rattanrill/net/eventloop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <map>
#include <utility>

namespace rattanrill::net {
namespace {

namespace asio = boost::asio;

class LoopTimerService : public TimerService
{
public:
    /// Call once, before the first timer. \a context may be destroyed before this object, after
    /// clear().
    void setContext(asio::io_context &context) { m_context = &context; }

    TimerId subscribeOnce(absl::Duration delay, Callback callback) override
    {
        return subscribe(delay, absl::ZeroDuration(), std::move(callback));
    }

    TimerId subscribeEvery(absl::Duration period, Callback callback) override
    {
        return subscribe(period, period, std::move(callback));
    }

    /// Removes all timers. Callbacks may own objects that unsubscribe when they are destroyed.
    void clear()
    {
        while (!m_timers.empty()) {
            const std::shared_ptr<Timer> timer = m_timers.begin()->second;
            m_timers.erase(m_timers.begin());
            timer->timer.cancel();
            timer->callback = nullptr;
        }
    }

    /// Cancels the wait as well: it would otherwise keep the callback, and what the callback refers
    /// to, until the timer expires.
    void unsubscribe(TimerId timer) override
    {
        const auto found = m_timers.find(timer);
        if (found == m_timers.end())
            return;
        found->second->timer.cancel();
        m_timers.erase(found);
    }

private:
    struct Timer
    {
        Timer(asio::io_context &context, absl::Duration period, Callback callback)
            : timer(context)
            , period(period)
            , callback(std::move(callback))
        {}

        asio::steady_timer timer;
        absl::Duration period;
        Callback callback;
    };

    TimerId subscribe(absl::Duration delay, absl::Duration period, Callback callback)
    {
        const TimerId id = m_nextId++;
        auto timer = std::make_shared<Timer>(*m_context, period, std::move(callback));
        timer->timer.expires_after(absl::ToChronoNanoseconds(delay));
        m_timers[id] = timer;
        wait(id, timer);
        return id;
    }

    void wait(TimerId id, const std::shared_ptr<Timer> &timer)
    {
        timer->timer.async_wait([this, id, timer](const boost::system::error_code &error) {
            if (!error)
                fire(id, timer);
        });
    }

    void fire(TimerId id, const std::shared_ptr<Timer> &timer)
    {
        const auto found = m_timers.find(id);
        if (found == m_timers.end() || found->second != timer)
            return;
        if (timer->period <= absl::ZeroDuration())
            m_timers.erase(found);
        timer->callback();
        if (m_timers.count(id) == 0)
            return;
        // The next expiry counts from the current time rather than from the previous expiry, so
        // that a pause of the machine is not followed by a series of overdue calls.
        timer->timer.expires_after(absl::ToChronoNanoseconds(timer->period));
        wait(id, timer);
    }

    asio::io_context *m_context = nullptr;
    TimerId m_nextId = 1;
    std::map<TimerId, std::shared_ptr<Timer>> m_timers;
};

} // namespace

struct EventLoop::Impl
{
    Impl()
        : context(1)
        , workGuard(asio::make_work_guard(context))
        , signals(context)
    {
        timers.setContext(context);
    }
    ~Impl() { timers.clear(); }

    void waitForSignal()
    {
        signals.async_wait([this](const boost::system::error_code &error, int signal) {
            if (error)
                return;
            signalHandler(signal);
            waitForSignal();
        });
    }

    /// Outlives the context: the tasks that the context has not run may own objects that
    /// unsubscribe when they are destroyed.
    LoopTimerService timers;
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> workGuard;
    asio::signal_set signals;
    std::function<void(int)> signalHandler;
};

EventLoop::EventLoop()
    : m_impl(std::make_unique<Impl>())
{
    std::signal(SIGPIPE, SIG_IGN);
}

EventLoop::~EventLoop() = default;

void EventLoop::run()
{
    m_impl->context.run();
}

void EventLoop::stop()
{
    m_impl->context.stop();
}

void EventLoop::post(std::function<void()> task)
{
    asio::post(m_impl->context, std::move(task));
}

void EventLoop::onSignal(std::function<void(int)> handler)
{
    m_impl->signalHandler = std::move(handler);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP})
        m_impl->signals.add(signal);
    m_impl->waitForSignal();
}

TimerService &EventLoop::timers()
{
    return m_impl->timers;
}

boost::asio::io_context &EventLoop::ioContext()
{
    return m_impl->context;
}

} // namespace rattanrill::net
