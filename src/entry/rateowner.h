#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/directory/follower.h"
#include "rattanrill/policy/tokenbucket.h"
#include "rattanrill/wire/directorymessages.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace rattanrill::entry {

/// Rate buckets of the workspaces that this entry owns.
///
/// No two owners may grant at the same time: an owner grants only while its view is younger than
/// the lease, and a new owner's bucket starts, empty, only after the former owner's lease and the
/// longest wait that it may have granted.
class RateOwner
{
public:
    struct Options
    {
        std::string instance;
        std::string incarnation;
        absl::Duration lease;
        /// Longest wait that any owner grants.
        absl::Duration maxWait;
    };

    RateOwner(Options options, const directory::Follower &directory, const Clock &clock);

    /// Follows changes of membership and lapses of the lease; call often.
    void observe() ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Fails with NotMember (this entry is not the owner, by its own view) or StaleRevision (its
    /// view is too old), both NotRun.
    Outcome<wire::GrantResponse> grant(const wire::GrantRequest &request)
            ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    /// Members as of a time.
    struct Membership
    {
        absl::Time since;
        std::vector<std::string> members;
    };

    bool isOwner(const directory::View &view, const std::string &workspace) const;
    /// Since when this entry has owned \a workspace without a break.
    absl::Time ownedSince(const std::string &workspace) const
            ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    Outcome<Done> check(const directory::View &view, const std::string &workspace) const;
    void follow(const directory::View &view, absl::Duration age)
            ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    policy::TokenBucket &bucket(const directory::View &view, const std::string &workspace,
                                absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    Options m_options;
    const directory::Follower &m_directory;
    const Clock &m_clock;
    absl::Mutex m_mutex;
    std::map<std::string, policy::TokenBucket> m_buckets ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_memberRevision ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_lapsed ABSL_GUARDED_BY(m_mutex) = true;
    /// Since the lease last lapsed, newest first.
    std::deque<Membership> m_history ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill::entry
