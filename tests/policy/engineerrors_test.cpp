#include "schedulerfixture.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <queue>
#include <string>
#include <utility>
#include <vector>

using namespace rattanrill::policy;

/// How Scheduler chooses engines that respond with server errors.
namespace {

constexpr absl::Duration holdTime = absl::Milliseconds(240);

/// Two of five attempts, with a success after each failure.
bool failsInPart(int attempt)
{
    return attempt % 5 == 0 || attempt % 5 == 2;
}

struct Fixture : SchedulerFixture
{
    /// Adds one task of \a kind per \a interval for \a length. \a fails tells by the engine and the
    /// number of the attempt whether it fails; a failed attempt ends at once, another one after
    /// holdTime.
    template <typename Fails>
    void run(absl::Duration length, absl::Duration interval, TaskKind kind, const Fails &fails)
    {
        for (const absl::Time end = now + length; now < end; now += interval) {
            report();
            while (!ends.empty() && ends.front().first <= now) {
                finish(ends.front().second);
                ends.pop();
            }
            Task next = task(kind);
            next.deadline = now + absl::Hours(1);
            next.idempotent = true;
            add(next);
            for (const StartTask &start : filter<StartTask>(decide())) {
                ++starts[start.engine];
                if (fails(start.engine, ++attempts))
                    ejections += respondWithError(start.task) ? 1 : 0;
                else
                    ends.emplace(now + holdTime, start.task);
            }
        }
    }

    /// Runs tasks on six engines, of which "engine-0" fails in part. Ends after a number of
    /// attempts, because batch tasks start less often.
    void runWithFailingEngine(TaskKind kind, absl::Duration interval)
    {
        setEngines(6);
        int attemptsAtFirst = 0;
        const auto fails = [&](const std::string &engine, int) {
            return engine == "engine-0" && failsInPart(++attemptsAtFirst);
        };
        while (attempts < 1000)
            run(interval, interval, kind, fails);
    }

    /// Runs tasks on "engine-0", which fails in part: first as the only engine, which is never
    /// ejected, then beside "engine-1", until "engine-0" is ejected.
    void ejectFirstOfTwo()
    {
        const absl::Duration interval = absl::Milliseconds(20);
        int attemptsAtFirst = 0;
        const auto fails = [&](const std::string &engine, int) {
            return engine == "engine-0" && failsInPart(++attemptsAtFirst);
        };
        setEngines(1);
        run(absl::Seconds(5), interval, TaskKind::Online, fails);
        BOOST_TEST(ejections == 0);
        setEngines(2, 32);
        for (int i = 0; i < 1000 && ejections == 0; ++i)
            run(interval, interval, TaskKind::Online, fails);
        BOOST_TEST_REQUIRE(ejections == 1);
    }

    /// Has "engine-0" respond with three errors, after which it is idle and suspected, but not
    /// ejected. "engine-1" is idle, too, and has not responded.
    void suspectFirstOfTwo()
    {
        setEngines(1);
        std::vector<TaskId> ids;
        for (int i = 0; i < 4; ++i) {
            Task next = task(TaskKind::Online);
            // So that it is not retried.
            next.idempotent = false;
            ids.push_back(add(next));
        }
        decide();
        setEngines(2);
        respondWithError(ids[0]);
        respondWithError(ids[1]);
        // Three consecutive failures would eject the engine.
        finish(ids[2]);
        respondWithError(ids[3]);
        decide();
        report();
    }

    double shareOf(const std::string &engine) const
    {
        double all = 0;
        for (const auto &[name, count] : starts)
            all += count;
        const auto found = starts.find(engine);
        return found == starts.end() ? 0 : found->second / all;
    }

