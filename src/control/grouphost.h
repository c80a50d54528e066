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

/// Opens a group; replication::startRaftNode() except in tests.
using OpenGroup = std::function<Result<std::unique_ptr<replication::RaftNode>>(
        const replication::RaftNodeOptions &options,
        std::unique_ptr<replication::StateMachine> machine, replication::RaftTransport &transport,
        const Clock &clock)>;

/// The replicas of all groups on this instance, and the way of their messages.
class GroupHost : public replication::RaftTransport
{
public:
    GroupHost(const ControlSettings &settings, peer::ChannelPool &channels, const Clock &clock,
              OpenGroup startRaftNode);

    /// Opens the directory and all partitions; fails as startRaftNode().
    Result<void> open();
    /// Null when there is no such group.
    replication::RaftNode *find(const std::string &group) const;
    /// After open() only.
    replication::RaftNode &directory() const;
    std::vector<std::string> names() const;
    bool leads(const std::string &group) const;

    void send(const replication::ReplicaId &to, const std::string &group,
              std::string message) override;

    /// Null when the settings list no such replica.
    const Replica *replica(const replication::ReplicaId &id) const;
    /// For a process that follows hints: a leader's id in the detail of NotLeader becomes the
    /// leader's peer address.
    Failure withPeerAddress(Failure failure) const;

    /// Hands leadership of all groups over and waits until none is led here or \a timeout passes.
    void transferLeadership(absl::Duration timeout);
    void stop();

private:
    Result<void> openOne(const std::string &group,
                         std::unique_ptr<replication::StateMachine> machine);
    bool leadsAny() const;

    const ControlSettings &m_settings;
    peer::ChannelPool &m_channels;
    const Clock &m_clock;
    const OpenGroup m_openGroup;
    /// Unchanged after open().
    std::map<std::string, std::unique_ptr<replication::RaftNode>> m_groups;
};

} // namespace rattanrill::control
