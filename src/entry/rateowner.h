#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/directory/directorysubscriber.h"
#include "rattanrill/policy/tokenbucket.h"
#include "rattanrill/wire/directorymessages.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace rattanrill::entry {

/// Rate buckets of the workspaces that this entry owns.
///
/// No two owners may grant at the same time: an owner grants only while its view is younger than
/// the lease. An owner that sees its ownership end hands its bucket over to the new owner. Without
/// that, the new owner's bucket starts, empty, only after the former owner's lease and the longest
/// wait that it may have granted.
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

    /// Sends buckets to the entry at a peer address; called without a lock.
    using HandOverSender = std::function<void(const std::string &address,
                                              const wire::RateBucketTransfer &handOver)>;

    RateOwner(Options options, const directory::DirectorySubscriber &directory,
              HandOverSender sender, const Clock &clock);

    /// Follows changes of membership and lapses of the lease; call often.
    void observe() ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Fails with NotMember (this entry is not the owner, by its own view, or waits for the former
    /// owner to hand over) or StaleRevision (its view is too old), both NotRun.
    Outcome<wire::RateGrantResponse> grant(const wire::RateGrantRequest &request)
            ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Takes buckets that their former owner has handed over.
    void accept(const wire::RateBucketTransfer &handOver) ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    /// Members as of a time, with the view in which they were found.
    struct Membership
    {
        absl::Time since;
        std::vector<std::string> members;
        directory::DirectoryView view;
    };

    struct Bucket
    {
        policy::TokenBucket tokens;
        /// Nothing is in use before.
        absl::Time start;
    };

    /// Bucket that a former owner has handed over.
    struct Arrival
    {
        std::string formerOwner;
        std::uint64_t memberRevision = 0;
        double level = 0;
        absl::Time receivedAt;
    };

    /// By peer address of the new owner.
    using Departures = std::map<std::string, wire::RateBucketTransfer>;

    bool isOwner(const directory::DirectoryView &view, const std::string &workspace) const;
    /// Oldest membership since which this entry has owned \a workspace without a break; null when
    /// it does not own it.
    const Membership *ownedSince(const std::string &workspace) const
            ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /// Owner before \a membership, the oldest in which this entry owns \a workspace; empty when it
    /// is not known.
    std::string formerOwner(const Membership &membership, const std::string &workspace) const
            ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /// True when the hand-over ends the ownership that came right before this entry's own one.
    bool isCurrent(const std::string &workspace, const Arrival &arrival) const
            ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /// True while the former owner may still hand \a workspace over.
    bool isAwaitingHandOver(const std::string &workspace, const Bucket &bucket,
                            absl::Time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    Bucket newBucket(const std::string &workspace, const policy::RateContract &rate, absl::Time now)
            ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    Outcome<Done> check(const directory::DirectoryView &view, const std::string &workspace) const;
    Outcome<wire::RateGrantResponse> grantFrom(const directory::DirectoryView &view,
                                               const wire::RateGrantRequest &request)
            ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /// Forgets what was owned: another entry may own it by now.
    void lapse() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void follow(const directory::DirectoryView &view, absl::Duration age)
            ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /// Lets go of the buckets of which \a view names another owner.
    void depart(const directory::DirectoryView &view, absl::Time now)
            ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void sendDepartures() ABSL_LOCKS_EXCLUDED(m_mutex);
    Bucket &bucket(const directory::DirectoryView &view, const std::string &workspace,
                   absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    Options m_options;
    const directory::DirectorySubscriber &m_directory;
    const HandOverSender m_sender;
    const Clock &m_clock;
    absl::Mutex m_mutex;
    std::map<std::string, Bucket> m_buckets ABSL_GUARDED_BY(m_mutex);
    Departures m_departures ABSL_GUARDED_BY(m_mutex);
    /// By workspace.
    std::map<std::string, Arrival> m_arrivals ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_memberRevision ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_lapsed ABSL_GUARDED_BY(m_mutex) = true;
    /// Time as of which the view was last known to be the newest.
    absl::Time m_confirmedAt ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
    /// Since the lease last lapsed, newest first.
    std::deque<Membership> m_history ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill::entry
