#include "rattanrill/engine/abortsignal.h"

namespace rattanrill::engine {

void AbortSignal::abort()
{
    // The action runs under the lock, so that it never runs after its call has withdrawn it. It
    // only shuts a socket down, which does not wait.
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
