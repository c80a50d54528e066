#include "slotschedulerfixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>

using namespace rattanrill::policy;

BOOST_FIXTURE_TEST_SUITE(SlotSchedulerTest, SlotSchedulerFixture)

// Guards against requests that queue at one upstream while another one has free slots.
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

// Load pattern: a burst of online requests arrives while batch tasks fill all slots. Guards against
// online requests that wait for batch tasks, and against the preemption of batch tasks that are
// close to their end.
BOOST_AUTO_TEST_CASE(onlineBurstPreemptsTheBatchTaskWithTheLeastRunTime)
{
    scheduler.setUpstreams({upstream("a", 2)});
    scheduler.request(start, batch("old"));
    decide();
    scheduler.request(start + absl::Seconds(1), batch("young"));
    decide(start + absl::Seconds(1));
    const absl::Time burst = start + absl::Seconds(2);
    scheduler.request(burst, online("o", burst + absl::Milliseconds(200)));
    const SlotDecisions decisions = decide(burst);
    BOOST_TEST(decisions.granted.at("o") == "a");
    BOOST_TEST(decisions.preempted == std::vector<std::string>{"young"},
               boost::test_tools::per_element());
}

// Guards against a resumed task that counts as new and is therefore preempted again first.
BOOST_AUTO_TEST_CASE(priorRunTimeCountsWhenBatchIsPreempted)
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
    BOOST_TEST(decide(later).preempted == std::vector<std::string>{"fresh"},
               boost::test_tools::per_element());
}

// Load pattern: repeated online bursts with a long batch queue. The bursts leave gaps that are
// shorter than the run time of a batch task. Guards against a queue that starts new tasks in each
// gap and completes none.
BOOST_AUTO_TEST_CASE(interruptedTasksResumeBeforeNewOnesStart)
{
    constexpr int items = 12;
    constexpr absl::Duration requiredRunTime = absl::Seconds(4);
    constexpr absl::Duration gap = absl::Seconds(3);
    scheduler.setUpstreams({upstream("a", 2)});
    std::map<std::string, absl::Duration> runTimes;
    std::set<std::string> running;
    int completed = 0;
    const auto request = [&](absl::Time now, const std::string &id) {
        SlotTask task = batch(id);
        task.deadline = start + absl::Minutes(10);
        task.priorRunTime = runTimes[id];
        scheduler.request(now, task);
    };
    for (int i = 0; i < items; ++i)
        request(start, std::to_string(i));
    absl::Time now = start;
    for (int burst = 0; burst < 8; ++burst) {
        for (const auto &[id, upstreamId] : decide(now).granted)
            running.insert(id);
        // Calls decide() again whenever a task completes within the gap.
        const absl::Time gapEnd = now + gap;
        std::map<std::string, absl::Time> since;
        for (const std::string &id : running)
            since[id] = now;
        while (!running.empty()) {
            const auto next = *std::min_element(
                    running.begin(), running.end(), [&](const auto &left, const auto &right) {
                        return since[left] - runTimes[left] < since[right] - runTimes[right];
                    });
            const absl::Time end = since[next] + (requiredRunTime - runTimes[next]);
            if (end > gapEnd)
                break;
            scheduler.release(end, next, ReleaseReason::Completed);
            running.erase(next);
            ++completed;
            for (const auto &[id, upstreamId] : decide(end).granted) {
                running.insert(id);
                since[id] = end;
            }
        }
        now = gapEnd;
        for (const char *id : {"o1", "o2"})
            scheduler.request(now, online(id, now + absl::Seconds(1)));
        for (const std::string &id : decide(now).preempted) {
            running.erase(id);
            runTimes[id] += now - since[id];
            request(now, id);
        }
        now += absl::Seconds(2);
        for (const char *id : {"o1", "o2"})
            scheduler.release(now, id, ReleaseReason::Completed);
    }
    // 8 gaps of 3 s with 2 slots are 48 s of run time, which is what 12 tasks of 4 s need.
    BOOST_TEST(completed == items);
}

