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

/// Settings of a GroupReplica.
struct GroupReplicaSettings
{
    std::string group;
    /// Parent folder of the replica's data, which is in the subfolder with the group's name.
    std::string dataFolder;
    VoterLimits voterLimits;
    absl::Duration heartbeatPeriod = absl::Milliseconds(100);
    /// Long enough for a machine on which the replica has a seventh of a core, shared with the
    /// other work of the machine.
    absl::Duration electionTimeout = absl::Milliseconds(450);
    /// Replaces electionTimeout until the first message from a leader. Long enough for a vote,
    /// which takes two synced writes.
    absl::Duration initialElectionTimeout = absl::Milliseconds(120);
    /// A snapshot is taken after this many bytes of log entries.
    std::uint64_t snapshotAfterBytes = std::uint64_t(8) << 20;
    /// A proposal that was forwarded to the leader fails after this long without a response.
    absl::Duration forwardTimeout = absl::Milliseconds(900);
};

/// The processes that can currently hold a replica of a group.
struct CandidateList
{
    std::vector<VoterCandidate> candidates;
    /// The list was the fleet leader's at this time or later.
    absl::Time asOf = absl::InfinitePast();
};

/// The replica of a Raft group in this process. Replica ids contain the peer address, so that
/// messages reach processes that are not listed in any settings. The leader replaces lost voters by
/// processes that are alive. Used on the event loop only.
class GroupReplica
{
public:
    using Callback = replication::RaftNode::Callback;
    using MembershipCallback = replication::RaftNode::MembershipCallback;
    using CandidateSource = std::function<CandidateList()>;
    /// Called with true when this replica gains leadership, and with false when it loses it.
    using LeadershipListener = std::function<void(bool leads)>;

    GroupReplica(net::EventLoop &loop, peer::ChannelPool &channels, GroupReplicaSettings settings,
                 const Clock &clock);
    ~GroupReplica();
    GroupReplica(const GroupReplica &) = delete;
    GroupReplica &operator=(const GroupReplica &) = delete;

    /// Registers the handlers for the group's messages. Call before the server starts.
    void install(peer::Server &server);
    /// Opens the data folder and starts the replica. Fails like replication::startRaftNode().
    Result<void> open(const ReplicaIdentity &identity,
                      std::unique_ptr<replication::StateMachine> machine);
    bool isOpen() const;
    /// A list from before this replica became the leader changes nothing: the previous leader may
    /// have acted on a later one, and reported a store as retired that the list shows as a spare.
    void setCandidateSource(CandidateSource candidateSource);
    void onLeadershipChange(LeadershipListener listener);
    /// Calls \a listener on the loop after commands were applied.
    void onApplied(std::function<void()> listener);

    bool isLeader() const;
    replication::RaftNodeStatus status() const;
    /// Proposes \a command on this replica or, when another replica leads, forwards it to the
    /// leader. Callbacks run on the loop. Fails like RaftNode::propose().
    void propose(std::string command, Callback callback);
    /// Proposes \a command only while this replica leads, and fails with NotLeader otherwise: for
    /// commands after which the proposer acts as the leader.
    void proposeAsLeader(std::string command, Callback callback);
    /// Linearizable read that only the leader serves.
    void readOnLeader(std::string query, Callback callback);
    /// Linearizable read that any replica serves.
    void readOnAnyReplica(std::string query, Callback callback);
    /// Linearizable read of the committed membership that only the leader serves.
    void readMembership(MembershipCallback callback);
    /// Transfers leadership to another replica before a graceful stop. Does nothing when this
    /// replica does not lead.
    void transferLeadership();
    void stop();

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanrill::fleet
