#include "proxyfixture.h"

#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::serving;

BOOST_AUTO_TEST_SUITE(ProxyRequestTest)

// Guards against requests to an upstream after it announced that it leaves: in a refusal, in the
// head of a stream, in an error response, or in the response to another request.
BOOST_AUTO_TEST_CASE(announcementInAnyResponseKeepsRequestsAway)
{
    const std::string announced = "Leaving: 1\r\n";
    const std::string head = streamHead("0");
    const std::vector<std::string> responses = {
            completeResponse("0", "full", 503, "Not-Run: 1\r\n" + announced),
            completeResponse("0", "failed", 500, announced),
            head.substr(0, head.size() - 2) + announced + "\r\n" + chunk(event(1)) + "0\r\n\r\n",
            completeResponse("former", "late", 200, announced) + completeResponse("0", "own")};
    for (const std::string &response : responses) {
        ScriptedUpstreams upstreams({{response},
                                     {completeResponse("1", "done")},
                                     {completeResponse("2", "done")},
                                     {completeResponse("3", "done")}});
        Entry entry(upstreams, routeOf(RouteKind::Streaming, 1, false));
        for (int i = 0; i < 4; ++i)
            entry.sendRequest(std::to_string(i));
        BOOST_TEST(upstreams.requestsAt(0) == 1, response);
        BOOST_TEST(upstreams.requestsAt(1) == 3, response);
    }
}

// Guards against an upstream that gets no requests although it did not announce that it leaves: the
// header was in an interim response, or in a response of another instance at its address.
BOOST_AUTO_TEST_CASE(announcementThatIsNotTheUpstreamsDoesNotCount)
{
    const std::vector<std::string> responses = {
            "HTTP/1.1 103 X\r\nLeaving: 1\r\n\r\n" + completeResponse("0", "own"),
            completeResponse("0", "", 421, "Other-Instance: 1\r\nLeaving: 1\r\n")};
    for (const std::string &response : responses) {
        ScriptedUpstreams upstreams({{response}});
        Entry entry(upstreams, routeOf(RouteKind::NonIdempotent, 1));
        entry.sendRequest("0");
        entry.thread.run([&] {
            BOOST_TEST(!entry.slotClient.isLeaving("u1", upstreams.address(0)), response);
        });
    }
}

// Guards against requests that a broker without a record of the announcement sends to an upstream
// that leaves, and against a second charge to the caller's rate.
BOOST_AUTO_TEST_CASE(slotOfAnUpstreamThatLeavesIsNotUsed)
{
    ScriptedUpstreams upstreams({{completeResponse("0", "first", 200, "Leaving: 1\r\n")},
                                 {completeResponse("1", "second")}});
    UnknowingBroker broker(upstreams);
    Entry entry(upstreams, routeOf(RouteKind::NonIdempotent, 1), broker.address());
    BOOST_TEST(contains(entry.sendRequest("0"), "first"));
    BOOST_TEST(contains(entry.sendRequest("1"), "second"));
    BOOST_TEST(upstreams.requestsAt(0) == 1);
    BOOST_TEST(upstreams.requestsAt(1) == 1);
    const auto releases = broker.awaitReleases(3);
    BOOST_TEST_REQUIRE(releases.size() == 3u);
    BOOST_TEST(releases[1].requestId == "1");
    BOOST_TEST(releases[1].upstream == "u1");
    BOOST_TEST(releases[1].end == "abandoned");
    const auto requests = broker.requests();
    BOOST_TEST_REQUIRE(requests.size() == 3u);
    BOOST_TEST(requests[1].chargesRate);
    BOOST_TEST(!requests[2].chargesRate);
    BOOST_TEST(broker.leavingReports() == 2);
}

// Guards against a request that is sent to an upstream which announced that it leaves while the
// connection was being established.
BOOST_AUTO_TEST_CASE(requestThatWaitsForAConnectionIsNotSentToAnUpstreamThatLeaves)
{
    ScriptedUpstreams upstreams({{completeResponse("0", "done")}});
    Entry entry(upstreams, routeOf(RouteKind::NonIdempotent, 1));
    // The local share grants the slot while the request is parsed, before it is connected.
    entry.onProxied = [&] { entry.slotClient.reportLoad(entry.leaving(0)); };
    BOOST_TEST(contains(entry.sendRequest("0"), "done"));
    BOOST_TEST(upstreams.requestsAt(0) == 0);
    BOOST_TEST(upstreams.requestsAt(1) == 1);
}

