#include "rattanrill/base/concat.h"
#include "reportformats.h"

#include <algorithm>

namespace rattanrill::report {
namespace {

// Column widths in characters.
constexpr std::size_t wideColumn = 22;
constexpr std::size_t narrowColumn = 12;
constexpr std::size_t maxPrintedEvents = 20;

std::string padded(std::string text, std::size_t width)
{
    text.resize(std::max(width, text.size() + 1), ' ');
    return text;
}

std::string timeText(absl::Time time)
{
    return absl::FormatTime("%Y-%m-%d %H:%M:%S UTC", time, absl::UTCTimeZone());
}

std::string headerLine(const std::vector<BurnRow> &rows)
{
    std::string line = padded("workspace", wideColumn) + padded("model", wideColumn)
                       + padded("objective", wideColumn);
    if (!rows.empty()) {
        for (const WindowBurn &burn : rows.front().windows)
            line += padded(absl::FormatDuration(burn.window), narrowColumn);
    }
    return line + "alert\n";
}

std::string rowLine(const BurnRow &row)
{
    std::string line = padded(row.workspace.empty() ? "(all)" : row.workspace, wideColumn)
                       + padded(row.model.empty() ? "-" : row.model, wideColumn)
                       + padded(std::string(name(row.objective)), wideColumn);
    for (const WindowBurn &burn : row.windows)
        line += padded(burn.events.total > 0 || burn.events.bad > 0 ? formatNumber(burn.burnRate)
                                                                    : "-",
                       narrowColumn);
    return line + (row.alert ? "ALERT\n" : "\n");
}

std::string coverageNote(const BurnReport &burn)
{
    const absl::Duration span = burn.to - burn.from;
    const auto &windows = burn.fleet.front().windows;
    if (windows.back().window <= span)
        return {};
    return concat("Snapshots reach back ", absl::FormatDuration(span),
                  "; burn rates of longer windows are computed over that span.\n");
}

template <typename Map>
std::string lines(std::string_view title, const Map &values)
{
    std::string text;
    for (const auto &[key, value] : values)
        text += concat("  ", title, " ", key.empty() ? std::string("-") : key, ": ", value, "\n");
    return text;
}

std::string trafficText(const Traffic &traffic)
{
    return concat("Traffic\n  requests per second: ", traffic.requestsPerSecond, "\n",
                  lines("tokens per second,", traffic.tokensPerSecondByClass),
                  lines("batch items,", traffic.batchItemsByState),
                  lines("upstream failures,", traffic.upstreamFailures),
                  "  leases expired: ", traffic.leasesExpired, "\n");
}

std::string repairText(const RepairLog &log)
{
    std::string text = concat("Repairs (", log.lines(), " log lines, ", log.unreadableLines(),
                              " unreadable)\n");
    for (const auto &[repair, count] : log.counts())
        text += concat("  ", name(repair), ": ", count, "\n");
    const std::vector<RepairEvent> events = log.events();
    const std::size_t first =
            events.size() > maxPrintedEvents ? events.size() - maxPrintedEvents : 0;
    for (std::size_t i = first; i < events.size(); ++i)
        text += concat("  ", timeText(events[i].at), " ", events[i].instance, " ", events[i].detail,
                       "\n");
    return text;
}

} // namespace

std::string textReport(const Report &report)
{
    const BurnReport &burn = report.burn;
    std::string text =
            concat("Service-level burn, ", timeText(burn.from), " to ", timeText(burn.to), "\n",
                   coverageNote(burn),
                   "A burn rate of 1 consumes the error budget exactly within its period.\n\n",
                   headerLine(burn.fleet));
    for (const BurnRow &row : burn.rows)
        text += rowLine(row);
    for (const BurnRow &row : burn.fleet)
        text += rowLine(row);
    return concat(text, "\n", trafficText(burn.traffic), "\n", repairText(report.repairs));
}

} // namespace rattanrill::report