// Load pattern: more batch tasks than can be completed in time. Guards against a queue that serves
// a late task first and thereby makes the next one late too.
BOOST_AUTO_TEST_CASE(lateTasksGoBehindThoseInTime)
{
    scheduler.setUpstreams({upstream("a", 1)});
    const auto batchWithDeadline = [](const std::string &id, absl::Duration after) {
        SlotTask task = batch(id);
        task.deadline = start + after;
        return task;
    };
    scheduler.request(start, batchWithDeadline("first", absl::Seconds(10)));
    decide();
    absl::Time now = start + absl::Seconds(4);
    scheduler.release(now, "first", ReleaseReason::Completed);
    // A task takes 4 s, so this one can no longer meet its deadline, which is 2 s away.
    scheduler.request(now, batchWithDeadline("late", absl::Seconds(6)));
    scheduler.request(now, batchWithDeadline("inTime", absl::Seconds(20)));
    BOOST_TEST(decide(now).granted.count("inTime") == 1u);
    now += absl::Seconds(4);
    scheduler.release(now, "inTime", ReleaseReason::Completed);
    BOOST_TEST(decide(now).granted.count("late") == 1u);
}

// Guards against starvation of late tasks while other tasks keep arriving.
BOOST_AUTO_TEST_CASE(lateTasksGetSomeSlots)
{
    scheduler.setUpstreams({upstream("a", 1)});
    SlotTask late = batch("late");
    late.deadline = start - absl::Seconds(1);
    scheduler.request(start, late);
    bool isServed = false;
    for (int i = 0; i < 20 && !isServed; ++i) {
        scheduler.request(start, batch(std::to_string(i)));
        scheduler.request(start, batch(std::to_string(i) + "b"));
        for (const auto &[id, upstreamId] : decide().granted) {
            isServed = isServed || id == "late";
            scheduler.release(start, id, ReleaseReason::Cancelled);
        }
    }
    BOOST_TEST(isServed);
}

// Guards against a batch task that gets a free slot while an online task waits.
BOOST_AUTO_TEST_CASE(batchWaitsWhileOnlineTasksWait)
{
    scheduler.setUpstreams({upstream("a", 1)});
    scheduler.request(start, online("first", start + absl::Seconds(5)));
    decide();
    scheduler.request(start, batch("b"));
    scheduler.request(start, online("second", start + absl::Seconds(5)));
    BOOST_TEST(decide().granted.empty());
    scheduler.release(start, "first", ReleaseReason::Completed);
    const SlotDecisions decisions = decide();
    BOOST_TEST(decisions.granted.count("second") == 1u);
    BOOST_TEST(decisions.granted.count("b") == 0u);
}

// Load pattern: the online load exceeds all slots. Guards against requests that are rejected only
// at their deadline although their expected wait already exceeds it on arrival.
BOOST_AUTO_TEST_CASE(unservableRequestIsRejectedAtOnce)
{
    scheduler.setUpstreams({upstream("a", 1)});
    scheduler.request(start, online("runs", start + absl::Milliseconds(200)));
    decide();
    // Each request holds the slot for about 700 ms, so the second one would wait for more than
    // 200 ms.
    scheduler.request(start, online("waits", start + absl::Milliseconds(200)));
    const SlotDecisions decisions = decide();
    BOOST_TEST(decisions.rejected.count("waits") == 1u);
}

// Guards against rejected callers that all retry at the same time and are rejected again.
BOOST_AUTO_TEST_CASE(retriesOfRejectedCallersAreSpread)
{
    scheduler.setUpstreams({upstream("a", 4)});
    for (int i = 0; i < 4; ++i)
        scheduler.request(start,
                          online("runs" + std::to_string(i), start + absl::Milliseconds(50)));
    decide();
    for (int i = 0; i < 6; ++i)
        scheduler.request(start,
                          online("late" + std::to_string(i), start + absl::Milliseconds(50)));
    std::set<absl::Duration> retryAfters;
    for (const auto &[task, wait] : decide().rejected)
        retryAfters.insert(wait);
    BOOST_TEST(retryAfters.size() == 6u);
    BOOST_TEST((*retryAfters.begin() >= SlotSchedulerSettings().minRetryAfter));
}

