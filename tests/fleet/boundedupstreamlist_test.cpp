#include "rattanrill/fleet/boundedupstreamlist.h"

#include "fakediscovery.h"

#include "rattanrill/serving/slotbroker.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::fleet;

namespace {

/// drain-ms of the smallest deployment: time after which no request may reach an upstream that a
/// read of the platform's list has shown as draining.
constexpr absl::Duration drainLimit = absl::Seconds(3);
constexpr absl::Duration step = absl::Milliseconds(10);

/// A store that grants slots at the upstreams u and v, and fleet leaders that read the platform's
/// list each second and hold each poll of the store for 0.5 s.
struct Fixture
{
    Fixture()
    {
        list.onChange([this](const auto &upstreams, absl::Time) {
            broker.setUpstreams(upstreams, serving::CapacityShare());
        });
        showDraining(false);
        list.setActive(true);
        list.setDistributed({upstream("u", false), upstream("v", false)}, clock.now());
    }

    void showDraining(bool draining)
    {
        discovery.setPage("", {upstream("u", draining)}, "p");
        discovery.setPage("p", {upstream("v", false)}, "");
    }

    /// Grants and releases slots for \a time, one in each step.
    void grantSlots(absl::Duration time)
    {
        for (absl::Duration passed; passed < time; passed += step) {
            timers.advance(step);
            const std::string id = std::to_string(nextItem++);
            policy::SlotTask task;
            task.id = id;
            task.service = "llm";
            task.kind = policy::TaskKind::Batch;
            serving::SlotBroker::BatchHandlers handlers;
            handlers.granted = [&](const policy::GrantSlot &grant) {
                lastGrants[grant.upstream] = clock.now();
            };
            handlers.preempted = [] {};
            broker.acquireBatch(task, handlers);
            broker.releaseBatch(id, policy::ReleaseReason::Completed);
        }
    }

    /// Passes \a time with a fleet leader in touch. \a readTime: duration of its reads.
    void runWithLeader(absl::Duration time, absl::Duration readTime)
    {
        const absl::Time end = clock.now() + time;
        absl::Time readStart = clock.now();
        while (clock.now() < end) {
            // The response to a poll that was sent 0.5 s ago shows the last complete read.
            grantSlots(absl::Milliseconds(500));
            while (readStart + absl::Seconds(1) + readTime <= clock.now())
                readStart += absl::Seconds(1);
            if (readStart + readTime <= clock.now())
                list.confirmDistributed(readStart);
        }
    }

