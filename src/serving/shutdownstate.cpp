#include "rattanrill/serving/shutdownstate.h"

#include <algorithm>

namespace rattanrill::serving {
namespace {

/// Requests that may take longer than the process lives are admitted in this part of the shutdown
/// timeout only, so that most of them complete.
constexpr int maxAdmissionDivisor = 3;
/// Fractions of the shutdown timeout after which open requests are ended, and after which the
/// process no longer waits for their responses to be sent. The rest is left for the end of the
/// process.
constexpr double requestsEndFraction = 0.94;
constexpr double responsesEndFraction = 0.97;

} // namespace

void ShutdownState::begin(absl::Time startedAt, absl::Duration timeout,
                          absl::Duration admissionTime)
{
    m_startedAt = startedAt;
    m_timeout = timeout;
    m_admissionTime = std::min(admissionTime, timeout / maxAdmissionDivisor);
}

absl::Time ShutdownState::requestsEnd() const
{
    return m_startedAt + m_timeout * requestsEndFraction;
}

absl::Time ShutdownState::responsesEnd() const
{
    return m_startedAt + m_timeout * responsesEndFraction;
}

bool ShutdownState::admits(absl::Time receivedAt, absl::Time deadline) const
{
    return !hasBegun() || receivedAt <= admissionEnd() || deadline <= requestsEnd();
}

std::int64_t ShutdownState::elapsedMs(absl::Time now) const
{
    return hasBegun() ? absl::ToInt64Milliseconds(now - m_startedAt) : -1;
}

std::int64_t ShutdownState::remainingMs(absl::Time now) const
{
    if (!hasBegun())
        return -1;
    const absl::Duration remaining = m_startedAt + m_timeout - now;
    return absl::ToInt64Milliseconds(std::max(remaining, absl::ZeroDuration()));
}

} // namespace rattanrill::serving
