#include "loadsummary.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rattanrill::load {
namespace {

/// Maximum number of wrong responses that the summary lists.
constexpr std::size_t maxWrongExamples = 20;

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
    add(outcome, m_overall);
    add(outcome, m_workspaces[outcome.workspace]);
    if (!countsAsWrong(outcome))
        return;
    ++m_wrongCount;
    if (m_wrongExamples.size() < maxWrongExamples)
        m_wrongExamples.push_back(historyLine(outcome));
}

void LoadSummary::add(const BatchOutcome &outcome)
{
    absl::MutexLock lock(&m_mutex);
    m_batches.push_back(outcome);
    m_wrongCount += wrongItems(outcome);
}

void LoadSummary::add(const RequestOutcome &outcome, Statistics &statistics)
{
    ++statistics.countsByType[std::string(name(outcome.type))];
    if (outcome.type == OutcomeType::Refused)
        ++statistics.refusals[outcome.code]
                             [outcome.effectState.empty() ? "unknown" : outcome.effectState];
    if (outcome.type == OutcomeType::Unsent)
        return;
    statistics.tokens += outcome.tokens;
    statistics.resends += outcome.sends - 1;
    statistics.startLagMs.push_back(milliseconds(outcome.startLag));
    if (outcome.timeToFirstToken)
        statistics.timeToFirstTokenMs.push_back(milliseconds(*outcome.timeToFirstToken));
    for (const absl::Duration gap : outcome.timeBetweenTokens)
        statistics.timeBetweenTokensMs.push_back(milliseconds(gap));
    if (outcome.type != OutcomeType::Completed)
        return;
    const double latencyMs = milliseconds(outcome.end - outcome.begin);
    if (outcome.kind == RequestKind::NonStreamed)
        statistics.nonStreamedMs.push_back(latencyMs);
    if (outcome.kind == RequestKind::Service)
        statistics.serviceMs.push_back(latencyMs);
}

bool LoadSummary::countsAsWrong(const RequestOutcome &outcome) const
{
    return isWrong(outcome.type) || (m_cutIsWrong && outcome.type == OutcomeType::Disconnected);
}

std::int64_t LoadSummary::wrongCount() const
{
    absl::MutexLock lock(&m_mutex);
    return m_wrongCount;
}

Json LoadSummary::json() const
{
    absl::MutexLock lock(&m_mutex);
    Json json = statisticsJson(m_overall);
    json["workspaces"] = workspacesJson();
    json["batches"] = batchesJson();
    json["wrong"] = m_wrongCount;
    json["wrong_examples"] = m_wrongExamples;
    return json;
}

Json LoadSummary::statisticsJson(const Statistics &statistics)
{
    Json refusals = Json::array();
    for (const auto &[code, states] : statistics.refusals) {
        for (const auto &[state, count] : states)
            refusals.push_back({{"code", code}, {"run", state}, {"count", count}});
    }
    return {{"outcomes", statistics.countsByType},
            {"refusals", refusals},
            {"tokens", statistics.tokens},
            {"resends", statistics.resends},
            {"ttft_ms", quantiles(statistics.timeToFirstTokenMs)},
            {"tbt_ms", quantiles(statistics.timeBetweenTokensMs)},
            {"whole_ms", quantiles(statistics.nonStreamedMs)},
            {"service_ms", quantiles(statistics.serviceMs)},
            {"start_lag_ms", quantiles(statistics.startLagMs)}};
}

Json LoadSummary::workspacesJson() const
{
    Json json = Json::object();
    for (const auto &[name, statistics] : m_workspaces)
        json[name] = statisticsJson(statistics);
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
