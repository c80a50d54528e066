#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <cstddef>
#include <set>

namespace rattanrill::entry {

/// Open caller connections and which of them work on a request. It lets a graceful stop close idle
/// connections at once and wait for the others.
class ConnectionRegistry
{
public:
    /// An idle connection; false when the process no longer takes requests.
    bool add(int socket) ABSL_LOCKS_EXCLUDED(m_mutex);
    void remove(int socket) ABSL_LOCKS_EXCLUDED(m_mutex);
    void markBusy(int socket) ABSL_LOCKS_EXCLUDED(m_mutex);
    /// The answer is sent; false when the connection is to be closed.
    bool markIdle(int socket) ABSL_LOCKS_EXCLUDED(m_mutex);

    /// From now on answers end their connection.
    void endAfterAnswers() ABSL_LOCKS_EXCLUDED(m_mutex);
    bool endingAfterAnswers() const ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Ends the receiving side of idle connections, which wakes their threads. A request that has
    /// already arrived is still read and answered.
    void closeIdle() ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Waits until no request runs; false after \a timeout.
    bool waitUntilNoneBusy(absl::Duration timeout) ABSL_LOCKS_EXCLUDED(m_mutex);
    std::size_t busy() const ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    bool noneBusy() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) { return m_busy.empty(); }

    mutable absl::Mutex m_mutex;
    std::set<int> m_idle ABSL_GUARDED_BY(m_mutex);
    std::set<int> m_busy ABSL_GUARDED_BY(m_mutex);
    bool m_ending ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace rattanrill::entry
