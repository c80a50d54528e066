#pragma once

#include "rattanrill/base/clock.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

namespace rattanrill::entry {

/// Time at which a graceful shutdown ends the requests that are still open. Until then they run to
/// their end; at this time they receive a failure, so that their callers get a complete response
/// before the process ends.
class ShutdownDeadline
{
public:
    explicit ShutdownDeadline(const Clock &clock);

    /// Sets the time when the shutdown begins. Without a shutdown, the deadline never passes.
    void set(absl::Time time) ABSL_LOCKS_EXCLUDED(m_mutex);
    bool hasPassed() const ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    const Clock &m_clock;
    mutable absl::Mutex m_mutex;
    absl::Time m_time ABSL_GUARDED_BY(m_mutex) = absl::InfiniteFuture();
};

} // namespace rattanrill::entry