// Guards against a Retry-After that exceeds what the caller can use when many callers are rejected.
BOOST_AUTO_TEST_CASE(retryAfterStaysWithinTheMaximumOfTheCaller)
{
    scheduler.setUpstreams({upstream("a", 1)});
    scheduler.request(start, online("runs", start));
    decide();
    for (int i = 0; i < 20; ++i) {
        SlotTask task = online(std::to_string(i), start);
        task.maxRetryAfter = absl::Seconds(1);
        scheduler.request(start, task);
    }
    for (const auto &[task, wait] : decide().rejected)
        BOOST_TEST((wait <= absl::Seconds(1)));
}

// Guards against a request that waits beyond its deadline because no event triggers a decision.
BOOST_AUTO_TEST_CASE(waitingRequestIsRejectedAtItsDeadline)
{
    scheduler.setUpstreams({upstream("a", 8)});
    for (int i = 0; i < 8; ++i)
        scheduler.request(start, online(std::to_string(i), start + absl::Seconds(1)));
    decide();
    const absl::Time deadline = start + absl::Milliseconds(150);
    scheduler.request(start, online("w", deadline));
    BOOST_TEST(decide().rejected.empty());
    BOOST_TEST((scheduler.nextDecision() == deadline));
    BOOST_TEST(decide(deadline).rejected.count("w") == 1u);
}

// Load pattern: one workspace sends a surge. Guards against requests of another workspace that wait
// behind the whole surge.
BOOST_AUTO_TEST_CASE(workspaceWithTheLeastServiceGoesFirst)
{
    scheduler.setUpstreams({upstream("a", 1)});
    const absl::Time deadline = start + absl::Seconds(60);
    scheduler.request(start, online("runs", deadline, "large"));
    decide();
    for (int i = 0; i < 5; ++i)
        scheduler.request(start, online("large" + std::to_string(i), deadline, "large"));
    scheduler.request(start, online("small", deadline, "small"));
    decide();
    scheduler.release(start, "runs", ReleaseReason::Completed);
    const std::string next = decide().granted.begin()->first;
    scheduler.release(start, next, ReleaseReason::Completed);
    BOOST_TEST((next == "small" || decide().granted.count("small") == 1u));
}

// Guards against further requests to an address where nothing or another instance responds. Because
// all slots of that upstream are free, it would be the first choice for every request.
BOOST_AUTO_TEST_CASE(unreachableUpstreamIsEjectedAtOnce)
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

// Guards against upstreams without requests for seconds after a pause with a full accept queue, in
// which both of two senders got no answer to a new connection.
BOOST_AUTO_TEST_CASE(upstreamThatAnswersNoConnectionIsAvoidedBriefly)
{
    scheduler.setUpstreams({upstream("paused", 4), upstream("other", 1)});
    for (const std::string sender : {"1", "2"}) {
        SlotTask task = online(sender, start + absl::Seconds(1));
        task.sender = sender;
        task.excluded = {"other"};
        scheduler.request(start, task);
        BOOST_TEST(decide().granted.at(sender) == "paused");
        scheduler.release(start, sender, ReleaseReason::Unanswered);
    }
    BOOST_TEST(!scheduler.isEjectedFor(start, "paused", "3"));
    for (const std::string id : {"first", "second"}) {
        SlotTask task = online(id, start + absl::Seconds(1));
        task.sender = "1";
        scheduler.request(start, task);
    }
    const auto granted = decide().granted;
    BOOST_TEST(granted.size() == 1u);
    BOOST_TEST(granted.begin()->second == "other");
    BOOST_TEST(decide(start + absl::Milliseconds(500)).granted.begin()->second == "paused");
}

// Guards against requests that are refused because the only upstream answered no connection a
// moment ago.
BOOST_AUTO_TEST_CASE(onlyUpstreamIsUsedAlthoughItAnsweredNoConnection)
{
    scheduler.setUpstreams({upstream("paused", 4)});
    for (const std::string id : {"1", "2"}) {
        scheduler.request(start, online(id, start + absl::Seconds(1)));
        BOOST_TEST(decide().granted.at(id) == "paused");
        scheduler.release(start, id, ReleaseReason::Unanswered);
    }
}

