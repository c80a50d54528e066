#pragma once

#include "grouphost.h"

#include "rattanrill/base/metrics.h"
#include "rattanrill/base/timerservice.h"

#include <map>
#include <string>

namespace rattanrill::control {

/// Logs membership changes of this instance's groups and counts leader changes. The groups log
/// elections and stopped replicas themselves.
class GroupMonitor
{
public:
    GroupMonitor(const GroupHost &groups, Metrics &metrics, TimerService &timers);

    void start();
    void stop();

private:
    void check();
    void compare(const replication::RaftNodeStatus &before, const replication::RaftNodeStatus &now);

    const GroupHost &m_groups;
    Metrics &m_metrics;
    TimerService &m_timers;
    TimerService::TimerId m_timer = 0;
    /// Used by the timer thread only.
    std::map<std::string, replication::RaftNodeStatus> m_last;
};

} // namespace rattanrill::control
