#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <functional>

namespace rattanrill::engine {

/// Allows another thread to abort a blocking call of EngineClient. An abort closes the connection;
/// EngineClient::cancel() instead requests the engine to end the stream.
class AbortSignal
{
public:
    /// Aborts the running call and every later call that uses this signal.
    void abort() ABSL_LOCKS_EXCLUDED(m_mutex);
    bool aborted() const ABSL_LOCKS_EXCLUDED(m_mutex);

    /// Sets the function that abort() calls to end the running call; null when no call is running.
    /// If abort() was called before, \a action is called immediately. It is called while the mutex
    /// of the signal is locked, so it must neither block nor use the signal. For clients such as
    /// EngineClient only.
    void setAbortAction(std::function<void()> action) ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    mutable absl::Mutex m_mutex;
    bool m_aborted ABSL_GUARDED_BY(m_mutex) = false;
    std::function<void()> m_action ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill::engine
