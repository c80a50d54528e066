#include "burn.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/metrics.h"

#include <boost/test/unit_test.hpp>

using namespace rattanrill;
using namespace rattanrill::report;

namespace tt = boost::test_tools;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000000);

std::vector<Sample> parseSamples(const std::string &text)
{
    const auto samples = outcomeOf([&] { return parseExposition(text, "entry-1"); });
    BOOST_TEST_REQUIRE(samples.ok(), describe(samples.ok() ? Failure() : samples.failure()));
    return samples.value();
}

Snapshot snapshot(absl::Duration after, std::map<std::string, std::string> pages)
{
    Snapshot snapshot;
    snapshot.at = start + after;
    for (const auto &[instance, text] : pages)
        snapshot.instances[instance] = parseSamples(text);
    return snapshot;
}

std::string counter(const std::string &workspace, int value)
{
    return concat("rattanrill_requests_total{workspace=\"", workspace, "\",code=\"ok\"} ", value,
                  "\n");
}

double requests(const FleetHistory &history, std::size_t from, std::size_t to)
{
    return history.increase("rattanrill_requests_total", {}, from, to);
}

const BurnRow &rowOf(const std::vector<BurnRow> &rows, Objective objective,
                     const std::string &workspace)
{
    for (const BurnRow &row : rows) {
        if (row.objective == objective && row.workspace == workspace)
            return row;
    }
    BOOST_FAIL("no row of " + workspace);
    return rows.front();
}

Objectives oneWindow()
{
    Objectives objectives = objectivesOf(Json::object());
    objectives.windows = {{absl::Minutes(5), absl::Hours(1), 2}};
    return objectives;
}

/// Metrics page of an entry instance that served 100 requests of each workspace. \a slow holds the
/// number of slow requests by workspace.
std::string latencies(const std::map<std::string, int> &slow)
{
    Metrics metrics;
    for (const auto &[workspace, count] : slow) {
        const MetricLabels labels = {{"workspace", workspace}, {"model", "m"}};
        for (int i = 0; i < 100; ++i)
            metrics.observe("rattanrill_ttft_seconds", labels, i < count ? 2.0 : 0.1);
    }
    return metrics.exposition();
}

} // namespace

BOOST_AUTO_TEST_SUITE(ExpositionTest)

// Guards against misread samples when a quoted label value holds "}", "," or escaped characters, or
// when a timestamp follows the value.
BOOST_AUTO_TEST_CASE(labelsWithReservedCharactersAreRead)
{
    const auto samples =
            parseSamples("# TYPE a counter\na{k=\"x,}\\\"y\\n\",l=\"2\"} 1.5e3 170\nb 2\n");
    BOOST_TEST_REQUIRE(samples.size() == 2u);
    BOOST_TEST(samples[0].labels.at("k") == "x,}\"y\n");
    BOOST_TEST(samples[0].labels.at("l") == "2");
    BOOST_TEST(samples[0].value == 1500);
    BOOST_TEST(samples[1].name == "b");
}