    ManualClock clock;
    ManualTimerService timers{clock};
    FakeDiscovery discovery;
    serving::SlotBroker broker{timers, clock, serving::SlotBrokerSettings()};
    BoundedUpstreamList list{timers, clock, discovery, BoundedUpstreamListSettings()};
    int nextItem = 0;
    std::map<std::string, absl::Time> lastGrants;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(BoundedUpstreamListTest, Fixture)

// Guards against a store that grants slots at a leaving upstream for as long as it finds no fleet
// leader: the leader that read the list was lost before it passed the list on.
BOOST_AUTO_TEST_CASE(grantsStopInTimeWhileNoFleetLeaderIsFound)
{
    grantSlots(absl::Milliseconds(900));
    showDraining(true);
    const absl::Time shownAt = clock.now();
    grantSlots(absl::Seconds(20));
    BOOST_TEST((lastGrants["u"] <= shownAt + drainLimit));
    BOOST_TEST((lastGrants["v"] >= clock.now() - absl::Seconds(1)));
    BOOST_TEST((list.age() <= absl::Seconds(2)));
}

// Guards against a leaving upstream that keeps its slots because a page of the direct read fails
// too.
BOOST_AUTO_TEST_CASE(grantsStopInTimeAlthoughALaterPageFails)
{
    grantSlots(absl::Milliseconds(900));
    showDraining(true);
    discovery.failPage("p", ErrorCode::RateLimited);
    const absl::Time shownAt = clock.now();
    grantSlots(absl::Seconds(20));
    BOOST_TEST((lastGrants["u"] <= shownAt + drainLimit));
    BOOST_TEST((lastGrants["v"] >= clock.now() - absl::Seconds(1)));
}

// Guards against a store that forgets what its own read showed when a fleet leader passes on a list
// that was read before.
BOOST_AUTO_TEST_CASE(earlierListDoesNotRevokeALeave)
{
    const absl::Time earlierRead = clock.now() + absl::Milliseconds(500);
    grantSlots(absl::Milliseconds(900));
    showDraining(true);
    grantSlots(absl::Seconds(2));
    list.setDistributed({upstream("u", false), upstream("v", false)}, earlierRead);
    const absl::Time passedOnAt = clock.now();
    grantSlots(absl::Seconds(5));
    BOOST_TEST((lastGrants["u"] < passedOnAt));
    // A later read counts, whatever it shows.
    list.setDistributed({upstream("u", false), upstream("v", false)}, clock.now() + step);
    grantSlots(absl::Seconds(1));
    BOOST_TEST((lastGrants["u"] > passedOnAt));
}

// Guards against a mark of the fleet leader that a direct read, which started before, removes.
BOOST_AUTO_TEST_CASE(directReadInProgressDoesNotRevokeALeave)
{
    discovery.holdCalls();
    grantSlots(absl::Milliseconds(2500));
    BOOST_TEST_REQUIRE(list.isReadingDirectly());
    list.setDistributed({upstream("u", true), upstream("v", false)},
                        clock.now() - absl::Seconds(2));
    const absl::Time passedOnAt = clock.now();
    grantSlots(step);
    discovery.releaseCalls();
    grantSlots(absl::Milliseconds(400));
    BOOST_TEST((list.age() < absl::Seconds(1)));
    BOOST_TEST((lastGrants["u"] <= passedOnAt));
    // The next read started later and counts.
    grantSlots(absl::Seconds(1));
    BOOST_TEST((lastGrants["u"] > passedOnAt));
}

// Guards against a leave that is forgotten because the page that shows it arrives after the direct
// reads have ended.
BOOST_AUTO_TEST_CASE(pageAfterTheLastDirectReadIsApplied)
{
    grantSlots(absl::Milliseconds(1900));
    discovery.holdCalls();
    showDraining(true);
    grantSlots(absl::Milliseconds(200));
    BOOST_TEST_REQUIRE(list.isReadingDirectly());
    list.confirmDistributed(clock.now() - absl::Milliseconds(500));
    BOOST_TEST(!list.isReadingDirectly());
    discovery.releaseCalls();
    const absl::Time releasedAt = clock.now();
    grantSlots(absl::Milliseconds(400));
    BOOST_TEST((lastGrants["u"] <= releasedAt));
}

// Guards against direct reads in normal operation: the platform limits the calls of all processes
// together and charges for each one.
BOOST_AUTO_TEST_CASE(listFromALeaderInTouchNeedsNoDirectRead)
{
    runWithLeader(absl::Minutes(1), absl::Milliseconds(300));
    BOOST_TEST(discovery.calls() == 0);
}

// Guards against direct reads by stores that grant no slots, and by one that has a list again.
BOOST_AUTO_TEST_CASE(onlyAGrantingStoreWithAnOldListReadsDirectly)
{
    grantSlots(absl::Seconds(10));
    BOOST_TEST(discovery.calls("") >= 7);
    BOOST_TEST(discovery.calls("") <= 9);
    list.confirmDistributed(clock.now());
    const int before = discovery.calls();
    runWithLeader(absl::Seconds(10), absl::Milliseconds(300));
    BOOST_TEST(discovery.calls() == before);
    list.setActive(false);
    grantSlots(absl::Seconds(10));
    BOOST_TEST(discovery.calls() == before);
    // A store that takes over the slots with an old list reads at once.
    list.setActive(true);
    BOOST_TEST(discovery.calls("") > 0);
    BOOST_TEST(discovery.calls() > before);
}

// Guards against a store that stops granting, or calls without end, while the platform's list can't
// be read at all.
BOOST_AUTO_TEST_CASE(lastListStaysInUseWhileThePlatformCannotBeRead)
{
    discovery.failPage("", ErrorCode::UpstreamUnavailable);
    grantSlots(absl::Seconds(30));
    BOOST_TEST((lastGrants["u"] >= clock.now() - absl::Seconds(1)));
    BOOST_TEST(discovery.calls() <= 60);
}

BOOST_AUTO_TEST_SUITE_END()
