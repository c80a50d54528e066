#pragma once

#include "rattanrill/base/timerservice.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace rattanrill::net {

/// One thread that runs connections, timers and posted tasks of a process one after another, so
/// that what it runs needs no locks. The machines give a process one core.
class EventLoop
{
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Runs on the calling thread until stop().
    void run();
    /// From any thread.
    void stop();
    /// Queues \a task; from any thread.
    void post(std::function<void()> task);
    /// Calls \a handler on the loop for each of the process's signals SIGTERM, SIGINT and SIGHUP.
    void onSignal(std::function<void(int)> handler);
    /// Timers that fire on the loop; to be used on the loop only.
    TimerService &timers();
    boost::asio::io_context &context();

private:
    struct Impl;

    std::unique_ptr<Impl> m_impl;
};

} // namespace rattanrill::net
