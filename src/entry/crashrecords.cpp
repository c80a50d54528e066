#include "crashrecords.h"

namespace rattanrill::entry {

void CrashRecords::beginReport(const std::string &fingerprint)
{
    absl::MutexLock lock(&m_mutex);
    ++m_pending[fingerprint];
}

void CrashRecords::endReport(const std::string &fingerprint, const Outcome<bool> &quarantined)
{
    absl::MutexLock lock(&m_mutex);
    const auto pending = m_pending.find(fingerprint);
    if (pending != m_pending.end() && --pending->second == 0)
        m_pending.erase(pending);
    if (!quarantined.ok())
        m_states[fingerprint] = State::Unrecorded;
    else if (quarantined.value())
        m_states[fingerprint] = State::Quarantined;
    else
        m_states.erase(fingerprint);
}

bool CrashRecords::pending(const std::string &fingerprint) const
{
    absl::MutexLock lock(&m_mutex);
    return m_pending.count(fingerprint) > 0;
}

CrashRecords::State CrashRecords::await(const std::string &fingerprint, absl::Duration timeout)
{
    absl::MutexLock lock(&m_mutex);
    const auto settled = [&]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
        return m_pending.count(fingerprint) == 0;
    };
    if (!m_mutex.AwaitWithTimeout(absl::Condition(&settled), timeout))
        return State::Unrecorded;
    const auto state = m_states.find(fingerprint);
    if (state == m_states.end())
        return State::Recorded;
    const State result = state->second;
    // The state is returned only once, so that the map does not grow. A quarantined fingerprint is
    // also listed in the directory view once the view is updated. Only the first caller learns of
    // an unrecorded crash.
    m_states.erase(state);
    return result;
}

} // namespace rattanrill::entry
