#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/fleet/membershipchange.h"
#include "rattanrill/fleet/replicaidentity.h"
#include "rattanrill/net/eventloop.h"
#include "rattanrill/peer/channelpool.h"
#include "rattanrill/peer/server.h"
#include "rattanrill/replication/raftnode.h"

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
    absl::Duration initialElectionTimeout = absl::Milliseconds(120);
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
    using Callback = replication::RaftNode::Callback;
    /// Processes that can hold a replica, as known just now.
    using CandidateSource = std::function<std::vector<VoterCandidate>()>;
    /// Called with true when this replica begins to lead, and with false when it no longer does.
    using LeadershipListener = std::function<void(bool leads)>;

    GroupReplica(net::EventLoop &loop, peer::ChannelPool &channels, GroupReplicaSettings settings,
                 const Clock &clock);
    ~GroupReplica();
    GroupReplica(const GroupReplica &) = delete;
    GroupReplica &operator=(const GroupReplica &) = delete;

    /// Serves the messages of the group; before the server starts.
    void install(peer::Server &server);
    /// Opens the data folder. Fails as replication::startRaftNode().
    Result<void> open(const ReplicaIdentity &identity,
                      std::unique_ptr<replication::StateMachine> machine);
    bool isOpen() const;
    void setCandidates(CandidateSource candidates);
    void onLeadershipChange(LeadershipListener listener);
    /// Calls \a listener on the loop after commands were applied.
    void onApplied(std::function<void()> listener);

    bool isLeader() const;
    replication::RaftNodeStatus status() const;
    /// Proposes here or, when another replica leads, there. Callbacks run on the loop. Fails as
    /// RaftNode::propose().
    void propose(std::string command, Callback callback);
    /// Linearizable read on the leader.
    void read(std::string query, Callback callback);
    /// Linearizable read that any replica serves.
    void linearizableRead(std::string query, Callback callback);
    /// Hands leadership over, for a graceful stop.
    void transferLeadership();
    void stop();

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanrill::fleet
