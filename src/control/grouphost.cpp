#include "grouphost.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/batch/statemachine.h"
#include "rattanrill/controlclient/controlclient.h"
#include "rattanrill/directory/statemachine.h"
#include "rattanrill/wire/codec.h"

#include "absl/time/clock.h"

#include <utility>

namespace rattanrill::control {
namespace {

/// Period at which transferLeadership() checks whether this instance still leads a group.
constexpr absl::Duration transferPollPeriod = absl::Milliseconds(10);

} // namespace

GroupHost::GroupHost(const ControlSettings &settings, peer::ChannelPool &channels,
                     const Clock &clock, RaftNodeFactory startRaftNode)
    : m_settings(settings)
    , m_channels(channels)
    , m_clock(clock)
    , m_startRaftNode(std::move(startRaftNode))
{}

Result<void> GroupHost::open()
{
    BOOST_LEAF_CHECK(
            openReplica(controlclient::directoryGroupName, directory::makeDirectoryStateMachine()));
    for (int partition = 0; partition < m_settings.partitions; ++partition)
        BOOST_LEAF_CHECK(openReplica(controlclient::batchGroupName(partition),
                                     batch::makeBatchStateMachine()));
    return {};
}

Result<void> GroupHost::openReplica(const std::string &group,
                                    std::unique_ptr<replication::StateMachine> machine)
{
    replication::RaftNodeOptions options;
    options.group = group;
    options.self = m_settings.instance;
    if (!m_settings.join) {
        for (const Replica &replica : m_settings.replicas)
            options.initialVoters.push_back(replica.id);
    }
    options.dataFolder = concat(m_settings.dataFolder, "/", group);
    options.heartbeatPeriod = m_settings.raftHeartbeatPeriod;
    options.electionTimeout = m_settings.electionTimeout;
    options.snapshotAfterBytes = m_settings.snapshotAfterBytes;
    BOOST_LEAF_AUTO(opened, m_startRaftNode(options, std::move(machine), *this, m_clock));
    m_groups[group] = std::move(opened);
    return {};
}

replication::RaftNode *GroupHost::find(const std::string &group) const
{
    const auto found = m_groups.find(group);
    return found == m_groups.end() ? nullptr : found->second.get();
}

replication::RaftNode &GroupHost::directory() const
{
    return *m_groups.at(controlclient::directoryGroupName);
}

std::vector<std::string> GroupHost::names() const
{
    std::vector<std::string> names;
    for (const auto &[name, group] : m_groups)
        names.push_back(name);
    return names;
}

bool GroupHost::isLeader(const std::string &group) const
{
    const auto *found = find(group);
    return found != nullptr && found->status().role == replication::Role::Leader;
}

void GroupHost::send(const replication::ReplicaId &to, const std::string &group,
                     std::string message)
{
    const Replica *target = replica(to);
    if (target == nullptr)
        return;
    m_channels.channel(target->peerAddress)
            ->sendOneWay(wire::Method::Raft,
                         wire::encode(wire::RaftEnvelope{group, std::move(message)}));
}

const Replica *GroupHost::replica(const replication::ReplicaId &id) const
{
    for (const Replica &replica : m_settings.replicas) {
        if (replica.id == id)
            return &replica;
    }
    return nullptr;
}

Failure GroupHost::withPeerAddress(Failure failure) const
{
    if (failure.code != ErrorCode::NotLeader)
        return failure;
    const Replica *leader = replica(failure.detail);
    failure.detail = leader == nullptr ? std::string() : leader->peerAddress;
    return failure;
}

bool GroupHost::isLeaderOfAny() const
{
    for (const auto &[name, group] : m_groups) {
        if (group->status().role == replication::Role::Leader)
            return true;
    }
    return false;
}

void GroupHost::transferLeadership(absl::Duration timeout)
{
    if (m_settings.replicas.size() < 2)
        return;
    const absl::Time end = m_clock.now() + timeout;
    for (const auto &[name, group] : m_groups) {
        if (group->status().role == replication::Role::Leader)
            group->transferLeadership();
    }
    while (isLeaderOfAny() && m_clock.now() < end)
        absl::SleepFor(transferPollPeriod);
}

void GroupHost::stop()
{
    for (const auto &[name, group] : m_groups)
        group->stop();
}

} // namespace rattanrill::control
