#pragma once

#include "rattanrill/policy/fairqueue.h"
#include "rattanrill/policy/task.h"

#include "absl/time/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace rattanrill::policy {

/// Settings of LeaseQueue.
struct LeaseQueueSettings
{
    /// Longest run time of an item, including its wait at the entry.
    absl::Duration maxRunTime = absl::Seconds(15);
    /// Slack before the deadline, in multiples of the run time, for preemptions and retries.
    double safetyFactor = 2.0;
    /// Items per second that the fleet completes for this queue at least.
    double minItemsPerSecond = 20;
};

/// Queue of batch items that wait to be leased to entries. Workspaces share the leases by contract
/// weight; within a workspace, the earliest deadline goes first. The weights are overridden when
/// items could miss their deadlines: once the items due by some time need all the time that is left
/// until then, except for the slack, the item with the earliest deadline goes first, regardless of
/// its workspace.
class LeaseQueue
{
public:
    explicit LeaseQueue(LeaseQueueSettings settings);

    void setWeight(const std::string &workspace, double weight);
    void push(const std::string &workspace, TaskId item, absl::Time deadline);
    /// Removes a cancelled item. Returns false when the item is not in the queue.
    bool remove(TaskId item);
    /// Removes and returns the next item, or nothing when the queue is empty. Charges \a tokens,
    /// the estimated service, to the item's workspace.
    std::optional<TaskId> pop(absl::Time now, double tokens);
    std::size_t size() const { return m_queue.size(); }

private:
    /// True when the items due up to some time need all the time that is left until then, except
    /// for the slack.
    bool isUrgent(absl::Time now) const;

    LeaseQueueSettings m_settings;
    FairQueue m_queue;
    std::set<std::pair<absl::Time, TaskId>> m_byDeadline;
    std::unordered_map<TaskId, std::pair<std::string, absl::Time>> m_items;
    /// Number of waiting items for each deadline.
    std::map<absl::Time, std::size_t> m_deadlineCounts;
};

} // namespace rattanrill::policy
