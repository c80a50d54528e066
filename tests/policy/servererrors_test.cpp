#include "rattanrill/policy/slotscheduler.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <queue>
#include <string>
#include <utility>
#include <vector>

using namespace rattanrill::policy;

/// How SlotScheduler assigns slots while upstreams respond with server errors.
namespace {

constexpr absl::Duration holdTime = absl::Milliseconds(250);

struct Fixture
{
    void setUpstreams(int count, std::int64_t slots = 4)
    {
        std::vector<SlotUpstream> list;
        for (int i = 0; i < count; ++i)
            list.push_back({std::to_string(i), "llm", "a:1", "d", slots, false, versionOf(i)});
        scheduler.setUpstreams(list);
    }

    std::string versionOf(int upstream) const
    {
        const auto found = versions.find(upstream);
        return found == versions.end() ? "v1" : found->second;
    }

    SlotTask task(TaskKind kind = TaskKind::Online)
    {
        SlotTask result;
        result.id = std::to_string(nextTask++);
        result.service = "llm";
        result.workspace = "w";
        result.kind = kind;
        result.deadline = now + absl::Milliseconds(100);
        return result;
    }

    /// Returns the index of the upstream that the task is granted; -1 without one.
    int grant(const SlotTask &newTask)
    {
        scheduler.request(now, newTask);
        int upstream = -1;
        for (const SlotDecision &decision : scheduler.decide(now)) {
            const auto *granted = std::get_if<GrantSlot>(&decision);
            if (granted != nullptr && granted->task == newTask.id)
                upstream = std::stoi(granted->upstream);
        }
        if (upstream < 0)
            scheduler.cancel(newTask.id);
        return upstream;
    }

    /// Releases a slot and counts the ejections.
    void release(const std::string &id, ReleaseReason reason)
    {
        ejections += scheduler.release(now, id, reason) ? 1 : 0;
    }

    /// Sends one task per \a interval for \a length. \a fails tells by the upstream and the number
    /// of the task whether it fails; a failed task ends at once, another one after holdTime.
    template <typename Fails>
    void run(absl::Duration length, absl::Duration interval, const Fails &fails)
    {
        for (const absl::Time end = now + length; now < end; now += interval) {
            while (!ends.empty() && ends.front().first <= now) {
                release(ends.front().second, ReleaseReason::Completed);
                ends.pop();
            }
            const SlotTask next = task();
            const int upstream = grant(next);
            if (upstream < 0)
                continue;
            ++granted[upstream];
            if (fails(upstream, nextTask))
                release(next.id, ReleaseReason::ServerError);
            else
                ends.emplace(now + holdTime, next.id);
        }
    }

    /// Fraction of the tasks that upstreams below \a count got.
    double shareBelow(int count) const
    {
        double below = 0;
        double all = 0;
        for (const auto &[upstream, tasks] : granted) {
            below += upstream < count ? tasks : 0;
            all += tasks;
        }
        return below / all;
    }

    /// Ejects upstream 0 of \a count, which are all known.
    void ejectFirst(int count)
    {
        setUpstreams(count);
        run(absl::Seconds(1), absl::Milliseconds(2),
            [](int upstream, int) { return upstream == 0; });
        BOOST_TEST_REQUIRE(ejections == 1);
        while (!ends.empty()) {
            release(ends.front().second, ReleaseReason::Completed);
            ends.pop();
        }
    }

    /// Ejects upstream 0 of four and makes upstream 1, the only other one of its version,
    /// unreachable for the sender "e" alone.
    void ejectFirstAndCutOffSecond()
    {
        versions = {{0, "v0"}, {1, "v0"}};
        ejectFirst(4);
        SlotTask lost = boundTask(TaskKind::Online);
        BOOST_TEST_REQUIRE(grant(lost) == 1);
        release(lost.id, ReleaseReason::Unreachable);
    }

    /// A task of the sender "e" that needs an upstream of the version "v0".
    SlotTask boundTask(TaskKind kind)
    {
        SlotTask result = task(kind);
        result.sender = "e";
        result.version = "v0";
        return result;
    }

