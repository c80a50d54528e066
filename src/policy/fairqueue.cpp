#include "rattanrill/policy/fairqueue.h"

#include <algorithm>

namespace rattanrill::policy {

namespace {

/// Keeps the virtual time of a workspace without weight finite; such work goes last.
constexpr double smallestWeight = 1e-6;

} // namespace

void FairQueue::setWeight(const std::string &workspace, double weight)
{
    m_flows[workspace].weight = std::max(weight, smallestWeight);
}

void FairQueue::push(const std::string &workspace, WorkId work, absl::Time due, Order order)
{
    Flow &flow = m_flows[workspace];
    if (flow.waiting.empty()) {
        flow.virtualTime = std::max(flow.virtualTime, m_virtualTime);
        m_active[{flow.virtualTime, workspace}] = &flow;
    }
    const Place place{due, order, m_nextSequence++};
    flow.waiting[place] = work;
    m_places[work] = {workspace, place};
    m_virtualTime = std::max(m_virtualTime, m_active.begin()->first.first);
}

bool FairQueue::remove(WorkId work)
{
    const auto found = m_places.find(work);
    if (found == m_places.end())
        return false;
    const auto [workspace, place] = found->second;
    m_places.erase(found);
    Flow &flow = m_flows[workspace];
    flow.waiting.erase(place);
    if (flow.waiting.empty())
        m_active.erase({flow.virtualTime, workspace});
    return true;
}

std::optional<WorkId> FairQueue::front() const
{
    if (m_active.empty())
        return std::nullopt;
    return m_active.begin()->second->waiting.begin()->second;
}

std::optional<WorkId> FairQueue::back() const
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
