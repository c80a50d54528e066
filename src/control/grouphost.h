#pragma once

#include "controlsettings.h"

#include "rattanrill/peer/channelpool.h"
#include "rattanrill/replication/raftnode.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rattanrill::control {

/// Starts this instance's replica of a group: replication::startRaftNode() except in tests.
using RaftNodeFactory = std::function<Result<std::unique_ptr<replication::RaftNode>>(
        const replication::RaftNodeOptions &options,
        std::unique_ptr<replication::StateMachine> machine, replication::RaftTransport &transport,
        const Clock &clock)>;

/// Owns this instance's replicas of all groups and sends their Raft messages.
class GroupHost : public replication::RaftTransport
{
public:
    GroupHost(const ControlSettings &settings, peer::ChannelPool &channels, const Clock &clock,
              RaftNodeFactory startRaftNode);

    /// Opens the replicas of the directory and of all partitions. Fails like startRaftNode().
    Result<void> open();
    /// Returns null when there is no such group.
    replication::RaftNode *find(const std::string &group) const;
    /// May be called only after open().
    replication::RaftNode &directory() const;
    std::vector<std::string> names() const;
    bool isLeader(const std::string &group) const;

    void send(const replication::ReplicaId &to, const std::string &group,
              std::string message) override;

    /// Returns null when the settings list no such replica.
    const Replica *replica(const replication::ReplicaId &id) const;
    /// Replaces the leader's replica id in the detail of a NotLeader failure by the leader's peer
    /// address, to which the caller can send its request. The detail becomes empty when the leader
    /// is unknown. Other failures are returned unchanged.
    Failure withPeerAddress(Failure failure) const;

    /// Transfers leadership of all groups and waits until this instance leads none of them or
    /// \a timeout passes.
    void transferLeadership(absl::Duration timeout);
    void stop();

private:
    Result<void> openReplica(const std::string &group,
                             std::unique_ptr<replication::StateMachine> machine);
    bool isLeaderOfAny() const;

    const ControlSettings &m_settings;
    peer::ChannelPool &m_channels;
    const Clock &m_clock;
    const RaftNodeFactory m_startRaftNode;
    /// Not modified after open().
    std::map<std::string, std::unique_ptr<replication::RaftNode>> m_groups;
};

} // namespace rattanrill::control