    absl::Time now = absl::FromUnixSeconds(1000);
    int nextTask = 1;
    std::map<int, std::string> versions;
    std::queue<std::pair<absl::Time, std::string>> ends;
    std::map<int, int> granted;
    int ejections = 0;
    SlotScheduler scheduler{SlotSchedulerSettings()};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerErrorsTest, Fixture)

// Guards against a resumed stream that waits although the only upstream of its version that it does
// not exclude is free, because that one is ejected for server errors.
BOOST_AUTO_TEST_CASE(failingUpstreamServesWhatExcludesTheOthers)
{
    versions = {{0, "v0"}, {1, "v0"}};
    ejectFirst(4);
    SlotTask resumed = task();
    resumed.version = "v0";
    BOOST_TEST(grant(resumed) == 1);
    SlotTask excluding = task();
    excluding.version = "v0";
    excluding.excluded = {"1"};
    BOOST_TEST(grant(excluding) == 0);
}

// Guards against a resumed stream that waits although a failing upstream would accept it, because
// the only other one of its version is sound for other senders.
BOOST_AUTO_TEST_CASE(failingUpstreamServesASenderThatReachesNoOther)
{
    ejectFirstAndCutOffSecond();
    SlotTask ofOtherSender = boundTask(TaskKind::Online);
    ofOtherSender.sender = "f";
    BOOST_TEST(grant(ofOtherSender) == 1);
    const SlotTask resumed = boundTask(TaskKind::Online);
    const PlacementExplanation explanation = scheduler.explain(now, resumed);
    BOOST_TEST(explanation.upstream == "0");
    BOOST_TEST(grant(resumed) == 0);
}

// The same for batch items, also while the other upstream of their version has no free slot.
BOOST_AUTO_TEST_CASE(failingUpstreamServesBatchOfASenderThatReachesNoOther)
{
    ejectFirstAndCutOffSecond();
    BOOST_TEST(grant(boundTask(TaskKind::Batch)) == 0);
    while (grant(task()) != -1) {
    }
    BOOST_TEST(grant(boundTask(TaskKind::Batch)) == 0);
}

// Guards against streams and batch items that wait for an upstream whose rate is 0, although a
// failing one of their version would accept them.
BOOST_AUTO_TEST_CASE(failingUpstreamServesWhileTheOtherGetsNoRequests)
{
    versions = {{0, "v0"}, {1, "v0"}};
    ejectFirst(4);
    scheduler.setWarmUp(now, "1", {absl::Seconds(8), 0});
    scheduler.coldReported(now, "1", absl::Seconds(5));
    BOOST_TEST(grant(boundTask(TaskKind::Online)) == 0);
    BOOST_TEST(grant(boundTask(TaskKind::Batch)) == 0);
}

// Load pattern: nine of 36 upstreams respond with an error at once and so always have the least
// load. Guards against these upstreams getting most requests. An even spread would be a quarter.
BOOST_AUTO_TEST_CASE(upstreamsThatFailFastGetFewRequests)
{
    setUpstreams(36);
    run(absl::Seconds(20), absl::Microseconds(2500),
        [](int upstream, int) { return upstream < 9; });
    BOOST_TEST_MESSAGE("share of requests at failing upstreams: " << shareBelow(9));
    BOOST_TEST(shareBelow(9) < 0.05);
    // They recover.
    run(absl::Seconds(12), absl::Microseconds(2500), [](int, int) { return false; });
    granted.clear();
    run(absl::Seconds(2), absl::Microseconds(2500), [](int, int) { return false; });
    BOOST_TEST(shareBelow(9) > 0.15);
}

// Load pattern: a caller's requests fail at every upstream, alone or between others that succeed.
// Guards against ejections because of bad requests.
BOOST_AUTO_TEST_CASE(requestsThatFailEverywhereEjectNothing)
{
    setUpstreams(12);
    run(absl::Seconds(10), absl::Milliseconds(10), [](int, int) { return true; });
    run(absl::Seconds(10), absl::Milliseconds(10), [](int, int number) { return number % 2 == 0; });
    BOOST_TEST(ejections == 0);
}

// Guards against an upstream that fails 40% of its requests and keeps its share of them, because
// each success clears it.
BOOST_AUTO_TEST_CASE(upstreamThatFailsAPartOfItsRequestsIsLeft)
{
    setUpstreams(6);
    run(absl::Seconds(20), absl::Milliseconds(20),
        [](int upstream, int number) { return upstream == 0 && number % 5 < 2; });
    BOOST_TEST_MESSAGE("share of requests at the failing upstream: " << shareBelow(1));
    BOOST_TEST(shareBelow(1) < 0.05);
}

// Guards against streams and batch items that wait for the only upstream of their version, or the
// only one that is not excluded, because it is ejected for its server errors.
BOOST_AUTO_TEST_CASE(onlyUpstreamOfATaskStaysUsable)
{
    versions = {{0, "v0"}};
    ejectFirst(4);
    BOOST_TEST(grant(task()) != 0);
    for (const TaskKind kind : {TaskKind::Online, TaskKind::Batch}) {
        SlotTask bound = task(kind);
        bound.version = "v0";
        BOOST_TEST(grant(bound) == 0);
    }
    SlotTask excluding = task();
    excluding.excluded = {"1", "2", "3"};
    BOOST_TEST(grant(excluding) == 0);
    SlotTask other = task();
    other.version = "v1";
    BOOST_TEST(grant(other) != 0);
}

// Guards against an unreachable upstream that is used because it also had server errors.
BOOST_AUTO_TEST_CASE(unreachableUpstreamIsNotUsableForItsVersion)
{
    versions = {{0, "v0"}};
    ejectFirst(4);
    SlotTask bound = task();
    bound.version = "v0";
    BOOST_TEST_REQUIRE(grant(bound) == 0);
    release(bound.id, ReleaseReason::Unreachable);
    bound.id += "-again";
    BOOST_TEST(grant(bound) == -1);
}

// Guards against a wrong expected wait: an error that arrives at once says nothing on the time for
// which requests hold their slots.
BOOST_AUTO_TEST_CASE(serverErrorsDoNotChangeTheMeanHoldTime)
{
    setUpstreams(1, 1);
    for (int i = 0; i < 100; ++i) {
        const SlotTask failing = task();
        BOOST_TEST_REQUIRE(grant(failing) == 0);
        release(failing.id, ReleaseReason::ServerError);
    }
    grant(task());
    // 100 ms are too short for a hold time of 700 ms, so this is rejected without waiting.
    scheduler.request(now, task());
    BOOST_TEST(std::holds_alternative<RejectSlot>(scheduler.decide(now).at(0)));
}

// Guards against an upstream that stays suspected of a failed connection although it responds.
BOOST_AUTO_TEST_CASE(serverErrorShowsThatTheUpstreamIsReachable)
{
    setUpstreams(1);
    for (const ReleaseReason reason :
         {ReleaseReason::Failed, ReleaseReason::Failed, ReleaseReason::ServerError,
          ReleaseReason::Failed, ReleaseReason::Failed}) {
        const SlotTask next = task();
        BOOST_TEST_REQUIRE(grant(next) == 0);
        release(next.id, reason);
    }
    BOOST_TEST(ejections == 0);
}

BOOST_AUTO_TEST_SUITE_END()
