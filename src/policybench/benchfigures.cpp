#include "benchfigures.h"

#include "rattanrill/base/json.h"

#include <algorithm>
#include <limits>

namespace rattanrill::policy::bench {

namespace {

double ratio(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

/// Returns by how many requests the worst window of one workspace exceeds rate * t + burst.
double overAdmission(const RateContract &contract, std::vector<absl::Time> admitted)
{
    std::sort(admitted.begin(), admitted.end());
    double worst = 0;
    double least = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < admitted.size(); ++i) {
        const double granted =
                contract.ratePerSecond * absl::ToDoubleSeconds(admitted[i] - absl::UnixEpoch());
        // The excess of a window that ends with request i is (i + 1 - granted) at its end, minus
        // (j - granted) at its first request j, minus the burst. The worst window starts at the
        // request with the least (j - granted).
        least = std::min(least, static_cast<double>(i) - granted);
        const double excess = static_cast<double>(i + 1) - granted - least - contract.burst;
        worst = std::max(worst, excess);
    }
    // In requests. Times are rounded to a quarter of a nanosecond.
    constexpr double tolerance = 1e-6;
    return worst < tolerance ? 0 : worst;
}

double worstOverAdmission(const FigureInput &input)
{
    double worst = 0;
    for (std::size_t i = 0; i < input.plan.contracts.size(); ++i)
        worst = std::max(
                worst, overAdmission(input.plan.contracts[i], input.result.workspaces[i].admitted));
    return worst;
}

double refusedWithinRate(const FigureInput &input)
{
    double refused = 0;
    double withinRate = 0;
    for (const WorkspaceResult &workspace : input.result.workspaces) {
        const std::size_t aboveRate = workspace.demand - workspace.withinRate;
        // Includes the requests that were refused because the bucket had no owner that may grant.
        const std::size_t all = workspace.refused + workspace.refusedOwnerMoving;
        const std::size_t counted = std::max(all, aboveRate) - aboveRate;
        refused += static_cast<double>(counted);
        withinRate += static_cast<double>(workspace.withinRate);
    }
    return ratio(refused, withinRate);
}

double refusedOwnerMoving(const FigureInput &input)
{
    double refused = 0;
    double withinRate = 0;
    for (const WorkspaceResult &workspace : input.result.workspaces) {
        refused += static_cast<double>(workspace.refusedOwnerMoving);
        withinRate += static_cast<double>(workspace.withinRate);
    }
    return ratio(refused, withinRate);
}

double worstShare(const FigureInput &input)
{
    double worst = 1;
    for (const WorkspaceResult &workspace : input.result.workspaces) {
        const auto served = static_cast<double>(std::min(workspace.served, workspace.withinRate));
        worst = std::min(worst, ratio(served, static_cast<double>(workspace.withinRate)));
    }
    return worst;
}

using Figures = std::vector<Figure>;

void addCommon(const FigureInput &input, Figures &figures)
{
    const BenchResult &result = input.result;
    figures.push_back(
            {"over_admission", worstOverAdmission(input), "requests", BoundKind::AtMost, 0});
    figures.push_back({"refused_inside_rate_share", refusedWithinRate(input), "share",
                       BoundKind::AtMost, 0.001});
    const double late =
            ratio(static_cast<double>(result.batchLate), static_cast<double>(result.batchDue));
    figures.push_back({"batch_items_past_due_share", late, "share", BoundKind::AtMost, 0});
    const double wasted = ratio(static_cast<double>(result.wastedTokens),
                                static_cast<double>(result.computedTokens));
    figures.push_back({"wasted_tokens_share", wasted, "share", BoundKind::AtMost, 0.05});
    figures.push_back({"online_ttft_p95_s", quantile(result.firstToken, 0.95), "s"});
    figures.push_back({"online_ttft_p99_s", quantile(result.firstToken, 0.99), "s"});
    figures.push_back({"batch_share_of_idle_capacity",
                       ratio(result.batchSlotSeconds, result.idleSlotSeconds), "share"});
    figures.push_back({"batch_items_due", static_cast<double>(result.batchDue), "items"});
    figures.push_back({"batch_items_failed", static_cast<double>(result.batchLost), "items"});
    figures.push_back({"preemptions", static_cast<double>(result.preemptions), "count"});
    for (const auto &[code, count] : result.refusals)
        figures.push_back({"refused_" + code, static_cast<double>(count), "requests"});
}

Figure &find(Figures &figures, std::string_view name)
{
    return *std::find_if(figures.begin(), figures.end(),
                         [&](const Figure &figure) { return figure.name == name; });
}

void setBound(Figures &figures, std::string_view name, BoundKind kind, double value)
{
    Figure &figure = find(figures, name);
    figure.kind = kind;
    figure.bound = value;
}

void addNominal(const FigureInput &input, Figures &figures)
{
    const BenchResult &result = input.result;
    constexpr double maxTtftP95Seconds = 0.41;
    constexpr double maxTbtP95Seconds = 0.067;
    setBound(figures, "online_ttft_p95_s", BoundKind::AtMost, maxTtftP95Seconds);
    setBound(figures, "batch_share_of_idle_capacity", BoundKind::AtLeast,
             input.deployment.idleShareBound);
    figures.push_back({"online_tbt_p95_s", quantile(result.tokenGaps, 0.95), "s", BoundKind::AtMost,
                       maxTbtP95Seconds});
    const double alone = quantile(input.withoutBatch->firstToken, 0.99);
    figures.push_back({"online_ttft_p99_ratio", ratio(quantile(result.firstToken, 0.99), alone),
                       "ratio", BoundKind::AtMost, input.deployment.ttftRatioBound});
    figures.push_back({"online_ttft_p99_alone_s", alone, "s"});
    figures.push_back({"admission_messages_per_request",
                       ratio(static_cast<double>(result.admissionMessages),
                             static_cast<double>(result.requests)),
                       "messages"});
    figures.push_back({"routing_cpu_us_per_decision",
                       ratio(result.policySeconds * 1e6, static_cast<double>(result.decisions)),
                       "us"});
    const double seconds =
            ratio(result.idleSlotSeconds,
                  input.deployment.engine.maxBatch * static_cast<double>(input.deployment.engines));
    figures.push_back({"batch_tokens_per_idle_s",
                       ratio(static_cast<double>(result.batchTokens), seconds), "tokens/s"});
}

void addSurge(const FigureInput &input, Figures &figures)
{
    figures.push_back(
            {"worst_workspace_share", worstShare(input), "share", BoundKind::AtLeast, 0.99});
}

void addBurst(const FigureInput &input, Figures &figures)
{
    const BenchResult &result = input.result;
    const absl::Duration limit = input.longestStep + input.deployment.interDomainDelay * 2;
    const double preemptionDelay = quantile(result.preemptionDelays, 1);
    figures.push_back({"batch_yield_s", preemptionDelay, "s", BoundKind::AtMost,
                       absl::ToDoubleSeconds(limit)});
    figures.push_back({"online_slot_wait_p99_s", quantile(result.slotWaits, 0.99), "s"});
}

void addLostDomain(const FigureInput &input, Figures &figures)
{
    figures.push_back({"refused_owner_moving_share", refusedOwnerMoving(input), "share"});
}

void addNothing(const FigureInput & /*input*/, Figures & /*figures*/) {}

void addPoison(const FigureInput &input, Figures &figures)
{
    const BenchResult &result = input.result;
    figures.push_back({"crashed_upstreams_per_poison_request",
                       static_cast<double>(result.poisonCrashes), "upstreams", BoundKind::AtMost,
                       2});
    figures.push_back({"innocent_requests_held", static_cast<double>(result.bystandersQuarantined),
                       "requests"});
}

using AddFigures = void (*)(const FigureInput &, Figures &);

/// Indexed by Scenario.
constexpr std::array<AddFigures, 6> scenarioFigures{addNominal,    addSurge,   addBurst,
                                                    addLostDomain, addNothing, addPoison};

} // namespace

bool Figure::passes() const
{
    switch (kind) {
    case BoundKind::AtMost:
        return value <= bound;
    case BoundKind::AtLeast:
        return value >= bound;
    case BoundKind::None:
        break;
    }
    return true;
}

std::vector<Figure> figuresOf(const FigureInput &input)
{
    Figures figures;
    addCommon(input, figures);
    scenarioFigures[static_cast<std::size_t>(input.scenario)](input, figures);
    return figures;
}

std::string jsonLine(const std::string &deployment, std::string_view scenario,
                     std::string_view policy, const Figure &figure)
{
    nlohmann::ordered_json line;
    line["deployment"] = deployment;
    line["scenario"] = std::string(scenario);
    line["policy"] = std::string(policy);
    line["name"] = figure.name;
    line["value"] = figure.value;
    line["unit"] = figure.unit;
    const bool bounded = figure.kind != BoundKind::None;
    line["bound"] = bounded ? nlohmann::ordered_json(figure.bound) : nlohmann::ordered_json();
    line["pass"] = bounded ? nlohmann::ordered_json(figure.passes()) : nlohmann::ordered_json();
    return line.dump();
}

} // namespace rattanrill::policy::bench
