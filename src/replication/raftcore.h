#pragma once

#include "persisttracker.h"
#include "progress.h"
#include "raftlog.h"
#include "readtracker.h"

#include <memory>
#include <optional>
#include <random>

namespace rattanrill::replication {

/// Safeguards that a test disables to prove that its checker detects their absence. Production code
/// disables none.
struct DisabledSafeguards
{
    bool persistBeforeVote = false;
    bool persistBeforeAcknowledgement = false;
    bool termCheckOfCommit = false;
    bool readConfirmation = false;
    bool identityCheck = false;
    bool preVote = false;
    bool checkQuorum = false;
};

struct RaftOptions
{
    ReplicaId self;
    std::string incarnation;
    absl::Duration heartbeatPeriod = absl::Milliseconds(60);
    absl::Duration electionTimeout = absl::Milliseconds(400);
    /// Replaces the election timeout until the first contact with a leader, unless it is zero.
    absl::Duration initialElectionTimeout;
    std::uint64_t maxBatchBytes = 256u << 10;
    /// Limit of the unacknowledged append bytes to one replica.
    std::uint64_t maxInFlightBytes = 4u << 20;
    /// A leader refuses proposals while more than this many bytes are not committed.
    std::uint64_t maxUncommittedBytes = 64u << 20;
    std::uint64_t snapshotChunkBytes = 512u << 10;
    /// Number of entries before a snapshot that are kept for replicas that are slightly behind.
    std::uint64_t retainedEntries = 4096;
    /// Seed of the random numbers, such as election timeouts.
    std::uint64_t seed = 0;
    DisabledSafeguards disabled;
};

/// State with which a replica starts, from its storage or for a new folder.
struct RaftStart
{
    HardState hardState;
    /// Its index is 0 when there is no snapshot yet.
    SnapshotMeta snapshot;
    /// Entries after the snapshot.
    std::vector<Entry> entries;
};

struct EntryPosition
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
};

struct InstalledSnapshot
{
    SnapshotMeta meta;
    std::shared_ptr<const std::string> data;
};

/// A write to storage, in the order snapshot, hard state, entries. The entries replace the stored
/// ones at the same and higher indexes.
struct PersistRequest
{
    std::uint64_t sequence = 0;
    std::optional<InstalledSnapshot> snapshot;
    std::optional<HardState> hardState;
    std::vector<Entry> entries;
};

struct ChangeResult
{
    std::uint64_t token = 0;
    std::optional<Failure> failure;
};

/// Actions for the caller. It may send the messages before the write is done: the core holds back
/// those that depend on a write.
struct RaftOutput
{
    /// A SnapshotChunk contains no data yet: the caller reads \a length bytes at \a offset into it.
    std::vector<Message> messages;
    std::optional<PersistRequest> persist;
    /// Must be restored before \a committed is applied.
    std::optional<InstalledSnapshot> restored;
    std::vector<Entry> committed;
    std::vector<ReadResult> reads;
    std::vector<ChangeResult> changes;
    /// When set, the replica must stop.
    std::optional<Failure> stop;
};

/// The Raft algorithm, without threads, clock and I/O. Includes pre-vote, check-quorum, pipelined
/// replication, snapshots in chunks, read index, single-replica membership changes and leadership
/// transfer.
class RaftCore
{
public:
    RaftCore(RaftOptions options, RaftStart start, absl::Time now);

    // Inputs
    /// Advances the time. Must be called before any other input that occurs later than the last
    /// call.
    void tick(absl::Time now);
    void step(const Message &message);
    /// Fails with NotLeader, NoQuorum, QueueFull or DiskFull, all NotRun.
    Outcome<EntryPosition> propose(std::string command);
    /// Linearizable read on the leader. The result appears in RaftOutput::reads.
    void read(std::uint64_t token);
    /// Like read(), on any replica.
    void linearizableRead(std::uint64_t token);
    /// Adds \a member and removes \a replaced; either may be empty. The result appears in
    /// RaftOutput::changes.
    void changeMembers(const ReplicaId &member, const ReplicaId &replaced, std::uint64_t token);
    void transferLeadership();
    /// Reports that the write \a sequence and all earlier ones are on disk.
    void persisted(std::uint64_t sequence);
    /// Reports that a snapshot of the local state is on disk.
    void snapshotSaved(const SnapshotMeta &meta);
    /// Sets whether the local disk has space for writes.
    void setWritable(bool writable) { m_writable = writable; }

    /// Returns the actions that have accumulated since the last call.
    RaftOutput output();

    // State
    absl::Time nextDeadline() const;
    Role role() const { return m_role; }
    std::uint64_t term() const { return m_hardState.term; }
    const ReplicaId &leader() const { return m_leader; }
    std::uint64_t commitIndex() const { return m_commitIndex; }
    const RaftLog &raftLog() const { return m_log; }
    const Membership &membership() const { return m_log.membership(); }
    const SnapshotMeta &snapshot() const { return m_snapshot; }
    /// False for an initial voter until it has received the incarnations of all initial voters.
    bool isFormed() const;

private:
    struct MemberChange
    {
        ReplicaId member;
        ReplicaId replaced;
        std::uint64_t token = 0;
        absl::Time startedAt;
    };
    using StepFunction = void (RaftCore::*)(const Message &);

