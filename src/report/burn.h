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

/// Events of one objective in one window.
struct Share
{
    double total = 0;
    double bad = 0;

    /// From 0 to 1; 0 without events. Bad events that the total lacks (a counter that was scraped
    /// a moment earlier) do not make it exceed 1.
    double badShare() const;
};

struct WindowBurn
{
    absl::Duration window;
    /// Time between the snapshots that were compared; shorter than the window when the snapshots
    /// do not reach back, longer when they are sparse.
    absl::Duration span;
    Share share;
    /// Speed at which the error budget is used; 1 uses it up exactly in its period.
    double burnRate = 0;
};

/// Burn of one objective for a workspace and model; model empty for objectives without one.
struct BurnRow
{
    Objective objective = Objective::TimeToFirstToken;
    std::string workspace;
    std::string model;
    /// For each distinct window, shortest first.
    std::vector<WindowBurn> windows;
    bool alert = false;
};

/// What the fleet served in the longest window.
struct Traffic
{
    double requestsPerSecond = 0;
    std::map<std::string, double> tokensPerSecondByClass;
    std::map<std::string, double> batchItemsByState;
    /// Keys "upstream code".
    std::map<std::string, double> upstreamFailures;
    double leasesExpired = 0;
};

/// Burn rates between two neighbouring snapshots, for plots.
struct BurnPoint
{
    absl::Time at;
    double burnRate = 0;
};

struct BurnReport
{
    absl::Time from;
    absl::Time to;
    /// Worst-served workspace first, its worst objective first.
    std::vector<BurnRow> rows;
    /// All workspaces and models together, one row for each objective.
    std::vector<BurnRow> fleet;
    std::map<Objective, std::vector<BurnPoint>> course;
    Traffic traffic;
    /// Workspace of the first row; empty without events.
    std::string worstWorkspace;
};

BurnReport makeBurnReport(const FleetHistory &history, const Objectives &objectives);

/// Largest burn rate of the row over its windows.
double worstBurn(const BurnRow &row);

} // namespace rattanrill::report
