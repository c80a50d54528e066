#include "schedulerfixture.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace rattanrill;
using namespace rattanrill::policy;

namespace {

/// Fills the engine, which must be the only one, with batch tasks that have produced their first
/// token.
void fillWithBatch(SchedulerFixture &fixture, const std::string &workspace = "a")
{
    for (int i = 0; i < 20; ++i)
        fixture.add(TaskKind::Batch, workspace);
    for (int i = 0; i < 100; ++i) {
        for (const StartTask &start :
             fixture.filter<StartTask>(fixture.advance(absl::Milliseconds(20))))
            fixture.firstToken(start.task);
    }
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(SchedulerTest, SchedulerFixture)

// Guards against head-of-line blocking: an online task does not wait for batch tasks that arrived
// first.
BOOST_AUTO_TEST_CASE(onlineTaskStartsBeforeWaitingBatchTasks)
{
    setEngines(1);
    for (int i = 0; i < 50; ++i)
        add(TaskKind::Batch);
    const TaskId online = add(TaskKind::Online);
    const auto starts = filter<StartTask>(decide());
    BOOST_REQUIRE(!starts.empty());
    BOOST_TEST(starts[0].task == online);
}

// Guards against batch tasks that occupy the slots reserved for online tasks, and against slots
// that stay free while batch tasks wait.
BOOST_AUTO_TEST_CASE(batchFillsAnEngineUpToTheOnlineReserve)
{
    setEngines(1);
    for (int i = 0; i < 50; ++i)
        add(TaskKind::Batch);
    for (const StartTask &start : filter<StartTask>(advance(absl::Seconds(1))))
        firstToken(start.task);
    for (const StartTask &start : filter<StartTask>(advance(absl::Seconds(1))))
        firstToken(start.task);
    BOOST_TEST(running.size() >= 6U);
    BOOST_TEST(running.size() < 8U);
}

// Guards against online tasks that wait while batch tasks occupy all slots: each online task of a
// burst beyond the free slots preempts one batch task in the same call of decide().
BOOST_AUTO_TEST_CASE(onlineBurstPreemptsBatchAtOnce)
{
    setEngines(1);
    fillWithBatch(*this);
    const std::size_t batch = running.size();
    const std::size_t burst = 8;
    for (std::size_t i = 0; i < burst; ++i)
        add(TaskKind::Online);
    const std::vector<SchedulerDecision> decisions = decide();
    BOOST_TEST(filter<StartTask>(decisions).size() == burst);
    BOOST_TEST(filter<PreemptTask>(decisions).size() == batch + burst - 8);
    for (const PreemptTask &preempt : filter<PreemptTask>(decisions))
        BOOST_TEST(preempt.task <= 20U);
}

// Guards against a preempted batch task that loses its progress: it resumes after its last token.
BOOST_AUTO_TEST_CASE(preemptedTaskResumesFromItsProgress)
{
    setEngines(1);
    fillWithBatch(*this);
    std::set<TaskId> online;
    for (int i = 0; i < 8; ++i)
        online.insert(add(TaskKind::Online));
    const auto preempts = filter<PreemptTask>(decide());
    BOOST_REQUIRE(!preempts.empty());
    for (const PreemptTask &preempt : preempts)
        completePreemption(preempt, 40);
    for (const TaskId id : online)
        finish(id);
    std::set<TaskId> resumed;
    for (int i = 0; i < 60; ++i) {
        for (const StartTask &start : filter<StartTask>(advance(absl::Milliseconds(20)))) {
            firstToken(start.task);
            if (start.attempt == 2) {
                BOOST_TEST(start.resumeAfter == 40);
                resumed.insert(start.task);
            }
        }
    }
    BOOST_TEST(resumed.size() + 1 >= preempts.size());
}

// Guards against an item that is preempted until it misses its deadline. An item is no longer
// preempted when its slack is used up.
BOOST_AUTO_TEST_CASE(itemUnderRepeatedPreemptionMeetsItsDeadline)
{
    setEngines(1, 2);
    Task item = task(TaskKind::Batch);
    item.deadline = now + absl::Seconds(60);
    add(item);
    std::int64_t delivered = 0;
    int preemptions = 0;
    absl::Time finishedAt = absl::InfiniteFuture();
    std::set<TaskId> online;
    // An online burst every 200 ms occupies all slots. While it runs, the item generates one token
    // every 50 ms.
    for (int step = 0; step < 3000 && finishedAt == absl::InfiniteFuture(); ++step) {
        now += absl::Milliseconds(25);
        if (step % 8 == 0) {
            for (const TaskId id : online) {
                if (running.count(id) > 0)
                    finish(id);
                else
                    scheduler.cancelled(now, id);
            }
            online.clear();
        }
        if (step % 8 == 4) {
            online.insert(add(TaskKind::Online));
            online.insert(add(TaskKind::Online));
        }
        report();
        for (const PreemptTask &preempt : filter<PreemptTask>(decide())) {
            BOOST_TEST(preempt.task == item.id);
            ++preemptions;
            completePreemption(preempt, delivered);
        }
        if (running.count(item.id) > 0 && step % 2 == 0) {
            scheduler.progress(now, item.id, running.at(item.id).attempt, ++delivered);
            if (delivered == item.maxTokens) {
                finishedAt = now;
                finish(item.id, delivered);
            }
        }
    }
    BOOST_TEST(preemptions >= 2);
    BOOST_TEST((finishedAt <= item.deadline));
}

// Guards against unfairness under overload: a workspace that sends ten times as many requests
// delays another one by no more than its own share.
BOOST_AUTO_TEST_CASE(surgeDoesNotDelayOtherWorkspaces)
{
    setEngines(1, 4);
    scheduler.setWorkspaces({{"surge", 1, 1}, {"steady", 1, 1}});
    std::set<TaskId> steady;
    for (int i = 0; i < 100; ++i)
        add(TaskKind::Online, "surge");
    for (int i = 0; i < 10; ++i)
        steady.insert(add(TaskKind::Online, "steady"));
    std::size_t served = 0;
    std::size_t servedSteady = 0;
    while (servedSteady < 10 && served < 110) {
        decide();
        const auto all = running;
        for (const auto &[id, run] : all) {
            finish(id);
            ++served;
            servedSteady += steady.count(id);
        }
        report();
    }
    BOOST_TEST(servedSteady == 10U);
    // 10 tasks of each workspace, plus 4 because the engine serves up to 4 tasks in each round.
    BOOST_TEST(served <= 24U);
}

// Guards against a task inside its contract that is rejected while tasks outside their contract are
// served.
BOOST_AUTO_TEST_CASE(tasksOutsideTheContractAreRejectedFirst)
{
    setEngines(1, 2);
    std::set<TaskId> outsideContract;
    for (int i = 0; i < 4; ++i) {
        Task excessTask = task(TaskKind::Online);
        excessTask.insideContract = false;
        outsideContract.insert(add(excessTask));
    }
    for (int i = 0; i < 2; ++i)
        add(TaskKind::Online);
    const std::vector<SchedulerDecision> decisions = decide();
    BOOST_TEST(filter<StartTask>(decisions).size() == 2U);
    for (const StartTask &start : filter<StartTask>(decisions))
        BOOST_TEST(outsideContract.count(start.task) == 0U);
    BOOST_TEST(filter<RejectTask>(decisions).size() == 4U);
    for (const RejectTask &rejection : filter<RejectTask>(decisions)) {
        BOOST_TEST(outsideContract.count(rejection.task) == 1U);
        BOOST_TEST((rejection.failure.effect == EffectState::NotRun));
    }
}

// Guards against an online task that waits without end, and against a rejection with the wrong code
// or effect.
BOOST_AUTO_TEST_CASE(onlineTaskIsRejectedAsNotRunAfterTheQueueLimit)
{
    setEngines(1, 1);
    add(TaskKind::Online);
    const TaskId waiting = add(TaskKind::Online);
    BOOST_TEST(filter<StartTask>(decide()).size() == 1U);
    BOOST_TEST((scheduler.nextDecision() < absl::InfiniteFuture()));
    const auto rejected = filter<RejectTask>(advance(absl::Milliseconds(500)));
    BOOST_REQUIRE(rejected.size() == 1U);
    BOOST_TEST(rejected[0].task == waiting);
    BOOST_TEST((rejected[0].failure.code == ErrorCode::Overloaded));
    BOOST_TEST((rejected[0].failure.effect == EffectState::NotRun));
}

// Guards against a retry that repeats the effect of a non-idempotent request which may have run.
BOOST_AUTO_TEST_CASE(nonIdempotentIsNeverRetriedAfterItMayHaveRun)
{
    setEngines(3);
    for (const AttemptFailure::Kind kind :
         {AttemptFailure::Kind::Broken, AttemptFailure::Kind::Silent,
          AttemptFailure::Kind::Crashed}) {
        Task nonIdempotent = task(TaskKind::Online);
        nonIdempotent.idempotent = false;
        add(nonIdempotent);
        decide();
        fail(nonIdempotent.id, kind);
        const std::vector<SchedulerDecision> after = advance(absl::Seconds(2));
        BOOST_TEST(filter<StartTask>(after).empty());
        const auto rejected = filter<RejectTask>(after);
        BOOST_REQUIRE(rejected.size() == 1U);
        BOOST_TEST((rejected[0].failure.effect == EffectState::MayHaveRun));
    }
    Task nonIdempotent = task(TaskKind::Online);
    nonIdempotent.idempotent = false;
    add(nonIdempotent);
    decide();
    fail(nonIdempotent.id, AttemptFailure::Kind::Refused);
    BOOST_TEST(filter<StartTask>(advance(absl::Seconds(1))).size() == 1U);
}

// Guards against tokens that are generated again after a stream broke: an idempotent task resumes
// on another engine after its last token.
BOOST_AUTO_TEST_CASE(idempotentTaskResumesOnAnotherEngineFromTheLastToken)
{
    setEngines(3);
    const TaskId id = add(TaskKind::Online);
    decide();
    const std::string failedEngine = running.at(id).engine;
    fail(id, AttemptFailure::Kind::Broken, 17);
    const auto retries = filter<StartTask>(advance(absl::Milliseconds(200)));
    BOOST_REQUIRE(retries.size() == 1U);
    BOOST_TEST(retries[0].resumeAfter == 17);
    BOOST_TEST(retries[0].attempt == 2);
    BOOST_TEST(retries[0].engine != failedEngine);
}

// Guards against a late response of an earlier attempt that ends or changes the current attempt.
BOOST_AUTO_TEST_CASE(eventsOfAnEarlierAttemptAreIgnored)
{
    setEngines(2);
    const TaskId id = add(TaskKind::Online);
    decide();
    fail(id, AttemptFailure::Kind::Broken);
    advance(absl::Milliseconds(200));
    scheduler.finished(now, id, 1, 100);
    BOOST_TEST(scheduler.running(TaskKind::Online) == 1U);
    finish(id);
    BOOST_TEST(scheduler.running(TaskKind::Online) == 0U);
}

// Guards against more than two crashes by one request, and against other requests that are blocked
// with it. Each suspect runs on an engine without another suspect, so that a second crash
// identifies the cause.
BOOST_AUTO_TEST_CASE(poisonRequestIsBlockedAndOthersComplete)
{
    setEngines(4);
    std::set<TaskId> others;
    Task poison = task(TaskKind::Online);
    add(poison);
    decide();
    const std::string first = running.at(poison.id).engine;
    for (int i = 0; i < 12; ++i)
        others.insert(add(TaskKind::Online));
    decide();
    std::set<std::string> crashed;
    std::size_t completed = 0;
    bool blocked = false;
    for (int round = 0; round < 400; ++round) {
        if (running.count(poison.id) > 0) {
            const std::string engine = running.at(poison.id).engine;
            crashed.insert(engine);
            const auto all = running;
            for (const auto &[id, run] : all) {
                if (run.engine == engine)
                    fail(id, AttemptFailure::Kind::Crashed);
            }
        } else {
            const auto all = running;
            for (const auto &[id, run] : all) {
                finish(id);
                completed += others.count(id);
            }
        }
        for (const RejectTask &rejection : filter<RejectTask>(advance(absl::Milliseconds(40)))) {
            BOOST_TEST(rejection.task == poison.id);
            blocked = (rejection.failure.code == ErrorCode::RequestQuarantined);
        }
    }
    BOOST_TEST(crashed.count(first) == 1U);
    BOOST_TEST(crashed.size() == 2U);
    BOOST_TEST(blocked);
    BOOST_TEST(completed == 12U);
    poison.id = nextTaskId++;
    add(poison);
    const auto rejected = filter<RejectTask>(decide());
    BOOST_REQUIRE(rejected.size() == 1U);
    BOOST_TEST((rejected[0].failure.code == ErrorCode::RequestQuarantined));
}

// Guards against new tasks on a leaving engine, and against the end of tasks that already run
// there.
BOOST_AUTO_TEST_CASE(leavingEngineGetsNoNewTasks)
{
    setEngines(1);
    const TaskId before = add(TaskKind::Online);
    decide();
    scheduler.setEngines(now, {{"engine-0", "m", "d", true}});
    for (int i = 0; i < 20; ++i) {
        add(TaskKind::Online);
        add(TaskKind::Batch);
    }
    BOOST_TEST(filter<StartTask>(advance(absl::Milliseconds(300))).empty());
    BOOST_TEST(running.count(before) == 1U);
    BOOST_TEST(scheduler.batchCapacity(now) == 0U);
}

// Guards against cancelled items that still run or wait, and against counters that are wrong after
// a cancellation.
BOOST_AUTO_TEST_CASE(cancelledTasksAreRemoved)
{
    setEngines(1, 4);
    for (int i = 0; i < 10; ++i)
        add(TaskKind::Batch);
    advance(absl::Milliseconds(100));
    for (TaskId id = 1; id <= 10; ++id)
        scheduler.cancelled(now, id);
    BOOST_TEST(scheduler.running(TaskKind::Batch) == 0U);
    BOOST_TEST(scheduler.waiting(TaskKind::Batch) == 0U);
    BOOST_TEST(scheduler.engine("engine-0")->localTasks(TaskKind::Batch) == 0);
    BOOST_TEST(scheduler.engine("engine-0")->localPrefillTokens(TaskKind::Batch) == 0);
}

// Guards against an item that always fails and is retried without end.
BOOST_AUTO_TEST_CASE(failingBatchItemIsRejectedAfterMaxAttempts)
{
    SchedulerSettings settings;
    setEngines(2);
    const TaskId id = add(TaskKind::Batch);
    int attempts = 0;
    std::vector<RejectTask> rejected;
    for (int i = 0; i < 500 && rejected.empty(); ++i) {
        rejected = filter<RejectTask>(advance(absl::Milliseconds(100)));
        if (running.count(id) > 0) {
            ++attempts;
            fail(id, AttemptFailure::Kind::Broken);
        }
    }
    BOOST_TEST(attempts == settings.maxBatchAttempts);
    BOOST_REQUIRE(rejected.size() == 1U);
    BOOST_TEST((rejected[0].failure.code == ErrorCode::ItemFailed));
}

// Guards against a batch item that is never placed again after the engines that ran it crashed: by
// the crashes alone it was quarantined, or rejected after maxBatchAttempts.
BOOST_AUTO_TEST_CASE(batchItemIsPlacedAgainAfterCrashesOfItsEngines)
{
    const int crashes = SchedulerSettings().maxBatchAttempts + 2;
    setEngines(3);
    const TaskId id = add(TaskKind::Batch);
    int crashed = 0;
    std::vector<SchedulerDecision> decisions;
    for (int i = 0; i < 500 && crashed < crashes; ++i) {
        for (SchedulerDecision &decision : advance(absl::Milliseconds(100)))
            decisions.push_back(std::move(decision));
        if (running.count(id) > 0) {
            fail(id, AttemptFailure::Kind::Crashed);
            ++crashed;
        }
    }
    BOOST_TEST(crashed == crashes);
    for (SchedulerDecision &decision : advance(absl::Seconds(20)))
        decisions.push_back(std::move(decision));
    BOOST_TEST(filter<RejectTask>(decisions).empty());
    BOOST_TEST(filter<RecordCrash>(decisions).empty());
    BOOST_REQUIRE(running.count(id) == 1U);
    finish(id);
}

// Guards against a request that is quarantined by the silence of its engines, and against a silent
// engine that gets further tasks.
BOOST_AUTO_TEST_CASE(silentEngineIsEjectedAndItsTaskIsNoSuspect)
{
    setEngines(3);
    const TaskId id = add(TaskKind::Online);
    decide();
    std::set<std::string> silent;
    for (int i = 0; i < 2; ++i) {
        BOOST_REQUIRE(running.count(id) == 1U);
        silent.insert(running.at(id).engine);
        fail(id, AttemptFailure::Kind::Silent);
        BOOST_TEST(filter<RecordCrash>(advance(absl::Milliseconds(400))).empty());
    }
    BOOST_TEST(silent.size() == 2U);
    BOOST_REQUIRE(running.count(id) == 1U);
    for (int i = 0; i < 4; ++i) {
        const TaskId other = add(TaskKind::Online);
        decide();
        BOOST_REQUIRE(running.count(other) == 1U);
        BOOST_TEST(silent.count(running.at(other).engine) == 0U);
    }
}

// Guards against a batch item that is quarantined because an online request with the same body
// crashed engines: the record of the online request blocks only online requests.
BOOST_AUTO_TEST_CASE(recordOfAnOnlineRequestDoesNotBlockABatchItem)
{
    setEngines(2);
    Task item = task(TaskKind::Batch);
    scheduler.applyCrashRecord(now, item.fingerprint, {"engine-0", "engine-1"}, true);
    Task online = task(TaskKind::Online);
    online.fingerprint = item.fingerprint;
    add(online);
    add(item);
    const auto rejected = filter<RejectTask>(advance(absl::Seconds(1)));
    BOOST_REQUIRE(rejected.size() == 1U);
    BOOST_TEST(rejected[0].task == online.id);
    BOOST_TEST(running.count(item.id) == 1U);
}

// Guards against entries that all fill the same free slots of an engine. Together they stay within
// the batch size although no entry receives information about the starts of the others.
BOOST_AUTO_TEST_CASE(entriesTogetherDoNotExceedTheBatchSize)
{
    constexpr int entries = 6;
    const std::vector<std::string> names = {"e0", "e1", "e2", "e3", "e4", "e5"};
    std::int64_t started = 0;
    for (int entry = 0; entry < entries; ++entry) {
        SchedulerFixture fixture;
        fixture.scheduler.setEntries(names[static_cast<std::size_t>(entry)], names);
        fixture.setEngines(1, 64);
        for (int i = 0; i < 100; ++i)
            fixture.add(TaskKind::Batch);
        // The load report does not change while the entries start tasks.
        for (int i = 0; i < 50; ++i) {
            fixture.now += absl::Milliseconds(20);
            for (const StartTask &start : filter<StartTask>(fixture.decide()))
                fixture.firstToken(start.task);
        }
        started += fixture.scheduler.engine("engine-0")->localTasks(TaskKind::Batch);
    }
    BOOST_TEST(started <= 64);
    BOOST_TEST(started >= 48);
}

BOOST_AUTO_TEST_SUITE_END()
