#include "rattanrill/policy/fairqueue.h"
#include "rattanrill/policy/leasequeue.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>
#include <string>

using namespace rattanrill::policy;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
const absl::Time later = absl::InfiniteFuture();

/// Serves the front and charges \a tokens to \a owner's workspace.
TaskId serve(FairQueue &queue, const std::map<TaskId, std::string> &owner, double tokens)
{
    const TaskId task = *queue.front();
    queue.remove(task);
    queue.charge(owner.at(task), tokens);
    return task;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FairQueueTest)

// Guards against order by number of requests: a workspace with long answers would take more than
// its share.
BOOST_AUTO_TEST_CASE(sharesFollowTokensAgainstWeight)
{
    FairQueue queue;
    queue.setWeight("a", 3);
    queue.setWeight("b", 1);
    std::map<TaskId, std::string> owner;
    std::mt19937 random(5);
    for (TaskId id = 1; id <= 4000; ++id) {
        owner[id] = id % 2 == 0 ? "a" : "b";
        queue.push(owner[id], id, later);
    }
    std::map<std::string, double> served;
    for (int i = 0; i < 1500; ++i) {
        const std::string next = owner.at(*queue.front());
        const double tokens = next == "a" ? 500 : std::uniform_int_distribution<>(10, 90)(random);
        serve(queue, owner, tokens);
        served[next] += tokens;
    }
    BOOST_TEST(served["a"] / served["b"] == 3, boost::test_tools::tolerance(0.05));
}

// Guards against a surge that delays another workspace: with ten times the work queued, every
// second place still goes to the other one.
BOOST_AUTO_TEST_CASE(surgeTakesNothingFromOthers)
{
    FairQueue queue;
    std::map<TaskId, std::string> owner;
    TaskId id = 0;
    for (int i = 0; i < 1000; ++i) {
        owner[++id] = "surge";
        queue.push("surge", id, later);
    }
    for (int i = 0; i < 100; ++i) {
        owner[++id] = "steady";
        queue.push("steady", id, later);
    }
    int steady = 0;
    for (int i = 0; i < 200; ++i)
        steady += owner.at(serve(queue, owner, 10)) == "steady" ? 1 : 0;
    BOOST_TEST(steady >= 99);
}

// Guards against credit from idle time, with which a workspace could block all others for as long
// as it had been silent.
BOOST_AUTO_TEST_CASE(idleWorkspaceGainsNoCredit)
{
    FairQueue queue;
    std::map<TaskId, std::string> owner;
    TaskId id = 0;
    const auto push = [&](const std::string &workspace) {
        owner[++id] = workspace;
        queue.push(workspace, id, later);
    };
    for (int i = 0; i < 300; ++i)
        push("busy");
    for (int i = 0; i < 200; ++i)
        serve(queue, owner, 10);
    for (int i = 0; i < 100; ++i)
        push("returned");
    int returned = 0;
    for (int i = 0; i < 20; ++i)
        returned += owner.at(serve(queue, owner, 10)) == "returned" ? 1 : 0;
    BOOST_TEST(returned <= 11);
    BOOST_TEST(returned >= 9);
}

// Guards against an order of arrival inside a workspace that makes a near job late.
BOOST_AUTO_TEST_CASE(earliestDueFirstWithinAWorkspace)
{
    FairQueue queue;
    queue.push("a", 1, start + absl::Hours(2));
    queue.push("a", 2, start + absl::Hours(1));
    BOOST_TEST(*queue.front() == 2U);
    BOOST_TEST(*queue.back() == 1U);
    BOOST_TEST(queue.remove(2));
    BOOST_TEST(!queue.remove(2));
    BOOST_TEST(*queue.front() == 1U);
}

// Guards against items of a small workspace that become late while shares are kept.
BOOST_AUTO_TEST_CASE(leaseOrderServesNearDueTimesBeforeShares)
{
    LeaseQueueSettings settings;
    settings.runTime = absl::Seconds(10);
    settings.safetyFactor = 2;
    settings.itemsPerSecond = 10;
    LeaseQueue tieBreak(settings);
    tieBreak.setWeight("large", 1000);
    tieBreak.setWeight("small", 1);
    tieBreak.push("small", 500, start + absl::Seconds(30));
    tieBreak.pop(start, 100);
    for (TaskId id = 1; id <= 100; ++id)
        tieBreak.push("large", id, later);
    for (TaskId id = 501; id <= 550; ++id)
        tieBreak.push("small", id, start + absl::Seconds(30));
    // 50 items need 5 s, and 20 s are kept, so that shares hold until 5 s after the start.
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(*tieBreak.pop(start + absl::Seconds(4), 100) <= 100U);
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(*tieBreak.pop(start + absl::Seconds(6), 100) > 500U);
}

// Guards against a due time that takes more than it needs: shares hold again afterwards.
BOOST_AUTO_TEST_CASE(leaseOrderReturnsToShares)
{
    LeaseQueue tieBreak{LeaseQueueSettings{}};
    tieBreak.push("a", 1, start);
    tieBreak.push("b", 2, later);
    BOOST_TEST(*tieBreak.pop(start, 100) == 1U);
    BOOST_TEST(tieBreak.remove(2));
    BOOST_TEST(!tieBreak.pop(start, 100).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
