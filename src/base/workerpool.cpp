#include "rattanrill/base/workerpool.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <deque>
#include <thread>
#include <utility>
#include <vector>

namespace rattanrill {

struct WorkerPool::State
{
    explicit State(std::size_t limit)
        : queueLimit(limit)
    {}

    void run()
    {
        while (true) {
            Task task;
            {
                absl::MutexLock lock(&mutex);
                while (tasks.empty() && !stopping)
                    changed.Wait(&mutex);
                if (tasks.empty())
                    return;
                task = std::move(tasks.front());
                tasks.pop_front();
            }
            task();
        }
    }

    const std::size_t queueLimit;
    absl::Mutex mutex;
    absl::CondVar changed;
    std::deque<Task> tasks ABSL_GUARDED_BY(mutex);
    bool stopping ABSL_GUARDED_BY(mutex) = false;
    std::vector<std::thread> threads;
};

WorkerPool::WorkerPool(std::size_t threads, std::size_t queueLimit)
    : m_state(new State(queueLimit))
{
    for (std::size_t i = 0; i < threads; ++i)
        m_state->threads.emplace_back([state = m_state.get()] { state->run(); });
}

WorkerPool::~WorkerPool()
{
    stop();
}

bool WorkerPool::post(Task task)
{
    absl::MutexLock lock(&m_state->mutex);
    if (m_state->stopping || m_state->tasks.size() >= m_state->queueLimit)
        return false;
    m_state->tasks.push_back(std::move(task));
    m_state->changed.Signal();
    return true;
}

void WorkerPool::stop()
{
    {
        absl::MutexLock lock(&m_state->mutex);
        m_state->stopping = true;
        m_state->changed.SignalAll();
    }
    for (std::thread &thread : m_state->threads) {
        if (thread.joinable())
            thread.join();
    }
}

} // namespace rattanrill
