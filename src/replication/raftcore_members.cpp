#include "raftcore.h"

#include "rattanrill/base/concat.h"

#include <utility>

/// Membership changes of RaftCore. Each step changes one replica and starts after the previous step
/// is committed, so that the quorums of two successive memberships always overlap.
namespace rattanrill::replication {
namespace {

/// A learner counts as caught up when it lacks at most this many entries of the log; it receives
/// the remaining ones through the pipeline.
constexpr std::uint64_t maxMissingEntries = 64;
/// A change fails when nothing was received from the learner for this many election timeouts.
constexpr int maxSilentElectionTimeouts = 25;

} // namespace

void RaftCore::changeMembers(const ReplicaId &member, const ReplicaId &replaced,
                             std::uint64_t token)
{
    const auto refuse = [&](ErrorCode code, std::string detail) {
        m_changeResults.push_back({token, notRun(code, std::move(detail))});
    };
    if (m_role != Role::Leader) {
        refuse(ErrorCode::NotLeader, m_leader);
        return;
    }
    if (m_memberChange) {
        refuse(ErrorCode::Conflict, "another membership change is in progress");
        return;
    }
    const bool isLastVoter = membership().voters.size() == 1 && membership().isVoter(replaced);
    if (isLastVoter && member.empty()) {
        refuse(ErrorCode::InvalidArgument, "the last voter cannot be removed");
        return;
    }
    m_memberChange = MemberChange{member, replaced, token, m_now};
    advanceChange();
}

bool RaftCore::isMembershipCommitted() const
{
    return m_log.membershipIndex() <= m_commitIndex && hasCommittedInTerm();
}

bool RaftCore::isMembershipSettled() const
{
    return m_role == Role::Leader && isMembershipCommitted() && !m_memberChange;
}

void RaftCore::advanceChange()
{
    if (m_role != Role::Leader || !isMembershipCommitted())
        return;
    if (!membership().contains(m_options.self)) {
        // The removal of this leader is committed.
        finishChange(std::nullopt);
        stepDown();
        return;
    }
    if (!m_memberChange)
        return;
    const MemberChange change = *m_memberChange;
    if (!change.member.empty() && !membership().isVoter(change.member)) {
        advanceAddition();
    } else if (membership().contains(change.replaced)) {
        Membership next = membership();
        next.voters.erase(change.replaced);
        next.learners.erase(change.replaced);
        appendMembership(next);
    } else {
        finishChange(std::nullopt);
    }
}

void RaftCore::advanceAddition()
{
    const ReplicaId member = m_memberChange->member;
    Membership next = membership();
    if (next.learners.insert(member).second) {
        appendMembership(next);
        return;
    }
    if (isCaughtUp(member)) {
        next.learners.erase(member);
        next.voters[member] = m_progress.at(member).incarnation;
        appendMembership(next);
        return;
    }
    const auto progress = m_progress.find(member);
    const absl::Time lastContact =
            std::max(m_memberChange->startedAt, progress->second.lastContact);
    if (m_now - lastContact > m_options.electionTimeout * maxSilentElectionTimeouts)
        finishChange(mayHaveRun(ErrorCode::Timeout,
                                concat("learner \"", member,
                                       "\" does not respond; it remains a "
                                       "learner until it is removed or added again")));
}

bool RaftCore::isCaughtUp(const ReplicaId &member) const
{
    const auto found = m_progress.find(member);
    if (found == m_progress.end())
        return false;
    const Progress &progress = found->second;
    return progress.mode == ProgressMode::Pipeline && progress.matchIndex >= m_log.membershipIndex()
           && progress.matchIndex + maxMissingEntries >= m_log.lastIndex();
}

void RaftCore::appendMembership(const Membership &membership)
{
    appendLocalEntry(EntryKind::Membership, encodeMembership(membership));
    updateProgressSet();
}

void RaftCore::finishChange(std::optional<Failure> failure)
{
    if (!m_memberChange)
        return;
    m_changeResults.push_back({m_memberChange->token, std::move(failure)});
    m_memberChange.reset();
}

} // namespace rattanrill::replication
