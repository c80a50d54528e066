#include "connectionqueue.h"

namespace rattanrill::entry {
namespace {

constexpr std::size_t refusingThreads = 2;
thread_local bool refusingThread = false;

} // namespace

ConnectionQueue::ConnectionQueue(std::size_t maxConnections)
    : m_limit(maxConnections)
    , m_serving(maxConnections)
    , m_refusing(refusingThreads)
{}

void ConnectionQueue::enqueue(std::function<void()> task)
{
    // Only the listening thread adds connections, so that the check and the increment need no
    // common lock.
    if (m_active >= m_limit) {
        m_refusing.enqueue([task = std::move(task)] {
            refusingThread = true;
            task();
        });
        return;
    }
    ++m_active;
    m_serving.enqueue([this, task = std::move(task)] {
        task();
        --m_active;
    });
}

void ConnectionQueue::shutdown()
{
    m_serving.shutdown();
    m_refusing.shutdown();
}

bool ConnectionQueue::refusing()
{
    return refusingThread;
}

} // namespace rattanrill::entry
