#include "groupmonitor.h"

#include "rattanrill/base/logger.h"

namespace rattanrill::control {
namespace {

constexpr absl::Duration checkPeriod = absl::Milliseconds(100);

std::string joined(const std::vector<replication::ReplicaId> &ids)
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
        const replication::RaftNodeStatus now = m_groups.find(name)->status();
        compare(m_last[name], now);
        m_last[name] = now;
    }
}

void GroupMonitor::compare(const replication::RaftNodeStatus &before,
                           const replication::RaftNodeStatus &now)
{
    if (now.leader != before.leader && !now.leader.empty())
        m_metrics.count("rattanrill_control_leader_changes_total", {{"group", now.group}});
    if (now.voters != before.voters || now.learners != before.learners)
        log(LogLevel::Info, "replicas-changed",
            {{"group", now.group},
             {"voters", joined(now.voters)},
             {"learners", joined(now.learners)}});
}

} // namespace rattanrill::control