// Guards against malformed metrics that are silently skipped, or reported without source and line.
BOOST_AUTO_TEST_CASE(malformedLineIsReportedWithSourceAndLine)
{
    for (const char *text : {"a 1\nb{x=1} 2\n", "a 1\nb{x=\"1\" 2\n", "a 1\nb two\n"}) {
        const auto samples = outcomeOf([&] { return parseExposition(text, "entry-1"); });
        BOOST_TEST_REQUIRE(!samples.ok());
        BOOST_TEST(samples.failure().detail.find("entry-1 line 2") != std::string::npos);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(FleetHistoryTest)

// Guards against negative or lost counts: the counters of an instance restart at 0, and instances
// appear and disappear between snapshots.
BOOST_AUTO_TEST_CASE(increaseIsCorrectAcrossRestartsAndFleetChanges)
{
    const FleetHistory history({
            snapshot(absl::ZeroDuration(), {{"e1", counter("a", 100)}, {"e2", counter("a", 50)}}),
            snapshot(absl::Minutes(1), {{"e1", counter("a", 110)}, {"e2", counter("a", 5)}}),
            snapshot(absl::Minutes(2), {{"e1", counter("a", 120)}, {"e3", counter("a", 7)}}),
            snapshot(absl::Minutes(3), {{"e1", counter("a", 120)}, {"e2", counter("a", 9)}}),
    });
    BOOST_TEST(requests(history, 0, 1) == 15);
    BOOST_TEST(requests(history, 1, 2) == 17);
    BOOST_TEST(requests(history, 2, 3) == 4);
    BOOST_TEST(requests(history, 0, 3) == 36);
}

// Guards against a burn rate over too short or too long a time when no snapshot lies exactly at the
// start of the window.
BOOST_AUTO_TEST_CASE(windowStartsAtTheNewestSnapshotThatCoversIt)
{
    const FleetHistory history({snapshot(absl::ZeroDuration(), {}), snapshot(absl::Minutes(50), {}),
                                snapshot(absl::Minutes(58), {}), snapshot(absl::Hours(1), {})});
    BOOST_TEST(history.windowStart(absl::Minutes(5)) == 1u);
    BOOST_TEST(history.windowStart(absl::Hours(1)) == 0u);
    BOOST_TEST(history.windowStart(absl::Hours(6)) == 0u);
}

// Guards against an empty report when there is only one snapshot, and thus nothing to compare with.
BOOST_AUTO_TEST_CASE(singleSnapshotCountsSinceTheStart)
{
    const FleetHistory history(
            {snapshot(absl::ZeroDuration(), {{"e1", counter("a", 3)}, {"e2", counter("a", 4)}})});
    BOOST_TEST(requests(history, 0, history.lastIndex()) == 7);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(BurnTest)

// Guards against a burn rate in the wrong unit: with an error budget of 5%, 20% bad events are a
// burn rate of 4.
BOOST_AUTO_TEST_CASE(burnRateIsBadFractionDividedByBudget)
{
    const FleetHistory history({snapshot(absl::ZeroDuration(), {{"e1", ""}}),
                                snapshot(absl::Hours(1), {{"e1", latencies({{"a", 20}})}})});
    const BurnReport report = makeBurnReport(history, oneWindow());
    const BurnRow &row = rowOf(report.rows, Objective::TimeToFirstToken, "a");
    BOOST_TEST(row.model == "m");
    BOOST_TEST(row.windows.back().events.total == 100);
    BOOST_TEST(row.windows.back().events.bad == 20, tt::tolerance(1e-9));
    BOOST_TEST(row.windows.back().burnRate == 4, tt::tolerance(1e-9));
    BOOST_TEST(row.alert);
}

// Guards against an alert for a burn that has ended: the long window still exceeds the alert rate,
// but the short one does not.
BOOST_AUTO_TEST_CASE(noAlertAfterBurnHasEnded)
{
    const std::string page = latencies({{"a", 20}});
    const FleetHistory history({snapshot(absl::ZeroDuration(), {{"e1", ""}}),
                                snapshot(absl::Minutes(30), {{"e1", page}}),
                                snapshot(absl::Hours(1), {{"e1", page}})});
    const BurnReport report = makeBurnReport(history, oneWindow());
    const BurnRow &row = rowOf(report.rows, Objective::TimeToFirstToken, "a");
    BOOST_TEST(row.windows.back().burnRate == 4, tt::tolerance(1e-9));
    BOOST_TEST(row.windows.front().burnRate == 0);
    BOOST_TEST(!row.alert);
}

// Guards against a report that does not list the worst-served workspace first.
BOOST_AUTO_TEST_CASE(worstServedWorkspaceComesFirst)
{
    const std::string page = latencies({{"a", 1}, {"b", 30}, {"c", 5}});
    const FleetHistory history({snapshot(absl::ZeroDuration(), {{"e1", ""}, {"e2", ""}}),
                                snapshot(absl::Hours(1), {{"e1", page}, {"e2", page}})});
    const BurnReport report = makeBurnReport(history, oneWindow());
    BOOST_TEST(report.worstWorkspace == "b");
    BOOST_TEST_REQUIRE(report.rows.size() == 3u);
    BOOST_TEST(report.rows[0].workspace == "b");
    BOOST_TEST(report.rows[1].workspace == "c");
    BOOST_TEST(report.rows[2].workspace == "a");
    BOOST_TEST(report.rows[0].windows.back().events.total == 200);
}

// Guards against wrong totals: refusals above the contract's rate are not bad events, and batch
// items that have not ended are no events.
BOOST_AUTO_TEST_CASE(refusalAndBatchObjectivesUseTheirOwnTotals)
{
    const std::string page =
            counter("a", 1000)
            + "rattanrill_refused_total{workspace=\"a\",code=\"overloaded\","
              "inside_rate=\"true\"} 4\n"
              "rattanrill_refused_total{workspace=\"a\",code=\"rate_limited\","
              "inside_rate=\"false\"} 500\n"
              "rattanrill_batch_items_total{workspace=\"a\",state=\"completed\"} 90\n"
              "rattanrill_batch_items_total{workspace=\"a\",state=\"failed\"} 10\n"
              "rattanrill_batch_items_total{workspace=\"a\",state=\"accepted\"} 900\n"
              "rattanrill_batch_past_due_total{workspace=\"a\"} 1\n";
    const FleetHistory history({snapshot(absl::ZeroDuration(), {{"e1", ""}}),
                                snapshot(absl::Hours(1), {{"e1", page}})});
    const BurnReport report = makeBurnReport(history, oneWindow());
    const BurnRow &refused = rowOf(report.rows, Objective::ServedInsideRate, "a");
    BOOST_TEST(refused.windows.back().burnRate == 4, tt::tolerance(1e-9));
    const BurnRow &batch = rowOf(report.rows, Objective::BatchOnTime, "a");
    BOOST_TEST(batch.windows.back().burnRate == 10, tt::tolerance(1e-9));
}

BOOST_AUTO_TEST_SUITE_END()
