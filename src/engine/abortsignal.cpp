#include "rattanrill/engine/abortsignal.h"

namespace rattanrill::engine {

void AbortSignal::abort()
{
    // The action is called under the lock, so that it can't run after the client call has removed
    // it. The lock is held only briefly, because the action only shuts down a socket.
    absl::MutexLock lock(&m_mutex);
    m_aborted = true;
    if (m_action)
        m_action();
}

bool AbortSignal::aborted() const
{
    absl::MutexLock lock(&m_mutex);
    return m_aborted;
}

void AbortSignal::setAbortAction(std::function<void()> action)
{
    absl::MutexLock lock(&m_mutex);
    m_action = std::move(action);
    if (m_aborted && m_action)
        m_action();
}

} // namespace rattanrill::engine
