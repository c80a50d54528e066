#include "polltargets.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace rattanrill::fleet {

PollTargets::PollTargets(const wire::FleetMember &self, bool usesRelays)
    : m_instance(self.instance)
    , m_failureDomain(self.failureDomain)
    , m_usesRelays(usesRelays)
{}

void PollTargets::setSeeds(std::vector<std::string> seeds)
{
    m_seeds = std::move(seeds);
    update();
}

void PollTargets::setMembers(const std::vector<wire::FleetMemberStatus> &members)
{
    m_controls.clear();
    for (const wire::FleetMemberStatus &status : members) {
        if (status.member.role == wire::MemberRole::Control)
            m_controls.push_back(status);
    }
    update();
}

void PollTargets::setLeader(const std::string &address)
{
    if (std::exchange(m_leader, address) != address)
        update();
}

std::string PollTargets::preferredRelay() const
{
    return m_preferredRelay;
}

int PollTargets::rankOf(const Candidate &candidate, const std::string &failureDomain) const
{
    if (candidate.address == m_leader)
        return 2;
    return failureDomain == m_failureDomain ? 0 : 1;
}

void PollTargets::update()
{
    std::vector<Candidate> candidates;
    const auto isKnown = [&](const std::string &address) {
        return std::any_of(candidates.begin(), candidates.end(), [&](const Candidate &candidate) {
            return candidate.address == address;
        });
    };
    for (const wire::FleetMemberStatus &status : m_controls) {
        if (isKnown(status.member.peerAddress))
            continue;
        Candidate candidate{status.member.peerAddress, status.alive, 0};
        candidate.rank = rankOf(candidate, status.member.failureDomain);
        candidates.push_back(std::move(candidate));
    }
    // The failure domain of a seed that is not a member yet is not known.
    for (const std::string &seed : m_seeds) {
        if (!isKnown(seed))
            candidates.push_back({seed, false, 1});
    }
    if (m_usesRelays) {
        std::sort(candidates.begin(), candidates.end(),
                  [this](const Candidate &left, const Candidate &right) {
                      const auto key = [this](const Candidate &candidate) {
                          return std::make_tuple(
                                  !candidate.isLive, candidate.rank,
                                  stableHash(concat(m_instance, "|", candidate.address)));
                      };
                      return key(left) < key(right);
                  });
    }
    m_order.clear();
    for (const Candidate &candidate : candidates)
        m_order.push_back(candidate.address);
    const bool hasRelay = m_usesRelays && !candidates.empty() && candidates.front().isLive;
    m_preferredRelay = hasRelay ? candidates.front().address : std::string();
}

} // namespace rattanrill::fleet
