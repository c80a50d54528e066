#pragma once

#include "absl/time/time.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace rattanrill::policy {

struct QuarantineSettings
{
    /// Crashed upstreams after which a fingerprint is held.
    std::size_t crashLimit = 2;
    /// How long a request that ran beside others on a crashed upstream stays a suspect.
    absl::Duration suspectTime = absl::Seconds(30);
    /// How long a fingerprint is held unless an operator releases it.
    absl::Duration blockTime = absl::Hours(24);
};

/// What may be done with a request.
enum class QuarantineStatus {
    /// Nothing known against it.
    Allowed,
    /// It ran on an upstream that crashed: it runs only where no other suspect runs.
    Suspect,
    /// It is refused.
    Blocked,
};

/// Requests that may have crashed an upstream. Suspects run isolated from each other, so that a
/// second crash names the request that caused it, and the others are cleared by their success.
class Quarantine
{
public:
    explicit Quarantine(QuarantineSettings settings);

    /// \a upstream crashed while it ran requests with \a fingerprints, as far as this entry knows.
    /// \a alone says that no other entry had work there. Returns the fingerprints whose crash
    /// belongs in the directory's records.
    std::vector<std::string> crashed(absl::Time now, const std::string &upstream,
                                     const std::vector<std::string> &fingerprints, bool alone);
    /// The crash of \a upstream had a cause outside the requests it ran, such as the loss of its
    /// failure domain: it no longer counts against \a fingerprints that are not held.
    void retractCrash(const std::string &upstream, const std::vector<std::string> &fingerprints);
    /// A request completed: clears a suspect, but never a held fingerprint.
    void succeeded(const std::string &fingerprint);
    /// Merges a record of the directory; an empty list of upstreams releases the fingerprint.
    void setRecord(absl::Time now, const std::string &fingerprint,
                   const std::vector<std::string> &crashedUpstreams, bool held);
    QuarantineStatus status(absl::Time now, const std::string &fingerprint) const;
    /// Upstreams known to have crashed with the fingerprint.
    std::size_t crashes(const std::string &fingerprint) const;
    /// \a upstream is known to have crashed with the fingerprint.
    bool hasCrashed(const std::string &fingerprint, const std::string &upstream) const;
    /// Drops expired records.
    void expire(absl::Time now);

private:
    struct Suspect
    {
        /// Crashed upstreams on which the request ran.
        std::set<std::string> upstreams;
        bool held = false;
        absl::Time expires = absl::InfinitePast();
    };

    QuarantineSettings m_settings;
    std::map<std::string, Suspect> m_suspects;
};

} // namespace rattanrill::policy
