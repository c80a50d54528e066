#pragma once

#include "rattanrill/fleet/distributedview.h"
#include "rattanrill/fleet/fleetclient.h"

#include "absl/time/time.h"

#include <map>
#include <string>
#include <vector>

namespace rattanrill::fleet {

/// Responds to the polls of members with the copy of the leader's view that a control process has,
/// and collects these polls, which are heartbeats, for the leader. The leader's load then grows
/// with the number of relays and stores, not with the number of entries. Performs no I/O.
class FleetRelay
{
public:
    /// \a memberTimeout: a member that has not polled for longer than this is no longer reported.
    explicit FleetRelay(absl::Duration memberTimeout);

    /// Replaces the copy of the leader's view. Call it after each change of \a state.
    void update(const FleetState &state);
    /// Notes that the list of upstreams was read again at \a readAt without a change.
    void confirmUpstreams(absl::Time readAt) { m_state.upstreamsReadAt = readAt; }
    /// Records a poll. Returns true when the leader does not know yet that its sender, or this
    /// process of it, polls this relay.
    bool recordPoll(const wire::FleetSyncRequest &request, absl::Time now);
    void removeMember(const std::string &instance);
    /// Members that have polled within the member timeout. The others are forgotten.
    std::vector<wire::RelayedMember> members(absl::Time now);

    /// Whether the sender of \a request lacks something of the copy.
    bool hasNews(const wire::FleetSyncRequest &request) const;
    /// Whether the sender of \a request has a newer view, so that the copy must not be sent to it.
    bool isBehind(const wire::FleetSyncRequest &request) const;
    /// Responds to a request that was received at \a receivedAt. \a viewAge: time since the leader
    /// confirmed the copy.
    wire::FleetSyncResponse makeResponse(const wire::FleetSyncRequest &request,
                                         absl::Time receivedAt, absl::Time now,
                                         absl::Duration viewAge) const;

private:
    struct PolledMember
    {
        wire::FleetMember member;
        absl::Time polledAt;
    };

    bool hasCurrentPrompts(const wire::FleetSyncRequest &request) const;

    const absl::Duration m_memberTimeout;
    DistributedView m_view;
    FleetState m_state;
    /// By instance.
    std::map<std::string, PolledMember> m_members;
};

} // namespace rattanrill::fleet
