#pragma once

#include "rattanrill/policy/task.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

namespace rattanrill::policy {

/// Queue of waiting tasks. Workspaces are ordered by served tokens relative to their weight
/// (start-time fair queueing). Within a workspace, tasks are ordered by deadline; of equal
/// deadlines, resumed tasks go first, then earlier arrivals. When a workspace without waiting tasks
/// gets a new one, its virtual time is raised to that of the queue, so idle time earns no credit.
class FairQueue
{
public:
    FairQueue() = default;
    ~FairQueue() = default;
    /// Written out because m_active has pointers to the flows of its own queue.
    FairQueue(const FairQueue &other);
    FairQueue &operator=(const FairQueue &) = delete;

    /// Sets the weight of a workspace, which is 1 by default. Values <= 0 count as the smallest
    /// weight.
    void setWeight(const std::string &workspace, double weight);
    /// Order of tasks with equal deadlines within a workspace.
    enum class TieBreak {
        /// The task has progress and goes first, because its delivered tokens occupy memory until
        /// it ends.
        Resumed,
        ByArrival,
    };

    /// Adds a waiting task. Within its workspace, the earliest \a deadline goes first.
    void push(const std::string &workspace, TaskId task, absl::Time deadline,
              TieBreak tieBreak = TieBreak::ByArrival);
    /// Removes a waiting task. Returns false when the task is not in the queue.
    bool remove(TaskId task);
    /// Returns the next task without removing it or charging its workspace.
    std::optional<TaskId> front() const;
    /// Returns the first task in the order for which \a canStart returns true. Takes time
    /// proportional to the number of tasks before it.
    std::optional<TaskId> front(const std::function<bool(TaskId)> &canStart) const;
    /// Returns the last task in the order: the last one of the workspace with the most service
    /// relative to its weight.
    std::optional<TaskId> back() const;
    /// Charges \a tokens of service to \a workspace. Callers charge an estimate when a task starts
    /// and the difference, which may be negative, when it ends.
    void charge(const std::string &workspace, double tokens);

    bool empty() const { return m_positions.empty(); }
    std::size_t size() const { return m_positions.size(); }
    /// Number of waiting tasks of \a workspace.
    std::size_t waiting(const std::string &workspace) const;

private:
    using Position = std::tuple<absl::Time, TieBreak, std::uint64_t>;

    struct Flow
    {
        double weight = 1;
        /// Served tokens divided by weight, on the scale of the queue's virtual time.
        double virtualTime = 0;
        std::map<Position, TaskId> waiting;
    };

    std::map<std::string, Flow> m_flows;
    /// Flows with waiting tasks, keyed by virtual time and workspace.
    std::map<std::pair<double, std::string>, Flow *> m_active;
    std::map<TaskId, std::pair<std::string, Position>> m_positions;
    double m_virtualTime = 0;
    std::uint64_t m_nextSequence = 0;
};

} // namespace rattanrill::policy
