#include "rattanrill/policy/loadestimate.h"
#include "rattanrill/policy/slotscheduler.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <limits>
#include <map>
#include <set>
#include <string>

using namespace rattanrill::policy;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
constexpr absl::Duration holdTime = absl::Milliseconds(700);

SlotScheduler makeScheduler(std::uint64_t seed, int upstreams, std::int64_t slots,
                            bool sharesUpstreams = false)
{
    SlotSchedulerSettings settings;
    settings.sharesUpstreams = sharesUpstreams;
    settings.turnSeed = seed;
    SlotScheduler scheduler(settings);
    std::vector<SlotUpstream> list;
    for (int i = 0; i < upstreams; ++i) {
        const std::string id = std::string(1, static_cast<char>('a' + i));
        list.push_back({id, "llm", id + ":1", "d", slots});
    }
    scheduler.setUpstreams(list);
    return scheduler;
}

void request(SlotScheduler &scheduler, const std::string &id, absl::Duration wait)
{
    SlotTask task;
    task.id = id;
    task.service = "llm";
    task.workspace = "w";
    task.failureDomain = "d";
    task.deadline = start + wait;
    scheduler.request(start, task);
}

void reportLoads(SlotScheduler &scheduler, absl::Time at, const std::vector<std::int64_t> &loads)
{
    for (std::size_t i = 0; i < loads.size(); ++i)
        scheduler.loadReported(at, std::string(1, static_cast<char>('a' + i)), loads[i]);
}

/// Returns the upstream that the task is granted; empty when it gets none.
std::string grant(SlotScheduler &scheduler, const std::string &id)
{
    request(scheduler, id, absl::Seconds(1));
    for (const SlotDecision &decision : scheduler.decide(start)) {
        if (const auto *granted = std::get_if<GrantSlot>(&decision))
            return granted->upstream;
    }
    return {};
}

} // namespace

BOOST_AUTO_TEST_SUITE(LoadEstimateTest)

// Guards against an upstream that is avoided for good because it was slow once, and against a
// choice that follows each of the many changes of the figure.
BOOST_AUTO_TEST_CASE(paceIsSmoothedAndDecays)
{
    LoadEstimate load;
    BOOST_TEST(load.pace(start) == 1);
    load.paceReported(start, 3);
    BOOST_TEST(load.pace(start) == 3);
    load.paceReported(start + absl::Milliseconds(10), 1);
    BOOST_TEST(load.pace(start + absl::Milliseconds(10)) > 2);
    BOOST_TEST(load.pace(start + absl::Seconds(1)) < 2);
    BOOST_TEST(std::abs(load.pace(start + absl::Seconds(20)) - 1) < 0.001);
}

// Guards against a wrong figure of one upstream or process that changes the choice.
BOOST_AUTO_TEST_CASE(implausiblePaceChangesNothing)
{
    LoadEstimate load;
    load.paceReported(start, 2);
    for (const double pace : {-1.0, 0.0, 1e300, std::numeric_limits<double>::infinity(),
                              std::numeric_limits<double>::quiet_NaN()})
        load.paceReported(start, pace);
    BOOST_TEST(load.pace(start) == 2);
}

// Guards against old reports that count like new ones, and against one process that fills an
// upstream before it has reported again.
BOOST_AUTO_TEST_CASE(reportLosesWeightWithItsAge)
{
    LoadEstimate busy;
    LoadEstimate idle;
    busy.loadReported(start, 9, 1);
    idle.loadReported(start, 0, 0);
    BOOST_TEST(busy.remainingRequests(start, holdTime) == 8);
    BOOST_TEST(expectedArrivals({&busy, &idle}, start, holdTime) == 0);
    const absl::Time later = start + absl::Seconds(5);
    BOOST_TEST(busy.remainingRequests(later, holdTime) < 0.1);
    BOOST_TEST(expectedArrivals({&busy, &idle}, later, holdTime) > 7.9);
    busy.granted(1);
    BOOST_TEST(!busy.hasSentEnough(start));
    busy.granted(2);
    BOOST_TEST(busy.hasSentEnough(start));
    BOOST_TEST(!busy.hasSentEnough(later));
}

// Guards against all processes that choose the upstream with the least reported load, although the
// arrivals since its report exceed the difference.
BOOST_AUTO_TEST_CASE(arrivalsAreSharedUntilCostsAreEqual)
{
    std::vector<LoadCandidate> candidates(3);
    candidates[1].requests = 2;
    candidates[2].requests = 50;
    BOOST_TEST(chooseCandidate(candidates, 0, 0.99) == 0u);
    // Six requests would make the first two equal at 4: four for the first one, two for the second.
    // Arrivals count one and a half times.
    std::map<std::size_t, int> chosen;
    for (int i = 0; i < 6; ++i)
        ++chosen[chooseCandidate(candidates, 5 / 1.5, (i + 0.5) / 6)];
    BOOST_TEST(chosen[0] == 4);
    BOOST_TEST(chosen[1] == 2);
    candidates[0].hasSentEnough = true;
    BOOST_TEST(chooseCandidate(candidates, 0, 0) == 1u);
}

