#pragma once

#include "rattanrill/policy/task.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>

namespace rattanrill::policy {

/// Order of waiting work between workspaces by served tokens relative to weight (start-time fair
/// queueing); within a workspace by due time, then work with progress, then by arrival. A workspace
/// that had nothing waiting and nothing in service re-enters at the current virtual time, so that
/// idle time earns no credit.
class FairQueue
{
public:
    /// Sets the weight of a workspace; 1 when never set. Values <= 0 count as the smallest weight.
    void setWeight(const std::string &workspace, double weight);
    /// Where work of equal due time goes within its workspace.
    enum class TieBreak {
        /// Work with progress: its delivered tokens take memory somewhere until it ends.
        Resumed,
        ByArrival,
    };

    /// Adds waiting work. \a due orders within the workspace.
    void push(const std::string &workspace, TaskId task, absl::Time due,
              TieBreak tieBreak = TieBreak::ByArrival);
    /// Removes waiting work; false when it does not wait here.
    bool remove(TaskId task);
    /// Work that is next; nothing is removed or charged.
    std::optional<TaskId> front() const;
    /// Work that would go last: the last one of the workspace with the most service.
    std::optional<TaskId> back() const;
    /// Charges \a tokens of service. Charge estimates at the start and settle the difference
    /// (which may be negative) at the end.
    void charge(const std::string &workspace, double tokens);

    bool empty() const { return m_positions.empty(); }
    std::size_t size() const { return m_positions.size(); }
    std::size_t waiting(const std::string &workspace) const;

private:
    using Position = std::tuple<absl::Time, TieBreak, std::uint64_t>;

    struct Flow
    {
        double weight = 1;
        /// Served tokens / weight, in the queue's virtual time.
        double virtualTime = 0;
        std::map<Position, TaskId> waiting;
    };

    std::map<std::string, Flow> m_flows;
    /// Flows with waiting work by virtual time.
    std::map<std::pair<double, std::string>, Flow *> m_active;
    std::map<TaskId, std::pair<std::string, Position>> m_positions;
    double m_virtualTime = 0;
    std::uint64_t m_nextSequence = 0;
};

} // namespace rattanrill::policy