// Load pattern: most senders lose their links to all upstreams, and the others keep theirs. Guards
// against requests of the others that get no slot while all slots are free.
BOOST_AUTO_TEST_CASE(sendersThatAreCutOffEjectNoUpstreamForOthers)
{
    scheduler.setUpstreams({upstream("a", 4), upstream("b", 4), upstream("c", 4)});
    int number = 0;
    const auto grant = [&](const std::string &sender) {
        SlotTask task = online(std::to_string(++number), start + absl::Seconds(1));
        task.sender = sender;
        scheduler.request(start, task);
        return decide().granted.count(task.id) != 0;
    };
    for (const std::string sender : {"cut off 1", "cut off 2", "cut off 3"}) {
        while (grant(sender))
            scheduler.release(start, std::to_string(number), ReleaseReason::Unreachable);
        scheduler.cancel(std::to_string(number));
        scheduler.discardReports(start, sender);
    }
    for (int i = 0; i < 12; ++i)
        BOOST_TEST(grant("linked"));
}

// Guards against a crashed upstream that each sender has to find out for itself.
BOOST_AUTO_TEST_CASE(upstreamThatTwoSendersFindUnreachableIsEjectedForAll)
{
    scheduler.setUpstreams({upstream("gone", 4), upstream("here", 4)});
    for (const std::string sender : {"1", "2"}) {
        SlotTask task = online(sender, start + absl::Seconds(1));
        task.sender = sender;
        task.excluded = {"here"};
        scheduler.request(start, task);
        BOOST_TEST(decide().granted.at(sender) == "gone");
        scheduler.release(start, sender, ReleaseReason::Unreachable);
    }
    BOOST_TEST(scheduler.isEjectedFor(start, "gone", "3"));
}

// Load pattern: upstreams still run requests of a sender that no longer exists. Guards against too
// many requests there, which queue at the upstream.
BOOST_AUTO_TEST_CASE(reportedForeignRequestsReduceTheSlots)
{
    scheduler.setUpstreams({upstream("a", 4), upstream("b", 4)});
    scheduler.loadReported(start, "a", 4);
    scheduler.loadReported(start, "a", 3);
    for (int i = 0; i < 5; ++i)
        scheduler.request(start, online(std::to_string(i), start + absl::Seconds(60)));
    int grantedAtA = 0;
    for (const auto &[task, chosen] : decide().granted)
        grantedAtA += chosen == "a" ? 1 : 0;
    BOOST_TEST(grantedAtA == 1);
    // Reports expire, so the slots are available again.
    scheduler.request(start, online("later", start + absl::Seconds(60)));
    BOOST_TEST(decide(start + absl::Seconds(2)).granted.at("later") == "a");
}

// Load pattern: the process that granted slots is lost, and its requests still run. Guards against
// upstreams that are filled a second time before they have reported their load.
BOOST_AUTO_TEST_CASE(upstreamsAreProbedAfterATakeover)
{
    scheduler.setUpstreams({upstream("a", 8)});
    scheduler.beginTakeover(start);
    for (int i = 0; i < 10; ++i)
        scheduler.request(start, online(std::to_string(i), start + absl::Seconds(60)));
    BOOST_TEST(decide().granted.size() == 2u);
    // The upstream reports the 2 probes and 4 requests of the lost process.
    const absl::Time reportedAt = start + absl::Milliseconds(50);
    scheduler.loadReported(reportedAt, "a", 6);
    BOOST_TEST(decide(reportedAt).granted.size() == 2u);
    // The requests of the lost process have ended by then.
    BOOST_TEST(decide(start + absl::Seconds(2)).granted.size() == 4u);
}

