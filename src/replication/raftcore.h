#pragma once

#include "persisttracker.h"
#include "progress.h"
#include "raftlog.h"
#include "readtracker.h"

#include <memory>
#include <optional>
#include <random>

namespace rattanrill::replication {

/// Safeguards that a test switches off to show that its checker notices. All off in production.
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
    /// Takes the place of the election timeout until a leader has been heard, unless it is zero.
    absl::Duration initialElectionTimeout;
    std::uint64_t maxBatchBytes = 256u << 10;
    /// Bound of unanswered append bytes to one replica.
    std::uint64_t maxInFlightBytes = 4u << 20;
    /// A leader refuses proposals beyond this many bytes that are not committed.
    std::uint64_t maxUncommittedBytes = 64u << 20;
    std::uint64_t snapshotChunkBytes = 512u << 10;
    /// Entries kept before a snapshot for replicas that are slightly behind.
    std::uint64_t retainedEntries = 4096;
    /// Of the drawn election timeouts.
    std::uint64_t seed = 0;
    DisabledSafeguards disabled;
};

/// State that a replica starts with: that of its storage, or of a new folder.
struct RaftStart
{
    HardState hardState;
    /// index 0: no snapshot yet.
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

/// To be written in the order snapshot, hard state, entries; entries replace those of the same and
/// of higher indexes.
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

/// What the caller has to do. Messages may leave before the write is done; those that must not are
/// held back in the core.
struct RaftOutput
{
    /// A SnapshotChunk carries no data yet: the sender reads \a length bytes at \a offset.
    std::vector<Message> messages;
    std::optional<PersistRequest> persist;
    /// To be restored before \a committed is applied.
    std::optional<InstalledSnapshot> restored;
    std::vector<Entry> committed;
    std::vector<ReadResult> reads;
    std::vector<ChangeResult> changes;
    /// The replica must stop.
    std::optional<Failure> stop;
};

/// Raft without threads, clock and I/O: terms, pre-vote, check-quorum, pipelined replication,
/// snapshots in chunks, read index, single-step membership changes, leadership transfer.
class RaftCore
{
public:
    RaftCore(RaftOptions options, RaftStart start, absl::Time now);

    // Inputs
    /// Time passes; to be called before other inputs that come later than the last call.
    void tick(absl::Time now);
    void step(const Message &message);
    /// Fails with NotLeader, NoQuorum, QueueFull or DiskFull, all NotRun.
    Outcome<EntryPosition> propose(std::string command);
    /// Linearizable read on the leader; ends in RaftOutput::reads.
    void read(std::uint64_t token);
    /// As read(), on any replica.
    void linearizableRead(std::uint64_t token);
    /// \a member or \a replaced may be empty: pure removal or pure addition.
    void changeMembers(const ReplicaId &member, const ReplicaId &replaced, std::uint64_t token);
    void transferLeadership();
    /// The write \a sequence and all before it are on disk.
    void persisted(std::uint64_t sequence);
    /// A snapshot of the own state is on disk.
    void snapshotSaved(const SnapshotMeta &meta);
    /// Whether the own disk takes writes.
    void setWritable(bool writable) { m_writable = writable; }

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
    /// False for an initial voter that does not know all others yet.
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
    void answerOldTerm(const Message &message);
    void becomeFollower(std::uint64_t term, const ReplicaId &leader);
    void followLeader(const Message &message);
    void startElection();
    void campaign(bool transfer);
    void countVote(const ReplicaId &voter);
    bool hasVotes() const;
    void becomeLeader();
    void stepDown();
    void resetElectionDeadline();
    bool canCampaign() const;
    bool isOwnVoter(const Membership &membership) const;
    bool isUpToDate(const Message &candidate) const;
    void requestVotes(MessageType type, std::uint64_t term, bool transfer);
    void onPreVote(const Message &message);
    void onPreVoteReply(const Message &message);
    void onVote(const Message &message);
    void onVoteReply(const Message &message);
    void onTimeoutNow(const Message &message);

    // Identity
    bool isKnownIncarnation(const Message &message) const;
    void introduce();
    void noteFounder(const Message &message);
    void formGroup();
    void onIntroduce(const Message &message);
    void onIntroduceReply(const Message &message);
    void onIdentityRefused(const Message &message);

    // Replication
    void appendOwn(EntryKind kind, std::string data);
    void noteUnsaved(std::uint64_t index);
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
    void answerChunk(const Message &message, bool installed);

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
    std::size_t votersWhere(const std::function<bool(const Progress &)> &predicate) const;

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
    std::uint64_t m_handedOutIndex = 0;
    /// First entry that the next write contains; 0: none.
    std::uint64_t m_unsavedFrom = 0;
    bool m_writable = true;
    absl::Time m_electionDeadline;
    absl::Time m_lastLeaderContact = absl::InfinitePast();
    absl::Time m_nextIntroduction;
    std::set<ReplicaId> m_votes;

    // Leader
    std::map<ReplicaId, Progress> m_progress;
    absl::Time m_nextHeartbeat;
    std::uint64_t m_round = 0;
    bool m_roundWanted = false;
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
