#pragma once

#include "grouphost.h"

#include "rattanrill/base/metrics.h"
#include "rattanrill/base/timerservice.h"

#include <map>
#include <string>

namespace rattanrill::control {

/// Logs membership changes of this instance's groups and counts their leader changes. Elections and
/// stopped replicas are logged by RaftNode.
class GroupMonitor
{
public:
    GroupMonitor(const GroupHost &groups, Metrics &metrics, TimerService &timers);

    void start();
    void stop();

private:
    void check();
    /// Logs and counts what differs between two states of the same group.
    void reportChanges(const replication::RaftNodeStatus &previous,
                       const replication::RaftNodeStatus &current);

    const GroupHost &m_groups;
    Metrics &m_metrics;
    TimerService &m_timers;
    TimerService::TimerId m_timer = 0;
    /// Status of each group at the previous check. Accessed by the timer thread only.
    std::map<std::string, replication::RaftNodeStatus> m_lastStatus;
};

} // namespace rattanrill::control
