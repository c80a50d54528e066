#include "itemfixture.h"

#include "resumedresponses.h"

#include <algorithm>
#include <string>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::jobs;
using serving::chunk;
using serving::numberedEvent;

namespace {

const std::string serverError = "HTTP/1.1 500 X\r\nId: a\r\nContent-Length: 0\r\n\r\n";
const net::ServerAnswer crash{"", ""};

/// Reads the streams of items at intervals, as the process of a store does.
struct ReadIntervalFixture : ItemFixture
{
    ReadIntervalFixture()
        : ItemFixture(true, options())
    {}

    static net::ConnectionPoolOptions options()
    {
        net::ConnectionPoolOptions result;
        result.readInterval = absl::Milliseconds(150);
        return result;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ItemRunTest, ItemFixture)

// Guards against a sound item that is dead-lettered, or never placed again, because the upstreams
// that ran it crashed one after another.
BOOST_AUTO_TEST_CASE(itemIsPlacedAgainAfterCrashesOfItsUpstreams)
{
    net::EndlessServer server({crash, crash, crash, crash, crash, crash, success});
    const wire::JobItemResult result = runItem(server);
    BOOST_TEST((result.outcome == wire::ItemOutcome::Completed));
    BOOST_TEST(result.output == "a\nb");
    BOOST_TEST(server.requests() == 7);
}

// Guards against an item that crashes one upstream after the other until its time limit, and
// against one that is dead-lettered or lost because it was held for a time.
BOOST_AUTO_TEST_CASE(itemThatIsBlockedIsHeldUntilTheBlockEnds)
{
    net::EndlessServer server({crash, success});
    thread.run([this] {
        crashGuard.setBlocks(1, {}, {});
        // The second attempt starts 100 ms after the first one, the report 20 ms after it.
        onCrashReport = [this] {
            const auto &traits = crashReports.front().crashes.front().promptParts;
            crashGuard.setBlocks(1, {{traits}}, traits);
        };
    });
    start(server);
    await([this] { return !crashReports.empty(); });
    absl::SleepFor(absl::Seconds(2));
    BOOST_TEST(server.requests() == 1);
    thread.run([&] {
        // The other reports ask for a trial.
        BOOST_TEST(std::count_if(crashReports.begin(), crashReports.end(),
                                 [](const wire::CrashEvidence &evidence) {
                                     return !evidence.crashes.empty() || evidence.rejected.empty();
                                 })
                   == 1);
        onCrashReport = [] {};
        crashGuard.setBlocks(1, {}, {});
    });
    const wire::JobItemResult result = awaitResult();
    BOOST_TEST((result.outcome == wire::ItemOutcome::Completed));
    BOOST_TEST(result.output == "a\nb");
    BOOST_TEST(server.requests() == 2);
}

// Guards against an item with a request inside that reaches an upstream, or is tried without end,
// because a store of an earlier version accepted it.
BOOST_AUTO_TEST_CASE(storedItemThatIsNoRequestIsDeadLettered)
{
    net::ScriptedServer server({{wholeStream()}});
    setUpstreams(server, "u");
    wire::SubmitJobRequest request = submission("job");
    request.job.items.resize(1);
    request.job.items.front().path = "/x HTTP/1.1\r\n\r\nGET /y";
    submit(request);
    const wire::JobItemResult result = awaitResult();
    BOOST_TEST((result.outcome == wire::ItemOutcome::DeadLettered));
    BOOST_TEST(server.requests().empty());
}

// Guards against a sound item whose trial is used up, or returned, while it waits for a slot.
BOOST_AUTO_TEST_CASE(itemThatWaitsForASlotKeepsItsTrial)
{
    net::EndlessServer server({crash, success});
    thread.run([this] { crashGuard.setBlocks(1, {}, {}); });
    start(server);
    const auto awaitReport = [this](const auto &condition) {
        bool result = false;
        while (!result) {
            absl::SleepFor(absl::Milliseconds(1));
            thread.run([&] { result = !crashReports.empty() && condition(crashReports.back()); });
        }
    };
    awaitReport([](const wire::CrashEvidence &evidence) { return !evidence.crashes.empty(); });
    std::vector<std::string> traits;
    thread.run([&] {
        traits = crashReports.back().crashes.front().promptParts;
        crashGuard.setBlocks(1, {{traits, 2, ""}}, traits);
    });
    awaitReport([](const wire::CrashEvidence &evidence) { return !evidence.rejected.empty(); });
    thread.run([&] {
        broker.setUpstreams({}, serving::CapacityShare());
        crashGuard.setBlocks(1, {{traits, 1, crashReports.back().process, 1}}, traits);
    });
    absl::SleepFor(absl::Seconds(6));
    thread.run([&] {
        BOOST_TEST_REQUIRE(crashReports.back().trials.size() == 1u);
        BOOST_TEST(!crashReports.back().trials.front().isReturned);
        broker.setUpstreams({{"u5", "llm", server.address(), "d", 1, false}},
                            serving::CapacityShare());
    });
    BOOST_TEST((awaitResult().outcome == wire::ItemOutcome::Completed));
    BOOST_TEST(server.requests() == 2);
}

// Guards against an item that runs at a second upstream while the first one runs it, because a
// repeated refusal on a kept connection is taken for the response to its next attempt.
BOOST_AUTO_TEST_CASE(repeatedRefusalIsNotTakenForTheNextResponse)
{
    const std::string refused = "Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    int number = 0;
    for (const std::string id : {"Id: a\r\n", ""}) {
        BOOST_TEST_INFO_SCOPE(id);
        const std::string refusal = "HTTP/1.1 503 X\r\n" + id + refused;
        net::ScriptedServer server(
                {{refusal}, {wholeStream(), net::ConnectionEnd::KeptOpen, refusal}});
        const wire::JobItemResult result = runItem(server, "j" + std::to_string(number++));
        BOOST_TEST((result.outcome == wire::ItemOutcome::Completed));
        BOOST_TEST(server.requests().size() == 2u);
    }
}

// Guards against an upstream that responds to batch items with errors at once and counts as
// healthy: it would get a task although another upstream is as free.
BOOST_AUTO_TEST_CASE(serverErrorOfAnItemCountsAgainstItsUpstream)
{
    const std::string error = "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n";
    net::ScriptedServer server(std::vector<net::ScriptedAnswer>(200, {error}));
    setMaxAttempts(1000);
    const auto grant = [this](const std::string &id) {
        policy::SlotTask task;
        task.id = id;
        task.service = "llm";
        task.kind = policy::TaskKind::Batch;
        std::string upstream;
        broker.acquireBatch(task, {[&](const auto &slot) { upstream = slot.upstream; }, [] {}});
        return upstream;
    };
    const wire::FleetUpstream failing = {"u1", "llm", server.address(), "d", 1, false};
    const wire::FleetUpstream other = {"u2", "llm", server.address(), "d", 1, false};
    thread.run([&] {
        broker.setUpstreams({other}, serving::CapacityShare());
        BOOST_TEST(grant("held") == "u2");
        broker.setUpstreams({failing, other}, serving::CapacityShare());
    });
    submit("job");
    await([&] { return executor.openItemCounts().backingOff == 10; });
    thread.run([&] {
        broker.releaseBatch("held", policy::ReleaseReason::Cancelled);
        BOOST_TEST(grant("next") == "u2");
        broker.cancelBatch("next");
        broker.setUpstreams({}, serving::CapacityShare());
    });
}

// Guards against an item that is sent again to an upstream which announced in a response that it
// leaves.
BOOST_AUTO_TEST_CASE(itemIsNotSentAgainToAnUpstreamThatLeaves)
{
    net::EndlessServer leaving("HTTP/1.1 503 X\r\nNot-Run: 1\r\nLeaving: 1\r\n\r\n", "");
    net::EndlessServer other({success});
    startWaiting();
    thread.run([&] {
        broker.setUpstreams({{"u1", "llm", leaving.address(), "d", 1, false}},
                            serving::CapacityShare());
    });
    const absl::Time end = absl::Now() + absl::Seconds(10);
    while (leaving.requests() == 0 && absl::Now() < end)
        absl::SleepFor(absl::Milliseconds(1));
    absl::SleepFor(absl::Milliseconds(500));
    BOOST_TEST(leaving.requests() == 1);
    thread.run([&] {
        broker.setUpstreams({{"u1", "llm", leaving.address(), "d", 1, false},
                             {"u2", "llm", other.address(), "d", 1, false}},
                            serving::CapacityShare());
    });
    BOOST_TEST((awaitResult().outcome == wire::ItemOutcome::Completed));
    BOOST_TEST(leaving.requests() == 1);
}

// Guards against an item that is sent again to an upstream which announced that it leaves in the
// response to another request.
BOOST_AUTO_TEST_CASE(announcementInAForeignResponseKeepsItemsAway)
{
    net::EndlessServer leaving(
            "HTTP/1.1 200 OK\r\nId: former\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n", "");
    startWaiting();
    thread.run([&] {
        broker.setUpstreams({{"u1", "llm", leaving.address(), "d", 1, false}},
                            serving::CapacityShare());
    });
    const absl::Time end = absl::Now() + absl::Seconds(10);
    while (leaving.requests() == 0 && absl::Now() < end)
        absl::SleepFor(absl::Milliseconds(1));
    absl::SleepFor(absl::Milliseconds(500));
    BOOST_TEST(leaving.requests() == 1);
    thread.run([&] { BOOST_TEST(broker.isLeaving("u1", leaving.address())); });
}

// Guards against an item that is sent to an upstream which announced that it leaves while the
// connection was being established.
BOOST_AUTO_TEST_CASE(itemThatWaitsForAConnectionIsNotSentToAnUpstreamThatLeaves)
{
    net::EndlessServer leaving({success});
    net::EndlessServer other({success});
    startWaiting();
    thread.run([&] {
        broker.setUpstreams({{"u1", "llm", leaving.address(), "d", 1, false},
                             {"u2", "llm", other.address(), "d", 1, false}},
                            serving::CapacityShare());
        BOOST_TEST(executor.openItemCounts().running == 1);
        broker.reportLoad({"u1", -1, -1, true, 0, leaving.address()});
    });
    BOOST_TEST((awaitResult().outcome == wire::ItemOutcome::Completed));
    BOOST_TEST(leaving.requests() == 0);
    BOOST_TEST(other.requests() == 1);
}

// Guards against an item that is sent to an upstream which the list showed as draining while the
// connection was being established: a connection to an upstream that stands still may take long.
BOOST_AUTO_TEST_CASE(itemThatWaitsForAConnectionIsNotSentToAnUpstreamThatDrains)
{
    net::EndlessServer draining({success});
    net::EndlessServer other({success});
    startWaiting();
    thread.run([&] {
        for (const bool isDraining : {false, true}) {
            broker.setUpstreams({{"u1", "llm", draining.address(), "d", 1, isDraining},
                                 {"u2", "llm", other.address(), "d", 1, false}},
                                serving::CapacityShare());
            BOOST_TEST(executor.openItemCounts().running == 1);
        }
    });
    BOOST_TEST((awaitResult().outcome == wire::ItemOutcome::Completed));
    BOOST_TEST(draining.requests() == 0);
    BOOST_TEST(other.requests() == 1);
}

// Guards against an item that runs again because its store stood still: the events that arrived
// meanwhile wait in the socket while the time for the next event passes.
BOOST_FIXTURE_TEST_CASE(eventsThatArriveWhileTheStoreStandsStillCount, ReadIntervalFixture)
{
    std::string rest;
    for (int id = 2; id <= 4; ++id)
        rest += chunk(numberedEvent(id));
    net::ScriptedAnswer answer;
    answer.bytes = chunkedHead + chunk(numberedEvent(1));
    answer.late = rest + serving::lastChunk;
    answer.lateDelay = absl::Milliseconds(300);
    net::ScriptedServer server({answer});
    startItem(server);
    await([&] { return server.requests().size() == 1; });
    absl::SleepFor(absl::Milliseconds(50));
    thread.run([] { absl::SleepFor(absl::Milliseconds(1700)); });
    BOOST_TEST((awaitResult().outcome == wire::ItemOutcome::Completed));
    BOOST_TEST(server.requests().size() == 1u);
}

// Guards against an item that fails at each run and has all its attempts again after each change of
// the store's leader.
BOOST_AUTO_TEST_CASE(changesOfTheLeaderGiveAFailingItemNoFurtherAttempts)
{
    setMaxAttempts(3);
    net::ScriptedServer server({{serverError}});
    startItem(server);
    for (const std::size_t requests : {1, 2})
        changeLeaderAfterFailure(server, requests);
    BOOST_TEST((awaitResult().outcome == wire::ItemOutcome::DeadLettered));
    BOOST_TEST(server.requests().size() == 3u);
}

// Guards against a count of failed attempts that is lost, or that changes the stored text, because
// the item has output.
BOOST_AUTO_TEST_CASE(failuresOfAnItemWithOutputAreCountedAcrossLeaders)
{
    setMaxAttempts(3);
    net::ScriptedServer server({
            // Longer than the period at which the output is stored.
            {chunkedHead + chunk(numberedEvent(1)) + chunk(numberedEvent(2)),
             net::ConnectionEnd::Closed, "", chunk(": c\n\n"), absl::Milliseconds(800)},
            {serverError},
            {serverError},
            {chunkedHead + chunk(numberedEvent(3)) + chunk(numberedEvent(4)) + serving::lastChunk},
    });
    startItem(server);
    for (const std::size_t requests : {2, 3})
        changeLeaderAfterFailure(server, requests);
    BOOST_TEST(awaitResult().output == "d1\nd2\nd3\nd4");
    BOOST_TEST(server.requests().size() == 4u);
    BOOST_TEST((server.requests().back().text.find("After: 2") != std::string::npos));
}

// Guards against an item with stored output that fails at each run and is sent again after a change
// of the store's leader as often as a new one.
BOOST_AUTO_TEST_CASE(failingItemWithOutputIsGivenUpAcrossLeaders)
{
    setMaxAttempts(2);
    net::ScriptedServer server({
            {chunkedHead + chunk(numberedEvent(1)), net::ConnectionEnd::Closed, "",
             chunk(": c\n\n"), absl::Milliseconds(800)},
            {serverError},
    });
    startItem(server);
    changeLeaderAfterFailure(server, 2);
    const wire::JobItemResult result = awaitResult();
    BOOST_TEST((result.outcome == wire::ItemOutcome::DeadLettered));
    BOOST_TEST(result.output.empty());
    BOOST_TEST(server.requests().size() == 3u);
}

// Guards against an item that fails at each run and is sent again without limit, because the
// response breaks off after its status, or does not end.
BOOST_AUTO_TEST_CASE(statusOfAnIncompleteResponseCounts)
{
    setMaxAttempts(2);
    const std::string rest = " X\r\nId: a\r\nContent-Length: 9\r\n\r\nfa";
    int number = 0;
    for (const net::ConnectionEnd end :
         {net::ConnectionEnd::Closed, net::ConnectionEnd::KeptOpen}) {
        for (const bool isRefusal : {true, false}) {
            net::ScriptedServer server({
                    {(isRefusal ? "HTTP/1.1 422" : "HTTP/1.1 500") + rest, end},
                    {(isRefusal ? "HTTP/1.1 422" : "HTTP/1.1 500") + rest, end},
                    {wholeStream()},
            });
            const wire::JobItemResult result = runItem(server, "j" + std::to_string(number++));
            BOOST_TEST((result.outcome == wire::ItemOutcome::DeadLettered));
            BOOST_TEST(server.requests().size() == (isRefusal ? 1u : 2u));
        }
    }
}

// Guards against an item that nothing works on and no log names, and of which it is not known what
// it waits for.
BOOST_AUTO_TEST_CASE(stalledItemIsReportedWithWhatItWaitsFor)
{
    startWaiting();
    absl::SleepFor(absl::Milliseconds(200));
    thread.run([this] {
        const StalledItems stalled = executor.stalledItems(absl::Milliseconds(100), 3);
        BOOST_TEST(stalled.count == 1);
        BOOST_TEST_REQUIRE(stalled.longest.size() == 1u);
        BOOST_TEST((stalled.longest.front().waitsFor == ItemWait::Slot));
        BOOST_TEST(stalled.longest.front().job == "job");
        BOOST_TEST(stalled.longest.front().service == "llm");
        BOOST_TEST(stalled.longest.front().sender == "store");
        BOOST_TEST(executor.stalledItems(absl::Milliseconds(100), 0).count == 1);
        BOOST_TEST(executor.stalledItems(absl::Minutes(1), 3).count == 0);
    });
}

// Guards against items that wait for ever at a service which their route has left, while the
// upstreams of its new service are idle.
BOOST_AUTO_TEST_CASE(waitingItemFollowsItsRouteToAnotherService)
{
    net::EndlessServer server({success});
    startWaiting();
    thread.run([&] {
        broker.setUpstreams({{"u1", "llm-new", server.address(), "d", 1, false}},
                            serving::CapacityShare());
    });
    setRoute({{"llm-new", 1}});
    BOOST_TEST((awaitResult().outcome == wire::ItemOutcome::Completed));
    BOOST_TEST(server.requests() == 1);
}

// Guards against items of a split route that wait for ever at a service whose last upstream has
// left, while those of the other service are idle.
BOOST_AUTO_TEST_CASE(itemOfASplitRouteLeavesAServiceWithoutUpstreams)
{
    net::EndlessServer server({success});
    setRoute({{"llm", 1}, {"llm-other", 1e-9}});
    startWaiting();
    thread.run([&] {
        broker.setUpstreams({{"u1", "llm", server.address(), "d", 1, true},
                             {"u2", "llm-other", server.address(), "d", 1, false}},
                            serving::CapacityShare());
    });
    BOOST_TEST((awaitResult().outcome == wire::ItemOutcome::Completed));
    BOOST_TEST(server.requests() == 1);
}

// Guards against an item that is held and still has a request for a slot, because its route changed
// while it waited and was blocked.
BOOST_AUTO_TEST_CASE(itemThatIsHeldWhenItsRouteChangesRequestsNoSlot)
{
    net::EndlessServer server({crash, success});
    thread.run([this] {
        crashGuard.setBlocks(1, {}, {});
        onCrashReport = [this] { broker.setUpstreams({}, serving::CapacityShare()); };
    });
    start(server);
    await([this] { return !crashReports.empty(); });
    await([this] { return executor.openItemCounts().waiting == 1; });
    thread.run([this] {
        onCrashReport = [] {};
        const auto &traits = crashReports.front().crashes.front().promptParts;
        crashGuard.setBlocks(1, {{traits}}, traits);
    });
    setRoute({{"llm-new", 1}});
    thread.run([this] {
        BOOST_TEST(executor.openItemCounts().waiting == 0);
        BOOST_TEST(broker.scheduler().waiting("llm", policy::TaskKind::Batch) == 0u);
    });
}

// Guards against an item that has output and waits for upstreams of the version that wrote it for
// as long as they are listed, although none of them can be reached.
BOOST_AUTO_TEST_CASE(itemStartsAgainWhenItsVersionCannotBeReached)
{
    const std::string begun = chunkedHead + chunk(numberedEvent(1)) + chunk(numberedEvent(2));
    net::EndlessServer other({{wholeStream(), ""}});
    std::string lostAddress;
    {
        net::ScriptedServer lost({{begun, net::ConnectionEnd::Closed}});
        lostAddress = lost.address();
        setUpstreams(lost, "u", "v1");
        wire::SubmitJobRequest request = submission("job");
        request.job.items.resize(1);
        request.job.items.front().id = "a";
        submit(request);
        await([&] { return !lost.requests().empty(); });
    }
    thread.run([&] {
        broker.setUpstreams({{"u0", "llm", lostAddress, "d", 1, false, "v1"},
                             {"n0", "llm", other.address(), "d", 1, false, "v2"}},
                            serving::CapacityShare());
    });
    const wire::JobItemResult result = awaitResult();
    BOOST_TEST((result.outcome == wire::ItemOutcome::Completed));
    BOOST_TEST(result.output == "d1\nd2\nd3\nd4");
    BOOST_TEST(other.requests() == 1);
}

// Guards against an item that discards its output although upstreams of its version are only busy.
BOOST_AUTO_TEST_CASE(itemWaitsForABusyUpstreamOfItsVersion)
{
    net::ScriptedServer busy({{chunkedHead + chunk(numberedEvent(1)) + chunk(numberedEvent(2)),
                               net::ConnectionEnd::Closed},
                              {chunkedHead + chunk(numberedEvent(3)) + chunk(numberedEvent(4))
                               + serving::lastChunk}});
    net::EndlessServer other({{wholeStream(), ""}});
    const wire::FleetUpstream ownVersion = {"u0", "llm", busy.address(), "d", 1, false, "v1"};
    const wire::FleetUpstream otherVersion = {"n0", "llm", other.address(), "d", 1, false, "v2"};
    thread.run([&] { broker.setUpstreams({ownVersion}, serving::CapacityShare()); });
    wire::SubmitJobRequest request = submission("job");
    request.job.items.resize(1);
    request.job.items.front().id = "a";
    submit(request);
    await([&] { return executor.openItemCounts().backingOff == 1; });
    thread.run([&] {
        policy::SlotTask task;
        task.id = "held";
        task.service = "llm";
        task.kind = policy::TaskKind::Batch;
        broker.acquireBatch(task, {[](const auto &) {}, [] {}});
        broker.setUpstreams({ownVersion, otherVersion}, serving::CapacityShare());
    });
    absl::SleepFor(absl::Seconds(12));
    BOOST_TEST(other.requests() == 0);
    thread.run([&] { broker.releaseBatch("held", policy::ReleaseReason::Completed); });
    BOOST_TEST(awaitResult().output == "d1\nd2\nd3\nd4");
    BOOST_TEST(other.requests() == 0);
}

// Guards against an item that is dead-lettered by a time limit that its route no longer has.
BOOST_AUTO_TEST_CASE(itemFollowsTheTimeLimitOfItsRoute)
{
    setRoute({{"llm", 1}}, absl::Milliseconds(1500));
    startWaiting();
    setRoute({{"llm", 1}}, absl::Minutes(1));
    absl::SleepFor(absl::Seconds(2));
    thread.run([this] { BOOST_TEST(executor.openItemCount() == 1u); });
    setRoute({{"llm", 1}}, absl::Milliseconds(1));
    BOOST_TEST((awaitResult().outcome == wire::ItemOutcome::DeadLettered));
}

BOOST_AUTO_TEST_SUITE_END()
