#pragma once

#include "rattanrill/wire/fleetmessages.h"

#include <string>
#include <vector>

namespace rattanrill::fleet {

/// Decides in which order a member polls the control processes. Performs no I/O.
///
/// Members that use relays spread over the control processes: each prefers one of its own failure
/// domain, so that a change crosses the boundary of a domain once for each relay. The leader comes
/// last, because it serves the relays.
class PollTargets
{
public:
    PollTargets(const wire::FleetMember &self, bool usesRelays);

    void setSeeds(std::vector<std::string> seeds);
    void setMembers(const std::vector<wire::FleetMemberStatus> &members);
    /// Peer address of the leader of the fleet group.
    void setLeader(const std::string &address);
    /// All known addresses, the preferred ones first.
    const std::vector<std::string> &order() const { return m_order; }
    /// The relay that this member should poll; empty if it uses none or knows no live one.
    std::string preferredRelay() const;

private:
    struct Candidate
    {
        std::string address;
        bool isLive = false;
        /// Lower ranks come first.
        int rank = 0;
    };

    void update();
    int rankOf(const Candidate &candidate, const std::string &failureDomain) const;

    const std::string m_instance;
    const std::string m_failureDomain;
    const bool m_usesRelays;
    std::vector<std::string> m_seeds;
    std::vector<wire::FleetMemberStatus> m_controls;
    std::string m_leader;
    std::vector<std::string> m_order;
    std::string m_preferredRelay;
};

} // namespace rattanrill::fleet
