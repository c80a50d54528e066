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

/// Identity of a replica; a replica whose disk was lost comes back under a new one.
using ReplicaId = std::string;

enum class Role {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
    /// Receives the log without a vote.
    Learner,
};

std::string_view name(Role role);

struct RaftNodeOptions
{
    std::string group;
    ReplicaId self;
    /// Voters of a new group. Ignored when the data folder holds a state of this group.
    std::vector<ReplicaId> initialVoters;
    /// The group's own folder; created when missing.
    std::string dataFolder;
    absl::Duration heartbeatPeriod = absl::Milliseconds(60);
    /// Drawn between this and twice this. A leader that has not heard from a quorum for this long
    /// steps down.
    absl::Duration electionTimeout = absl::Milliseconds(400);
    /// Takes the place of the election timeout until a leader has been heard: replicas that all
    /// start again have none to wait for. Pre-votes keep a replica that starts alone from harm.
    /// Zero: the election timeout.
    absl::Duration initialElectionTimeout;
    /// A snapshot is taken after this many log bytes.
    std::uint64_t snapshotAfterBytes = 16u << 20;
};

struct RaftNodeStatus
{
    std::string group;
    Role role = Role::Follower;
    std::uint64_t term = 0;
    /// Empty when unknown.
    ReplicaId leader;
    std::uint64_t commitIndex = 0;
    std::uint64_t appliedIndex = 0;
    std::uint64_t snapshotIndex = 0;
    std::vector<ReplicaId> voters;
    std::vector<ReplicaId> learners;
    /// Set when the replica has stopped itself, for instance after a failed sync.
    bool stopped = false;
    std::string stopReason;
};

/// Carries Raft messages to other replicas; may lose, delay, repeat and reorder them.
class RaftTransport
{
public:
    virtual ~RaftTransport() = default;
    virtual void send(const ReplicaId &to, const std::string &group, std::string message) = 0;
};

/// One replica of one group: Raft core, storage and state machine on a thread of its own.
class RaftNode
{
public:
    /// Receives what the state machine answered (its wire::CommandResult unpacked), or the failure.
    using Callback = std::function<void(Outcome<std::string>)>;

    virtual ~RaftNode() = default;

    /// Replicates \a command and applies it. Fails with NotLeader (NotRun; the detail is the
    /// leader's id or empty), ProposalLost (MayHaveRun), NoQuorum, DiskFull (NotRun), QueueFull
    /// (NotRun) or Stopped, or with the failure that the state machine answered.
    virtual void propose(std::string command, Callback callback) = 0;
    /// Linearizable read on the leader; fails as propose(), always NotRun.
    virtual void read(std::string query, Callback callback) = 0;
    /// Answers \a query from local state once it includes everything that was committed when the
    /// leader confirmed its leadership after this call; also served by followers.
    virtual void linearizableRead(std::string query, Callback callback) = 0;
    /// A message from another replica.
    virtual void receive(const ReplicaId &from, std::string message) = 0;
    virtual RaftNodeStatus status() const = 0;
    /// Calls \a listener with the applied index after each batch of applied commands.
    virtual void onApplied(std::function<void(std::uint64_t)> listener) = 0;
    /// Adds a replica as learner and makes it a voter after it has caught up; replaces \a replaced
    /// when that is not empty. Single-step changes, leader only.
    virtual void addReplica(const ReplicaId &member, const ReplicaId &replaced,
                            Callback callback) = 0;
    virtual void removeReplica(const ReplicaId &member, Callback callback) = 0;
    /// Hands leadership to the most advanced follower; for a graceful stop.
    virtual void transferLeadership() = 0;
    /// Ends the thread; open calls fail with Stopped.
    virtual void stop() = 0;
};

/// Opens the data folder, recovers and starts. Fails with CorruptData, UnsupportedFormat,
/// IdentityMismatch (the folder belongs to another replica) or IoError.
Result<std::unique_ptr<RaftNode>> startRaftNode(const RaftNodeOptions &options,
                                                std::unique_ptr<StateMachine> machine,
                                                RaftTransport &transport, const Clock &clock);

} // namespace rattanrill::replication
