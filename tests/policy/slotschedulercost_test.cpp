#include "rattanrill/base/concat.h"
#include "rattanrill/policy/slotscheduler.h"

#include "absl/time/time.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <ctime>
#include <string>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::policy;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
constexpr int upstreamCount = 57;
constexpr int slotsPerUpstream = 8;

absl::Duration threadTime()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return absl::DurationFromTimespec(time);
}

SlotTask online(const std::string &id)
{
    SlotTask task;
    task.id = id;
    task.service = "llm";
    task.workspace = "w";
    task.deadline = start + absl::Seconds(5);
    return task;
}

/// A scheduler all of whose slots are taken.
struct Fixture
{
    Fixture()
    {
        std::vector<SlotUpstream> upstreams;
        for (int i = 0; i < upstreamCount; ++i) {
            const std::string id = concat("i-", i);
            upstreams.push_back({id, "llm", id + ":1", "d", slotsPerUpstream, false, "version-1"});
        }
        scheduler.setUpstreams(upstreams);
        for (int i = 0; i < upstreamCount * slotsPerUpstream; ++i)
            scheduler.request(start, online(concat("running-", i)));
        BOOST_TEST_REQUIRE(scheduler.decide(start).size()
                           == std::size_t(upstreamCount * slotsPerUpstream));
    }

    /// Adds tasks that continue a stream, each of which was at one of the upstreams before.
    void addBound(int count)
    {
        for (int i = 0; i < count; ++i) {
            SlotTask task = online(concat("bound-", m_boundCount++));
            task.version = "version-1";
            task.excluded = {concat("i-", i % upstreamCount)};
            scheduler.request(now, task);
        }
        BOOST_TEST_REQUIRE(scheduler.decide(now).empty());
    }

    /// Frees the slots of the first upstream, which is then ejected for server errors.
    void ejectFirst()
    {
        // Requests go to the upstreams in turn.
        for (int i = 0; i < slotsPerUpstream; ++i)
            scheduler.cancel(concat("running-", i * upstreamCount));
        bool isEjected = false;
        while (!isEjected) {
            now += absl::Milliseconds(20);
            BOOST_TEST_REQUIRE((now < start + absl::Seconds(2)));
            for (int i = 0; i < upstreamCount; ++i) {
                scheduler.adopt(now, online("response"), concat("i-", i));
                const auto reason = i == 0 ? ReleaseReason::ServerError : ReleaseReason::Completed;
                isEjected = scheduler.release(now, "response", reason) || isEjected;
            }
        }
    }

    /// Least processor time of a number of decisions, so that an interruption does not count.
    absl::Duration decisionTime()
    {
        absl::Duration least = absl::InfiniteDuration();
        for (int i = 0; i < 50; ++i) {
            const absl::Duration before = threadTime();
            BOOST_TEST_REQUIRE(scheduler.decide(now).empty());
            least = std::min(least, threadTime() - before);
        }
        return least;
    }

    absl::Time now = start;
    SlotScheduler scheduler{SlotSchedulerSettings()};

private:
    int m_boundCount = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SlotSchedulerCostTest, Fixture)

// Load pattern: all upstreams pause, and hundreds of streams wait to be continued. Each release and
// each request leads to a decision. Guards against a decision whose processor time grows with the
// number of tasks that wait: the broker then responds too late to all entries.
BOOST_AUTO_TEST_CASE(decisionWithoutAFreeSlotDoesNotGrowWithWaitingTasks)
{
    addBound(10);
    const absl::Duration few = decisionTime();
    addBound(990);
    const absl::Duration many = decisionTime();
    BOOST_TEST_MESSAGE("10 tasks: " << few << ", 1000 tasks: " << many);
    BOOST_TEST(many < few * 5);
}

// The same while an upstream with free slots is ejected for server errors, and the others, which
// are full, are the ones to wait for.
BOOST_AUTO_TEST_CASE(decisionBesideAFailingUpstreamDoesNotGrowWithWaitingTasks)
{
    ejectFirst();
    addBound(10);
    const absl::Duration few = decisionTime();
    addBound(990);
    const absl::Duration many = decisionTime();
    BOOST_TEST_MESSAGE("10 tasks: " << few << ", 1000 tasks: " << many);
    BOOST_TEST(many < few * 5);
}

// Guards against a task that is passed over although the slot that became free is one it can take,
// and against one that gets a slot at the upstream that its stream was at.
BOOST_AUTO_TEST_CASE(freedSlotGoesToTheFirstTaskThatCanTakeIt)
{
    addBound(3);
    // Requests go to the upstreams in turn, so the first one runs at the first upstream.
    scheduler.release(start, "running-0", ReleaseReason::Cancelled, "");
    const std::vector<SlotDecision> decisions = scheduler.decide(start);
    BOOST_TEST_REQUIRE(decisions.size() == 1u);
    const auto *grant = std::get_if<GrantSlot>(&decisions.front());
    BOOST_TEST_REQUIRE(grant != nullptr);
    BOOST_TEST(grant->upstream == "i-0");
    BOOST_TEST(grant->task == "bound-1");
}

// Guards against tasks that are not rejected because no slot was free when their version left.
BOOST_AUTO_TEST_CASE(versionThatLeavesWhileNoSlotIsFreeIsGone)
{
    addBound(3);
    scheduler.setUpstreams({{"n", "llm", "n:1", "d", 0, false, "version-2"}});
    const std::vector<SlotDecision> decisions = scheduler.decide(start);
    BOOST_TEST(decisions.size() == 3u);
    for (const SlotDecision &decision : decisions) {
        const auto *rejection = std::get_if<RejectSlot>(&decision);
        BOOST_TEST_REQUIRE(rejection != nullptr);
        BOOST_TEST(rejection->isVersionGone);
    }
}

BOOST_AUTO_TEST_SUITE_END()
