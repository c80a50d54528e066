#include "rattanrill/policy/slotscheduler.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>

using namespace rattanrill::policy;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

SlotUpstream upstream(const std::string &id, std::int64_t slots)
{
    return {id, "llm", id + ":1", "d", slots, false};
}

SlotTask online(const std::string &id, absl::Time due, const std::string &workspace = "w")
{
    SlotTask task;
    task.id = id;
    task.service = "llm";
    task.workspace = workspace;
    task.deadline = due;
    return task;
}

SlotTask batch(const std::string &id, const std::string &workspace = "w")
{
    SlotTask task = online(id, absl::InfiniteFuture(), workspace);
    task.kind = TaskKind::Batch;
    return task;
}

/// Decisions by work.
struct Decided
{
    explicit Decided(const std::vector<SlotDecision> &decisions)
    {
        for (const SlotDecision &decision : decisions) {
            if (const auto *grant = std::get_if<GrantSlot>(&decision))
                granted[grant->task] = grant->upstream;
            if (const auto *refusal = std::get_if<RejectSlot>(&decision))
                refused[refusal->task] = refusal->retryAfter;
            if (const auto *yield = std::get_if<PreemptSlot>(&decision))
                yielded.push_back(yield->task);
        }
    }

    std::map<std::string, std::string> granted;
    std::map<std::string, absl::Duration> refused;
    std::vector<std::string> yielded;
};

struct Fixture
{
    Decided decide(absl::Time now = start) { return Decided(scheduler.decide(now)); }

    SlotScheduler scheduler{SlotSchedulerSettings()};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SlotSchedulerTest, Fixture)

BOOST_AUTO_TEST_CASE(leastLoadedUpstreamIsChosen)
{
    scheduler.setUpstreams({upstream("a", 2), upstream("b", 2)});
    std::multiset<std::string> used;
    for (int i = 0; i < 4; ++i) {
        scheduler.request(start, online(std::to_string(i), start + absl::Seconds(1)));
        for (const auto &[task, chosen] : decide().granted)
            used.insert(chosen);
    }
    BOOST_TEST(used.count("a") == 2u);
    BOOST_TEST(used.count("b") == 2u);
}

// Load pattern: a pulse of online requests meets places that batch work fills. Guards against
// online requests that wait behind batch work, and against batch work that loses its place shortly
// before its end.
BOOST_AUTO_TEST_CASE(batchYieldsToAPulseLeastServedFirst)
{
    scheduler.setUpstreams({upstream("a", 2)});
    scheduler.request(start, batch("old"));
    decide();
    scheduler.request(start + absl::Seconds(1), batch("young"));
    decide(start + absl::Seconds(1));
    const absl::Time pulse = start + absl::Seconds(2);
    scheduler.request(pulse, online("o", pulse + absl::Milliseconds(200)));
    const Decided decided = decide(pulse);
    BOOST_TEST(decided.granted.at("o") == "a");
    BOOST_TEST(decided.yielded == std::vector<std::string>{"young"},
               boost::test_tools::per_element());
}

// Guards against an interrupted item that counts as new when it goes on, and yields once more.
BOOST_AUTO_TEST_CASE(timeInFormerPlacesCountsWhenBatchYields)
{
    scheduler.setUpstreams({upstream("a", 2)});
    scheduler.request(start, batch("fresh"));
    decide();
    const absl::Time later = start + absl::Seconds(1);
    SlotTask resumed = batch("resumed");
    resumed.priorRunTime = absl::Seconds(3);
    scheduler.request(later, resumed);
    decide(later);
    scheduler.request(later, online("o", later + absl::Seconds(1)));
    BOOST_TEST(decide(later).yielded == std::vector<std::string>{"fresh"},
               boost::test_tools::per_element());
}

