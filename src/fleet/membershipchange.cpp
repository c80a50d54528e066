#include "rattanrill/fleet/membershipchange.h"

#include "rattanrill/fleet/replicaidentity.h"

#include "absl/algorithm/container.h"

#include <algorithm>
#include <map>

namespace rattanrill::fleet {
namespace {

const VoterCandidate *find(const std::vector<VoterCandidate> &candidates,
                           const replication::ReplicaId &id)
{
    for (const VoterCandidate &candidate : candidates) {
        if (candidate.replica == id)
            return &candidate;
    }
    return nullptr;
}

/// Whether another replica uses the voter's address, which means that the voter's disk was lost.
bool isSuperseded(const replication::ReplicaId &voter,
                  const std::vector<VoterCandidate> &candidates)
{
    const std::string address = peerAddressOf(voter);
    return std::any_of(candidates.begin(), candidates.end(), [&](const VoterCandidate &candidate) {
        return candidate.replica != voter && peerAddressOf(candidate.replica) == address;
    });
}

class Planner
{
public:
    Planner(const replication::RaftNodeStatus &status,
            const std::vector<VoterCandidate> &candidates, const VoterLimits &limits)
        : m_status(status)
        , m_candidates(candidates)
        , m_limits(limits)
    {}

    std::optional<MembershipChange> next() const
    {
        const replication::ReplicaId replaced = voterToReplace();
        const VoterCandidate *spare = bestSpare(replaced);
        if (!replaced.empty() && spare != nullptr)
            return MembershipChange{spare->replica, replaced};
        const replication::ReplicaId stale = staleLearner();
        if (!stale.empty())
            return MembershipChange{"", stale};
        if (replaced.empty() && spare != nullptr && canGrow())
            return MembershipChange{spare->replica, ""};
        if (spare == nullptr)
            return removeRetiringVoter();
        return std::nullopt;
    }

private:
    bool isLost(const replication::ReplicaId &voter) const
    {
        if (voter == m_status.leader)
            return false;
        const VoterCandidate *candidate = find(m_candidates, voter);
        if (candidate == nullptr || isSuperseded(voter, m_candidates))
            return true;
        return !candidate->alive;
    }

    /// Returns the voter to replace next; empty when there is none. A superseded voter has priority
    /// over one that is not alive, which may return; a retiring voter comes last.
    replication::ReplicaId voterToReplace() const
    {
        replication::ReplicaId notAlive;
        replication::ReplicaId retiring;
        for (const replication::ReplicaId &voter : m_status.voters) {
            const VoterCandidate *candidate = find(m_candidates, voter);
            if (isLost(voter) && isSuperseded(voter, m_candidates))
                return voter;
            if (isLost(voter))
                notAlive = voter;
            else if (candidate != nullptr && candidate->retiring)
                retiring = voter;
        }
        return notAlive.empty() ? retiring : notAlive;
    }

    replication::ReplicaId staleLearner() const
    {
        for (const replication::ReplicaId &learner : m_status.learners) {
            const VoterCandidate *candidate = find(m_candidates, learner);
            if (candidate == nullptr || isSuperseded(learner, m_candidates) || !candidate->alive
                || candidate->retiring)
                return learner;
        }
        return {};
    }

    bool isSpare(const VoterCandidate &candidate) const
    {
        return candidate.alive && !candidate.retiring
               && !absl::c_linear_search(m_status.voters, candidate.replica);
    }

    /// Prefers a spare at the address of the replaced voter, then one in the failure domain with
    /// the fewest voters.
    const VoterCandidate *bestSpare(const replication::ReplicaId &replaced) const
    {
        std::map<std::string, int> voterCounts;
        for (const replication::ReplicaId &voter : m_status.voters) {
            const VoterCandidate *candidate = find(m_candidates, voter);
            if (candidate != nullptr && voter != replaced)
                ++voterCounts[candidate->failureDomain];
        }
        const VoterCandidate *best = nullptr;
        for (const VoterCandidate &candidate : m_candidates) {
            if (!isSpare(candidate))
                continue;
            if (!replaced.empty() && peerAddressOf(candidate.replica) == peerAddressOf(replaced))
                return &candidate;
            if (best == nullptr
                || voterCounts[candidate.failureDomain] < voterCounts[best->failureDomain])
                best = &candidate;
        }
        return best;
    }

    /// Whether the group has fewer voters than the largest odd number that the limit and the
    /// available processes allow.
    bool canGrow() const
    {
        std::size_t available = m_status.voters.size();
        for (const VoterCandidate &candidate : m_candidates)
            available += isSpare(candidate) ? 1 : 0;
        const std::size_t targetVoters =
                std::min(m_limits.maxVoters, available - (available + 1) % 2);
        return m_status.voters.size() < targetVoters;
    }

    std::optional<MembershipChange> removeRetiringVoter() const
    {
        const auto &voters = m_status.voters;
        const bool allAlive = std::none_of(voters.begin(), voters.end(),
                                           [this](const auto &voter) { return isLost(voter); });
        if (!allAlive || voters.size() <= m_limits.minVoters)
            return std::nullopt;
        for (const replication::ReplicaId &voter : m_status.voters) {
            const VoterCandidate *candidate = find(m_candidates, voter);
            if (candidate != nullptr && candidate->retiring)
                return MembershipChange{"", voter};
        }
        return std::nullopt;
    }

    const replication::RaftNodeStatus &m_status;
    const std::vector<VoterCandidate> &m_candidates;
    const VoterLimits &m_limits;
};

} // namespace

std::optional<MembershipChange> nextMembershipChange(const replication::RaftNodeStatus &status,
                                                     const std::vector<VoterCandidate> &candidates,
                                                     const VoterLimits &limits)
{
    if (candidates.empty())
        return std::nullopt;
    return Planner(status, candidates, limits).next();
}

} // namespace rattanrill::fleet
