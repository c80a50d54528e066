#include "controlnode.h"

#include <utility>

namespace rattanrill::control {
namespace {

/// Bound of the wait for new leaders at a graceful stop; an election takes some hundred
/// milliseconds.
constexpr absl::Duration transferTimeout = absl::Seconds(2);

std::vector<std::string> peerAddresses(const ControlSettings &settings)
{
    std::vector<std::string> addresses;
    for (const Replica &replica : settings.replicas)
        addresses.push_back(replica.peerAddress);
    return addresses;
}

} // namespace

ControlNode::ControlNode(ControlSettings settings, const Clock &clock, OpenGroup startRaftNode)
    : m_settings(std::move(settings))
    , m_clock(clock)
    , m_timers(clock)
    , m_channels(transport())
    , m_groups(m_settings, m_channels, clock, std::move(startRaftNode))
    , m_peerServer(transport())
    , m_client(m_channels, peerAddresses(m_settings), m_timers, clock)
    , m_monitor(m_groups, m_metrics, m_timers)
{}

ControlNode::~ControlNode()
{
    stop();
}

peer::TransportOptions ControlNode::transport() const
{
    peer::TransportOptions options;
    options.self = peer::PeerIdentity{m_settings.instance, m_settings.failureDomain, "control"};
    options.clusterSecret = m_settings.clusterSecret;
    return options;
}

Result<void> ControlNode::start()
{
    BOOST_LEAF_CHECK(m_groups.open());
    m_running = true;
    makeServices();
    m_peerService->install(m_peerServer);
    BOOST_LEAF_CHECK(m_peerServer.start(m_settings.peer.host, m_settings.peer.port));
    BOOST_LEAF_CHECK(m_operatorServer->start());
    m_follow->start();
    m_view->start();
    m_members->start();
    m_partitions->start();
    m_monitor.start();
    return {};
}

void ControlNode::makeServices()
{
    m_follow = std::make_shared<FollowService>(m_groups.directory(), m_timers, m_clock);
    m_pollSource = std::make_unique<LocalPollSource>(m_follow);
    directory::SubscriberOptions options;
    options.instance = m_settings.instance;
    m_view = std::make_unique<directory::DirectorySubscriber>(options, *m_pollSource, m_timers,
                                                              m_clock);
    m_members = std::make_shared<MemberWatch>(m_settings, m_groups, *m_view, m_timers, m_clock);
    m_partitions = std::make_shared<PartitionClock>(m_settings, m_groups, m_timers, m_clock);
    m_peerService = std::make_unique<PeerService>(m_groups, m_follow, m_members, m_partitions,
                                                  m_metrics, m_clock);
    m_operatorApi = std::make_unique<OperatorApi>(m_settings, m_groups, *m_view, *m_members,
                                                  m_client, m_clock);
    m_operatorServer =
            std::make_unique<OperatorServer>(m_settings, m_groups, *m_operatorApi, m_metrics);
}

/// Leadership goes first, while messages still flow. The peer server stays until the groups have
/// answered or failed what they hold.
void ControlNode::stop()
{
    if (!m_running)
        return;
    m_running = false;
    m_groups.transferLeadership(transferTimeout);
    m_members->stop();
    m_partitions->stop();
    m_monitor.stop();
    m_client.stop();
    m_operatorServer->stop();
    m_view->stop();
    m_follow->stop();
    m_peerService->stop();
    m_groups.stop();
    m_peerServer.stop();
    m_channels.close();
    m_timers.stop();
}

} // namespace rattanrill::control