// Load pattern: pulse after pulse over a long batch queue. Replays places that are taken for half
// of the time, by items that need longer than the gap between two pulses. Guards against a queue
// that begins a new item in each gap and ends none.
BOOST_AUTO_TEST_CASE(interruptedItemsEndBeforeNewOnesBegin)
{
    constexpr int items = 12;
    constexpr absl::Duration need = absl::Seconds(4);
    constexpr absl::Duration gap = absl::Seconds(3);
    scheduler.setUpstreams({upstream("a", 2)});
    std::map<std::string, absl::Duration> served;
    std::set<std::string> running;
    int ended = 0;
    const auto request = [&](absl::Time now, const std::string &id) {
        SlotTask task = batch(id);
        task.deadline = start + absl::Minutes(10);
        task.priorRunTime = served[id];
        scheduler.request(now, task);
    };
    for (int i = 0; i < items; ++i)
        request(start, std::to_string(i));
    absl::Time now = start;
    for (int pulse = 0; pulse < 8; ++pulse) {
        for (const auto &[id, place] : decide(now).granted)
            running.insert(id);
        // Two more decisions in the gap, when an item ends in it.
        const absl::Time gapEnd = now + gap;
        std::map<std::string, absl::Time> since;
        for (const std::string &id : running)
            since[id] = now;
        while (!running.empty()) {
            const auto next = *std::min_element(
                    running.begin(), running.end(), [&](const auto &left, const auto &right) {
                        return since[left] - served[left] < since[right] - served[right];
                    });
            const absl::Time end = since[next] + (need - served[next]);
            if (end > gapEnd)
                break;
            scheduler.release(end, next, ReleaseReason::Completed);
            running.erase(next);
            ++ended;
            for (const auto &[id, place] : decide(end).granted) {
                running.insert(id);
                since[id] = end;
            }
        }
        now = gapEnd;
        for (const char *id : {"o1", "o2"})
            scheduler.request(now, online(id, now + absl::Seconds(1)));
        for (const std::string &id : decide(now).yielded) {
            running.erase(id);
            served[id] += now - since[id];
            request(now, id);
        }
        now += absl::Seconds(2);
        for (const char *id : {"o1", "o2"})
            scheduler.release(now, id, ReleaseReason::Completed);
    }
    // Two places for 24 s are 48 s, enough for all items of 4 s each.
    BOOST_TEST(ended == items);
}

// Load pattern: more batch work than can be done in time. Guards against a queue that makes every
// item late because it always serves the one that is late already.
BOOST_AUTO_TEST_CASE(lateItemsGoBehindThoseInTime)
{
    scheduler.setUpstreams({upstream("a", 1)});
    const auto due = [](const std::string &id, absl::Duration after) {
        SlotTask task = batch(id);
        task.deadline = start + after;
        return task;
    };
    scheduler.request(start, due("first", absl::Seconds(10)));
    decide();
    absl::Time now = start + absl::Seconds(4);
    scheduler.release(now, "first", ReleaseReason::Completed);
    // An item takes 4 s, so this one can't be done in time any more.
    scheduler.request(now, due("late", absl::Seconds(6)));
    scheduler.request(now, due("inTime", absl::Seconds(20)));
    BOOST_TEST(decide(now).granted.count("inTime") == 1u);
    now += absl::Seconds(4);
    scheduler.release(now, "inTime", ReleaseReason::Completed);
    BOOST_TEST(decide(now).granted.count("late") == 1u);
}

// Guards against late items that never run while others keep coming.
BOOST_AUTO_TEST_CASE(lateItemsGetSomePlaces)
{
    scheduler.setUpstreams({upstream("a", 1)});
    SlotTask late = batch("late");
    late.deadline = start - absl::Seconds(1);
    scheduler.request(start, late);
    bool isServed = false;
    for (int i = 0; i < 20 && !isServed; ++i) {
        scheduler.request(start, batch(std::to_string(i)));
        scheduler.request(start, batch(std::to_string(i) + "b"));
        for (const auto &[id, place] : decide().granted) {
            isServed = isServed || id == "late";
            scheduler.release(start, id, ReleaseReason::Cancelled);
        }
    }
    BOOST_TEST(isServed);
}

BOOST_AUTO_TEST_CASE(batchWaitsWhileOnlineWorkWaits)
{
    scheduler.setUpstreams({upstream("a", 1)});
    scheduler.request(start, online("first", start + absl::Seconds(5)));
    decide();
    scheduler.request(start, batch("b"));
    scheduler.request(start, online("second", start + absl::Seconds(5)));
    BOOST_TEST(decide().granted.empty());
    scheduler.release(start, "first", ReleaseReason::Completed);
    const Decided decided = decide();
    BOOST_TEST(decided.granted.count("second") == 1u);
    BOOST_TEST(decided.granted.count("b") == 0u);
}

// Load pattern: online load above all places. Guards against requests that are held until their
// deadline although it is known that they can't be served.
BOOST_AUTO_TEST_CASE(hopelessRequestIsRefusedAtOnce)
{
    scheduler.setUpstreams({upstream("a", 1)});
    scheduler.request(start, online("runs", start + absl::Milliseconds(200)));
    decide();
    // One place, held for 700 ms each: the second in line waits longer than 200 ms.
    scheduler.request(start, online("waits", start + absl::Milliseconds(200)));
    const Decided decided = decide();
    BOOST_TEST(decided.refused.count("waits") == 1u);
}

