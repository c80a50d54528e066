#include "schedulerfixture.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace rattanrill;
using namespace rattanrill::policy;

namespace {

/// Fills the only engine with batch work that has sent its first token.
void fillWithBatch(SchedulerFixture &fixture, const std::string &workspace = "a")
{
    for (int i = 0; i < 20; ++i)
        fixture.add(TaskKind::Batch, workspace);
    for (int i = 0; i < 100; ++i) {
        for (const StartTask &start :
             fixture.only<StartTask>(fixture.advance(absl::Milliseconds(20))))
            fixture.firstToken(start.task);
    }
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(SchedulerTest, SchedulerFixture)

// Guards against head-of-line blocking: an online request waits for no batch work.
BOOST_AUTO_TEST_CASE(onlineStartsAtOnceAndBeforeBatch)
{
    setEngines(1);
    for (int i = 0; i < 50; ++i)
        add(TaskKind::Batch);
    const TaskId online = add(TaskKind::Online);
    const auto starts = only<StartTask>(decide());
    BOOST_REQUIRE(!starts.empty());
    BOOST_TEST(starts[0].task == online);
}

// Guards against batch work that takes the reserve, and against capacity left idle.
BOOST_AUTO_TEST_CASE(batchFillsUpToTheReserveWithinASecond)
{
    setEngines(1);
    for (int i = 0; i < 50; ++i)
        add(TaskKind::Batch);
    for (const StartTask &start : only<StartTask>(advance(absl::Seconds(1))))
        firstToken(start.task);
    for (const StartTask &start : only<StartTask>(advance(absl::Seconds(1))))
        firstToken(start.task);
    BOOST_TEST(running.size() >= 6U);
    BOOST_TEST(running.size() < 8U);
}

// Guards against starvation of online work by batch: with every place taken, each online request
// of a burst preempts one batch stream in the same decision.
BOOST_AUTO_TEST_CASE(onlineBurstPreemptsBatchAtOnce)
{
    setEngines(1);
    fillWithBatch(*this);
    const std::size_t batch = running.size();
    const std::size_t burst = 8;
    for (std::size_t i = 0; i < burst; ++i)
        add(TaskKind::Online);
    const std::vector<SchedulerDecision> made = decide();
    BOOST_TEST(only<StartTask>(made).size() == burst);
    BOOST_TEST(only<PreemptTask>(made).size() == batch + burst - 8);
    for (const PreemptTask &preempt : only<PreemptTask>(made))
        BOOST_TEST(preempt.task <= 20U);
}

// Guards against lost progress: preempted work starts again from its last token.
BOOST_AUTO_TEST_CASE(preemptedWorkContinuesFromItsProgress)
{
    setEngines(1);
    fillWithBatch(*this);
    std::set<TaskId> online;
    for (int i = 0; i < 8; ++i)
        online.insert(add(TaskKind::Online));
    const auto preempts = only<PreemptTask>(decide());
    BOOST_REQUIRE(!preempts.empty());
    for (const PreemptTask &preempt : preempts)
        carryOut(preempt, 40);
    for (const TaskId id : online)
        finish(id);
    std::set<TaskId> again;
    for (int i = 0; i < 60; ++i) {
        for (const StartTask &start : only<StartTask>(advance(absl::Milliseconds(20)))) {
            firstToken(start.task);
            if (start.attempt == 2) {
                BOOST_TEST(start.resumeAfter == 40);
                again.insert(start.task);
            }
        }
    }
    BOOST_TEST(again.size() + 1 >= preempts.size());
}

// Guards against an item that is preempted until it is late: it stops being preemptible when its
// slack is used up.
BOOST_AUTO_TEST_CASE(itemUnderRepeatedPreemptionMeetsItsDueTime)
{
    setEngines(1, 2);
    Task item = task(TaskKind::Batch);
    item.deadline = now + absl::Seconds(60);
    add(item);
    std::int64_t delivered = 0;
    int preemptions = 0;
    absl::Time finishedAt = absl::InfiniteFuture();
    std::set<TaskId> online;
    // An online burst every 200 ms takes every place; the item gets a token in 50 ms while it runs.
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
        for (const PreemptTask &preempt : only<PreemptTask>(decide())) {
            BOOST_TEST(preempt.task == item.id);
            ++preemptions;
            carryOut(preempt, delivered);
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

// Guards against unequal treatment under overload: a workspace with ten times the requests delays
// another one by no more than its share.
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
    // Four of the surge were started before the other workspace arrived.
    BOOST_TEST(served <= 24U);
}

// Guards against a refusal inside the contract while work outside its contract is served.
BOOST_AUTO_TEST_CASE(workOutsideTheContractIsRefusedFirst)
{
    setEngines(1, 2);
    std::set<TaskId> outside;
    for (int i = 0; i < 4; ++i) {
        Task beyond = task(TaskKind::Online);
        beyond.insideContract = false;
        outside.insert(add(beyond));
    }
    for (int i = 0; i < 2; ++i)
        add(TaskKind::Online);
    const std::vector<SchedulerDecision> made = decide();
    BOOST_TEST(only<StartTask>(made).size() == 2U);
    for (const StartTask &start : only<StartTask>(made))
        BOOST_TEST(outside.count(start.task) == 0U);
    BOOST_TEST(only<RejectTask>(made).size() == 4U);
    for (const RejectTask &refuse : only<RejectTask>(made)) {
        BOOST_TEST(outside.count(refuse.task) == 1U);
        BOOST_TEST((refuse.failure.run == EffectState::NotRun));
    }
}

// Guards against waits without end and against a refusal that claims too much or too little.
BOOST_AUTO_TEST_CASE(onlineIsRefusedAsNotRunAfterTheQueueLimit)
{
    setEngines(1, 1);
    add(TaskKind::Online);
    const TaskId waiting = add(TaskKind::Online);
    BOOST_TEST(only<StartTask>(decide()).size() == 1U);
    BOOST_TEST((scheduler.nextDecision() < absl::InfiniteFuture()));
    const auto refused = only<RejectTask>(advance(absl::Milliseconds(500)));
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST(refused[0].task == waiting);
    BOOST_TEST((refused[0].failure.code == ErrorCode::Overloaded));
    BOOST_TEST((refused[0].failure.run == EffectState::NotRun));
}

// Guards against a second run of a request that is not idempotent and may have run.
BOOST_AUTO_TEST_CASE(nonIdempotentIsNeverRetriedAfterItMayHaveRun)
{
    setEngines(3);
    for (const AttemptFailure::Kind kind :
         {AttemptFailure::Kind::Broken, AttemptFailure::Kind::Crashed}) {
        Task once = task(TaskKind::Online);
        once.idempotent = false;
        add(once);
        decide();
        fail(once.id, kind);
        const std::vector<SchedulerDecision> after = advance(absl::Seconds(2));
        BOOST_TEST(only<StartTask>(after).empty());
        const auto refused = only<RejectTask>(after);
        BOOST_REQUIRE(refused.size() == 1U);
        BOOST_TEST((refused[0].failure.run == EffectState::MayHaveRun));
    }
    Task once = task(TaskKind::Online);
    once.idempotent = false;
    add(once);
    decide();
    fail(once.id, AttemptFailure::Kind::Refused);
    BOOST_TEST(only<StartTask>(advance(absl::Seconds(1))).size() == 1U);
}

// Guards against a broken stream that starts over: an idempotent one continues elsewhere.
BOOST_AUTO_TEST_CASE(idempotentContinuesOnAnotherEngineFromTheLastToken)
{
    setEngines(3);
    const TaskId id = add(TaskKind::Online);
    decide();
    const std::string failedEngine = running.at(id).engine;
    fail(id, AttemptFailure::Kind::Broken, 17);
    const auto again = only<StartTask>(advance(absl::Milliseconds(200)));
    BOOST_REQUIRE(again.size() == 1U);
    BOOST_TEST(again[0].resumeAfter == 17);
    BOOST_TEST(again[0].attempt == 2);
    BOOST_TEST(again[0].engine != failedEngine);
}

// Guards against an answer of an earlier try that ends or changes the current one.
BOOST_AUTO_TEST_CASE(eventsOfAnEarlierTryAreIgnored)
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

// Guards against more than two crashes by one request, and against innocent requests that are held
// with it: suspects run on engines without another suspect.
BOOST_AUTO_TEST_CASE(poisonIsHeldAndInnocentsComplete)
{
    setEngines(4);
    std::set<TaskId> innocents;
    Task poison = task(TaskKind::Online);
    add(poison);
    decide();
    const std::string first = running.at(poison.id).engine;
    for (int i = 0; i < 12; ++i)
        innocents.insert(add(TaskKind::Online));
    decide();
    std::set<std::string> crashed;
    std::size_t completed = 0;
    bool held = false;
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
                completed += innocents.count(id);
            }
        }
        for (const RejectTask &refuse : only<RejectTask>(advance(absl::Milliseconds(40)))) {
            BOOST_TEST(refuse.task == poison.id);
            held = (refuse.failure.code == ErrorCode::RequestQuarantined);
        }
    }
    BOOST_TEST(crashed.count(first) == 1U);
    BOOST_TEST(crashed.size() == 2U);
    BOOST_TEST(held);
    BOOST_TEST(completed == 12U);
    poison.id = nextWork++;
    add(poison);
    const auto refused = only<RejectTask>(decide());
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST((refused[0].failure.code == ErrorCode::RequestQuarantined));
}

