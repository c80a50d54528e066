#include "burn.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/enumnames.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <limits>
#include <set>
#include <utility>

namespace rattanrill::report {
namespace {

constexpr std::array<EnumName<Objective>, 4> objectiveNames = {{
        {Objective::TimeToFirstToken, "time_to_first_token"},
        {Objective::TimeBetweenTokens, "time_between_tokens"},
        {Objective::ServedInsideRate, "served_inside_rate"},
        {Objective::BatchOnTime, "batch_on_time"},
}};

/// Values of the labels by which series are grouped; for objectives, workspace and model.
using LabelValues = std::vector<std::string>;
using EventCountsByGroup = std::map<LabelValues, EventCounts>;

/// Cumulative observation counts of a histogram by upper bound of the bucket.
using Buckets = std::map<double, double>;

double parseBound(const std::string &text)
{
    return text == "+Inf" ? std::numeric_limits<double>::infinity() : std::atof(text.c_str());
}

/// Number of observations up to \a threshold, assuming that the observations in the bucket that
/// contains the threshold are evenly distributed.
double observationsUpTo(const Buckets &buckets, double threshold)
{
    double lowerBound = 0;
    double countBelow = 0;
    for (const auto &[bound, cumulative] : buckets) {
        if (bound <= threshold) {
            lowerBound = bound;
            countBelow = cumulative;
            continue;
        }
        // The last bucket has no upper bound, so all of its observations count as above the
        // threshold.
        if (std::isinf(bound))
            return countBelow;
        return countBelow
               + (cumulative - countBelow) * (threshold - lowerBound) / (bound - lowerBound);
    }
    return countBelow;
}

EventCountsByGroup latencyEvents(const FleetHistory &history, const std::string &metric,
                                 double threshold, std::size_t from, std::size_t to)
{
    std::map<LabelValues, Buckets> buckets;
    for (const auto &[labels, count] :
         history.increase(metric + "_bucket", {}, {"workspace", "model", "le"}, from, to))
        buckets[{labels[0], labels[1]}][parseBound(labels[2])] += count;
    EventCountsByGroup eventsByGroup;
    for (const auto &[group, groupBuckets] : buckets) {
        const double total = groupBuckets.rbegin()->second;
        eventsByGroup[group] = {total, total - observationsUpTo(groupBuckets, threshold)};
    }
    return eventsByGroup;
}

void addCounts(EventCountsByGroup &eventsByGroup, const FleetHistory &history,
               const std::string &metric, const Labels &match, double EventCounts::*field,
               std::size_t from, std::size_t to)
{
    for (const auto &[labels, count] : history.increase(metric, match, {"workspace"}, from, to))
        eventsByGroup[{labels[0], std::string()}].*field += count;
}

EventCountsByGroup refusalEvents(const FleetHistory &history, std::size_t from, std::size_t to)
{
    EventCountsByGroup eventsByGroup;
    addCounts(eventsByGroup, history, "rattanrill_requests_total", {}, &EventCounts::total, from,
              to);
    addCounts(eventsByGroup, history, "rattanrill_refused_total", {{"inside_rate", "true"}},
              &EventCounts::bad, from, to);
    return eventsByGroup;
}

EventCountsByGroup batchEvents(const FleetHistory &history, std::size_t from, std::size_t to)
{
    EventCountsByGroup eventsByGroup;
    for (const char *state : {"completed", "failed"})
        addCounts(eventsByGroup, history, "rattanrill_batch_items_total", {{"state", state}},
                  &EventCounts::total, from, to);
    addCounts(eventsByGroup, history, "rattanrill_batch_past_due_total", {}, &EventCounts::bad,
              from, to);
    return eventsByGroup;
}

EventCountsByGroup eventsOf(const FleetHistory &history, const Objectives &objectives,
                            Objective objective, std::size_t from, std::size_t to)
{
    switch (objective) {
    case Objective::TimeToFirstToken:
        return latencyEvents(history, "rattanrill_ttft_seconds", objectives.ttftSeconds, from, to);
    case Objective::TimeBetweenTokens:
        return latencyEvents(history, "rattanrill_tbt_seconds", objectives.tbtSeconds, from, to);
    case Objective::ServedInsideRate:
        return refusalEvents(history, from, to);
    case Objective::BatchOnTime:
        return batchEvents(history, from, to);
    }
    return {};
}

double targetOf(const Objectives &objectives, Objective objective)
{
    switch (objective) {
    case Objective::TimeToFirstToken:
        return objectives.ttftTarget;
    case Objective::TimeBetweenTokens:
        return objectives.tbtTarget;
    case Objective::ServedInsideRate:
        return objectives.servedInsideRateTarget;
    case Objective::BatchOnTime:
        return objectives.batchOnTimeTarget;
    }
    return 1;
}

double burnRate(const EventCounts &events, const Objectives &objectives, Objective objective)
{
    return events.badFraction() / (1 - targetOf(objectives, objective));
}

std::set<absl::Duration> windowsOf(const Objectives &objectives)
{
    std::set<absl::Duration> windows;
    for (const WindowPair &pair : objectives.windows) {
        windows.insert(pair.shortWindow);
        windows.insert(pair.longWindow);
    }
    return windows;
}

double burnRateIn(const BurnRow &row, absl::Duration window)
{
    for (const WindowBurn &burn : row.windows) {
        if (burn.window == window)
            return burn.burnRate;
    }
    return 0;
}

bool hasAlert(const BurnRow &row, const Objectives &objectives)
{
    return std::any_of(objectives.windows.begin(), objectives.windows.end(),
                       [&](const WindowPair &pair) {
                           return burnRateIn(row, pair.shortWindow) > pair.alertRate
                                  && burnRateIn(row, pair.longWindow) > pair.alertRate;
                       });
}

using Rows = std::map<std::pair<Objective, LabelValues>, BurnRow>;

EventCounts sumOf(const EventCountsByGroup &eventsByGroup)
{
    EventCounts sum;
    for (const auto &[group, events] : eventsByGroup) {
        sum.total += events.total;
        sum.bad += events.bad;
    }
    return sum;
}

void addWindow(const FleetHistory &history, const Objectives &objectives, Objective objective,
               absl::Duration window, Rows &rows, BurnRow &fleetRow)
{
    const std::size_t from = history.windowStart(window);
    const std::size_t to = history.lastIndex();
    WindowBurn burn;
    burn.window = window;
    burn.span = history.times()[to] - history.times()[from];
    EventCountsByGroup eventsByGroup = eventsOf(history, objectives, objective, from, to);
    burn.events = sumOf(eventsByGroup);
    burn.burnRate = burnRate(burn.events, objectives, objective);
    fleetRow.windows.push_back(burn);
    for (const auto &[group, events] : eventsByGroup) {
        BurnRow &row = rows[{objective, group}];
        row.objective = objective;
        row.workspace = group[0];
        row.model = group[1];
        burn.events = events;
        burn.burnRate = burnRate(events, objectives, objective);
        row.windows.push_back(burn);
    }
}

std::vector<BurnPoint> makeBurnOverTime(const FleetHistory &history, const Objectives &objectives,
                                        Objective objective)
{
    std::vector<BurnPoint> points;
    for (std::size_t i = 1; i < history.times().size(); ++i) {
        const EventCounts events = sumOf(eventsOf(history, objectives, objective, i - 1, i));
        points.push_back({history.times()[i], burnRate(events, objectives, objective)});
    }
    return points;
}

/// Orders rows by the worst burn rate of their workspace, then by their own, highest first.
void sortRows(std::vector<BurnRow> &rows)
{
    std::map<std::string, double> worstByWorkspace;
    for (const BurnRow &row : rows) {
        double &worst = worstByWorkspace[row.workspace];
        worst = std::max(worst, maxBurnRate(row));
    }
    std::stable_sort(rows.begin(), rows.end(), [&](const BurnRow &left, const BurnRow &right) {
        const double leftWorst = worstByWorkspace[left.workspace];
        const double rightWorst = worstByWorkspace[right.workspace];
        if (leftWorst != rightWorst)
            return leftWorst > rightWorst;
        if (left.workspace != right.workspace)
            return left.workspace < right.workspace;
        return maxBurnRate(left) > maxBurnRate(right);
    });
}

std::map<std::string, double> joinedKeys(const std::map<LabelValues, double> &groups)
{
    std::map<std::string, double> joined;
    for (const auto &[labels, value] : groups) {
        std::string key;
        for (const std::string &label : labels)
            key += (key.empty() ? "" : " ") + label;
        joined[key] += value;
    }
    return joined;
}

Traffic trafficOf(const FleetHistory &history)
{
    const std::size_t to = history.lastIndex();
    const double seconds = absl::ToDoubleSeconds(history.times()[to] - history.times()[0]);
    // When the snapshots span no time, the values are totals instead of rates.
    const double divisor = seconds > 0 ? seconds : 1;
    Traffic traffic;
    traffic.requestsPerSecond = history.increase("rattanrill_requests_total", {}, 0, to) / divisor;
    traffic.tokensPerSecondByClass =
            joinedKeys(history.increase("rattanrill_tokens_total", {}, {"class"}, 0, to));
    for (auto &[key, value] : traffic.tokensPerSecondByClass)
        value /= divisor;
    traffic.batchItemsByState =
            joinedKeys(history.increase("rattanrill_batch_items_total", {}, {"state"}, 0, to));
    traffic.upstreamFailures = joinedKeys(history.increase("rattanrill_upstream_failures_total", {},
                                                           {"upstream", "code"}, 0, to));
    traffic.leasesExpired = history.increase("rattanrill_leases_expired_total", {}, 0, to);
    return traffic;
}

} // namespace

std::string_view name(Objective objective)
{
    return nameOf(objectiveNames, objective);
}

double EventCounts::badFraction() const
{
    const double eventCount = std::max(total, bad);
    return eventCount > 0 ? std::max(bad, 0.0) / eventCount : 0;
}

double maxBurnRate(const BurnRow &row)
{
    double worst = 0;
    for (const WindowBurn &burn : row.windows)
        worst = std::max(worst, burn.burnRate);
    return worst;
}

BurnReport makeBurnReport(const FleetHistory &history, const Objectives &objectives)
{
    BurnReport report;
    report.from = history.times().front();
    report.to = history.times().back();
    Rows rows;
    for (const Objective objective : allObjectives) {
        BurnRow fleetRow;
        fleetRow.objective = objective;
        for (const absl::Duration window : windowsOf(objectives))
            addWindow(history, objectives, objective, window, rows, fleetRow);
        fleetRow.alert = hasAlert(fleetRow, objectives);
        report.fleet.push_back(std::move(fleetRow));
        report.burnOverTime[objective] = makeBurnOverTime(history, objectives, objective);
    }
    for (auto &[key, row] : rows) {
        row.alert = hasAlert(row, objectives);
        report.rows.push_back(std::move(row));
    }
    sortRows(report.rows);
    if (!report.rows.empty())
        report.worstWorkspace = report.rows.front().workspace;
    report.traffic = trafficOf(history);
    return report;
}

} // namespace rattanrill::report
