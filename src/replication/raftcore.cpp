#include "raftcore.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/enumnames.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace rattanrill::replication {
namespace {

constexpr std::array<EnumName<Role>, 5> roleNames = {{
        {Role::Follower, "follower"},
        {Role::PreCandidate, "pre_candidate"},
        {Role::Candidate, "candidate"},
        {Role::Leader, "leader"},
        {Role::Learner, "learner"},
}};

bool isIdentityMessage(MessageType type)
{
    return type == MessageType::Introduce || type == MessageType::IntroduceReply
           || type == MessageType::IdentityRefused;
}

} // namespace

std::string_view name(Role role)
{
    return nameOf(roleNames, role);
}

RaftCore::RaftCore(RaftOptions options, RaftStart start, absl::Time now)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_now(now)
    , m_hardState(std::move(start.hardState))
    , m_snapshot(start.snapshot)
    , m_log(start.snapshot.index, start.snapshot.term, start.snapshot.membership,
            std::move(start.entries))
    , m_reads(m_random())
    , m_commitIndex(start.snapshot.index)
    , m_deliveredIndex(start.snapshot.index)
    , m_nextIntroduction(now)
{
    m_persist.setPersistedIndex(m_log.lastIndex());
    if (isFormed())
        formGroup();
    becomeFollower(m_hardState.term, "");
    resetElectionDeadline();
    // The only voter of a group starts an election at once, because there can be no other leader.
    if (canCampaign() && membership().voters.size() == 1)
        m_electionDeadline = now;
}

void RaftCore::tick(absl::Time now)
{
    m_now = std::max(m_now, now);
    m_reads.expireBatches(m_now,
                          notRun(ErrorCode::NoQuorum, "the leader did not confirm the read"));
    if (!isFormed()) {
        sendIntroductions();
        return;
    }
    if (m_role == Role::Leader)
        leaderTick();
    else if (m_now >= m_electionDeadline && canCampaign())
        startElection();
}

void RaftCore::leaderTick()
{
    if (!hasContactWithQuorum() && !m_options.disabled.checkQuorum) {
        stepDown();
        return;
    }
    if (!m_transferTarget.empty() && m_now >= m_transferDeadline)
        m_transferTarget.clear();
    if (m_now < m_nextHeartbeat)
        return;
    broadcastHeartbeat();
    advanceTransfer();
    advanceChange();
}

RaftCore::StepFunction RaftCore::stepFunction(MessageType type)
{
    switch (type) {
    case MessageType::Introduce:
        return &RaftCore::handleIntroduce;
    case MessageType::IntroduceReply:
        return &RaftCore::handleIntroduceReply;
    case MessageType::IdentityRefused:
        return &RaftCore::handleIdentityRefused;
    case MessageType::PreVote:
        return &RaftCore::handlePreVote;
    case MessageType::PreVoteReply:
        return &RaftCore::handlePreVoteReply;
    case MessageType::Vote:
        return &RaftCore::handleVote;
    case MessageType::VoteReply:
        return &RaftCore::handleVoteReply;
    case MessageType::Append:
        return &RaftCore::handleAppend;
    case MessageType::AppendReply:
        return &RaftCore::handleAppendReply;
    case MessageType::Heartbeat:
        return &RaftCore::handleHeartbeat;
    case MessageType::HeartbeatReply:
        return &RaftCore::handleHeartbeatReply;
    case MessageType::SnapshotChunk:
        return &RaftCore::handleSnapshotChunk;
    case MessageType::SnapshotReply:
        return &RaftCore::handleSnapshotReply;
    case MessageType::ReadIndex:
        return &RaftCore::handleReadIndex;
    case MessageType::ReadIndexReply:
        return &RaftCore::handleReadIndexReply;
    case MessageType::TimeoutNow:
        return &RaftCore::handleTimeoutNow;
    }
    return nullptr;
}

void RaftCore::step(const Message &message)
{
    if (m_stop)
        return;
    if (message.type == MessageType::IdentityRefused) {
        handleIdentityRefused(message);
        return;
    }
    if (!isExpectedIncarnation(message)) {
        Message refusal = makeReply(message, MessageType::IdentityRefused);
        refusal.data = message.incarnation;
        send(std::move(refusal));
        return;
    }
    const StepFunction function = stepFunction(message.type);
    if (isIdentityMessage(message.type)) {
        (this->*function)(message);
        return;
    }
    if (isFormed() && acceptTerm(message))
        (this->*function)(message);
}

