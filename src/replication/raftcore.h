#pragma once

#include "persisttracker.h"
#include "progress.h"
#include "raftlog.h"
#include "readtracker.h"

#include <memory>
#include <optional>
#include <random>

namespace rattanrill::replication {

/// Safeguards that a test disables to prove that its invariant checks detect their absence.
/// Production code disables none.
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
    /// Replaces the election timeout until the first message from a leader, unless it is zero.
    absl::Duration initialElectionTimeout;
    std::uint64_t maxBatchBytes = 256u << 10;
    /// Limit of the unacknowledged append bytes to one replica.
    std::uint64_t maxInFlightBytes = 4u << 20;
    /// A leader refuses proposals while more than this many bytes are not committed.
    std::uint64_t maxUncommittedBytes = 64u << 20;
    std::uint64_t snapshotChunkBytes = 512u << 10;
    /// Entries before a snapshot that are kept, so that replicas that lag only slightly need no
    /// snapshot: at most this number and this many bytes.
    std::uint64_t retainedEntries = 4096;
    std::uint64_t retainedBytes = 16u << 20;
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

/// Actions for the caller. The messages may be sent before the write is done, because the core
/// holds back those that depend on a write.
struct RaftOutput
{
    /// A SnapshotChunk contains no data: before sending it, the caller sets \a data to at most
    /// \a length bytes of the snapshot from \a offset on.
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
    /// Fails with NotLeader, QueueFull or DiskFull, all NotRun.
    Outcome<EntryPosition> propose(std::string command);
    /// Linearizable read on the leader. The result appears in RaftOutput::reads.
    void readOnLeader(std::uint64_t token);
    /// Linearizable read on any replica. The result appears in RaftOutput::reads.
    void readOnAnyReplica(std::uint64_t token);
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
    RaftOutput takeOutput();

    // State
    absl::Time nextDeadline() const;
    Role role() const { return m_role; }
    std::uint64_t term() const { return m_hardState.term; }
    const ReplicaId &leader() const { return m_leader; }
    std::uint64_t commitIndex() const { return m_commitIndex; }
    const RaftLog &raftLog() const { return m_log; }
    const Membership &membership() const { return m_log.membership(); }
    /// Whether this replica leads, membership() is committed and no change of it is open.
    bool isMembershipSettled() const;
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
    /// Compares the term of \a message with the term of this replica. Replies to a stale term, and
    /// adopts a newer one as a follower unless \a message belongs to a pre-vote. Returns false when
    /// \a message must not be processed.
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
    void handlePreVote(const Message &message);
    void handlePreVoteReply(const Message &message);
    void handleVote(const Message &message);
    void handleVoteReply(const Message &message);
    void handleTimeoutNow(const Message &message);

    // Identity
    bool isExpectedIncarnation(const Message &message) const;
    void sendIntroductions();
    void recordInitialVoter(const Message &message);
    void formGroup();
    void handleIntroduce(const Message &message);
    void handleIntroduceReply(const Message &message);
    void handleIdentityRefused(const Message &message);

    // Replication
    void appendLocalEntry(EntryKind kind, std::string data);
    /// Includes the entries from \a index on in the next write.
    void markUnsavedFrom(std::uint64_t index);
    /// Appends the entries of \a message that are missing and replaces those with another term.
    void appendReceivedEntries(const Message &message);
    void setCommit(std::uint64_t index);
    void advanceCommit();
    bool hasCommittedInTerm() const;
    bool isQuorumWritable() const;
    void sendEntries(const ReplicaId &to, Progress &progress);
    void sendOneAppend(const ReplicaId &to, Progress &progress, bool empty);
    void sendSnapshotChunk(const ReplicaId &to, Progress &progress);
    /// Repeats a probe or chunk, or sends an empty append, when a reply is overdue.
    void resendStalled(const ReplicaId &to, Progress &progress);
    void broadcastEntries();
    void broadcastHeartbeat();
    void updateProgressSet();
    /// Records the contact with the sender of \a message and returns its progress; null when this
    /// replica does not lead or the sender is not a member.
    Progress *progressOf(const Message &message);
    bool hasContactWithQuorum() const;
    void handleAppend(const Message &message);
    void handleAppendReply(const Message &message);
    void handleRefusedAppend(const Message &message, Progress &progress);
    void handleHeartbeat(const Message &message);
    void handleHeartbeatReply(const Message &message);
    void handleSnapshotChunk(const Message &message);
    void handleSnapshotReply(const Message &message);
    void installSnapshot(const SnapshotMeta &meta);
    void replyToChunk(const Message &message, bool installed);

    // Reads
    void addLeaderRead(ReadTracker::LeaderRead read);
    void confirmReads();
    void finishRead(const ReadTracker::LeaderRead &read);
    /// Highest heartbeat round to which a quorum has replied.
    std::uint64_t confirmedRound() const;
    void forwardReads();
    void handleReadIndex(const Message &message);
    void handleReadIndexReply(const Message &message);

    // Members and transfer
    bool isMembershipCommitted() const;
    /// Starts the next step of the membership change when the previous step is committed.
    void advanceChange();
    void advanceAddition();
    void finishChange(std::optional<Failure> failure);
    bool isCaughtUp(const ReplicaId &member) const;
    void appendMembership(const Membership &membership);
    /// Requests the transfer target to start an election once it has the whole log.
    void advanceTransfer();

    // Output
    Message makeReply(const Message &to, MessageType type) const;
    Message makeMessage(const ReplicaId &to, MessageType type) const;
    void send(Message message);
    void collectPersist(RaftOutput &output);
    void releaseHeldMessages();
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
    /// Last index that the caller has received, in RaftOutput::committed or with
    /// RaftOutput::restored.
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
    /// Current heartbeat round. A new one starts when a read needs a confirmation of leadership.
    std::uint64_t m_heartbeatRound = 0;
    bool m_isRoundRequested = false;
    /// Index of the first entry of the term of this leader.
    std::uint64_t m_termStartIndex = 0;
    std::uint64_t m_uncommittedBytes = 0;
    std::optional<MemberChange> m_memberChange;
    ReplicaId m_transferTarget;
    absl::Time m_transferDeadline;

    // Snapshot that is being received, and received snapshots
    SnapshotMeta m_incomingSnapshot;
    std::string m_incomingSnapshotData;
    /// Received snapshot that the next write will contain.
    std::optional<InstalledSnapshot> m_unsavedSnapshot;
    /// Received snapshot that the next output will contain.
    std::optional<InstalledSnapshot> m_unrestoredSnapshot;

    std::vector<Message> m_messages;
    std::vector<ChangeResult> m_changeResults;
    /// Why the replica must stop; empty while it may run.
    std::optional<Failure> m_stop;
};

} // namespace rattanrill::replication
