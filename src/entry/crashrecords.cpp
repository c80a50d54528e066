#include "crashrecords.h"

namespace rattanrill::entry {

void CrashRecords::begin(const std::string &fingerprint)
{
    absl::MutexLock lock(&m_mutex);
    ++m_pending[fingerprint];
}

void CrashRecords::end(const std::string &fingerprint, const Outcome<bool> &held)
{
    absl::MutexLock lock(&m_mutex);
    const auto pending = m_pending.find(fingerprint);
    if (pending != m_pending.end() && --pending->second == 0)
        m_pending.erase(pending);
    if (!held.ok())
        m_states[fingerprint] = State::Unrecorded;
    else if (held.value())
        m_states[fingerprint] = State::Held;
    else
        m_states.erase(fingerprint);
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
    // A held fingerprint stays so in the view of the directory; the record here has served.
    m_states.erase(state);
    return result;
}

} // namespace rattanrill::entry
