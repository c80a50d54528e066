#pragma once

#include "rattanrill/fleet/membershipchange.h"
#include "rattanrill/wire/fleetmessages.h"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rattanrill::fleet {

/// What the leader of the fleet group knows of the deployment: the group's records, the processes
/// that it hears of and the platform's list of upstreams. Any change raises the sequence, by which
/// followers see that they are behind. Apart from input and output.
class FleetView
{
public:
    /// \a memberTimeout: a process that was silent for this long is not alive.
    explicit FleetView(absl::Duration memberTimeout);

    /// Starts over for a term of leadership; what was heard in another one is forgotten.
    void beginTerm(std::uint64_t term, absl::Time now);
    std::uint64_t term() const { return m_term; }
    std::uint64_t sequence() const { return m_sequence; }

    void setRecords(const wire::FleetSnapshot &records);
    const wire::FleetSnapshot &records() const { return m_records; }
    /// The platform's list, as read just now.
    void setUpstreams(std::vector<wire::FleetUpstream> upstreams);
    void recordHeartbeat(const wire::FleetSyncRequest &request, absl::Time now);
    /// Marks silent processes; forgets those that were silent for very long.
    void expire(absl::Time now);

    /// This leader has led for long enough to have heard of every process that lives.
    bool isSettled() const { return m_settled; }
    bool isCurrent(const wire::FleetSyncRequest &request) const;
    wire::FleetSyncResponse makeResponse(const wire::FleetSyncRequest &request) const;
    /// Processes of \a role, for decisions on the voters of their group; none before the view is
    /// settled, when a voter that has not called yet would look lost.
    std::vector<VoterCandidate> voterCandidates(wire::MemberRole role) const;
    /// First voters of the store group, when it can be founded now: enough stores are there, or
    /// those that are there have waited long enough for others. Empty otherwise.
    std::vector<std::string> storeFounders(absl::Time now) const;

private:
    struct Known
    {
        wire::FleetMemberStatus live;
        absl::Time heardAt;
    };

    void noteStoreLeader(const wire::FleetSyncRequest &request);
    bool isRetiring(const std::string &replica) const;
    void changed() { ++m_sequence; }

    const absl::Duration m_memberTimeout;
    std::uint64_t m_term = 0;
    std::uint64_t m_sequence = 0;
    absl::Time m_begunAt;
    bool m_settled = false;
    wire::FleetSnapshot m_records;
    bool m_upstreamsKnown = false;
    std::vector<wire::FleetUpstream> m_upstreams;
    /// By instance.
    std::map<std::string, Known> m_members;
    std::uint64_t m_storeTerm = 0;
    std::vector<std::string> m_storeReplicas;
};

} // namespace rattanrill::fleet
