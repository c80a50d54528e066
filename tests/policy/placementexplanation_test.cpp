#include "placementdecision.h"

#include "rattanrill/policy/slotscheduler.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace rattanrill::policy;

namespace {

/// Two upstreams of one failure domain, of which "b" has four running tasks, so that "a" is chosen
/// unless something excludes it.
struct Fixture
{
    Fixture() { setUpstreams({upstream("a", 4), upstream("b", 8)}); }

    static SlotUpstream upstream(const std::string &id, std::int64_t slots,
                                 const std::string &domain = "d", const std::string &version = "")
    {
        return {id, "llm", id + ":1", domain, slots, false, version};
    }

    void setUpstreams(const std::vector<SlotUpstream> &upstreams)
    {
        scheduler.setUpstreams(upstreams);
    }

    SlotTask task(TaskKind kind = TaskKind::Online)
    {
        SlotTask result;
        result.id = std::to_string(nextTask++);
        result.service = "llm";
        result.workspace = "w";
        result.failureDomain = "d";
        result.sender = "e";
        result.kind = kind;
        result.deadline = now + absl::Seconds(2);
        return result;
    }

    /// Runs a task at \a upstream, one of "a" and "b".
    std::string run(const std::string &upstream, TaskKind kind = TaskKind::Online)
    {
        SlotTask running = task(kind);
        running.excluded = {upstream == "a" ? "b" : "a"};
        scheduler.request(now, running);
        const auto decision = decisionFor(running.id, scheduler.decide(now));
        BOOST_TEST_REQUIRE(decision.upstream == upstream);
        return running.id;
    }

    void run(const std::string &upstream, int count)
    {
        for (int i = 0; i < count; ++i)
            run(upstream);
    }

    void failAt(const std::string &upstream, int count)
    {
        for (int i = 0; i < count; ++i)
            scheduler.release(now, run(upstream), ReleaseReason::ServerError);
    }

    /// Adds a task that waits.
    void wait(SlotTask waiting)
    {
        scheduler.request(now, waiting);
        BOOST_TEST_REQUIRE(scheduler.decide(now).empty());
    }

    /// Explains the decision for \a newTask and checks it against the decision.
    PlacementExplanation decideAsExplained(const SlotTask &newTask)
    {
        const PlacementExplanation explanation = scheduler.explain(now, newTask);
        scheduler.request(now, newTask);
        checkAgreement(explanation, decisionFor(newTask.id, scheduler.decide(now)));
        return explanation;
    }

    static const UpstreamExplanation &partOf(const PlacementExplanation &explanation,
                                             const std::string &id)
    {
        const auto &upstreams = explanation.upstreams;
        return *std::find_if(upstreams.begin(), upstreams.end(),
                             [&](const UpstreamExplanation &part) { return part.id == id; });
    }

    /// Checks that "a", which costs less, is not chosen, and returns what is said of it.
    UpstreamExplanation checkExcluded(ExclusionReason reason, const SlotTask &newTask)
    {
        run("b", 4);
        const PlacementExplanation explanation = decideAsExplained(newTask);
        const UpstreamExplanation &part = partOf(explanation, "a");
        BOOST_TEST_REQUIRE(part.reason.has_value());
        BOOST_TEST(name(*part.reason) == name(reason));
        BOOST_TEST(explanation.upstream == "b");
        BOOST_TEST(part.cost < partOf(explanation, "b").cost);
        return part;
    }

