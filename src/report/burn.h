#pragma once

#include "fleethistory.h"
#include "objectives.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::report {

enum class Objective {
    TimeToFirstToken,
    TimeBetweenTokens,
    ServedInsideRate,
    BatchOnTime,
};

constexpr Objective allObjectives[] = {Objective::TimeToFirstToken, Objective::TimeBetweenTokens,
                                       Objective::ServedInsideRate, Objective::BatchOnTime};

std::string_view name(Objective objective);

/// Number of events of one objective in one window.
struct EventCounts
{
    double total = 0;
    double bad = 0;

    /// Fraction of bad events, from 0 to 1; 0 without events. The bad counter can exceed the total
    /// when the total was scraped a moment earlier; the fraction is then 1.
    double badFraction() const;
};

struct WindowBurn
{
    absl::Duration window;
    /// Time between the snapshots that were compared. It is shorter than the window when the oldest
    /// snapshot is younger than the window, and longer when snapshots are sparse.
    absl::Duration span;
    EventCounts events;
    /// Rate at which the error budget is consumed; 1 consumes it exactly within its period.
    double burnRate = 0;
};

/// Burn rates of one objective for a workspace and model. The model is empty for objectives that
/// are not measured by model.
struct BurnRow
{
    Objective objective = Objective::TimeToFirstToken;
    std::string workspace;
    std::string model;
    /// One entry for each distinct window, shortest first.
    std::vector<WindowBurn> windows;
    bool alert = false;
};

/// Traffic of the fleet between the first and the last snapshot. The rates are totals when all
/// snapshots have the same time.
struct Traffic
{
    double requestsPerSecond = 0;
    std::map<std::string, double> tokensPerSecondByClass;
    std::map<std::string, double> batchItemsByState;
    /// Number of failures by upstream name and error code, separated by a space.
    std::map<std::string, double> upstreamFailures;
    double leasesExpired = 0;
};

/// Burn rate between two consecutive snapshots, for plots.
struct BurnPoint
{
    absl::Time at;
    double burnRate = 0;
};

struct BurnReport
{
    absl::Time from;
    absl::Time to;
    /// Ordered by the worst burn rate of the workspace, then by that of the row, highest first.
    std::vector<BurnRow> rows;
    /// All workspaces and models together, one row for each objective.
    std::vector<BurnRow> fleet;
    /// Burn rate of the whole fleet over time.
    std::map<Objective, std::vector<BurnPoint>> burnOverTime;
    Traffic traffic;
    /// Workspace of the first row; empty when there are no rows.
    std::string worstWorkspace;
};

BurnReport makeBurnReport(const FleetHistory &history, const Objectives &objectives);

/// Largest burn rate of the row over its windows.
double maxBurnRate(const BurnRow &row);

} // namespace rattanrill::report
