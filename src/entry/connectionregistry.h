#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <cstddef>
#include <set>

namespace rattanrill::entry {

/// Tracks the open caller connections and which of them are processing or expecting a request, and
/// tells their threads how far a graceful shutdown has got.
class ConnectionRegistry
{
public:
    ConnectionRegistry();
    ~ConnectionRegistry();
    ConnectionRegistry(const ConnectionRegistry &) = delete;
    ConnectionRegistry &operator=(const ConnectionRegistry &) = delete;

    /// Adds a connection that expects a request.
    void add(int socket) ABSL_LOCKS_EXCLUDED(m_mutex);
    void remove(int socket) ABSL_LOCKS_EXCLUDED(m_mutex);
    void markBusy(int socket) ABSL_LOCKS_EXCLUDED(m_mutex);
    void markExpecting(int socket) ABSL_LOCKS_EXCLUDED(m_mutex);
    /// The connection stays open, but the shutdown does not wait for a request on it.
    void markIdle(int socket) ABSL_LOCKS_EXCLUDED(m_mutex);

    /// From now on, each response announces that its connection is closed.
    void closeAfterResponses() ABSL_LOCKS_EXCLUDED(m_mutex);
    bool closingAfterResponses() const ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Wakes the threads that wait for a request, so that they mark connections as idle.
    void closeIdle() ABSL_LOCKS_EXCLUDED(m_mutex);
    bool closingIdle() const ABSL_LOCKS_EXCLUDED(m_mutex);
    /// File descriptor that is readable from closeIdle() on.
    int closeIdleEvent() const { return m_closeIdleEvent; }
    /// File descriptor that is readable once all connections are idle after closeIdle().
    int allIdleEvent() const { return m_allIdleEvent; }
    /// Shuts down all connections, also those that are added later.
    void abortAll() ABSL_LOCKS_EXCLUDED(m_mutex);
    std::size_t busy() const ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    void signalAllIdle() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const int m_closeIdleEvent;
    const int m_allIdleEvent;
    mutable absl::Mutex m_mutex;
    std::set<int> m_idle ABSL_GUARDED_BY(m_mutex);
    std::set<int> m_expecting ABSL_GUARDED_BY(m_mutex);
    std::set<int> m_busy ABSL_GUARDED_BY(m_mutex);
    bool m_closing ABSL_GUARDED_BY(m_mutex) = false;
    bool m_closingIdle ABSL_GUARDED_BY(m_mutex) = false;
    bool m_aborted ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace rattanrill::entry
