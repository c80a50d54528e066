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
/// No two owners may grant at the same time: an owner grants only while its directory view is
/// younger than the lease. An owner that detects the end of its ownership transfers its bucket to
/// the new owner. Without a transfer, the new owner's bucket starts empty, and it starts only
/// after the former owner's lease and the longest wait that the former owner may have granted have
/// passed.
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

    /// Sends buckets to the entry at a peer address; called without holding a lock.
    using TransferSender = std::function<void(const std::string &address,
                                              const wire::RateBucketTransfer &transfer)>;

    RateOwner(Options options, const directory::DirectorySubscriber &directory,
              TransferSender sender, const Clock &clock);

    /// Applies changes of the membership and detects the expiry of the lease. To be called at short
    /// intervals.
    void updateOwnership() ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Fails with NotMember (this entry is not the owner by its own view, or waits for the transfer
    /// from the former owner) or StaleRevision (its view is too old), both NotRun.
    Outcome<wire::RateGrantResponse> grant(const wire::RateGrantRequest &request)
            ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Accepts buckets that their former owner has transferred.
    void accept(const wire::RateBucketTransfer &transfer) ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    /// Members from a point in time on, with the view that contained them.
    struct Membership
    {
        absl::Time since;
        std::vector<std::string> members;
        directory::DirectoryView view;
    };

    struct Bucket
    {
        policy::TokenBucket tokens;
        /// No granted unit may be used before this time.
        absl::Time start;
    };

    /// Bucket that a former owner has transferred.
    struct ReceivedBucket
    {
        std::string formerOwner;
        std::uint64_t memberRevision = 0;
        double level = 0;
        absl::Time receivedAt;
    };

    /// By peer address of the new owner.
    using PendingTransfers = std::map<std::string, wire::RateBucketTransfer>;

    bool isOwner(const directory::DirectoryView &view, const std::string &workspace) const;
    /// Oldest membership since which this entry has owned \a workspace without interruption; null
    /// when it is not the owner.
    const Membership *ownedSince(const std::string &workspace) const
            ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /// Owner of \a workspace before \a membership, the oldest one in which this entry is the owner;
    /// empty when it is not known.
    std::string formerOwner(const Membership &membership, const std::string &workspace) const
            ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /// Whether \a received comes from the owner immediately before this entry.
    bool isFromFormerOwner(const std::string &workspace, const ReceivedBucket &received) const
            ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /// Whether the former owner may still transfer the bucket of \a workspace.
    bool isAwaitingTransfer(const std::string &workspace, const Bucket &bucket,
                            absl::Time now) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    Bucket newBucket(const std::string &workspace, const policy::RateContract &rate, absl::Time now)
            ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    Outcome<Done> check(const directory::DirectoryView &view, const std::string &workspace) const;
    Outcome<wire::RateGrantResponse> grantFrom(const directory::DirectoryView &view,
                                               const wire::RateGrantRequest &request)
            ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /// Removes all buckets and the history, because other entries may own the workspaces by now.
    void expireLease() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void applyView(const directory::DirectoryView &view, absl::Duration age)
            ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    /// Removes the buckets that have another owner in \a view, and queues their transfer.
    void releaseBuckets(const directory::DirectoryView &view, absl::Time now)
            ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void sendTransfers() ABSL_LOCKS_EXCLUDED(m_mutex);
    Bucket &bucket(const directory::DirectoryView &view, const std::string &workspace,
                   absl::Time now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    Options m_options;
    const directory::DirectorySubscriber &m_directory;
    const TransferSender m_sender;
    const Clock &m_clock;
    absl::Mutex m_mutex;
    std::map<std::string, Bucket> m_buckets ABSL_GUARDED_BY(m_mutex);
    PendingTransfers m_pendingTransfers ABSL_GUARDED_BY(m_mutex);
    /// By workspace.
    std::map<std::string, ReceivedBucket> m_receivedBuckets ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_memberRevision ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_leaseExpired ABSL_GUARDED_BY(m_mutex) = true;
    /// Latest time at which the view was known to be up to date.
    absl::Time m_confirmedAt ABSL_GUARDED_BY(m_mutex) = absl::InfinitePast();
    /// Memberships since the lease last expired, newest first.
    std::deque<Membership> m_history ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill::entry