// Guards against work for an upstream that leaves, while its running work is left alone.
BOOST_AUTO_TEST_CASE(leavingEngineGetsNoNewWork)
{
    setEngines(1);
    const TaskId before = add(TaskKind::Online);
    decide();
    scheduler.setEngines(now, {{"engine-0", "m", "d", true}});
    for (int i = 0; i < 20; ++i) {
        add(TaskKind::Online);
        add(TaskKind::Batch);
    }
    BOOST_TEST(only<StartTask>(advance(absl::Milliseconds(300))).empty());
    BOOST_TEST(running.count(before) == 1U);
    BOOST_TEST(scheduler.batchCapacity(now) == 0U);
}

// Guards against a cancelled job whose item runs or waits on, and against counts that drift.
BOOST_AUTO_TEST_CASE(withdrawnWorkIsForgotten)
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

// Guards against an item that fails without end.
BOOST_AUTO_TEST_CASE(impossibleBatchItemIsRefusedAfterItsTries)
{
    SchedulerSettings settings;
    setEngines(2);
    const TaskId id = add(TaskKind::Batch);
    int tries = 0;
    std::vector<RejectTask> refused;
    for (int i = 0; i < 500 && refused.empty(); ++i) {
        refused = only<RejectTask>(advance(absl::Milliseconds(100)));
        if (running.count(id) > 0) {
            ++tries;
            fail(id, AttemptFailure::Kind::Broken);
        }
    }
    BOOST_TEST(tries == settings.maxBatchAttempts);
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST((refused[0].failure.code == ErrorCode::ItemFailed));
}

// Guards against several entries that all fill the same free places: together they stay below the
// batch size although no one knows of the others' starts.
BOOST_AUTO_TEST_CASE(entriesTogetherDoNotOvershoot)
{
    constexpr int entries = 6;
    const std::vector<std::string> names = {"e0", "e1", "e2", "e3", "e4", "e5"};
    std::int64_t started = 0;
    for (int entry = 0; entry < entries; ++entry) {
        SchedulerFixture other;
        other.scheduler.setEntries(names[static_cast<std::size_t>(entry)], names);
        other.setEngines(1, 64);
        for (int i = 0; i < 100; ++i)
            other.add(TaskKind::Batch);
        // The report does not change while the entries start work on it.
        for (int i = 0; i < 50; ++i) {
            other.now += absl::Milliseconds(20);
            for (const StartTask &start : only<StartTask>(other.decide()))
                other.firstToken(start.task);
        }
        started += other.scheduler.engine("engine-0")->localTasks(TaskKind::Batch);
    }
    BOOST_TEST(started <= 64);
    BOOST_TEST(started >= 48);
}

BOOST_AUTO_TEST_SUITE_END()