// Load pattern: all processes restart at once, and the requests that waited meanwhile arrive
// together. Guards against rejections while slots are free whose upstreams have not reported their
// load yet.
BOOST_AUTO_TEST_CASE(requestsWaitWhileUpstreamsAreProbed)
{
    scheduler.setUpstreams({upstream("a", 8)});
    scheduler.beginTakeover(start);
    for (int i = 0; i < 8; ++i)
        scheduler.request(start, online(std::to_string(i), start + absl::Milliseconds(200)));
    const SlotDecisions first = decide();
    BOOST_TEST(first.granted.size() == 2u);
    BOOST_TEST(first.rejected.empty());
    const absl::Time reportedAt = start + absl::Milliseconds(50);
    scheduler.loadReported(reportedAt, "a", 2);
    BOOST_TEST(decide(reportedAt).granted.size() == 6u);
}

// Load pattern: upstreams still run requests of a lost process. Guards against healthy upstreams
// that are ejected because requests failed while they waited there behind those of the lost
// process. The ejection would leave fewer slots for the same load.
BOOST_AUTO_TEST_CASE(failureBehindForeignRequestsDoesNotEject)
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

// Load pattern: a scheduler takes over from another one. Guards against a slot that is granted to
// two requests.
BOOST_AUTO_TEST_CASE(adoptedSlotsAreOccupied)
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

// Guards against new tasks on an upstream that is about to shut down.
BOOST_AUTO_TEST_CASE(leavingUpstreamGetsNoTasks)
{
    SlotUpstream leaving = upstream("a", 4);
    leaving.leaving = true;
    scheduler.setUpstreams({leaving});
    scheduler.request(start, online("1", start + absl::Seconds(1)));
    scheduler.request(start, batch("b"));
    const SlotDecisions decisions = decide();
    BOOST_TEST(decisions.granted.empty());
    BOOST_TEST(decisions.rejected.count("1") == 1u);
}

// Guards against a retry at the upstream that already failed the request.
BOOST_AUTO_TEST_CASE(excludedUpstreamIsNotUsed)
{
    scheduler.setUpstreams({upstream("a", 4), upstream("b", 1)});
    SlotTask task = online("1", start + absl::Seconds(1));
    task.excluded = {"a"};
    scheduler.request(start, task);
    BOOST_TEST(decide().granted.at("1") == "b");
}

// Guards against a cancelled task that keeps its slot or its position in the queue.
BOOST_AUTO_TEST_CASE(cancelledTasksReleaseTheirSlots)
{
    scheduler.setUpstreams({upstream("a", 1)});
    scheduler.request(start, online("1", start + absl::Seconds(1)));
    decide();
    scheduler.request(start, batch("b"));
    scheduler.cancel("b");
    scheduler.cancel("1");
    BOOST_TEST(scheduler.running("llm", TaskKind::Online) == 0u);
    BOOST_TEST(scheduler.waiting("llm", TaskKind::Batch) == 0u);
    scheduler.request(start, online("2", start + absl::Seconds(1)));
    BOOST_TEST(decide().granted.count("2") == 1u);
}

// Guards against responses that cross the boundaries of failure domains although the own domain has
// free slots, and against an own domain whose upstreams fill up while the others idle.
BOOST_AUTO_TEST_CASE(onlineTaskStaysInItsDomainUpToAFewRequests)
{
    SlotScheduler scheduler{SlotSchedulerSettings()};
    SlotUpstream near = upstream("near", 8);
    SlotUpstream far = upstream("far", 8);
    far.failureDomain = "other";
    scheduler.setUpstreams({far, near});
    std::map<std::string, int> granted;
    for (int number = 0; number < 8; ++number) {
        SlotTask task = online(std::to_string(number), start + absl::Seconds(1));
        task.failureDomain = "d";
        scheduler.request(start, task);
        for (const auto &[id, upstreamId] : SlotDecisions(scheduler.decide(start)).granted)
            ++granted[upstreamId];
        if (number == 1)
            BOOST_TEST(granted["near"] == 2);
    }
    BOOST_TEST(granted["near"] == 5);
    BOOST_TEST(granted["far"] == 3);
}

BOOST_AUTO_TEST_SUITE_END()
