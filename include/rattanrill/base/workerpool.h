#pragma once

#include <cstddef>
#include <functional>
#include <memory>

namespace rattanrill {

/// Runs tasks from a bounded queue on a fixed number of threads, in the order in which they were
/// posted.
class WorkerPool
{
public:
    using Task = std::function<void()>;

    WorkerPool(std::size_t threads, std::size_t queueLimit);
    ~WorkerPool();
    WorkerPool(const WorkerPool &) = delete;
    WorkerPool &operator=(const WorkerPool &) = delete;

    /// Queues \a task. Returns false when the queue is full or the pool is stopped.
    [[nodiscard]] bool post(Task task);
    /// Runs the tasks that are already queued, then ends the threads.
    void stop();

private:
    struct State;

    std::unique_ptr<State> m_state;
};

} // namespace rattanrill
