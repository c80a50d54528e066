#include "slotschedulerfixture.h"

#include <boost/test/unit_test.hpp>

#include <set>
#include <string>

using namespace rattanrill::policy;

BOOST_FIXTURE_TEST_SUITE(SlotSchedulerVersionTest, SlotSchedulerFixture)

// Guards against a stream that goes on at another version than the one that began it.
BOOST_AUTO_TEST_CASE(boundTaskGetsASlotAtItsVersionOnly)
{
    scheduler.setUpstreams({upstreamOfVersion("a", 1, "v1"), upstreamOfVersion("b", 4, "v2")});
    scheduler.request(start, online("new", start + absl::Seconds(1)));
    BOOST_TEST(decide().granted.at("new") == "a");
    SlotTask bound = online("bound", start + absl::Seconds(1));
    bound.version = "v1";
    scheduler.request(start, bound);
    const SlotDecisions waiting = decide();
    BOOST_TEST(waiting.granted.empty());
    BOOST_TEST(waiting.rejected.empty());
    BOOST_TEST(scheduler.waiting("llm", TaskKind::Online) == 1u);
    scheduler.release(start, "new", ReleaseReason::Completed);
    BOOST_TEST(decide().granted.at("bound") == "a");
}

// Load pattern: streams of two versions are broken off while new ones fill all slots. Guards
// against resumptions that wait behind the queue of new streams, and against new ones that wait for
// a version that they do not need.
BOOST_AUTO_TEST_CASE(boundTaskGoesBeforeNewOnesAndHoldsNoneUp)
{
    scheduler.setUpstreams({upstreamOfVersion("a", 1, "v1"), upstreamOfVersion("b", 1, "v2")});
    const absl::Time deadline = start + absl::Seconds(10);
    for (const char *id : {"1", "2", "3", "4"})
        scheduler.request(start, online(id, deadline));
    BOOST_TEST(decide().granted.size() == 2u);
    SlotTask bound = online("bound", deadline);
    bound.version = "v1";
    scheduler.request(start, bound);
    scheduler.release(start, "2", ReleaseReason::Completed);
    const SlotDecisions other = decide();
    BOOST_TEST_REQUIRE(other.granted.size() == 1u);
    BOOST_TEST(other.granted.begin()->second == "b");
    BOOST_TEST(other.granted.count("bound") == 0u);
    scheduler.release(start, "1", ReleaseReason::Completed);
    BOOST_TEST(decide().granted.at("bound") == "a");
}

// Guards against a resumption that waits until its deadline for a version that has left, or of
// which it was sent to each upstream before.
BOOST_AUTO_TEST_CASE(boundTaskIsRejectedAtOnceWhenItsVersionIsGone)
{
    SlotUpstream leaving = upstreamOfVersion("a", 4, "v1");
    leaving.leaving = true;
    scheduler.setUpstreams(
            {leaving, upstreamOfVersion("b", 4, "v2"), upstreamOfVersion("c", 4, "v3")});
    SlotTask gone = online("gone", start + absl::Seconds(10));
    gone.version = "v1";
    SlotTask excluded = online("excluded", start + absl::Seconds(10));
    excluded.version = "v2";
    excluded.excluded = {"b"};
    scheduler.request(start, gone);
    scheduler.request(start, excluded);
    const SlotDecisions decisions = decide();
    BOOST_TEST((decisions.withoutVersion == std::set<std::string>{"gone", "excluded"}));
    BOOST_TEST(decisions.granted.empty());
}