// Guards against refused callers that come back all at once into the same full places.
BOOST_AUTO_TEST_CASE(returnsAreSpread)
{
    scheduler.setUpstreams({upstream("a", 4)});
    for (int i = 0; i < 4; ++i)
        scheduler.request(start,
                          online("runs" + std::to_string(i), start + absl::Milliseconds(50)));
    decide();
    for (int i = 0; i < 6; ++i)
        scheduler.request(start,
                          online("late" + std::to_string(i), start + absl::Milliseconds(50)));
    std::set<absl::Duration> returns;
    for (const auto &[task, wait] : decide().refused)
        returns.insert(wait);
    BOOST_TEST(returns.size() == 6u);
    BOOST_TEST((*returns.begin() >= SlotSchedulerSettings().minRetryAfter));
}

BOOST_AUTO_TEST_CASE(returnStaysInsideTheCallersPatience)
{
    scheduler.setUpstreams({upstream("a", 1)});
    scheduler.request(start, online("runs", start));
    decide();
    for (int i = 0; i < 20; ++i) {
        SlotTask task = online(std::to_string(i), start);
        task.maxRetryAfter = absl::Seconds(1);
        scheduler.request(start, task);
    }
    for (const auto &[task, wait] : decide().refused)
        BOOST_TEST((wait <= absl::Seconds(1)));
}

BOOST_AUTO_TEST_CASE(waitingRequestIsRefusedWhenItsTimeIsOver)
{
    scheduler.setUpstreams({upstream("a", 8)});
    for (int i = 0; i < 8; ++i)
        scheduler.request(start, online(std::to_string(i), start + absl::Seconds(1)));
    decide();
    const absl::Time due = start + absl::Milliseconds(150);
    scheduler.request(start, online("w", due));
    BOOST_TEST(decide().refused.empty());
    BOOST_TEST((scheduler.nextDecision() == due));
    BOOST_TEST(decide(due).refused.count("w") == 1u);
}

// Load pattern: one workspace's surge. Guards against a small workspace that waits behind it.
BOOST_AUTO_TEST_CASE(workspaceWithLittleServiceGoesFirst)
{
    scheduler.setUpstreams({upstream("a", 1)});
    const absl::Time due = start + absl::Seconds(60);
    scheduler.request(start, online("runs", due, "large"));
    decide();
    for (int i = 0; i < 5; ++i)
        scheduler.request(start, online("large" + std::to_string(i), due, "large"));
    scheduler.request(start, online("small", due, "small"));
    decide();
    scheduler.release(start, "runs", ReleaseReason::Completed);
    const std::string next = decide().granted.begin()->first;
    scheduler.release(start, next, ReleaseReason::Completed);
    BOOST_TEST((next == "small" || decide().granted.count("small") == 1u));
}

// Guards against requests to an address at which another instance answers now: the empty upstream
// would be the first choice of every request.
BOOST_AUTO_TEST_CASE(goneUpstreamIsLeftAloneAtOnce)
{
    scheduler.setUpstreams({upstream("gone", 4), upstream("here", 4)});
    scheduler.request(start, online("1", start + absl::Seconds(1)));
    const std::string first = decide().granted.at("1");
    scheduler.release(start, "1", ReleaseReason::Unreachable);
    for (int i = 2; i < 6; ++i) {
        const std::string id = std::to_string(i);
        scheduler.request(start, online(id, start + absl::Seconds(1)));
        BOOST_TEST(decide().granted.at(id) != first);
    }
}

// Load pattern: a sender that is gone leaves requests behind which their upstreams still run.
BOOST_AUTO_TEST_CASE(placesShrinkByReportedForeignRequests)
{
    scheduler.setUpstreams({upstream("a", 4), upstream("b", 4)});
    scheduler.loadReported(start, "a", 4);
    scheduler.loadReported(start, "a", 3);
    for (int i = 0; i < 5; ++i)
        scheduler.request(start, online(std::to_string(i), start + absl::Seconds(60)));
    int onA = 0;
    for (const auto &[task, chosen] : decide().granted)
        onA += chosen == "a" ? 1 : 0;
    BOOST_TEST(onA == 1);
    // A report says nothing for long.
    scheduler.request(start, online("later", start + absl::Seconds(60)));
    BOOST_TEST(decide(start + absl::Seconds(2)).granted.at("later") == "a");
}

