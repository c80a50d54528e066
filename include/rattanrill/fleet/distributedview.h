#pragma once

#include "rattanrill/fleet/viewchanges.h"
#include "rattanrill/wire/fleetmessages.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace rattanrill::fleet {

/// The part of the deployment's state that members receive by polls: the members, the platform's
/// list of upstreams and what belongs to them. The leader of the fleet group numbers its changes;
/// relays repeat the numbers. A response contains only the changes since the view that the request
/// names, so that the cost of a change does not grow with the size of the deployment.
///
/// Only stores receive the records of entries. The other members receive their number, and a change
/// of entries alone is not sent before a poll ends anyway: hundreds of entries may start or fail at
/// the same time. Performs no I/O.
class DistributedView
{
public:
    /// Discards everything and starts a view of \a term whose changes up to \a sequence are not
    /// known.
    void reset(std::uint64_t term, std::uint64_t sequence);
    std::uint64_t term() const { return m_term; }
    std::uint64_t sequence() const { return m_sequence; }
    /// Sequence number that the next changes get, for a relay. Must not decrease within a term.
    void setSequence(std::uint64_t sequence) { m_sequence = sequence; }
    /// Increments the sequence number, for the leader. The next changes get the new number.
    void beginChange() { ++m_sequence; }

    void putMember(const wire::FleetMemberStatus &status);
    void removeMember(const std::string &instance);
    const std::map<std::string, wire::FleetMemberStatus> &members() const { return m_members; }
    /// Replaces the list of upstreams, which was read in \a term.
    void setUpstreams(std::vector<wire::FleetUpstream> upstreams, std::uint64_t term);
    /// Ids of upstreams that are known as draining without a complete list.
    void setDrainingMarks(std::set<std::string> upstreams);
    const std::vector<wire::FleetUpstream> &upstreams() const { return m_upstreams; }
    const std::set<std::string> &drainingMarks() const { return m_drainingMarks; }
    bool upstreamsKnown() const { return m_upstreamsKnown; }
    void setMembersSettled(bool settled);
    void setStoreFounders(const std::vector<std::string> &replicas);
    void setOpenRetirements(const std::vector<std::string> &replicas);
    void setEvacuatedDomains(const std::vector<std::string> &failureDomains);
    /// Sets the number of live entries for a view that has no records of them.
    void setLiveEntries(std::int64_t count) { m_reportedLiveEntries = count; }
    std::int64_t liveEntries() const;

    /// Whether the sender of \a request needs no response before its poll ends.
    bool isCurrent(const wire::FleetSyncRequest &request) const;
    /// Whether the sender of \a request has a newer view than this one.
    bool isBehind(const wire::FleetSyncRequest &request) const;
    /// Sets the fields of the view. The lists are set only if \a request names another view.
    void fill(wire::FleetSyncResponse &response, const wire::FleetSyncRequest &request) const;

private:
    void recordShared(const std::string &key);
    void fillAll(wire::FleetSyncResponse &response, bool includesEntries) const;
    void fillChanges(wire::FleetSyncResponse &response, std::uint64_t since,
                     bool includesEntries) const;

    std::uint64_t m_term = 0;
    std::uint64_t m_sequence = 0;
    /// Sequence number of the last change that is not one of entries alone.
    std::uint64_t m_sharedSequence = 0;
    /// By instance.
    std::map<std::string, wire::FleetMemberStatus> m_members;
    ViewChanges m_memberChanges;
    bool m_upstreamsKnown = false;
    std::uint64_t m_upstreamsTerm = 0;
    /// Sequence number of the first list of that term. A member that has an earlier view has
    /// another list, whose changes are not known.
    std::uint64_t m_listSequence = 0;
    std::vector<wire::FleetUpstream> m_upstreams;
    /// By key.
    ViewChanges m_upstreamChanges;
    std::set<std::string> m_drainingMarks;
    bool m_membersSettled = false;
    std::vector<std::string> m_storeFounders;
    std::vector<std::string> m_openRetirements;
    std::vector<std::string> m_evacuatedDomains;
    std::int64_t m_liveEntries = 0;
    /// -1 when the members include the entries.
    std::int64_t m_reportedLiveEntries = -1;
};

} // namespace rattanrill::fleet
