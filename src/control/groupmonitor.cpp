#include "groupmonitor.h"

#include "rattanrill/base/logger.h"

namespace rattanrill::control {
namespace {

/// Period at which the status of the groups is compared with the previous status.
constexpr absl::Duration checkPeriod = absl::Milliseconds(100);

std::string joinIds(const std::vector<replication::ReplicaId> &ids)
{
    std::string text;
    for (const replication::ReplicaId &id : ids)
        text += (text.empty() ? "" : " ") + id;
    return text;
}

} // namespace

GroupMonitor::GroupMonitor(const GroupHost &groups, Metrics &metrics, TimerService &timers)
    : m_groups(groups)
    , m_metrics(metrics)
    , m_timers(timers)
{}

void GroupMonitor::start()
{
    m_timer = m_timers.subscribeEvery(checkPeriod, [this] { check(); });
}

void GroupMonitor::stop()
{
    if (m_timer != 0)
        m_timers.unsubscribe(m_timer);
}

void GroupMonitor::check()
{
    for (const std::string &name : m_groups.names()) {
        const replication::RaftNodeStatus current = m_groups.find(name)->status();
        reportChanges(m_lastStatus[name], current);
        m_lastStatus[name] = current;
    }
}

void GroupMonitor::reportChanges(const replication::RaftNodeStatus &previous,
                                 const replication::RaftNodeStatus &current)
{
    if (current.leader != previous.leader && !current.leader.empty())
        m_metrics.count("rattanrill_control_leader_changes_total", {{"group", current.group}});
    if (current.voters != previous.voters || current.learners != previous.learners)
        log(LogLevel::Info, "replicas-changed",
            {{"group", current.group},
             {"voters", joinIds(current.voters)},
             {"learners", joinIds(current.learners)}});
}

} // namespace rattanrill::control
