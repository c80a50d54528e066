#include "rattanrill/policy/leasequeue.h"

namespace rattanrill::policy {

namespace {

/// Number of distinct deadlines that one decision checks. Later deadlines are checked after the
/// items with earlier ones have been leased.
constexpr int maxDeadlinesChecked = 64;

} // namespace

LeaseQueue::LeaseQueue(LeaseQueueSettings settings)
    : m_settings(settings)
{}

void LeaseQueue::setWeight(const std::string &workspace, double weight)
{
    m_queue.setWeight(workspace, weight);
}

void LeaseQueue::push(const std::string &workspace, TaskId item, absl::Time deadline)
{
    if (!m_items.insert({item, {workspace, deadline}}).second)
        return;
    m_queue.push(workspace, item, deadline);
    m_byDeadline.insert({deadline, item});
    ++m_deadlineCounts[deadline];
}

bool LeaseQueue::remove(TaskId item)
{
    const auto found = m_items.find(item);
    if (found == m_items.end())
        return false;
    const absl::Time deadline = found->second.second;
    m_queue.remove(item);
    m_byDeadline.erase({deadline, item});
    const auto count = m_deadlineCounts.find(deadline);
    if (--count->second == 0)
        m_deadlineCounts.erase(count);
    m_items.erase(found);
    return true;
}

std::optional<TaskId> LeaseQueue::pop(absl::Time now, double tokens)
{
    if (m_byDeadline.empty())
        return std::nullopt;
    const TaskId next = isUrgent(now) ? m_byDeadline.begin()->second : *m_queue.front();
    const std::string workspace = m_items.at(next).first;
    remove(next);
    m_queue.charge(workspace, tokens);
    return next;
}

bool LeaseQueue::isUrgent(absl::Time now) const
{
    const absl::Duration slack = m_settings.maxRunTime * m_settings.safetyFactor;
    std::size_t itemsDue = 0;
    int checked = 0;
    for (const auto &[deadline, count] : m_deadlineCounts) {
        itemsDue += count;
        const absl::Duration timeNeeded =
                absl::Seconds(static_cast<double>(itemsDue) / m_settings.minItemsPerSecond);
        if (deadline - timeNeeded - slack <= now)
            return true;
        if (++checked == maxDeadlinesChecked)
            break;
    }
    return false;
}

} // namespace rattanrill::policy
