#include "rattanrill/fleet/membershipchange.h"

#include "rattanrill/fleet/replicaidentity.h"

#include <algorithm>
#include <map>

namespace rattanrill::fleet {
namespace {

/// Voters that remain at least when a retiring one leaves without a successor.
constexpr std::size_t minVoters = 2;

bool contains(const std::vector<replication::ReplicaId> &ids, const replication::ReplicaId &id)
{
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

const VoterCandidate *find(const std::vector<VoterCandidate> &candidates,
                           const replication::ReplicaId &id)
{
    for (const VoterCandidate &candidate : candidates) {
        if (candidate.replica == id)
            return &candidate;
    }
    return nullptr;
}

/// Another process stands at the voter's address: its disk was lost.
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
            const std::vector<VoterCandidate> &candidates, const MembershipRules &rules)
        : m_status(status)
        , m_candidates(candidates)
        , m_rules(rules)
    {}

    std::optional<MembershipChange> next() const
    {
        const replication::ReplicaId lost = lostVoter();
        const VoterCandidate *spare = bestSpare(lost);
        if (!lost.empty() && spare != nullptr)
            return MembershipChange{spare->replica, lost};
        const replication::ReplicaId stale = staleLearner();
        if (!stale.empty())
            return MembershipChange{"", stale};
        if (lost.empty() && spare != nullptr && mayGrow())
            return MembershipChange{spare->replica, ""};
        if (spare == nullptr)
            return withoutRetiring();
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

    /// A superseded voter comes before a silent one, which may return; a retiring one comes last.
    replication::ReplicaId lostVoter() const
    {
        replication::ReplicaId silent;
        replication::ReplicaId retiring;
        for (const replication::ReplicaId &voter : m_status.voters) {
            const VoterCandidate *candidate = find(m_candidates, voter);
            if (isLost(voter) && isSuperseded(voter, m_candidates))
                return voter;
            if (isLost(voter))
                silent = voter;
            else if (candidate != nullptr && candidate->retiring)
                retiring = voter;
        }
        return silent.empty() ? retiring : silent;
    }

    replication::ReplicaId staleLearner() const
    {
        for (const replication::ReplicaId &learner : m_status.learners) {
            const VoterCandidate *candidate = find(m_candidates, learner);
            if (candidate == nullptr || isSuperseded(learner, m_candidates) || !candidate->alive)
                return learner;
        }
        return {};
    }

    bool isSpare(const VoterCandidate &candidate) const
    {
        return candidate.alive && !candidate.retiring
               && !contains(m_status.voters, candidate.replica);
    }

    /// At the lost voter's address first, then a failure domain with few voters.
    const VoterCandidate *bestSpare(const replication::ReplicaId &lost) const
    {
        std::map<std::string, int> votersIn;
        for (const replication::ReplicaId &voter : m_status.voters) {
            const VoterCandidate *candidate = find(m_candidates, voter);
            if (candidate != nullptr && voter != lost)
                ++votersIn[candidate->failureDomain];
        }
        const VoterCandidate *best = nullptr;
        for (const VoterCandidate &candidate : m_candidates) {
            if (!isSpare(candidate))
                continue;
            if (!lost.empty() && peerAddressOf(candidate.replica) == peerAddressOf(lost))
                return &candidate;
            if (best == nullptr
                || votersIn[candidate.failureDomain] < votersIn[best->failureDomain])
                best = &candidate;
        }
        return best;
    }

    /// Grows to the largest odd number that the present processes allow.
    bool mayGrow() const
    {
        std::size_t present = m_status.voters.size();
        for (const VoterCandidate &candidate : m_candidates)
            present += isSpare(candidate) ? 1 : 0;
        const std::size_t wanted = std::min(m_rules.maxVoters, present - (present + 1) % 2);
        return m_status.voters.size() < wanted;
    }

    std::optional<MembershipChange> withoutRetiring() const
    {
        const auto &voters = m_status.voters;
        const bool allPresent = std::none_of(voters.begin(), voters.end(),
                                             [this](const auto &voter) { return isLost(voter); });
        if (!allPresent || voters.size() <= minVoters)
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
    const MembershipRules &m_rules;
};

} // namespace

std::optional<MembershipChange> nextMembershipChange(const replication::RaftNodeStatus &status,
                                                     const std::vector<VoterCandidate> &candidates,
                                                     const MembershipRules &rules)
{
    if (candidates.empty())
        return std::nullopt;
    return Planner(status, candidates, rules).next();
}

} // namespace rattanrill::fleet
