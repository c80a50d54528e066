#include "raftcore.h"

#include "rattanrill/base/concat.h"

#include <algorithm>
#include <utility>

/// Terms, elections, leadership transfer and identity of RaftCore.
namespace rattanrill::replication {

bool RaftCore::acceptTerm(const Message &message)
{
    const bool isVote = message.type == MessageType::Vote || message.type == MessageType::PreVote;
    if (message.term < m_hardState.term) {
        replyToStaleTerm(message);
        return false;
    }
    // A replica in contact with a leader ignores vote requests, so that it does not help a
    // candidate to depose that leader.
    if (isVote && !message.transfer && isLeaderAlive())
        return false;
    // Pre-vote requests and granted replies have the term that the sender would start, which is not
    // in effect yet.
    const bool isFutureTerm = message.type == MessageType::PreVote
                              || (message.type == MessageType::PreVoteReply && message.success);
    if (message.term > m_hardState.term && !isFutureTerm)
        becomeFollower(message.term, "");
    return true;
}

bool RaftCore::isLeaderAlive() const
{
    if (m_options.disabled.checkQuorum)
        return false;
    return m_role == Role::Leader || m_now - m_lastLeaderContact < m_options.electionTimeout;
}

void RaftCore::replyToStaleTerm(const Message &message)
{
    switch (message.type) {
    case MessageType::Append:
    case MessageType::Heartbeat:
    case MessageType::SnapshotChunk:
        // Without a reply a deposed leader would not step down, and a replica that raised its term
        // in a lost election would never rejoin.
        m_persist.holdUntilTermPersisted(makeReply(message, MessageType::HeartbeatReply));
        break;
    case MessageType::PreVote:
        m_persist.holdUntilTermPersisted(makeReply(message, MessageType::PreVoteReply));
        break;
    case MessageType::Vote:
        m_persist.holdUntilTermPersisted(makeReply(message, MessageType::VoteReply));
        break;
    default:
        break;
    }
}

void RaftCore::becomeFollower(std::uint64_t term, const ReplicaId &leader)
{
    if (term > m_hardState.term) {
        m_hardState.term = term;
        m_hardState.votedFor.clear();
        m_persist.markHardStateDirty();
    }
    if (m_role == Role::Leader || leader != m_leader)
        m_reads.failAll(notRun(ErrorCode::NotLeader, leader));
    if (m_role == Role::Leader) {
        finishChange(mayHaveRun(ErrorCode::ProposalLost, "leadership was lost"));
        m_progress.clear();
        m_transferTarget.clear();
        resetElectionDeadline();
    }
    m_leader = leader;
    m_votes.clear();
    const bool isLearner = isFormed() && !canCampaign();
    m_role = isLearner ? Role::Learner : Role::Follower;
}

void RaftCore::stepDown()
{
    becomeFollower(m_hardState.term, "");
}

void RaftCore::followLeader(const Message &message)
{
    if (m_leader != message.from || m_role != Role::Follower)
        becomeFollower(m_hardState.term, message.from);
    m_lastLeaderContact = m_now;
    resetElectionDeadline();
}

void RaftCore::resetElectionDeadline()
{
    // Random, so that replicas rarely start an election at the same time.
    std::uniform_real_distribution<double> factor(1.0, 2.0);
    const bool isFirst = m_lastLeaderContact == absl::InfinitePast()
                         && m_options.initialElectionTimeout > absl::ZeroDuration();
    const absl::Duration timeout =
            isFirst ? m_options.initialElectionTimeout : m_options.electionTimeout;
    m_electionDeadline = m_now + timeout * factor(m_random);
}

bool RaftCore::canCampaign() const
{
    if (isSelfVoter(membership()))
        return true;
    // This replica may be the only one that has the entry of its own removal, and the remaining
    // voters may need that entry. So it can still lead until the entry is committed.
    const std::uint64_t changed = m_log.membershipIndex();
    return changed > m_commitIndex && isSelfVoter(m_log.membershipAt(changed - 1));
}

bool RaftCore::isSelfVoter(const Membership &membership) const
{
    const auto own = membership.voters.find(m_options.self);
    if (own == membership.voters.end())
        return false;
    return own->second == m_options.incarnation || m_options.disabled.identityCheck;
}

void RaftCore::startElection()
{
    if (m_options.disabled.preVote) {
        campaign(false);
        return;
    }
    becomeFollower(m_hardState.term, "");
    m_role = Role::PreCandidate;
    resetElectionDeadline();
    requestVotes(MessageType::PreVote, m_hardState.term + 1, false);
    countVote(m_options.self);
}

void RaftCore::campaign(bool transfer)
{
    becomeFollower(m_hardState.term + 1, "");
    m_role = Role::Candidate;
    m_hardState.votedFor = m_options.self;
    m_persist.markHardStateDirty();
    resetElectionDeadline();
    requestVotes(MessageType::Vote, m_hardState.term, transfer);
    // The candidate's own vote counts only when it is on disk, like that of any other replica.
    Message ownVote = makeMessage(m_options.self, MessageType::VoteReply);
    ownVote.success = true;
    m_persist.holdUntilPersisted(std::move(ownVote));
}

void RaftCore::requestVotes(MessageType type, std::uint64_t term, bool transfer)
{
    for (const auto &[id, incarnation] : membership().voters) {
        if (id == m_options.self)
            continue;
        Message request = makeMessage(id, type);
        request.term = term;
        request.index = m_log.lastIndex();
        request.logTerm = m_log.lastTerm();
        request.transfer = transfer;
        send(std::move(request));
    }
}

bool RaftCore::isUpToDate(const Message &candidate) const
{
    if (candidate.logTerm != m_log.lastTerm())
        return candidate.logTerm > m_log.lastTerm();
    return candidate.index >= m_log.lastIndex();
}

void RaftCore::handlePreVote(const Message &message)
{
    Message reply = makeReply(message, MessageType::PreVoteReply);
    reply.success = message.term > m_hardState.term && isUpToDate(message);
    if (reply.success)
        reply.term = message.term;
    send(std::move(reply));
}

void RaftCore::handlePreVoteReply(const Message &message)
{
    const bool isCurrent = message.term == m_hardState.term + 1;
    if (m_role == Role::PreCandidate && message.success && isCurrent)
        countVote(message.from);
}

void RaftCore::handleVote(const Message &message)
{
    // If a leader is known, a quorum has voted in this term and no other candidate can win it.
    const bool isVoteAvailable =
            m_hardState.votedFor.empty() ? m_leader.empty() : m_hardState.votedFor == message.from;
    Message reply = makeReply(message, MessageType::VoteReply);
    reply.success = isVoteAvailable && isUpToDate(message);
    if (reply.success && m_hardState.votedFor.empty()) {
        m_hardState.votedFor = message.from;
        m_persist.markHardStateDirty();
        resetElectionDeadline();
    }
    if (m_options.disabled.persistBeforeVote)
        send(std::move(reply));
    else
        m_persist.holdUntilPersisted(std::move(reply));
}

void RaftCore::handleVoteReply(const Message &message)
{
    if (m_role == Role::Candidate && message.success)
        countVote(message.from);
}

void RaftCore::countVote(const ReplicaId &voter)
{
    if (membership().isVoter(voter))
        m_votes.insert(voter);
    if (!hasVoteQuorum())
        return;
    if (m_role == Role::PreCandidate)
        campaign(false);
    else if (m_role == Role::Candidate)
        becomeLeader();
}

bool RaftCore::hasVoteQuorum() const
{
    return m_votes.size() >= membership().quorum();
}

void RaftCore::becomeLeader()
{
    m_role = Role::Leader;
    m_leader = m_options.self;
    m_votes.clear();
    m_progress.clear();
    m_uncommittedBytes = 0;
    m_termStartIndex = m_log.lastIndex() + 1;
    m_transferTarget.clear();
    updateProgressSet();
    appendLocalEntry(EntryKind::Empty, "");
    broadcastHeartbeat();
}

void RaftCore::transferLeadership()
{
    if (m_role != Role::Leader)
        return;
    const Progress *best = nullptr;
    for (const auto &[id, progress] : m_progress) {
        const bool isAlive = m_now - progress.lastContact < m_options.electionTimeout;
        if (!membership().isVoter(id) || !isAlive)
            continue;
        if (best == nullptr || progress.matchIndex > best->matchIndex) {
            best = &progress;
            m_transferTarget = id;
        }
    }
    m_transferDeadline = m_now + m_options.electionTimeout;
    advanceTransfer();
}

void RaftCore::advanceTransfer()
{
    const auto target = m_progress.find(m_transferTarget);
    if (target != m_progress.end() && target->second.matchIndex == m_log.lastIndex())
        send(makeMessage(m_transferTarget, MessageType::TimeoutNow));
}

void RaftCore::handleTimeoutNow(const Message &message)
{
    if (m_role == Role::Follower && m_leader == message.from && canCampaign())
        campaign(true);
}

bool RaftCore::isFormed() const
{
    if (m_options.disabled.identityCheck)
        return true;
    const auto &initialVoters = m_hardState.founders;
    return std::none_of(initialVoters.begin(), initialVoters.end(),
                        [](const auto &initialVoter) { return initialVoter.second.empty(); });
}

void RaftCore::formGroup()
{
    if (m_log.baseIndex() != 0)
        return;
    Membership initialMembership;
    initialMembership.voters = m_hardState.founders;
    m_log.setBaseMembership(std::move(initialMembership));
}

bool RaftCore::isExpectedIncarnation(const Message &message) const
{
    if (m_options.disabled.identityCheck)
        return true;
    const auto &voters = isFormed() ? membership().voters : m_hardState.founders;
    const auto known = voters.find(message.from);
    return known == voters.end() || known->second.empty() || known->second == message.incarnation;
}

void RaftCore::sendIntroductions()
{
    if (m_now < m_nextIntroduction)
        return;
    m_nextIntroduction = m_now + m_options.heartbeatPeriod;
    for (const auto &[id, incarnation] : m_hardState.founders) {
        if (incarnation.empty())
            send(makeMessage(id, MessageType::Introduce));
    }
}

void RaftCore::recordInitialVoter(const Message &message)
{
    const auto initialVoter = m_hardState.founders.find(message.from);
    if (initialVoter == m_hardState.founders.end() || !initialVoter->second.empty())
        return;
    initialVoter->second = message.incarnation;
    m_persist.markHardStateDirty();
    if (isFormed()) {
        formGroup();
        resetElectionDeadline();
    }
}

void RaftCore::handleIntroduce(const Message &message)
{
    recordInitialVoter(message);
    const auto initialVoter = m_hardState.founders.find(message.from);
    // A sender with another incarnation than the recorded one receives no reply, so that it never
    // becomes an initial voter.
    if (initialVoter != m_hardState.founders.end() && initialVoter->second == message.incarnation)
        m_persist.holdUntilPersisted(makeReply(message, MessageType::IntroduceReply));
}

void RaftCore::handleIntroduceReply(const Message &message)
{
    recordInitialVoter(message);
}

void RaftCore::handleIdentityRefused(const Message &message)
{
    if (message.data != m_options.incarnation || m_options.disabled.identityCheck)
        return;
    m_stop = notRun(ErrorCode::IdentityMismatch,
                    concat("replica \"", message.from, "\" expects \"", m_options.self,
                           "\" to have another data folder; a replica whose disk was lost must "
                           "join under a new id"));
}

} // namespace rattanrill::replication
