#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/fleet/membershipkeeper.h"
#include "rattanrill/fleet/replicaidentity.h"
#include "rattanrill/net/eventloop.h"
#include "rattanrill/peer/channelpool.h"
#include "rattanrill/peer/server.h"
#include "rattanrill/replication/replicatedgroup.h"

#include "absl/time/time.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rattanrill::fleet {

struct GroupReplicaSettings
{
    std::string group;
    std::string dataFolder;
    MembershipRules rules;
    absl::Duration heartbeatPeriod = absl::Milliseconds(100);
    /// Long enough for a machine with a seventh of a core that also serves its other work.
    absl::Duration electionTimeout = absl::Milliseconds(450);
    /// Until a leader has been heard; leaves time for a vote, which takes two synced writes.
    absl::Duration firstElectionTimeout = absl::Milliseconds(120);
    std::uint64_t snapshotAfterBytes = std::uint64_t(8) << 20;
    /// A proposal that was passed on to the leader fails after this long without an answer.
    absl::Duration forwardTimeout = absl::Milliseconds(900);
};

/// The replica of a group on this process. Replica ids carry the peer address, so that messages
/// find processes that no settings name; the leader exchanges lost voters for present processes.
/// Used on the event loop only.
class GroupReplica
{
public:
    using Callback = replication::ReplicatedGroup::Callback;
    /// Processes that can hold a replica, as known just now.
    using Candidates = std::function<std::vector<VoterCandidate>()>;
    /// Called with true when this replica begins to lead, and with false when it no longer does.
    using LeadListener = std::function<void(bool leads)>;

    GroupReplica(net::EventLoop &loop, peer::ChannelPool &channels, GroupReplicaSettings settings,
                 const Clock &clock);
    ~GroupReplica();
    GroupReplica(const GroupReplica &) = delete;
    GroupReplica &operator=(const GroupReplica &) = delete;

    /// Serves the messages of the group; before the server starts.
    void install(peer::Server &server);
    /// Opens the data folder. Fails as replication::openGroup().
    Result<void> open(const ReplicaIdentity &identity,
                      std::unique_ptr<replication::StateMachine> machine);
    bool isOpen() const;
    void setCandidates(Candidates candidates);
    void onLead(LeadListener listener);
    /// Calls \a listener on the loop after commands were applied.
    void onApplied(std::function<void()> listener);

    bool leads() const;
    replication::GroupStatus status() const;
    /// Proposes here or, when another replica leads, there. Callbacks run on the loop. Fails as
    /// ReplicatedGroup::propose().
    void propose(std::string command, Callback callback);
    /// Linearizable read on the leader.
    void read(std::string query, Callback callback);
    /// Linearizable read that any replica serves.
    void readIndexed(std::string query, Callback callback);
    /// Hands leadership over, for a graceful stop.
    void transferLeadership();
    void stop();

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanrill::fleet