// Guards against a slow upstream that gets as many requests as a fast one.
BOOST_AUTO_TEST_CASE(slowUpstreamGetsFewerTasks)
{
    SlotScheduler scheduler = makeScheduler(0, 2, 8);
    scheduler.paceReported(start, "a", 3);
    std::map<std::string, int> granted;
    for (int i = 0; i < 8; ++i)
        ++granted[grant(scheduler, std::to_string(i))];
    BOOST_TEST(granted["a"] == 2);
    BOOST_TEST(granted["b"] == 6);
}

// Guards against requests that wait for slots which a slow upstream frees only after their
// deadline, and against ones that are refused although no pace is reported.
BOOST_AUTO_TEST_CASE(slowUpstreamFreesItsSlotsLessOften)
{
    for (const bool isSlow : {false, true}) {
        SlotScheduler scheduler = makeScheduler(0, 1, 4);
        for (int i = 0; i < 4; ++i)
            BOOST_TEST(grant(scheduler, std::to_string(i)) == "a");
        if (isSlow)
            scheduler.paceReported(start, "a", 2);
        request(scheduler, "waits", absl::Milliseconds(200));
        BOOST_TEST(scheduler.decide(start).empty() == !isSlow);
    }
}

// Guards against one of several equal upstreams that gets each request of a light load.
BOOST_AUTO_TEST_CASE(equalUpstreamsTakeTurns)
{
    SlotScheduler scheduler = makeScheduler(7, 6, 8);
    std::map<std::string, int> granted;
    for (int i = 0; i < 18; ++i) {
        const std::string id = std::to_string(i);
        ++granted[grant(scheduler, id)];
        scheduler.release(start, id, ReleaseReason::Completed);
    }
    BOOST_TEST(granted.size() == 6u);
    for (const auto &[upstream, count] : granted)
        BOOST_TEST(count == 3);
}

// Load pattern: all entries lose the broker at the same moment. Guards against local shares that
// all send their first request to the same upstream.
BOOST_AUTO_TEST_CASE(processesBeginAtDifferentUpstreams)
{
    std::set<std::string> first;
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        SlotScheduler scheduler = makeScheduler(seed, 6, 8);
        first.insert(grant(scheduler, "1"));
    }
    BOOST_TEST(first.size() >= 4u);
}

// Load pattern: many local shares decide by the same reports. Guards against an upstream that gets
// the requests of all because an old report shows the least load, and against an advantage that is
// ignored although the report is fresh.
BOOST_AUTO_TEST_CASE(localSharesFollowFreshReportsOnly)
{
    constexpr int processes = 6000;
    for (const bool isFresh : {true, false}) {
        std::map<std::string, int> chosen;
        for (std::uint64_t seed = 1; seed <= processes; ++seed) {
            SlotScheduler scheduler = makeScheduler(seed, 4, 16, true);
            reportLoads(scheduler, isFresh ? start : start - absl::Milliseconds(900), {3, 5, 5, 5});
            ++chosen[grant(scheduler, "1")];
        }
        BOOST_TEST((chosen["a"] == processes) == isFresh);
        BOOST_TEST(chosen["a"] > processes / 4);
    }
}

// Guards against one process that fills an upstream of which it has only one report.
BOOST_AUTO_TEST_CASE(localShareSendsFewRequestsBetweenReports)
{
    SlotScheduler scheduler = makeScheduler(1, 2, 16, true);
    reportLoads(scheduler, start, {0, 10});
    std::map<std::string, int> chosen;
    for (int i = 0; i < 4; ++i)
        ++chosen[grant(scheduler, std::to_string(i))];
    BOOST_TEST(chosen["a"] == 2);
    BOOST_TEST(chosen["b"] == 2);
    reportLoads(scheduler, start, {2, 12});
    BOOST_TEST(grant(scheduler, "next") == "a");
}

// Load pattern: a failure domain is evacuated, and its upstreams report nothing any more. Guards
// against a local share that ignores the reported loads of the others, because requests are
// expected to have arrived at those that are leaving.
BOOST_AUTO_TEST_CASE(leavingUpstreamsDoNotHideTheReportedLoads)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        SlotSchedulerSettings settings;
        settings.sharesUpstreams = true;
        settings.turnSeed = seed;
        SlotScheduler scheduler(settings);
        scheduler.setUpstreams({{"a", "llm", "a:1", "d", 8},
                                {"b", "llm", "b:1", "d", 8},
                                {"c", "llm", "c:1", "d", 8, true},
                                {"d", "llm", "d:1", "d", 8, true}});
        reportLoads(scheduler, start, {0, 4});
        BOOST_TEST(grant(scheduler, "1") == "a");
    }
}

BOOST_AUTO_TEST_SUITE_END()
