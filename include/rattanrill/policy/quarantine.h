#pragma once

#include "absl/time/time.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace rattanrill::policy {

/// Settings of Quarantine.
struct QuarantineSettings
{
    /// Number of crashed upstreams after which a fingerprint is blocked.
    std::size_t crashLimit = 2;
    /// Time for which a request that ran alongside others on a crashed upstream stays a suspect.
    absl::Duration suspectTime = absl::Seconds(30);
    /// Time for which a fingerprint is blocked unless an operator releases it, and for which a
    /// request that ran alone on a crashed upstream stays a suspect.
    absl::Duration blockTime = absl::Hours(24);
};

/// Whether and how a request may run.
enum class QuarantineStatus {
    /// No crash is known; the request may run anywhere.
    Allowed,
    /// The request ran on an upstream that crashed. It may run only where no other suspect runs.
    Suspect,
    /// The request is rejected.
    Blocked,
};

/// Tracks requests that may have crashed an upstream. Suspects run isolated from each other, so
/// that a second crash identifies the request that caused it, while the others are cleared when
/// they succeed.
class Quarantine
{
public:
    explicit Quarantine(QuarantineSettings settings);

    /// Records that \a upstream crashed while it ran this entry's online requests with
    /// \a fingerprints. \a alone is true when nothing else ran there. Returns the fingerprints
    /// whose crash must be recorded in the directory.
    std::vector<std::string> crashed(absl::Time now, const std::string &upstream,
                                     const std::vector<std::string> &fingerprints, bool alone);
    /// Records that \a upstream crashed while it ran batch items with \a fingerprints. They become
    /// suspects, so that they run isolated, but the crash does not block them: an accepted batch
    /// item is owed, however many upstreams crashed while they ran it.
    void crashedUnderBatchItems(absl::Time now, const std::string &upstream,
                                const std::vector<std::string> &fingerprints);
    /// Withdraws the crash of \a upstream, whose cause was not one of the requests that it ran but,
    /// for example, the loss of its failure domain. The crash no longer counts against those
    /// \a fingerprints that are not blocked.
    void retractCrash(const std::string &upstream, const std::vector<std::string> &fingerprints);
    /// Records that a request completed. Clears a suspect, but never a blocked fingerprint.
    void succeeded(const std::string &fingerprint);
    /// Merges a record of the directory. \a blocked is true for a blocked fingerprint. An empty
    /// list of upstreams releases the fingerprint.
    void applyRecord(absl::Time now, const std::string &fingerprint,
                     const std::vector<std::string> &crashedUpstreams, bool blocked);
    QuarantineStatus status(absl::Time now, const std::string &fingerprint) const;
    /// Number of upstreams known to have crashed while they ran the fingerprint.
    std::size_t crashCount(const std::string &fingerprint) const;
    /// True when \a upstream is known to have crashed while it ran the fingerprint.
    bool hasCrashed(const std::string &fingerprint, const std::string &upstream) const;
    /// Drops expired records.
    void expire(absl::Time now);

private:
    struct Suspect
    {
        /// Crashed upstreams on which the request ran.
        std::set<std::string> upstreams;
        bool blocked = false;
        absl::Time expires = absl::InfinitePast();
    };

    QuarantineSettings m_settings;
    std::map<std::string, Suspect> m_suspects;
};

} // namespace rattanrill::policy