    static StepFunction stepFunction(MessageType type);

    // Terms and elections
    bool acceptTerm(const Message &message);
    bool isLeaderAlive() const;
    void replyToStaleTerm(const Message &message);
    void becomeFollower(std::uint64_t term, const ReplicaId &leader);
    void followLeader(const Message &message);
    void startElection();
    void campaign(bool transfer);
    void countVote(const ReplicaId &voter);
    bool hasVoteQuorum() const;
    void becomeLeader();
    void stepDown();
    void resetElectionDeadline();
    bool canCampaign() const;
    bool isSelfVoter(const Membership &membership) const;
    bool isUpToDate(const Message &candidate) const;
    void requestVotes(MessageType type, std::uint64_t term, bool transfer);
    void onPreVote(const Message &message);
    void onPreVoteReply(const Message &message);
    void onVote(const Message &message);
    void onVoteReply(const Message &message);
    void onTimeoutNow(const Message &message);

    // Identity
    bool isExpectedIncarnation(const Message &message) const;
    void sendIntroductions();
    void recordFounder(const Message &message);
    void formGroup();
    void onIntroduce(const Message &message);
    void onIntroduceReply(const Message &message);
    void onIdentityRefused(const Message &message);

    // Replication
    void appendLocalEntry(EntryKind kind, std::string data);
    void markUnsavedFrom(std::uint64_t index);
    void adoptEntries(const Message &message);
    void setCommit(std::uint64_t index);
    void advanceCommit();
    bool hasCommittedInTerm() const;
    bool isQuorumWritable() const;
    void sendEntries(const ReplicaId &to, Progress &progress);
    void sendOneAppend(const ReplicaId &to, Progress &progress, bool empty);
    void sendSnapshotChunk(const ReplicaId &to, Progress &progress);
    void resendStalled(const ReplicaId &to, Progress &progress);
    void broadcastEntries();
    void broadcastHeartbeat();
    void updateProgressSet();
    Progress *progressOf(const Message &message);
    bool hasContactWithQuorum() const;
    void onAppend(const Message &message);
    void onAppendReply(const Message &message);
    void onRefusedAppend(const Message &message, Progress &progress);
    void onHeartbeat(const Message &message);
    void onHeartbeatReply(const Message &message);
    void onSnapshotChunk(const Message &message);
    void onSnapshotReply(const Message &message);
    void installSnapshot(const SnapshotMeta &meta);
    void replyToChunk(const Message &message, bool installed);

    // Reads
    void addLeaderRead(ReadTracker::LeaderRead read);
    void confirmReads();
    void finishRead(const ReadTracker::LeaderRead &read);
    std::uint64_t confirmedRound() const;
    void forwardReads();
    void onReadIndex(const Message &message);
    void onReadIndexReply(const Message &message);

    // Members and transfer
    void advanceChange();
    void advanceAddition();
    void finishChange(std::optional<Failure> failure);
    bool isCaughtUp(const ReplicaId &member) const;
    void appendMembership(const Membership &membership);
    void advanceTransfer();

    // Output
    Message reply(const Message &to, MessageType type) const;
    Message message(const ReplicaId &to, MessageType type) const;
    void send(Message message);
    void collectPersist(RaftOutput &output);
    void releaseHeld();
    void leaderTick();
    std::size_t countVoters(const std::function<bool(const Progress &)> &predicate) const;

    const RaftOptions m_options;
    std::mt19937_64 m_random;
    absl::Time m_now;
    HardState m_hardState;
    SnapshotMeta m_snapshot;
    RaftLog m_log;
    PersistTracker m_persist;
    ReadTracker m_reads;

    Role m_role = Role::Follower;
    ReplicaId m_leader;
    std::uint64_t m_commitIndex = 0;
    std::uint64_t m_deliveredIndex = 0;
    /// Index of the first entry that the next write contains; 0 when there is none.
    std::uint64_t m_firstUnsavedIndex = 0;
    bool m_writable = true;
    absl::Time m_electionDeadline;
    absl::Time m_lastLeaderContact = absl::InfinitePast();
    absl::Time m_nextIntroduction;
    std::set<ReplicaId> m_votes;

    // Leader
    std::map<ReplicaId, Progress> m_progress;
    absl::Time m_nextHeartbeat;
    std::uint64_t m_round = 0;
    bool m_isRoundRequested = false;
    std::uint64_t m_termStartIndex = 0;
    std::uint64_t m_uncommittedBytes = 0;
    std::optional<MemberChange> m_change;
    ReplicaId m_transferTarget;
    absl::Time m_transferDeadline;

    // Receiving a snapshot
    SnapshotMeta m_incoming;
    std::string m_incomingData;
    std::optional<InstalledSnapshot> m_unsavedSnapshot;
    std::optional<InstalledSnapshot> m_unrestoredSnapshot;

    std::vector<Message> m_messages;
    std::vector<ChangeResult> m_changeResults;
    std::optional<Failure> m_stop;
};

} // namespace rattanrill::replication
