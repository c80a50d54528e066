#pragma once

#include "rattanrill/base/result.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <map>
#include <set>
#include <string>

namespace rattanrill::entry {

/// Tracks crash reports that the directory has not confirmed yet. A request that may have crashed
/// an upstream waits for the confirmation before its next attempt; without the record, other
/// entries would not refuse the request when the caller resends it.
class CrashRecords
{
public:
    enum class State {
        /// The request may be attempted again.
        Recorded,
        /// The request is quarantined and must not run.
        Quarantined,
        /// The directory did not confirm the record.
        Unrecorded,
    };

    void beginReport(const std::string &fingerprint) ABSL_LOCKS_EXCLUDED(m_mutex);
    void endReport(const std::string &fingerprint, const Outcome<bool> &quarantined)
            ABSL_LOCKS_EXCLUDED(m_mutex);
    bool pending(const std::string &fingerprint) const ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Waits until no report about \a fingerprint is pending, and returns the state. Returns
    /// Unrecorded on a timeout. A state other than Recorded is returned only once; later calls
    /// return Recorded.
    State await(const std::string &fingerprint, absl::Duration timeout)
            ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    mutable absl::Mutex m_mutex;
    std::map<std::string, int> m_pending ABSL_GUARDED_BY(m_mutex);
    /// State after the last report, by fingerprint; only states other than Recorded.
    std::map<std::string, State> m_states ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill::entry