    absl::Time now = absl::FromUnixSeconds(1000);
    int nextTask = 0;
    SlotScheduler scheduler{SlotSchedulerSettings()};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PlacementExplanationTest, Fixture)

// The cases guard against a reason for which the decision does not leave the upstream out.
BOOST_AUTO_TEST_CASE(leavingUpstreamIsNamed)
{
    SlotUpstream leaving = upstream("a", 4);
    leaving.leaving = true;
    setUpstreams({leaving, upstream("b", 8)});
    checkExcluded(ExclusionReason::Leaving, task());
}

BOOST_AUTO_TEST_CASE(versionAndExclusionAreNamed)
{
    SlotTask excluding = task();
    excluding.excluded = {"a"};
    checkExcluded(ExclusionReason::Excluded, excluding);
    setUpstreams({upstream("a", 4, "d", "1"), upstream("b", 9, "d", "2")});
    SlotTask bound = task();
    bound.version = "2";
    const PlacementExplanation explanation = decideAsExplained(bound);
    BOOST_TEST(explanation.upstream == "b");
    BOOST_TEST((partOf(explanation, "a").reason == ExclusionReason::OtherVersion));
}

// Guards also against a wrong end of the ejection.
BOOST_AUTO_TEST_CASE(ejectedUpstreamIsNamedUntilTheEndOfItsEjection)
{
    scheduler.release(now, run("a"), ReleaseReason::Unreachable);
    const UpstreamExplanation part = checkExcluded(ExclusionReason::Ejected, task());
    BOOST_TEST_REQUIRE(part.reasonRemaining.has_value());
    now += *part.reasonRemaining;
    BOOST_TEST(decideAsExplained(task()).upstream == "a");
}

BOOST_AUTO_TEST_CASE(serverErrorsAreNamedUntilTheEndOfTheEjection)
{
    failAt("a", 4);
    BOOST_TEST(
            (checkExcluded(ExclusionReason::PassedOver, task()).reasonRemaining == std::nullopt));
    now += FailureShares::confirmationTime;
    for (int i = 0; i < 10; ++i)
        scheduler.release(now, run("b"), ReleaseReason::Completed);
    failAt("a", 4);
    const PlacementExplanation explanation = decideAsExplained(task());
    const UpstreamExplanation &part = partOf(explanation, "a");
    BOOST_TEST_REQUIRE((part.reason == ExclusionReason::Failing));
    now += *part.reasonRemaining;
    BOOST_TEST(decideAsExplained(task()).upstream == "a");
}

BOOST_AUTO_TEST_CASE(usedUpRatesAreNamed)
{
    scheduler.setWarmUp(now, "a", {absl::Seconds(10), 1.0});
    scheduler.coldListed(now, "a", absl::Seconds(5), now);
    const UpstreamExplanation part = checkExcluded(ExclusionReason::Cold, task());
    BOOST_TEST((part.coldRemaining == absl::Seconds(5)));
    now += absl::Seconds(6);
    scheduler.limitReported(now, "a", 1.0);
    const PlacementExplanation explanation = decideAsExplained(task());
    BOOST_TEST(explanation.upstream == "b");
    BOOST_TEST((partOf(explanation, "a").reason == ExclusionReason::Limited));
    BOOST_TEST((partOf(explanation, "a").coldRemaining == std::nullopt));
}

BOOST_AUTO_TEST_CASE(lackOfSlotsIsNamed)
{
    setUpstreams({upstream("a", 1), upstream("b", 8)});
    run("a", 1);
    checkExcluded(ExclusionReason::NoFreeSlot, task());
}

// Guards against an unknown load that is named although a load report would give no free slot.
BOOST_AUTO_TEST_CASE(lackOfSlotsIsNamedBeforeAnUnknownLoad)
{
    setUpstreams({upstream("a", 2), upstream("b", 8)});
    scheduler.beginTakeover(now);
    scheduler.loadReported(now, "b", 0);
    run("a", 2);
    checkExcluded(ExclusionReason::NoFreeSlot, task());
}

BOOST_AUTO_TEST_CASE(unknownLoadIsNamed)
{
    scheduler.beginTakeover(now);
    scheduler.loadReported(now, "b", 0);
    run("a", 2);
    const UpstreamExplanation part = checkExcluded(ExclusionReason::LoadUnknown, task());
    BOOST_TEST((part.loadReportAge == std::nullopt));
}

// Guards against figures that are not those of the decision, and against a change since the last
// decision that can't be noticed.
BOOST_AUTO_TEST_CASE(loadIsReported)
{
    run("a", 1);
    scheduler.loadReported(now, "a", 3);
    scheduler.loadReported(now, "a", 3);
    scheduler.paceReported(now, "a", 2);
    now += absl::Milliseconds(100);
    const PlacementExplanation explanation = decideAsExplained(task());
    BOOST_TEST((explanation.lastDecisionAge == absl::Milliseconds(100)));
    const UpstreamExplanation &part = partOf(explanation, "a");
    BOOST_TEST(part.slots == 4);
    BOOST_TEST(part.requests == 1);
    BOOST_TEST(part.requestsOfOthers == 2);
    BOOST_TEST((part.loadReportAge == absl::Milliseconds(100)));
    BOOST_TEST(part.pace > 1);
    BOOST_TEST(part.cost == part.pace * 4);
}

// Guards against a rule that is not the one by which the candidates differ.
BOOST_AUTO_TEST_CASE(rulesNameWhatSelectedTheUpstream)
{
    const auto ruleFor = [this](const SlotTask &newTask) {
        const PlacementExplanation explanation = decideAsExplained(newTask);
        scheduler.cancel(newTask.id);
        BOOST_TEST_REQUIRE(explanation.rule.has_value());
        return name(*explanation.rule);
    };
    BOOST_TEST(ruleFor(task()) == "next_turn");
    SlotTask excluding = task();
    excluding.excluded = {"a"};
    BOOST_TEST(ruleFor(excluding) == "only_candidate");
    run("a", 1);
    BOOST_TEST(ruleFor(task()) == "least_cost");
    setUpstreams({upstream("a", 4), upstream("b", 8, "other")});
    BOOST_TEST(ruleFor(task()) == "own_failure_domain");
    run("a", 2);
    BOOST_TEST(ruleFor(task()) == "least_cost");
}

// Guards against an explanation that ignores who is preempted, and for whom.
BOOST_AUTO_TEST_CASE(onlyAnOnlineTaskPreempts)
{
    setUpstreams({upstream("a", 2), upstream("b", 0)});
    run("a", TaskKind::Batch);
    now += absl::Seconds(1);
    const std::string youngest = run("a", TaskKind::Batch);
    const PlacementExplanation batch = decideAsExplained(task(TaskKind::Batch));
    BOOST_TEST((batch.outcome == PlacementOutcome::Waits));
    const PlacementExplanation online = decideAsExplained(task());
    BOOST_TEST((online.outcome == PlacementOutcome::Preempts));
    BOOST_TEST(online.preemptedTask == youngest);
    BOOST_TEST((online.rule == std::nullopt));
}

// Guards against a choice among equal run times that depends on the addresses of the tasks.
BOOST_AUTO_TEST_CASE(lastOfTasksWithEqualRunTimesIsPreempted)
{
    setUpstreams({upstream("a", 3), upstream("b", 0)});
    std::vector<std::string> running;
    for (int i = 0; i < 3; ++i)
        running.push_back(run("a", TaskKind::Batch));
    for (; !running.empty(); running.pop_back())
        BOOST_TEST(decideAsExplained(task()).preemptedTask == running.back());
}

// Guards against a batch task that is explained as granted while no batch task starts: with several
// versions, none starts while all upstreams are avoided because of unanswered connections.
BOOST_AUTO_TEST_CASE(batchTaskWaitsWhileNoneMayStart)
{
    setUpstreams({upstream("a", 4, "d", "1"), upstream("b", 8, "d", "2")});
    for (const char *other : {"a", "b"}) {
        SlotTask unanswered = task();
        unanswered.sender.clear();
        unanswered.excluded.emplace_back(other);
        scheduler.request(now, unanswered);
        scheduler.decide(now);
        scheduler.release(now, unanswered.id, ReleaseReason::Unanswered);
    }
    SlotTask batch = task(TaskKind::Batch);
    batch.sender.clear();
    BOOST_TEST((decideAsExplained(batch).outcome == PlacementOutcome::Waits));
}

// Guards against a task that is explained as waiting although it gets a slot at once: the task that
// held it up can be served in time no longer and is rejected.
BOOST_AUTO_TEST_CASE(taskBehindOneThatIsRejectedIsExplainedAsGranted)
{
    run("b", 8);
    SlotTask first = task();
    first.excluded = {"a"};
    first.deadline = now + absl::Milliseconds(80);
    wait(first);
    SlotTask second = task();
    second.priority = 1;
    const PlacementExplanation explanation = scheduler.explain(now, second);
    scheduler.request(now, second);
    // Like the broker, which decides until there are no more decisions.
    BOOST_TEST(
            (decisionFor(first.id, scheduler.decide(now)).outcome == PlacementOutcome::Rejected));
    checkAgreement(explanation, decisionFor(second.id, scheduler.decide(now)));
}

// Guards against an expected wait that counts the tasks which are rejected before.
BOOST_AUTO_TEST_CASE(expectedWaitIsThatOfTheTasksThatStay)
{
    setUpstreams({upstream("a", 1), upstream("b", 0)});
    run("a", 1);
    SlotTask waiting = task();
    waiting.priority = 1;
    wait(waiting);
    SlotTask last = task();
    last.priority = 1;
    const auto waitOfTwo = decideAsExplained(last).wait;
    BOOST_TEST_REQUIRE(waitOfTwo.has_value());
    SlotTask first = task();
    first.deadline = now + absl::Seconds(10);
    BOOST_TEST((decideAsExplained(first).wait == waitOfTwo));
    BOOST_TEST(!scheduler.contains(last.id));
}

// Guards against a free slot that is named for a task whose turn has not come, and against a task
// of a higher priority, or of a workspace with less service, that is put behind the others.
BOOST_AUTO_TEST_CASE(turnOfWaitingTasksIsRespected)
{
    setUpstreams({upstream("a", 1), upstream("b", 8)});
    run("a", 1);
    SlotTask waiting = task();
    waiting.priority = 1;
    waiting.excluded = {"b"};
    wait(waiting);
    SlotTask next = task();
    next.priority = 1;
    const PlacementExplanation behind = decideAsExplained(next);
    BOOST_TEST((behind.outcome == PlacementOutcome::Waits));
    BOOST_TEST((partOf(behind, "b").reason == std::nullopt));
    BOOST_TEST(behind.waitingTasks == 1u);
    BOOST_TEST((behind.wait > absl::ZeroDuration()));
    SlotTask batch = task(TaskKind::Batch);
    BOOST_TEST((decideAsExplained(batch).outcome == PlacementOutcome::Waits));
    SlotTask otherWorkspace = task();
    otherWorkspace.priority = 1;
    otherWorkspace.workspace = "a";
    BOOST_TEST(decideAsExplained(otherWorkspace).upstream == "b");
    BOOST_TEST(decideAsExplained(task()).upstream == "b");
}

// Guards against a Retry-After that differs from the one that the task would get, for each reason
// of a rejection.
BOOST_AUTO_TEST_CASE(rejectionsAreExplained)
{
    SlotTask unknown = task();
    unknown.service = "none";
    BOOST_TEST((decideAsExplained(unknown).outcome == PlacementOutcome::Rejected));
    SlotTask gone = task();
    gone.version = "9";
    BOOST_TEST(decideAsExplained(gone).isVersionGone);
    setUpstreams({upstream("a", 1), upstream("b", 0)});
    run("a", 1);
    SlotTask expired = task();
    expired.deadline = now;
    BOOST_TEST((decideAsExplained(expired).outcome == PlacementOutcome::Rejected));
    int rejected = 0;
    for (int i = 0; i < 6; ++i) {
        SlotTask further = task();
        // Of another workspace, so that further tasks are not always the last ones.
        further.workspace = std::to_string(i % 3);
        rejected += decideAsExplained(further).outcome == PlacementOutcome::Rejected ? 1 : 0;
    }
    BOOST_TEST(rejected > 0);
}

BOOST_AUTO_TEST_SUITE_END()
