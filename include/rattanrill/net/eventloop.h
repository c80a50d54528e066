#pragma once

#include "rattanrill/base/timerservice.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace rattanrill::net {

/// Runs the connections, timers and posted tasks of a process one after another on one thread, so
/// that they need no locks. One thread is enough because each process is deployed with one core.
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Runs the loop on the calling thread until stop() is called.
    void run();
    /// Ends run(). May be called from any thread.
    void stop();
    /// Queues \a task to run on the loop. May be called from any thread.
    void post(std::function<void()> task);
    /// Calls \a handler on the loop, with the signal number, each time the process receives
    /// SIGTERM, SIGINT or SIGHUP.
    void onSignal(std::function<void(int)> handler);
    /// Timers that fire on the loop. Use them on the loop only.
    TimerService &timers();
    boost::asio::io_context &ioContext();

private:
    struct Impl;

    std::unique_ptr<Impl> m_impl;
};

} // namespace rattanrill::net