Outcome<EntryPosition> RaftCore::propose(std::string command)
{
    if (m_role != Role::Leader)
        return notRun(ErrorCode::NotLeader, m_leader);
    if (!m_transferTarget.empty())
        return notRun(ErrorCode::NotLeader, m_transferTarget);
    if (!m_writable || !isQuorumWritable())
        return notRun(ErrorCode::DiskFull, "too few replicas have free disk space");
    if (m_uncommittedBytes > m_options.maxUncommittedBytes)
        return notRun(ErrorCode::QueueFull, "too many bytes are not committed yet");
    appendLocalEntry(EntryKind::Command, std::move(command));
    return EntryPosition{m_log.lastIndex(), m_hardState.term};
}

void RaftCore::persisted(std::uint64_t sequence)
{
    m_persist.finishWrites(sequence);
    releaseHeldMessages();
    if (m_role == Role::Leader)
        advanceCommit();
}

void RaftCore::snapshotSaved(const SnapshotMeta &meta)
{
    if (meta.index <= m_snapshot.index)
        return;
    m_snapshot = meta;
    const std::uint64_t firstRetained =
            m_log.firstIndexWithin(meta.index, m_options.retainedEntries, m_options.retainedBytes);
    if (firstRetained > m_log.firstIndex())
        m_log.compact(firstRetained - 1);
    // Storage keeps only the latest snapshot, so transfers of the previous one must restart.
    for (auto &[id, progress] : m_progress) {
        if (progress.mode == ProgressMode::Snapshot) {
            progress.startSnapshot(m_snapshot.index, m_now);
            sendSnapshotChunk(id, progress);
        }
    }
}

RaftOutput RaftCore::takeOutput()
{
    RaftOutput output;
    if (m_role == Role::Leader) {
        if (std::exchange(m_isRoundRequested, false)) {
            ++m_heartbeatRound;
            broadcastHeartbeat();
            confirmReads();
        }
        broadcastEntries();
    } else {
        forwardReads();
    }
    collectPersist(output);
    releaseHeldMessages();
    output.restored = std::exchange(m_unrestoredSnapshot, std::nullopt);
    output.committed = m_log.slice(m_deliveredIndex + 1, m_commitIndex, UINT64_MAX);
    m_deliveredIndex = m_commitIndex;
    output.messages = std::exchange(m_messages, {});
    output.reads = m_reads.takeResults();
    output.changes = std::exchange(m_changeResults, {});
    output.stop = m_stop;
    return output;
}

void RaftCore::collectPersist(RaftOutput &output)
{
    if (!m_persist.isDirty())
        return;
    PersistRequest request;
    request.snapshot = std::exchange(m_unsavedSnapshot, std::nullopt);
    if (m_persist.isHardStateDirty())
        request.hardState = m_hardState;
    if (m_firstUnsavedIndex != 0)
        request.entries = m_log.slice(m_firstUnsavedIndex, m_log.lastIndex(), UINT64_MAX);
    m_firstUnsavedIndex = 0;
    request.sequence = m_persist.startWrite(m_log.lastIndex());
    output.persist = std::move(request);
}

void RaftCore::releaseHeldMessages()
{
    for (Message &message : m_persist.takeReleased()) {
        if (message.to == m_options.self)
            step(message);
        else
            send(std::move(message));
    }
}

absl::Time RaftCore::nextDeadline() const
{
    if (!isFormed())
        return m_nextIntroduction;
    if (m_role == Role::Leader)
        return m_nextHeartbeat;
    return canCampaign() ? m_electionDeadline : absl::InfiniteFuture();
}

Message RaftCore::makeMessage(const ReplicaId &to, MessageType type) const
{
    Message message;
    message.type = type;
    message.from = m_options.self;
    message.to = to;
    message.incarnation = m_options.incarnation;
    message.term = m_hardState.term;
    return message;
}

Message RaftCore::makeReply(const Message &to, MessageType type) const
{
    Message reply = makeMessage(to.from, type);
    reply.context = to.context;
    return reply;
}

void RaftCore::send(Message message)
{
    m_messages.push_back(std::move(message));
}

std::size_t RaftCore::countVoters(const std::function<bool(const Progress &)> &predicate) const
{
    std::size_t count = membership().isVoter(m_options.self) ? 1 : 0;
    for (const auto &[id, progress] : m_progress) {
        if (membership().isVoter(id) && predicate(progress))
            ++count;
    }
    return count;
}

} // namespace rattanrill::replication
