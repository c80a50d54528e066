#pragma once

#include "absl/time/time.h"

#include <cstdint>

namespace rattanrill::serving {

/// Graceful stop of the process that serves the requests.
class ShutdownState
{
public:
    /// \a timeout: time from the stop signal at \a startedAt until the process is killed.
    void begin(absl::Time startedAt, absl::Duration timeout);
    bool hasBegun() const { return m_startedAt != absl::InfiniteFuture(); }
    /// Milliseconds since the stop signal; -1 before it.
    std::int64_t elapsedMs(absl::Time now) const;
    /// Milliseconds until the process is killed; -1 before the stop signal.
    std::int64_t remainingMs(absl::Time now) const;

private:
    absl::Time m_startedAt = absl::InfiniteFuture();
    absl::Duration m_timeout = absl::InfiniteDuration();
};

} // namespace rattanrill::serving
