#pragma once

#include "absl/time/time.h"

#include <cstdint>

namespace rattanrill::serving {

/// Graceful stop of the process that serves the requests. Until admissionEnd(), requests are served
/// as usual. After it, only those are whose deadline lies before requestsEnd(), at which all open
/// requests are ended.
class ShutdownState
{
public:
    /// \a timeout: time from the stop signal at \a startedAt until the process is killed.
    /// \a admissionTime: time from the stop signal to admissionEnd(), at most a third of \a
    /// timeout.
    void begin(absl::Time startedAt, absl::Duration timeout, absl::Duration admissionTime);
    bool hasBegun() const { return m_startedAt != absl::InfiniteFuture(); }
    absl::Time admissionEnd() const { return m_startedAt + m_admissionTime; }
    absl::Time requestsEnd() const;
    /// Time at which the process ends although responses have not been sent completely.
    absl::Time responsesEnd() const;
    /// Whether a request that arrived at \a receivedAt and has to end by \a deadline is served.
    bool admits(absl::Time receivedAt, absl::Time deadline) const;
    /// Milliseconds since the stop signal; -1 before it.
    std::int64_t elapsedMs(absl::Time now) const;
    /// Milliseconds until the process is killed; -1 before the stop signal.
    std::int64_t remainingMs(absl::Time now) const;

private:
    absl::Time m_startedAt = absl::InfiniteFuture();
    absl::Duration m_timeout = absl::InfiniteDuration();
    absl::Duration m_admissionTime;
};

} // namespace rattanrill::serving
