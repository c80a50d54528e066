#include "rattanrill/policy/fairqueue.h"
#include "rattanrill/policy/leasequeue.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <random>
#include <string>

using namespace rattanrill::policy;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
const absl::Time noDeadline = absl::InfiniteFuture();

/// Removes the front task and charges \a tokens to its workspace. \a workspaces holds the workspace
/// of each task.
TaskId serve(FairQueue &queue, const std::map<TaskId, std::string> &workspaces, double tokens)
{
    const TaskId task = *queue.front();
    queue.remove(task);
    queue.charge(workspaces.at(task), tokens);
    return task;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FairQueueTest)

// Guards against fairness by number of requests, with which a workspace with long responses gets
// more than its share.
BOOST_AUTO_TEST_CASE(servedTokensAreProportionalToWeights)
{
    FairQueue queue;
    queue.setWeight("a", 3);
    queue.setWeight("b", 1);
    std::map<TaskId, std::string> workspaces;
    std::mt19937 random(5);
    for (TaskId id = 1; id <= 4000; ++id) {
        workspaces[id] = id % 2 == 0 ? "a" : "b";
        queue.push(workspaces[id], id, noDeadline);
    }
    std::map<std::string, double> served;
    for (int i = 0; i < 1500; ++i) {
        const std::string next = workspaces.at(*queue.front());
        const double tokens = next == "a" ? 500 : std::uniform_int_distribution<>(10, 90)(random);
        serve(queue, workspaces, tokens);
        served[next] += tokens;
    }
    BOOST_TEST(served["a"] / served["b"] == 3, boost::test_tools::tolerance(0.05));
}

// Guards against a task that goes before one of a workspace with less service, or of an earlier
// deadline, because a task before both can't start.
BOOST_AUTO_TEST_CASE(tasksThatCannotStartAreSkippedInOrder)
{
    FairQueue queue;
    queue.push("a", 1, start);
    queue.push("a", 3, start + absl::Seconds(2));
    queue.push("a", 2, start + absl::Seconds(1));
    queue.push("b", 4, start);
    queue.charge("b", 10);
    const auto firstAbove = [&queue](TaskId number) {
        return queue.front([number](TaskId task) { return task > number; }).value_or(0);
    };
    BOOST_TEST(firstAbove(0) == 1u);
    BOOST_TEST(firstAbove(1) == 2u);
    BOOST_TEST(firstAbove(2) == 3u);
    BOOST_TEST(firstAbove(3) == 4u);
    BOOST_TEST(firstAbove(4) == 0u);
}

// Guards against a surge that delays another workspace. Although the surge queues ten times as many
// tasks, every second task served is one of the other workspace.
BOOST_AUTO_TEST_CASE(surgeDoesNotReduceTheShareOfOthers)
{
    FairQueue queue;
    std::map<TaskId, std::string> workspaces;
    TaskId id = 0;
    for (int i = 0; i < 1000; ++i) {
        workspaces[++id] = "surge";
        queue.push("surge", id, noDeadline);
    }
    for (int i = 0; i < 100; ++i) {
        workspaces[++id] = "steady";
        queue.push("steady", id, noDeadline);
    }
    int steady = 0;
    for (int i = 0; i < 200; ++i)
        steady += workspaces.at(serve(queue, workspaces, 10)) == "steady" ? 1 : 0;
    BOOST_TEST(steady >= 99);
}

// Guards against credit for idle time, with which a workspace could block all others for as long as
// it had been idle.
BOOST_AUTO_TEST_CASE(idleWorkspaceGainsNoCredit)
{
    FairQueue queue;
    std::map<TaskId, std::string> workspaces;
    TaskId id = 0;
    const auto push = [&](const std::string &workspace) {
        workspaces[++id] = workspace;
        queue.push(workspace, id, noDeadline);
    };
    for (int i = 0; i < 300; ++i)
        push("busy");
    for (int i = 0; i < 200; ++i)
        serve(queue, workspaces, 10);
    for (int i = 0; i < 100; ++i)
        push("returned");
    int returned = 0;
    for (int i = 0; i < 20; ++i)
        returned += workspaces.at(serve(queue, workspaces, 10)) == "returned" ? 1 : 0;
    BOOST_TEST(returned <= 11);
    BOOST_TEST(returned >= 9);
}

// Guards against order of arrival within a workspace, with which a task with an early deadline
// misses it behind tasks with later deadlines.
BOOST_AUTO_TEST_CASE(earliestDeadlineGoesFirstWithinAWorkspace)
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

// Guards against items of a workspace with a small weight that miss their deadlines because the
// weights are applied until the end.
BOOST_AUTO_TEST_CASE(urgentDeadlinesOverrideWeights)
{
    LeaseQueueSettings settings;
    settings.maxRunTime = absl::Seconds(10);
    settings.safetyFactor = 2;
    settings.minItemsPerSecond = 10;
    LeaseQueue leases(settings);
    leases.setWeight("large", 1000);
    leases.setWeight("small", 1);
    leases.push("small", 500, start + absl::Seconds(30));
    leases.pop(start, 100);
    for (TaskId id = 1; id <= 100; ++id)
        leases.push("large", id, noDeadline);
    for (TaskId id = 501; id <= 550; ++id)
        leases.push("small", id, start + absl::Seconds(30));
    // The 50 items need 5 s, and the slack is 20 s, so the weights apply until 5 s after the start.
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(*leases.pop(start + absl::Seconds(4), 100) <= 100U);
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(*leases.pop(start + absl::Seconds(6), 100) > 500U);
}

// Guards against an urgent deadline that affects more items than it needs to: the item without a
// deadline stays in the queue when the urgent one is leased.
BOOST_AUTO_TEST_CASE(urgentItemIsLeasedAndTheOtherStaysQueued)
{
    LeaseQueue leases{LeaseQueueSettings{}};
    leases.push("a", 1, start);
    leases.push("b", 2, noDeadline);
    BOOST_TEST(*leases.pop(start, 100) == 1U);
    BOOST_TEST(leases.remove(2));
    BOOST_TEST(!leases.pop(start, 100).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
