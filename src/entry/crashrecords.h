#pragma once

#include "rattanrill/base/result.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <map>
#include <set>
#include <string>

namespace rattanrill::entry {

/// Crash reports on their way to the directory. A request that may have crashed an upstream waits
/// for its record before its next try; without the record a resend elsewhere would not be stopped.
class CrashRecords
{
public:
    enum class State {
        /// Nothing stands against another try.
        Recorded,
        Held,
        /// The directory did not confirm the record.
        Unrecorded,
    };

    void begin(const std::string &fingerprint) ABSL_LOCKS_EXCLUDED(m_mutex);
    void end(const std::string &fingerprint, const Outcome<bool> &held)
            ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Waits until no report about \a fingerprint is on its way.
    State await(const std::string &fingerprint, absl::Duration timeout)
            ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    absl::Mutex m_mutex;
    std::map<std::string, int> m_pending ABSL_GUARDED_BY(m_mutex);
    /// Outcome of the last report when it was not a plain success.
    std::map<std::string, State> m_states ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill::entry
