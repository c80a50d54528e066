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

struct LeaseQueueSettings
{
    /// Longest run time of an item, waits at the entry included.
    absl::Duration runTime = absl::Seconds(15);
    /// Slack kept in multiples of the run time, for preemptions and retries.
    double safetyFactor = 2.0;
    /// Items per second that the fleet is sure to complete for this queue.
    double itemsPerSecond = 20;
};

/// Order in which waiting batch items are leased to entries: by contract weight between
/// workspaces and earliest due first within one. Shares give way when waiting would make items
/// late: once the items due up to some time need all the time that is left, the earliest due goes
/// first, whatever its workspace.
class LeaseQueue
{
public:
    explicit LeaseQueue(LeaseQueueSettings settings);

    void setWeight(const std::string &workspace, double weight);
    void push(const std::string &workspace, TaskId item, absl::Time due);
    /// Removes an item that was cancelled; false when it does not wait here.
    bool remove(TaskId item);
    /// Takes the next item. \a tokens is the estimated service charged to its workspace.
    std::optional<TaskId> pop(absl::Time now, double tokens);
    std::size_t size() const { return m_queue.size(); }

private:
    /// The items due first need all the time that is left.
    bool isUrgent(absl::Time now) const;

    LeaseQueueSettings m_settings;
    FairQueue m_queue;
    std::set<std::pair<absl::Time, TaskId>> m_byDue;
    std::unordered_map<TaskId, std::pair<std::string, absl::Time>> m_items;
    /// Number of waiting items by due time.
    std::map<absl::Time, std::size_t> m_dueCounts;
};

} // namespace rattanrill::policy
