#pragma once

#include "rattanrill/fleet/distributedview.h"
#include "rattanrill/fleet/membershipchange.h"
#include "rattanrill/wire/fleetmessages.h"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace rattanrill::fleet {

/// The leader's view of the deployment: the records of the fleet group, the processes that send
/// heartbeats, and the platform's list of upstreams. Each change increments the sequence number,
/// which a FleetClient sends with its polls, so that the leader detects that the client's copy is
/// out of date. Performs no I/O.
class FleetView
{
public:
    /// \a memberTimeout: a process that has sent no heartbeat for longer than this is considered
    /// not alive.
    explicit FleetView(absl::Duration memberTimeout);

    /// Resets the view when this replica becomes the leader in \a term. Discards the members and
    /// upstreams of earlier terms.
    void beginTerm(std::uint64_t term, absl::Time now);
    std::uint64_t term() const { return m_shared.term(); }
    std::uint64_t sequence() const { return m_shared.sequence(); }

    void setRecords(const wire::FleetSnapshot &records);
    const wire::FleetSnapshot &records() const { return m_records; }
    /// Replaces the platform's list of upstreams with the result of the latest read, which started
    /// at \a readAt.
    void setUpstreams(std::vector<wire::FleetUpstream> upstreams, absl::Time readAt);
    /// Applies one page of a read that is not complete: changes and adds upstreams, but removes
    /// none. Before the first complete read of the term only its draining upstreams are kept, as
    /// marks.
    void applyPage(const std::vector<wire::FleetUpstream> &upstreams);
    /// Marks upstreams, by id, as draining until the first complete read of the term, after which
    /// only the list counts.
    void setDrainingMarks(std::set<std::string> upstreams);
    const std::vector<wire::FleetUpstream> &upstreams() const { return m_shared.upstreams(); }
    /// Start of the last complete read in this term; InfinitePast before the first one.
    absl::Time upstreamsReadAt() const { return m_upstreamsReadAt; }
    /// Replaces the parts of which the beginning of a response must be reported.
    void setSuspectPromptParts(std::vector<std::string> parts);
    /// Records the poll of a member, the polls that it received as a relay and, from the leader of
    /// the store group, which stores hold no copy any more.
    void recordHeartbeat(const wire::FleetSyncRequest &request, absl::Time now);
    /// Marks processes as not alive after the member timeout without a heartbeat; removes them
    /// after 10 times the member timeout. All messages that arrived before \a readUpTo have been
    /// read; later silence says nothing, because messages may still be unread.
    void expire(absl::Time readUpTo);

    /// Whether this replica has led for longer than the member timeout, within which every live
    /// process should have sent a heartbeat.
    bool membersComplete() const { return m_membersComplete; }
    /// Whether the sender of \a request needs no response before its poll ends.
    bool isCurrent(const wire::FleetSyncRequest &request) const;
    /// Whether the sender of \a request already has the blocked and suspect prompt parts. They have
    /// a sequence number of their own, because they may change with each crash of an upstream and
    /// are much smaller than the rest of the view.
    bool hasCurrentPrompts(const wire::FleetSyncRequest &request) const;
    wire::FleetSyncResponse makeResponse(const wire::FleetSyncRequest &request) const;
    /// Processes of \a role as candidates for the voters of their group. Empty until the view is
    /// complete, because a voter that has not sent a heartbeat yet would be considered lost.
    std::vector<VoterCandidate> voterCandidates(wire::MemberRole role) const;
    /// Replica ids of the initial voters of the store group if it can be bootstrapped now: 3 live
    /// stores or, from 3 s after the start of the term, as many as are alive. Empty otherwise, also
    /// when the group has been bootstrapped before.
    std::vector<std::string> initialStoreVoters(absl::Time now) const;
    /// Commands that the records of the retirements need: a retirement is completed once the leader
    /// of the store group has reported it, and applies also to a further replica of its instance.
    std::vector<wire::FleetOperation> retirementChanges() const;

private:
    void updateStoreLeader(const wire::FleetSyncRequest &request);
    void recordMember(const wire::FleetMember &member, bool leadsStores, absl::Time heardAt);
    void updateMember(const std::string &instance, bool alive, bool leadsStores);
    void updateStoreMembers();
    bool hasOpenRetirement(const std::string &instance) const;
    wire::FleetMemberStatus withStoreFlags(wire::FleetMemberStatus status) const;

    const absl::Duration m_memberTimeout;
    DistributedView m_shared;
    absl::Time m_termStartedAt;
    bool m_membersComplete = false;
    wire::FleetSnapshot m_records;
    std::uint64_t m_promptSequence = 1;
    std::vector<std::string> m_suspectPromptParts;
    absl::Time m_upstreamsReadAt = absl::InfinitePast();
    /// Time of the last heartbeat, by instance.
    std::map<std::string, absl::Time> m_heardAt;
    /// Term and replica ids that the leader of the store group has reported.
    std::uint64_t m_storeTerm = 0;
    std::vector<std::string> m_storeReplicas;
    /// Retiring replicas that a leader of the store group has reported as retired in this term.
    std::set<std::string> m_retiredStores;
};

} // namespace rattanrill::fleet
