#pragma once

#include "rattanrill/fleet/membershipchange.h"
#include "rattanrill/wire/fleetmessages.h"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rattanrill::fleet {

/// The leader's view of the deployment: the records of the fleet group, the processes that send
/// heartbeats, and the platform's list of upstreams. Each change increments the sequence number,
/// which shows a FleetClient that its copy is out of date. Performs no input or output.
class FleetView
{
public:
    /// \a memberTimeout: a process that has sent no heartbeat for longer than this is considered
    /// not alive.
    explicit FleetView(absl::Duration memberTimeout);

    /// Resets the view for a new term of leadership. Members and upstreams of earlier terms are
    /// discarded.
    void beginTerm(std::uint64_t term, absl::Time now);
    std::uint64_t term() const { return m_term; }
    std::uint64_t sequence() const { return m_sequence; }

    void setRecords(const wire::FleetSnapshot &records);
    const wire::FleetSnapshot &records() const { return m_records; }
    /// Replaces the platform's list of upstreams with the result of the latest read.
    void setUpstreams(std::vector<wire::FleetUpstream> upstreams);
    void recordHeartbeat(const wire::FleetSyncRequest &request, absl::Time now);
    /// Marks processes as not alive after the member timeout without a heartbeat; removes them
    /// after 10 times the member timeout.
    void expire(absl::Time now);

    /// True when this leader has led for longer than the member timeout, in which every live
    /// process should have sent a heartbeat.
    bool membersComplete() const { return m_hasAllMembers; }
    /// True when the sender of \a request already holds this version of the view.
    bool isCurrent(const wire::FleetSyncRequest &request) const;
    wire::FleetSyncResponse makeResponse(const wire::FleetSyncRequest &request) const;
    /// Processes of \a role as candidates for the voters of their group. Empty until the view is
    /// complete, because a voter that has not sent a heartbeat yet would be taken for lost.
    std::vector<VoterCandidate> voterCandidates(wire::MemberRole role) const;
    /// Replica ids of the first voters of the store group, when it can be founded now: 3 live
    /// stores or, once 3 s of this term have passed, as many as are alive. Empty otherwise.
    std::vector<std::string> initialStoreVoters(absl::Time now) const;

private:
    struct MemberEntry
    {
        wire::FleetMemberStatus live;
        absl::Time lastHeartbeatAt;
    };

    void updateStoreLeader(const wire::FleetSyncRequest &request);
    bool isRetiring(const std::string &replica) const;
    void incrementSequence() { ++m_sequence; }

    const absl::Duration m_memberTimeout;
    std::uint64_t m_term = 0;
    std::uint64_t m_sequence = 0;
    absl::Time m_termStartedAt;
    bool m_hasAllMembers = false;
    wire::FleetSnapshot m_records;
    bool m_upstreamsKnown = false;
    std::vector<wire::FleetUpstream> m_upstreams;
    /// By instance.
    std::map<std::string, MemberEntry> m_members;
    std::uint64_t m_storeTerm = 0;
    std::vector<std::string> m_storeReplicas;
};

} // namespace rattanrill::fleet