// Guards against the text of an item that is joined from two versions, against items that wait for
// a version while others could start, and against one that waits for a version that has left.
BOOST_AUTO_TEST_CASE(interruptedItemWaitsForItsVersionWhileItServes)
{
    scheduler.setUpstreams({upstreamOfVersion("a", 1, "v1"), upstreamOfVersion("b", 1, "v2")});
    scheduler.request(start, batch("first"));
    BOOST_TEST(decide().granted.at("first") == "a");
    SlotTask interrupted = batch("interrupted");
    interrupted.priorRunTime = absl::Seconds(3);
    interrupted.version = "v1";
    scheduler.request(start, interrupted);
    BOOST_TEST(decide().granted.empty());
    scheduler.request(start, batch("fresh"));
    BOOST_TEST(decide().granted.at("fresh") == "b");
    scheduler.release(start, "fresh", ReleaseReason::Completed);
    scheduler.setUpstreams({upstreamOfVersion("b", 1, "v2")});
    BOOST_TEST(decide().granted.at("interrupted") == "b");
}

// Guards against late items that wait, although an upstream has free slots, behind one that can go
// on only at a version without a free slot.
BOOST_AUTO_TEST_CASE(lateItemsPassOneThatWaitsForItsVersion)
{
    scheduler.setUpstreams({upstreamOfVersion("a", 1, "v1"), upstreamOfVersion("b", 2, "v2")});
    scheduler.request(start, batch("first"));
    BOOST_TEST(decide().granted.at("first") == "a");
    SlotTask bound = batch("bound");
    bound.deadline = start;
    bound.priorRunTime = absl::Seconds(1);
    bound.version = "v1";
    scheduler.request(start, bound);
    for (const char *id : {"late-1", "late-2"}) {
        SlotTask late = batch(id);
        late.deadline = start;
        scheduler.request(start, late);
    }
    const SlotDecisions passed = decide(start + absl::Seconds(1));
    BOOST_TEST(passed.granted.size() == 2u);
    BOOST_TEST(passed.granted.count("bound") == 0u);
    scheduler.release(start + absl::Seconds(1), "first", ReleaseReason::Completed);
    BOOST_TEST(decide(start + absl::Seconds(1)).granted.count("bound") == 1u);
}

// Guards against late items, as all are after a loss of all processes, that nothing works on
// although upstreams are free: the first of them waits for a slot at its version.
BOOST_AUTO_TEST_CASE(lateItemThatWaitsForItsVersionHoldsNoneUp)
{
    scheduler.setUpstreams({upstreamOfVersion("a", 1, "v1"), upstreamOfVersion("b", 1, "v2")});
    scheduler.request(start, batch("first"));
    BOOST_TEST(decide().granted.at("first") == "a");
    const auto late = [](const std::string &id, const std::string &workspace) {
        SlotTask task = batch(id, workspace);
        task.deadline = start - absl::Seconds(1);
        return task;
    };
    SlotTask bound = late("bound", "w");
    bound.deadline -= absl::Seconds(1);
    bound.priorRunTime = absl::Seconds(3);
    bound.version = "v1";
    scheduler.request(start, bound);
    scheduler.request(start, late("free", "w"));
    scheduler.request(start, late("other", "x"));
    BOOST_TEST(decide().granted["free"] == "b");
    scheduler.release(start, "free", ReleaseReason::Cancelled);
    BOOST_TEST(decide().granted["other"] == "b");
    scheduler.release(start, "first", ReleaseReason::Cancelled);
    BOOST_TEST(decide().granted["bound"] == "a");
}

// Guards against the same for items in time: one whose output is known, but not its run time, is
// not among the interrupted ones.
BOOST_AUTO_TEST_CASE(itemThatWaitsForItsVersionHoldsNoneUp)
{
    scheduler.setUpstreams({upstreamOfVersion("a", 1, "v1"), upstreamOfVersion("b", 1, "v2")});
    scheduler.request(start, batch("first"));
    BOOST_TEST(decide().granted.at("first") == "a");
    SlotTask bound = batch("bound");
    bound.version = "v1";
    scheduler.request(start, bound);
    scheduler.request(start, batch("free"));
    BOOST_TEST(decide().granted["free"] == "b");
    SlotTask late = batch("late");
    late.deadline = start - absl::Seconds(1);
    scheduler.request(start, late);
    scheduler.release(start, "free", ReleaseReason::Cancelled);
    BOOST_TEST(decide().granted["late"] == "b");
}

BOOST_AUTO_TEST_SUITE_END()
