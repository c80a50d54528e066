#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <cstddef>
#include <set>

namespace rattanrill::entry {

/// Tracks the open caller connections and which of them are processing a request. A graceful
/// shutdown closes idle connections at once and waits for the others.
class ConnectionRegistry
{
public:
    /// Adds an idle connection. Returns false when the process is shutting down.
    bool add(int socket) ABSL_LOCKS_EXCLUDED(m_mutex);
    void remove(int socket) ABSL_LOCKS_EXCLUDED(m_mutex);
    void markBusy(int socket) ABSL_LOCKS_EXCLUDED(m_mutex);
    /// To be called after the response was sent. Returns false when the connection must be closed.
    bool markIdle(int socket) ABSL_LOCKS_EXCLUDED(m_mutex);

    /// Makes add() and markIdle() return false, so that each connection is closed after its current
    /// response.
    void closeAfterResponses() ABSL_LOCKS_EXCLUDED(m_mutex);
    bool closingAfterResponses() const ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Shuts down the receiving side of idle connections, which wakes their threads. A request that
    /// has already arrived is still processed.
    void closeIdle() ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Waits until no request is running; returns false after \a timeout.
    bool waitUntilNoneBusy(absl::Duration timeout) ABSL_LOCKS_EXCLUDED(m_mutex);
    std::size_t busy() const ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    bool noneBusy() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) { return m_busy.empty(); }

    mutable absl::Mutex m_mutex;
    std::set<int> m_idle ABSL_GUARDED_BY(m_mutex);
    std::set<int> m_busy ABSL_GUARDED_BY(m_mutex);
    bool m_closing ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace rattanrill::entry
