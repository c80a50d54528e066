#include "loadsummary.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rattanrill::load {
namespace {

constexpr std::size_t maxExamples = 20;

double nearestRank(const std::vector<double> &sorted, double quantile)
{
    const auto count = static_cast<double>(sorted.size());
    const auto index = static_cast<std::size_t>(std::max(std::ceil(quantile * count) - 1, 0.0));
    return sorted[index];
}

double milliseconds(absl::Duration duration)
{
    return absl::ToDoubleMilliseconds(duration);
}

} // namespace

Json quantiles(std::vector<double> values)
{
    if (values.empty())
        return {{"count", 0}};
    std::sort(values.begin(), values.end());
    return {{"count", values.size()},
            {"p50", nearestRank(values, 0.5)},
            {"p95", nearestRank(values, 0.95)},
            {"p99", nearestRank(values, 0.99)},
            {"max", values.back()}};
}

LoadSummary::LoadSummary(bool cutIsWrong)
    : m_cutIsWrong(cutIsWrong)
{}

void LoadSummary::add(const RequestOutcome &outcome)
{
    absl::MutexLock lock(&m_mutex);
    add(outcome, m_all);
    add(outcome, m_workspaces[outcome.workspace]);
    if (!countsAsWrong(outcome))
        return;
    ++m_wrong;
    if (m_examples.size() < maxExamples)
        m_examples.push_back(historyLine(outcome));
}

void LoadSummary::add(const BatchOutcome &outcome)
{
    absl::MutexLock lock(&m_mutex);
    m_batches.push_back(outcome);
    m_wrong += wrongItems(outcome);
}

void LoadSummary::add(const RequestOutcome &outcome, Group &group)
{
    ++group.endings[std::string(name(outcome.ending))];
    if (outcome.ending == Ending::Refused)
        ++group.refusals[outcome.code]
                        [outcome.effectState.empty() ? "unknown" : outcome.effectState];
    if (outcome.ending == Ending::Unsent)
        return;
    group.tokens += outcome.tokens;
    group.resends += outcome.sends - 1;
    group.startLagMs.push_back(milliseconds(outcome.startLag));
    if (outcome.timeToFirstToken)
        group.timeToFirstTokenMs.push_back(milliseconds(*outcome.timeToFirstToken));
    for (const absl::Duration gap : outcome.timeBetweenTokens)
        group.timeBetweenTokensMs.push_back(milliseconds(gap));
    if (outcome.ending != Ending::Completed)
        return;
    const double latencyMs = milliseconds(outcome.end - outcome.begin);
    if (outcome.kind == RequestKind::Whole)
        group.wholeMs.push_back(latencyMs);
    if (outcome.kind == RequestKind::Service)
        group.serviceMs.push_back(latencyMs);
}

bool LoadSummary::countsAsWrong(const RequestOutcome &outcome) const
{
    return isWrong(outcome.ending) || (m_cutIsWrong && outcome.ending == Ending::Cut);
}

std::int64_t LoadSummary::wrong() const
{
    absl::MutexLock lock(&m_mutex);
    return m_wrong;
}

Json LoadSummary::json() const
{
    absl::MutexLock lock(&m_mutex);
    Json json = groupJson(m_all);
    json["workspaces"] = workspacesJson();
    json["batches"] = batchesJson();
    json["wrong"] = m_wrong;
    json["wrong_examples"] = m_examples;
    return json;
}

Json LoadSummary::groupJson(const Group &group)
{
    Json refusals = Json::array();
    for (const auto &[code, states] : group.refusals) {
        for (const auto &[state, count] : states)
            refusals.push_back({{"code", code}, {"run", state}, {"count", count}});
    }
    return {{"outcomes", group.endings},
            {"refusals", refusals},
            {"tokens", group.tokens},
            {"resends", group.resends},
            {"ttft_ms", quantiles(group.timeToFirstTokenMs)},
            {"tbt_ms", quantiles(group.timeBetweenTokensMs)},
            {"whole_ms", quantiles(group.wholeMs)},
            {"service_ms", quantiles(group.serviceMs)},
            {"start_lag_ms", quantiles(group.startLagMs)}};
}

Json LoadSummary::workspacesJson() const
{
    Json json = Json::object();
    for (const auto &[name, group] : m_workspaces)
        json[name] = groupJson(group);
    return json;
}

Json LoadSummary::batchesJson() const
{
    Json json = Json::array();
    for (const BatchOutcome &batch : m_batches)
        json.push_back(toJson(batch));
    return json;
}

} // namespace rattanrill::load
