#pragma once

#include "rattanrill/net/eventloop.h"

#include "absl/synchronization/notification.h"

#include <functional>
#include <thread>

namespace rattanrill::net {

/// Runs an event loop on its own thread.
class LoopThread
{
public:
    LoopThread()
        : m_thread([this] { m_loop.run(); })
    {}
    ~LoopThread()
    {
        m_loop.stop();
        m_thread.join();
    }

    EventLoop &loop() { return m_loop; }

    /// Runs \a task on the loop and returns when it has finished.
    void run(const std::function<void()> &task)
    {
        absl::Notification done;
        m_loop.post([&] {
            task();
            done.Notify();
        });
        done.WaitForNotification();
    }

private:
    EventLoop m_loop;
    std::thread m_thread;
};

} // namespace rattanrill::net
