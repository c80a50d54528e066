#pragma once

#include "controlsettings.h"
#include "grouphost.h"
#include "groupmonitor.h"
#include "localpollclient.h"
#include "memberwatch.h"
#include "operatorapi.h"
#include "operatorserver.h"
#include "partitionclock.h"
#include "peerservice.h"
#include "pollchangesservice.h"

#include "rattanrill/base/metrics.h"
#include "rattanrill/base/timerservice.h"
#include "rattanrill/controlclient/controlclient.h"
#include "rattanrill/directory/directorysubscriber.h"
#include "rattanrill/peer/channelpool.h"
#include "rattanrill/peer/server.h"

#include <memory>

namespace rattanrill::control {

/// A control instance: its replicas of all groups, the peer server and the operators' interface.
class ControlNode
{
public:
    ControlNode(ControlSettings settings, const Clock &clock, RaftNodeFactory startRaftNode);
    ~ControlNode();
    ControlNode(const ControlNode &) = delete;
    ControlNode &operator=(const ControlNode &) = delete;

    /// Opens the groups and starts the servers. Fails like startRaftNode() or with AddressInUse.
    Result<void> start();
    /// Transfers leadership, stops the servers and closes the groups.
    void stop();

    int peerPort() const { return m_peerServer.port(); }
    int operatorPort() const { return m_operatorServer ? m_operatorServer->port() : 0; }
    GroupHost &groups() { return m_groups; }

private:
    void createServices();
    peer::TransportOptions transport() const;

    const ControlSettings m_settings;
    const Clock &m_clock;
    Metrics m_metrics;
    ThreadTimerService m_timers;
    peer::ChannelPool m_channels;
    GroupHost m_groups;
    peer::Server m_peerServer;
    controlclient::ControlClient m_client;
    GroupMonitor m_monitor;
    // Created by start() after it has opened the groups.
    std::shared_ptr<PollChangesService> m_pollService;
    std::unique_ptr<LocalPollClient> m_pollClient;
    std::unique_ptr<directory::DirectorySubscriber> m_view;
    std::shared_ptr<MemberWatch> m_memberWatch;
    std::shared_ptr<PartitionClock> m_partitionClock;
    std::unique_ptr<PeerService> m_peerService;
    std::unique_ptr<OperatorApi> m_operatorApi;
    std::unique_ptr<OperatorServer> m_operatorServer;
    bool m_running = false;
};

} // namespace rattanrill::control
