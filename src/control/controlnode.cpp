#include "controlnode.h"

#include <utility>

namespace rattanrill::control {
namespace {

/// Maximum time that stop() waits until other instances lead the groups. An election takes a few
/// hundred milliseconds.
constexpr absl::Duration leadershipTransferTimeout = absl::Seconds(2);

std::vector<std::string> peerAddresses(const ControlSettings &settings)
{
    std::vector<std::string> addresses;
    for (const Replica &replica : settings.replicas)
        addresses.push_back(replica.peerAddress);
    return addresses;
}

} // namespace

ControlNode::ControlNode(ControlSettings settings, const Clock &clock,
                         RaftNodeFactory startRaftNode)
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
    createServices();
    m_peerService->registerHandlers(m_peerServer);
    BOOST_LEAF_CHECK(m_peerServer.start(m_settings.peer.host, m_settings.peer.port));
    BOOST_LEAF_CHECK(m_operatorServer->start());
    m_pollService->start();
    m_view->start();
    m_memberWatch->start();
    m_partitionClock->start();
    m_monitor.start();
    return {};
}

void ControlNode::createServices()
{
    m_pollService = std::make_shared<PollChangesService>(m_groups.directory(), m_timers, m_clock);
    m_pollClient = std::make_unique<LocalPollClient>(m_pollService);
    directory::SubscriberOptions options;
    options.instance = m_settings.instance;
    m_view = std::make_unique<directory::DirectorySubscriber>(options, *m_pollClient, m_timers,
                                                              m_clock);
    m_memberWatch = std::make_shared<MemberWatch>(m_settings, m_groups, *m_view, m_timers, m_clock);
    m_partitionClock = std::make_shared<PartitionClock>(m_settings, m_groups, m_timers, m_clock);
    m_peerService = std::make_unique<PeerService>(m_groups, m_pollService, m_memberWatch,
                                                  m_partitionClock, m_metrics, m_clock);
    m_operatorApi = std::make_unique<OperatorApi>(m_settings, m_groups, *m_view, *m_memberWatch,
                                                  m_client, m_clock);
    m_operatorServer =
            std::make_unique<OperatorServer>(m_settings, m_groups, *m_operatorApi, m_metrics);
}

/// Leadership is transferred first, while Raft messages are still exchanged. The peer server is
/// stopped only after the groups have completed or failed their pending requests.
void ControlNode::stop()
{
    if (!m_running)
        return;
    m_running = false;
    m_operatorServer->closeAfterResponses();
    m_groups.transferLeadership(leadershipTransferTimeout);
    m_memberWatch->stop();
    m_partitionClock->stop();
    m_monitor.stop();
    m_client.stop();
    m_operatorServer->stop();
    m_view->stop();
    m_pollService->stop();
    m_peerService->stop();
    m_groups.stop();
    m_peerServer.stop();
    m_channels.close();
    m_timers.stop();
}

} // namespace rattanrill::control
