#pragma once

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <functional>

namespace rattanrill::engine {

/// Lets another thread abort a blocking call. An abort closes the connection; to let the engine
/// finish the stream in order, use EngineClient::cancel() instead.
class AbortSignal
{
public:
    /// Aborts the call that runs now and every later one.
    void abort() ABSL_LOCKS_EXCLUDED(m_mutex);
    bool aborted() const ABSL_LOCKS_EXCLUDED(m_mutex);

    /// Sets what abort() does to the running call; null when no call runs. Called at once when
    /// abort() came first. For clients only.
    void onAbort(std::function<void()> action) ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    mutable absl::Mutex m_mutex;
    bool m_aborted ABSL_GUARDED_BY(m_mutex) = false;
    std::function<void()> m_action ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill::engine