// Guards against a request that is sent to an upstream which the list showed as draining while the
// connection was being established: a connection to an upstream that stands still may take long.
BOOST_AUTO_TEST_CASE(requestThatWaitsForAConnectionIsNotSentToAnUpstreamThatDrains)
{
    ScriptedUpstreams upstreams({{completeResponse("0", "done")}});
    Entry entry(upstreams, routeOf(RouteKind::NonIdempotent, 1));
    entry.onProxied = [&] {
        entry.slotClient.setUpstreams({{"u1", "s", upstreams.address(0), "d", 4, true},
                                       {"u2", "s", upstreams.address(1), "d", 4, false}},
                                      1);
    };
    BOOST_TEST(contains(entry.sendRequest("0"), "done"));
    BOOST_TEST(upstreams.requestsAt(0) == 0);
    BOOST_TEST(upstreams.requestsAt(1) == 1);
}

// Guards against a request that is sent to an upstream which this process knows as draining,
// because the broker's list is older, and against a report of an announcement that was not made.
BOOST_AUTO_TEST_CASE(slotOfAnUpstreamThatDrainsIsNotUsed)
{
    ScriptedUpstreams upstreams({{completeResponse("0", "done")}});
    UnknowingBroker broker(upstreams);
    Entry entry(upstreams, routeOf(RouteKind::NonIdempotent, 1), broker.address());
    entry.thread.run([&] {
        entry.slotClient.setUpstreams({{"u1", "s", upstreams.address(0), "d", 4, true},
                                       {"u2", "s", upstreams.address(1), "d", 4, false}},
                                      1);
    });
    BOOST_TEST(contains(entry.sendRequest("0"), "done"));
    BOOST_TEST(upstreams.requestsAt(0) == 0);
    BOOST_TEST(upstreams.requestsAt(1) == 1);
    BOOST_TEST(broker.leavingReports() == 0);
}

// Guards against a request that is refused because an attempt counts although nothing was sent.
BOOST_AUTO_TEST_CASE(attemptThatWasNotSentDoesNotCount)
{
    ScriptedUpstreams upstreams({{completeResponse("0", "full", 503, "Not-Run: 1\r\n")},
                                 {completeResponse("0", "done")}});
    Entry entry(upstreams, routeOf(RouteKind::NonIdempotent, 2));
    entry.thread.run([&] {
        entry.slotClient.setUpstreams({{"u1", "s", upstreams.address(0), "d", 4, false},
                                       {"u2", "s", upstreams.address(1), "d", 4, false},
                                       {"u3", "s", upstreams.address(1), "d", 4, false}},
                                      1);
    });
    entry.onProxied = [&] { entry.slotClient.reportLoad(entry.leaving(0)); };
    BOOST_TEST(contains(entry.sendRequest("0"), "done"));
    BOOST_TEST(upstreams.requestsAt(0) == 0);
    BOOST_TEST(upstreams.requestsAt(1) == 2);
}

// Guards against a response that is lost because its unresponsive upstream is abandoned for a slot
// at an upstream that leaves.
BOOST_AUTO_TEST_CASE(unresponsiveUpstreamIsKeptWhenTheOtherLeaves)
{
    ScriptedUpstreams upstreams({{completeResponse("0", "late"), false, 1200}});
    UnknowingBroker broker(upstreams);
    Entry entry(upstreams, routeOf(RouteKind::Idempotent, 3), broker.address());
    entry.thread.run([&] { entry.slotClient.reportLoad(entry.leaving(1)); });
    BOOST_TEST(contains(entry.sendRequest("0"), "late"));
    BOOST_TEST(upstreams.requestsAt(0) == 1);
    BOOST_TEST(upstreams.requestsAt(1) == 0);
    BOOST_TEST(broker.requests().size() >= 3u);
}

// Guards against callers that wait, or whose requests are sent, when all upstreams leave: with the
// broker's knowledge or without.
BOOST_AUTO_TEST_CASE(requestIsRefusedAsNotRunWhenAllUpstreamsLeave)
{
    for (const bool hasBroker : {false, true}) {
        ScriptedUpstreams upstreams({});
        UnknowingBroker broker(upstreams);
        Entry entry(upstreams, routeOf(RouteKind::Idempotent, 3),
                    hasBroker ? broker.address() : "");
        entry.thread.run([&] {
            entry.slotClient.reportLoad(entry.leaving(0));
            entry.slotClient.reportLoad(entry.leaving(1));
        });
        BOOST_TEST(contains(entry.sendRequest("0"), "HTTP/1.1 503"));
        BOOST_TEST(upstreams.requests().empty());
    }
}

BOOST_AUTO_TEST_SUITE_END()
