#include "reportformats.h"

#include "rattanrill/settings/settingsfile.h"
#include "snapshotsource.h"
#include "svgplot.h"

#include <boost/test/unit_test.hpp>

using namespace rattanrill;
using namespace rattanrill::report;

namespace {

const std::string logText =
        R"({"time":"2026-03-01T10:00:00.000Z","event":"leader-changed","instance":"c1","group":"directory","term":4,"leader":"c2"}
{"time":"2026-03-01T10:00:00.100Z","event":"raft-role","instance":"c2","group":"directory","term":4,"leader":"c2"}
{"time":"2026-03-01T10:00:01.000Z","event":"raft-role","instance":"c3","group":"directory","term":5,"leader":""}
{"time":"2026-03-01T10:00:02.000Z","event":"leader-changed","instance":"c1","group":"partition-1","term":4,"leader":"c1"}
{"time":"2026-03-01T10:00:03.000Z","event":"batch-items-lost","instance":"e1","items":12}
{"time":"2026-03-01T10:00:03.000Z","event":"batch-items-lost","instance":"e1","items":3}
{"time":"2026-03-01T10:00:04.000Z","event":"member-joined","instance":"c1","member":"e<9>","incarnation":"7"}
{"time":"2026-03-01T10:00:05.000Z","event":"started","instance":"e1"}
not json
)";

std::vector<MetricsPage> pages()
{
    return {{absl::FromUnixSeconds(100), "e1", ""},
            {absl::FromUnixSeconds(400), "e1",
             "rattanrill_requests_total{workspace=\"<b>\",code=\"ok\"} 10\n"
             "rattanrill_refused_total{workspace=\"<b>\",code=\"overloaded\","
             "inside_rate=\"true\"} 5\n"}};
}

Report makeReport()
{
    Report report;
    report.objectives = objectivesOf(Json::object());
    const auto snapshots = outcomeOf([] { return snapshotsOf(pages()); });
    report.burn = makeBurnReport(FleetHistory(snapshots.value()), report.objectives);
    report.repairs.read(logText);
    return report;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ReportFormatsTest)

// Guards against an election counted once for each replica that logged it.
BOOST_AUTO_TEST_CASE(repairsCountEachEventOnce)
{
    RepairLog log;
    log.read(logText);
    BOOST_TEST(log.counts().at(Repair::Election) == 2);
    BOOST_TEST(log.counts().at(Repair::LeaseExpired) == 15);
    BOOST_TEST(log.counts().at(Repair::MemberReplaced) == 1);
    BOOST_TEST(log.unreadableLines() == 1);
    BOOST_TEST(log.lines() == 9);
}

// Guards against a JSON report that lacks the rows or repairs that scripts read.
BOOST_AUTO_TEST_CASE(jsonHasRowsAndRepairs)
{
    const Json json = jsonReport(makeReport());
    BOOST_TEST(json.at("worst_workspace") == "<b>");
    BOOST_TEST(json.at("rows")[0].at("objective") == "served_inside_rate");
    BOOST_TEST(json.at("rows")[0].at("alert") == true);
    BOOST_TEST(json.at("repairs").at("counts").at("elections") == 2);
}

// Guards against a text report that does not show an alert, or does not state that the snapshots
// cover less time than the longest window.
BOOST_AUTO_TEST_CASE(textNamesWorkspaceAlertAndShortCoverage)
{
    const std::string text = textReport(makeReport());
    for (const char *part : {"<b>", "ALERT", "reach back 5m", "elections: 2"})
        BOOST_TEST(contains(text, part), text);
}

// Guards against names that callers choose being interpreted as markup, and against references to
// external files, which a page that is opened without network access cannot load.
BOOST_AUTO_TEST_CASE(htmlEscapesNamesAndHasNoExternalReferences)
{
    const std::string html = htmlReport(makeReport());
    BOOST_TEST(!contains(html, "<b>"));
    BOOST_TEST(!contains(html, "e<9>"));
    BOOST_TEST(contains(html, "&lt;b&gt;"));
    BOOST_TEST(contains(html, "<svg"));
    BOOST_TEST(!contains(html, "src="));
    BOOST_TEST(!contains(html, "href="));
}

// Guards against invalid SVG: without points, or with one point, the range of an axis is empty and
// scaling divides by 0.
BOOST_AUTO_TEST_CASE(plotsOfFewPointsHaveFiniteNumbers)
{
    for (const std::string &svg : {linePlot({}, 1, "a", "b"), linePlot({{5, 0}}, 1, "a", "b"),
                                   barPlot({}, 1), barPlot({{"x", 0, false}}, 1)}) {
        BOOST_TEST(!contains(svg, "nan"));
        BOOST_TEST(!contains(svg, "inf"));
    }
}

// Guards against mistakes in an objectives file that are ignored, and against lost defaults when
// the file sets only some members.
BOOST_AUTO_TEST_CASE(objectivesAreCheckedAndOverrideDefaults)
{
    const auto load = [](std::string_view text) {
        return outcomeOf([&]() -> Result<Objectives> {
            BOOST_LEAF_AUTO(json, parseSettings(text, "objectives.json", objectivesSchema()));
            return objectivesOf(json);
        });
    };
    BOOST_TEST(load(R"({"ttft":{"seconds":0.3}})").value().ttftSeconds == 0.3);
    BOOST_TEST(load(R"({"ttft":{"seconds":0.3}})").value().ttftTarget == 0.95);
    BOOST_TEST(load("{}").value().windows.size() == 3u);
    BOOST_TEST(!load(R"({"ttft":{"target":1}})").ok());
    BOOST_TEST(!load(R"({"tbtt":{}})").ok());
}

// Guards against a report made from missing or undated snapshots.
BOOST_AUTO_TEST_CASE(invalidSnapshotOptionsAreRejected)
{
    for (const char *option : {"no-separator", "yesterday=x.prom", "100=/does/not/exist.prom"})
        BOOST_TEST(!outcomeOf([&] { return readSnapshotOption(option); }).ok());
    BOOST_TEST(!outcomeOf([] { return snapshotsOf({}); }).ok());
}

BOOST_AUTO_TEST_SUITE_END()
