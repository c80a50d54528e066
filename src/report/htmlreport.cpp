#include "rattanrill/base/concat.h"
#include "reportformats.h"
#include "svgplot.h"

#include <algorithm>

namespace rattanrill::report {
namespace {

constexpr std::size_t maxBars = 40;

constexpr std::string_view style = R"(<style>
body { font: 14px sans-serif; margin: 24px; max-width: 1100px; color: #222; }
table { border-collapse: collapse; margin: 8px 0 24px; }
th, td { border: 1px solid #ccc; padding: 3px 8px; text-align: left; }
td.number { text-align: right; font-variant-numeric: tabular-nums; }
tr.alert td { background: #fbe3e0; }
svg text { font: 11px sans-serif; fill: #444; }
svg .axis { stroke: #999; }
svg .limit { stroke: #b3261e; stroke-dasharray: 4 3; }
svg .course { fill: none; stroke: #1f5f8b; stroke-width: 1.5; }
svg .bar { fill: #7fa8c4; }
svg .alert { fill: #c8553d; }
</style>
)";

std::string timeText(absl::Time time)
{
    return absl::FormatTime("%Y-%m-%d %H:%M:%S UTC", time, absl::UTCTimeZone());
}

std::string cell(const std::string &text)
{
    return concat("<td>", escapeHtml(text), "</td>");
}

std::string numberCell(double value)
{
    return concat("<td class=\"number\">", value, "</td>");
}

std::string headRow(const BurnReport &burn)
{
    std::string row = "<tr><th>workspace</th><th>model</th><th>objective</th>";
    for (const WindowBurn &window : burn.fleet.front().windows)
        row += concat("<th>burn in ", absl::FormatDuration(window.window), "</th>");
    return row + "<th>events in the longest window</th><th>alert</th></tr>\n";
}

std::string burnRow(const BurnRow &row)
{
    std::string text = row.alert ? "<tr class=\"alert\">" : "<tr>";
    text += cell(row.workspace.empty() ? "(all)" : row.workspace) + cell(row.model)
            + cell(std::string(name(row.objective)));
    for (const WindowBurn &window : row.windows)
        text += numberCell(window.burnRate);
    const EventCounts &events = row.windows.back().events;
    text += cell(concat(events.bad, " bad of ", events.total));
    return text + cell(row.alert ? "alert" : "") + "</tr>\n";
}

std::string burnTable(const BurnReport &burn)
{
    std::string table = "<table>\n" + headRow(burn);
    for (const BurnRow &row : burn.rows)
        table += burnRow(row);
    for (const BurnRow &row : burn.fleet)
        table += burnRow(row);
    return table + "</table>\n";
}

std::string burnBars(const BurnReport &burn)
{
    std::vector<Bar> bars;
    for (const BurnRow &row : burn.rows) {
        if (bars.size() == maxBars)
            break;
        const std::string model = row.model.empty() ? "" : " " + row.model;
        bars.push_back({concat(row.workspace, model, " ", name(row.objective)), maxBurnRate(row),
                        row.alert});
    }
    return barPlot(bars, 1);
}

std::string burnOverTimePlots(const BurnReport &burn)
{
    std::string plots;
    for (const auto &[objective, points] : burn.burnOverTime) {
        std::vector<PlotPoint> line;
        line.reserve(points.size());
        for (const BurnPoint &point : points)
            line.push_back({absl::ToDoubleSeconds(point.at - burn.from), point.burnRate});
        plots += concat("<h3>", name(objective), "</h3>\n",
                        linePlot(line, 1, timeText(burn.from), timeText(burn.to)));
    }
    return plots;
}

std::string valueRow(const std::string &key, double value)
{
    return concat("<tr>", cell(key), numberCell(value), "</tr>\n");
}

template <typename Map>
std::string valueRows(const std::string &title, const Map &values)
{
    std::string rows;
    for (const auto &[key, value] : values)
        rows += valueRow(concat(title, " ", key), value);
    return rows;
}

std::string trafficTable(const Traffic &traffic)
{
    return concat("<table>\n", valueRow("requests per second", traffic.requestsPerSecond),
                  valueRows("tokens per second,", traffic.tokensPerSecondByClass),
                  valueRows("batch items,", traffic.batchItemsByState),
                  valueRows("upstream failures,", traffic.upstreamFailures),
                  valueRow("leases expired", traffic.leasesExpired), "</table>\n");
}

std::string repairTables(const RepairLog &log)
{
    std::string text = "<table>\n";
    for (const auto &[repair, count] : log.counts())
        text += valueRow(std::string(name(repair)), static_cast<double>(count));
    text += "</table>\n<table>\n<tr><th>time</th><th>instance</th><th>event</th></tr>\n";
    for (const RepairEvent &event : log.events())
        text += concat("<tr>", cell(timeText(event.at)), cell(event.instance), cell(event.detail),
                       "</tr>\n");
    return text + "</table>\n";
}

} // namespace

std::string htmlReport(const Report &report)
{
    const BurnReport &burn = report.burn;
    return concat("<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\n",
                  "<title>Service-level burn</title>\n", style, "</head><body>\n",
                  "<h1>Service-level burn</h1>\n<p>", timeText(burn.from), " to ",
                  timeText(burn.to),
                  ". A burn rate of 1 consumes the error budget exactly within its period. ",
                  "Worst-served workspace: ", escapeHtml(burn.worstWorkspace), ".</p>\n",
                  "<h2>Worst burn by workspace</h2>\n", burnBars(burn),
                  "<h2>Burn by workspace, model and objective</h2>\n", burnTable(burn),
                  "<h2>Burn rate over time, whole fleet</h2>\n", burnOverTimePlots(burn),
                  "<h2>Traffic</h2>\n", trafficTable(burn.traffic), "<h2>Repairs</h2>\n",
                  repairTables(report.repairs), "</body></html>\n");
}

} // namespace rattanrill::report