// Load pattern: the process that gave out places is lost, and what it sent still runs. Guards
// against upstreams that are filled a second time before they have told their load.
BOOST_AUTO_TEST_CASE(upstreamsAreProbedAfterATakeover)
{
    scheduler.setUpstreams({upstream("a", 8)});
    scheduler.beginTakeover(start);
    for (int i = 0; i < 10; ++i)
        scheduler.request(start, online(std::to_string(i), start + absl::Seconds(60)));
    BOOST_TEST(decide().granted.size() == 2u);
    // Both probes and four others.
    const absl::Time reported = start + absl::Milliseconds(50);
    scheduler.loadReported(reported, "a", 6);
    BOOST_TEST(decide(reported).granted.size() == 2u);
    // What was left behind has ended by then.
    BOOST_TEST(decide(start + absl::Seconds(2)).granted.size() == 4u);
}

// Load pattern: all processes start again at once, and the requests that were held meanwhile come
// together. Guards against refusals for want of places that are free and only not probed yet.
BOOST_AUTO_TEST_CASE(requestsWaitForProbes)
{
    scheduler.setUpstreams({upstream("a", 8)});
    scheduler.beginTakeover(start);
    for (int i = 0; i < 8; ++i)
        scheduler.request(start, online(std::to_string(i), start + absl::Milliseconds(200)));
    const Decided first = decide();
    BOOST_TEST(first.granted.size() == 2u);
    BOOST_TEST(first.refused.empty());
    const absl::Time reported = start + absl::Milliseconds(50);
    scheduler.loadReported(reported, "a", 2);
    BOOST_TEST(decide(reported).granted.size() == 6u);
}

// Load pattern: as above. Guards against healthy upstreams that are ejected because requests waited
// there behind those of a lost process, which leaves fewer places for the same load.
BOOST_AUTO_TEST_CASE(silenceBehindForeignRequestsIsNoFault)
{
    scheduler.setUpstreams({upstream("a", 4)});
    scheduler.loadReported(start, "a", 5);
    scheduler.loadReported(start, "a", 5);
    for (int i = 0; i < 4; ++i) {
        const std::string id = std::to_string(i);
        scheduler.adopt(start, online(id, start), "a");
        scheduler.release(start, id, ReleaseReason::Failed);
    }
    const absl::Time later = start + absl::Milliseconds(1100);
    scheduler.request(later, online("next", later + absl::Seconds(1)));
    BOOST_TEST(decide(later).granted.count("next") == 1u);
}

// Load pattern: a table that follows another one. Guards against places that are given out twice.
BOOST_AUTO_TEST_CASE(adoptedPlacesAreTaken)
{
    scheduler.setUpstreams({upstream("a", 1), upstream("b", 1)});
    scheduler.adopt(start, online("held", start), "a");
    scheduler.adopt(start, online("held", start), "b");
    scheduler.adopt(start, online("elsewhere", start), "unknown");
    scheduler.request(start, online("1", start + absl::Seconds(1)));
    BOOST_TEST(decide().granted.at("1") == "b");
    scheduler.release(start, "held", ReleaseReason::Completed);
    scheduler.request(start, online("2", start + absl::Seconds(1)));
    BOOST_TEST(decide().granted.at("2") == "a");
}

BOOST_AUTO_TEST_CASE(leavingUpstreamGetsNothing)
{
    SlotUpstream leaving = upstream("a", 4);
    leaving.leaving = true;
    scheduler.setUpstreams({leaving});
    scheduler.request(start, online("1", start + absl::Seconds(1)));
    scheduler.request(start, batch("b"));
    const Decided decided = decide();
    BOOST_TEST(decided.granted.empty());
    BOOST_TEST(decided.refused.count("1") == 1u);
}

BOOST_AUTO_TEST_CASE(excludedUpstreamIsNotTriedAgain)
{
    scheduler.setUpstreams({upstream("a", 4), upstream("b", 1)});
    SlotTask task = online("1", start + absl::Seconds(1));
    task.excluded = {"a"};
    scheduler.request(start, task);
    BOOST_TEST(decide().granted.at("1") == "b");
}

BOOST_AUTO_TEST_CASE(withdrawnWorkLeavesNoTrace)
{
    scheduler.setUpstreams({upstream("a", 1)});
    scheduler.request(start, online("1", start + absl::Seconds(1)));
    decide();
    scheduler.request(start, batch("b"));
    scheduler.cancel("b");
    scheduler.cancel("1");
    BOOST_TEST(scheduler.runningCount("llm", TaskKind::Online) == 0u);
    BOOST_TEST(scheduler.waiting("llm", TaskKind::Batch) == 0u);
    scheduler.request(start, online("2", start + absl::Seconds(1)));
    BOOST_TEST(decide().granted.count("2") == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
