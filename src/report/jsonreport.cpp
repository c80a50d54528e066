#include "reportformats.h"

namespace rattanrill::report {
namespace {

std::string timeText(absl::Time time)
{
    return absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", time, absl::UTCTimeZone());
}

Json rowJson(const BurnRow &row)
{
    Json windows = Json::array();
    for (const WindowBurn &burn : row.windows)
        windows.push_back({{"window_s", absl::ToDoubleSeconds(burn.window)},
                           {"span_s", absl::ToDoubleSeconds(burn.span)},
                           {"total", burn.events.total},
                           {"bad", burn.events.bad},
                           {"burn_rate", burn.burnRate}});
    return {{"objective", name(row.objective)},
            {"workspace", row.workspace},
            {"model", row.model},
            {"alert", row.alert},
            {"windows", windows}};
}

Json rowsJson(const std::vector<BurnRow> &rows)
{
    Json json = Json::array();
    for (const BurnRow &row : rows)
        json.push_back(rowJson(row));
    return json;
}

Json trafficJson(const Traffic &traffic)
{
    return {{"requests_per_second", traffic.requestsPerSecond},
            {"tokens_per_second", traffic.tokensPerSecondByClass},
            {"batch_items", traffic.batchItemsByState},
            {"upstream_failures", traffic.upstreamFailures},
            {"leases_expired", traffic.leasesExpired}};
}

Json repairsJson(const RepairLog &log)
{
    Json counts = Json::object();
    for (const auto &[repair, count] : log.counts())
        counts[std::string(name(repair))] = count;
    Json events = Json::array();
    for (const RepairEvent &event : log.events())
        events.push_back({{"time", timeText(event.at)},
                          {"repair", name(event.repair)},
                          {"instance", event.instance},
                          {"detail", event.detail}});
    return {{"counts", counts},
            {"events", events},
            {"lines", log.lines()},
            {"unreadable_lines", log.unreadableLines()}};
}

Json objectivesJson(const Objectives &objectives)
{
    return {{"ttft", {{"seconds", objectives.ttftSeconds}, {"target", objectives.ttftTarget}}},
            {"tbt", {{"seconds", objectives.tbtSeconds}, {"target", objectives.tbtTarget}}},
            {"servedInsideRate", {{"target", objectives.servedInsideRateTarget}}},
            {"batchOnTime", {{"target", objectives.batchOnTimeTarget}}}};
}

} // namespace

Json jsonReport(const Report &report)
{
    return {{"from", timeText(report.burn.from)},
            {"to", timeText(report.burn.to)},
            {"objectives", objectivesJson(report.objectives)},
            {"worst_workspace", report.burn.worstWorkspace},
            {"rows", rowsJson(report.burn.rows)},
            {"fleet", rowsJson(report.burn.fleet)},
            {"traffic", trafficJson(report.burn.traffic)},
            {"repairs", repairsJson(report.repairs)}};
}

} // namespace rattanrill::report
