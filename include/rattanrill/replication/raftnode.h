#pragma once

#include "rattanrill/base/result.h"
#include "rattanrill/base/timerservice.h"
#include "rattanrill/replication/statemachine.h"

#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rattanrill::replication {

/// Identity of a replica. A replica whose disk was lost must rejoin under a new one.
using ReplicaId = std::string;

/// Role of a replica in its group.
enum class Role {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
    /// Receives the log but has no vote.
    Learner,
};

std::string_view name(Role role);

/// Identity, storage and timeouts of one replica.
struct RaftNodeOptions
{
    std::string group;
    ReplicaId self;
    /// Voters of a new group. Ignored when the data folder already contains state of this group.
    std::vector<ReplicaId> initialVoters;
    /// Data folder that only this group uses; created when missing.
    std::string dataFolder;
    absl::Duration heartbeatPeriod = absl::Milliseconds(60);
    /// Each election timeout is drawn at random between this value and twice this value. A leader
    /// that has received nothing from a quorum for this time steps down.
    absl::Duration electionTimeout = absl::Milliseconds(400);
    /// Replaces electionTimeout until the first message from a leader. It can be shorter, because
    /// there is no leader to wait for when all replicas restart together; pre-vote prevents a
    /// replica that restarts alone from disrupting the group. Zero means electionTimeout.
    absl::Duration initialElectionTimeout;
    /// A snapshot is taken after this many bytes of log entries.
    std::uint64_t snapshotAfterBytes = 16u << 20;
};

/// State of one replica, for monitoring and operators.
struct RaftNodeStatus
{
    std::string group;
    Role role = Role::Follower;
    std::uint64_t term = 0;
    /// Empty when no leader is known.
    ReplicaId leader;
    std::uint64_t commitIndex = 0;
    std::uint64_t appliedIndex = 0;
    std::uint64_t snapshotIndex = 0;
    std::vector<ReplicaId> voters;
    std::vector<ReplicaId> learners;
    /// Whether the replica has stopped, by RaftNode::stop() or on its own after a fault such as a
    /// failed fsync.
    bool stopped = false;
    std::string stopReason;
};

/// Sends Raft messages to other replicas. Messages may be lost, delayed, duplicated and reordered.
class RaftTransport
{
public:
    virtual ~RaftTransport() = default;
    virtual void send(const ReplicaId &to, const std::string &group, std::string message) = 0;
};

/// One replica of one Raft group, with its storage and state machine, on threads of its own.
class RaftNode
{
public:
    /// Receives the response of the state machine, unpacked from its wire::CommandResult, or the
    /// failure.
    using Callback = std::function<void(Outcome<std::string>)>;
    /// Receives the ids of the voters and learners, or the failure.
    using MembershipCallback = std::function<void(Outcome<std::vector<ReplicaId>>)>;

    virtual ~RaftNode() = default;

    /// Replicates \a command and applies it. Fails with NotLeader (NotRun; the detail is the
    /// leader's id or empty), ProposalLost (MayHaveRun), NoQuorum, DiskFull (NotRun), QueueFull
    /// (NotRun) or Stopped, or with the failure that the state machine returned.
    virtual void propose(std::string command, Callback callback) = 0;
    /// Linearizable read on the leader. Fails like propose(), but always with NotRun.
    virtual void readOnLeader(std::string query, Callback callback) = 0;
    /// Linearizable read that followers serve as well. After this call, the leader confirms its
    /// leadership; \a query is evaluated on the local state as soon as that state includes every
    /// command that was committed at the time of the confirmation.
    virtual void readOnAnyReplica(std::string query, Callback callback) = 0;
    /// Linearizable read of the committed membership on the leader, unlike status(), which may show
    /// a change that is never committed. Fails like readOnLeader(), and with Conflict (NotRun)
    /// while the membership is being changed.
    virtual void readMembership(MembershipCallback callback) = 0;
    /// Handles a Raft message from the replica \a from.
    virtual void receive(const ReplicaId &from, std::string message) = 0;
    virtual RaftNodeStatus status() const = 0;
    /// Calls \a listener with the applied index after each batch of applied commands.
    virtual void onApplied(std::function<void(std::uint64_t)> listener) = 0;
    /// Adds \a member as a learner and makes it a voter after it has caught up. If \a replaced is
    /// not empty, \a member replaces that replica. Membership changes by one replica at a time, and
    /// only on the leader. Fails with Timeout (MayHaveRun) when the learner stops responding;
    /// \a member then remains a learner until it is removed or added again.
    virtual void addReplica(const ReplicaId &member, const ReplicaId &replaced,
                            Callback callback) = 0;
    /// Removes \a member from the group; leader only.
    virtual void removeReplica(const ReplicaId &member, Callback callback) = 0;
    /// Transfers leadership to the reachable voter with the most complete log; for a graceful stop.
    virtual void transferLeadership() = 0;
    /// Stops the replica and ends its threads. Open calls fail with Stopped.
    virtual void stop() = 0;
};

/// Opens the data folder, recovers the stored state and starts the replica. Fails with CorruptData,
/// UnsupportedFormat, IdentityMismatch (the folder belongs to another replica) or IoError.
Result<std::unique_ptr<RaftNode>> startRaftNode(const RaftNodeOptions &options,
                                                std::unique_ptr<StateMachine> machine,
                                                RaftTransport &transport, const Clock &clock);

} // namespace rattanrill::replication
