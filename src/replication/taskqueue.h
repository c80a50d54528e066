#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <utility>
#include <vector>

namespace rattanrill::replication {

/// Queue whose consumer thread removes all queued tasks at once.
template <typename Task>
class TaskQueue
{
public:
    /// Returns false and drops \a task when the queue is closed.
    bool push(Task task)
    {
        absl::MutexLock lock(&m_mutex);
        if (m_closed)
            return false;
        m_tasks.push_back(std::move(task));
        m_changed.Signal();
        return true;
    }

    /// Waits up to \a wait for tasks or close(), then returns the queued tasks.
    std::vector<Task> takeAll(absl::Duration wait)
    {
        const absl::Time deadline = absl::Now() + wait;
        absl::MutexLock lock(&m_mutex);
        while (m_tasks.empty() && !m_closed) {
            if (m_changed.WaitWithDeadline(&m_mutex, deadline))
                break;
        }
        return std::exchange(m_tasks, {});
    }

    /// Waits up to \a wait for close(); returns whether the queue is closed.
    bool waitUntilClosed(absl::Duration wait)
    {
        absl::MutexLock lock(&m_mutex);
        m_mutex.AwaitWithTimeout(absl::Condition(&m_closed), wait);
        return m_closed;
    }

    void close()
    {
        absl::MutexLock lock(&m_mutex);
        m_closed = true;
        m_changed.SignalAll();
    }

    bool isClosed() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_closed;
    }

private:
    mutable absl::Mutex m_mutex;
    absl::CondVar m_changed;
    std::vector<Task> m_tasks ABSL_GUARDED_BY(m_mutex);
    bool m_closed ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace rattanrill::replication