    std::queue<std::pair<absl::Time, TaskId>> ends;
    std::map<std::string, int> starts;
    int attempts = 0;
    int ejections = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EngineErrorsTest, Fixture)

// Guards against an engine that fails 40% of its tasks and keeps its share of them, because each
// success clears its failures.
BOOST_AUTO_TEST_CASE(engineThatFailsAPartOfItsOnlineTasksIsLeft)
{
    runWithFailingEngine(TaskKind::Online, absl::Milliseconds(20));
    BOOST_TEST_MESSAGE("share of tasks at the failing engine: " << shareOf("engine-0"));
    BOOST_TEST(shareOf("engine-0") < 0.05);
}

// Guards against the same for batch tasks, which another function assigns. They arrive so far apart
// that successes come between the failures. An even spread would be a sixth.
BOOST_AUTO_TEST_CASE(engineThatFailsAPartOfItsBatchTasksIsLeft)
{
    runWithFailingEngine(TaskKind::Batch, absl::Milliseconds(40));
    BOOST_TEST_MESSAGE("share of tasks at the failing engine: " << shareOf("engine-0"));
    BOOST_TEST(shareOf("engine-0") < 1.0 / 12);
}

// Guards against an error response that counts as a broken connection, and against a refusal or a
// broken stream that counts as a server error.
BOOST_AUTO_TEST_CASE(onlyErrorResponsesAreServerErrors)
{
    using Kind = AttemptFailure::Kind;
    const auto isServerError = [](Kind kind, rattanrill::ErrorCode code) {
        return AttemptFailure{kind, 0, rattanrill::mayHaveRun(code, "")}.isServerError();
    };
    BOOST_TEST(isServerError(Kind::Broken, rattanrill::ErrorCode::UpstreamFailed));
    BOOST_TEST(isServerError(Kind::Broken, rattanrill::ErrorCode::UpstreamBusy));
    BOOST_TEST(!isServerError(Kind::Broken, rattanrill::ErrorCode::StreamBroken));
    BOOST_TEST(!isServerError(Kind::Refused, rattanrill::ErrorCode::UpstreamBusy));
    BOOST_TEST(!isServerError(Kind::Invalid, rattanrill::ErrorCode::UpstreamFailed));
}

// Guards against ejections because of bad requests.
BOOST_AUTO_TEST_CASE(tasksThatFailEverywhereEjectNothing)
{
    setEngines(6);
    run(absl::Seconds(20), absl::Milliseconds(20), TaskKind::Online,
        [](const std::string &, int attempt) { return failsInPart(attempt); });
    BOOST_TEST(ejections == 0);
}

// Guards against tasks without an engine, because the only one, or the only one that has not
// crashed, has server errors.
BOOST_AUTO_TEST_CASE(onlyEngineStaysUsable)
{
    ejectFirstOfTwo();
    const TaskId first = add(TaskKind::Online);
    decide();
    BOOST_TEST_REQUIRE(running.at(first).engine == "engine-1");
    fail(first, AttemptFailure::Kind::Crashed);
    const TaskId second = add(TaskKind::Online);
    decide();
    BOOST_TEST(running.at(second).engine == "engine-0");
}

// Guards against an ejected engine that is withheld from a task which no other engine accepts: the
// task was sent again to the engine that had refused it.
BOOST_AUTO_TEST_CASE(taskRefusedByTheOtherEngineIsSentToTheEjectedOne)
{
    ejectFirstOfTwo();
    // First attempts without errors add to the retry budget.
    run(absl::Milliseconds(400), absl::Milliseconds(20), TaskKind::Online,
        [](const std::string &, int) { return false; });
    const TaskId id = add(TaskKind::Online);
    decide();
    BOOST_TEST_REQUIRE(running.at(id).engine == "engine-1");
    fail(id, AttemptFailure::Kind::Refused);
    advance(absl::Milliseconds(100));
    BOOST_TEST_REQUIRE(running.count(id) == 1U);
    BOOST_TEST(running.at(id).engine == "engine-0");
}

// Guards against a suspect that is sent again to the engine that crashed under it, because the
// other one is ejected.
BOOST_AUTO_TEST_CASE(suspectIsSentToTheEjectedEngineBeforeTheCrashedOne)
{
    ejectFirstOfTwo();
    const Task suspect = task(TaskKind::Online);
    scheduler.applyCrashRecord(now, suspect.fingerprint, {"engine-1"}, false);
    add(suspect);
    decide();
    BOOST_TEST_REQUIRE(running.count(suspect.id) == 1U);
    BOOST_TEST(running.at(suspect.id).engine == "engine-0");
}

// Guards against preemptions at a full engine while a suspected one is idle.
BOOST_AUTO_TEST_CASE(idleSuspectedEngineIsUsedBeforeTasksArePreempted)
{
    suspectFirstOfTwo();
    const TaskId batch = add(TaskKind::Batch);
    decide();
    BOOST_TEST_REQUIRE(running.at(batch).engine == "engine-1");
    engines["engine-1"].running = 8;
    report();
    const TaskId online = add(TaskKind::Online);
    BOOST_TEST(filter<PreemptTask>(decide()).empty());
    BOOST_TEST_REQUIRE(running.count(online) == 1U);
    BOOST_TEST(running.at(online).engine == "engine-0");
}

// Guards against the rejection of a task outside its contract, because the load of the engine that
// is not suspected exceeds the limit for such tasks.
BOOST_AUTO_TEST_CASE(idleSuspectedEngineIsUsedForTasksOutsideTheirContract)
{
    suspectFirstOfTwo();
    engines["engine-1"].running = 7;
    report();
    Task excessTask = task(TaskKind::Online);
    excessTask.insideContract = false;
    add(excessTask);
    BOOST_TEST(filter<RejectTask>(decide()).empty());
    BOOST_TEST_REQUIRE(running.count(excessTask.id) == 1U);
    BOOST_TEST(running.at(excessTask.id).engine == "engine-0");
}

// Guards against items that are leased for an engine that is passed over.
BOOST_AUTO_TEST_CASE(noItemsAreLeasedForSuspectedEngines)
{
    suspectFirstOfTwo();
    BOOST_TEST(scheduler.batchCapacity(now) > 0U);
    // Number of slots of the other engine.
    BOOST_TEST(scheduler.batchCapacity(now) <= 8U);
}

BOOST_AUTO_TEST_SUITE_END()
