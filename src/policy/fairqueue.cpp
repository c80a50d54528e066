#include "rattanrill/policy/fairqueue.h"

#include <algorithm>

namespace rattanrill::policy {

namespace {

/// Smallest weight of a workspace. Keeps the virtual time of a workspace with weight 0 finite; its
/// tasks go last.
constexpr double minWeight = 1e-6;

} // namespace

FairQueue::FairQueue(const FairQueue &other)
    : m_flows(other.m_flows)
    , m_positions(other.m_positions)
    , m_virtualTime(other.m_virtualTime)
    , m_nextSequence(other.m_nextSequence)
{
    for (auto &[workspace, flow] : m_flows) {
        if (!flow.waiting.empty())
            m_active[{flow.virtualTime, workspace}] = &flow;
    }
}

void FairQueue::setWeight(const std::string &workspace, double weight)
{
    m_flows[workspace].weight = std::max(weight, minWeight);
}

void FairQueue::push(const std::string &workspace, TaskId task, absl::Time deadline,
                     TieBreak tieBreak)
{
    Flow &flow = m_flows[workspace];
    if (flow.waiting.empty()) {
        flow.virtualTime = std::max(flow.virtualTime, m_virtualTime);
        m_active[{flow.virtualTime, workspace}] = &flow;
    }
    const Position position{deadline, tieBreak, m_nextSequence++};
    flow.waiting[position] = task;
    m_positions[task] = {workspace, position};
    m_virtualTime = std::max(m_virtualTime, m_active.begin()->first.first);
}

bool FairQueue::remove(TaskId task)
{
    const auto found = m_positions.find(task);
    if (found == m_positions.end())
        return false;
    const auto [workspace, position] = found->second;
    m_positions.erase(found);
    Flow &flow = m_flows[workspace];
    flow.waiting.erase(position);
    if (flow.waiting.empty())
        m_active.erase({flow.virtualTime, workspace});
    return true;
}

std::optional<TaskId> FairQueue::front() const
{
    if (m_active.empty())
        return std::nullopt;
    return m_active.begin()->second->waiting.begin()->second;
}

std::optional<TaskId> FairQueue::front(const std::function<bool(TaskId)> &canStart) const
{
    for (const auto &[key, flow] : m_active) {
        for (const auto &[position, task] : flow->waiting) {
            if (canStart(task))
                return task;
        }
    }
    return std::nullopt;
}

std::optional<TaskId> FairQueue::back() const
{
    if (m_active.empty())
        return std::nullopt;
    return m_active.rbegin()->second->waiting.rbegin()->second;
}

void FairQueue::charge(const std::string &workspace, double tokens)
{
    Flow &flow = m_flows[workspace];
    const bool active = !flow.waiting.empty();
    if (active)
        m_active.erase({flow.virtualTime, workspace});
    flow.virtualTime += tokens / flow.weight;
    if (active)
        m_active[{flow.virtualTime, workspace}] = &flow;
    if (!m_active.empty())
        m_virtualTime = std::max(m_virtualTime, m_active.begin()->first.first);
}

std::size_t FairQueue::waiting(const std::string &workspace) const
{
    const auto found = m_flows.find(workspace);
    return found == m_flows.end() ? 0 : found->second.waiting.size();
}

} // namespace rattanrill::policy
