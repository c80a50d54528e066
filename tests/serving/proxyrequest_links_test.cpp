#include "hanginglistener.h"
#include "lostlinks.h"
#include "proxyfixture.h"

#include <string>
#include <thread>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::serving;

namespace {

/// Time for which an upstream may pause.
constexpr absl::Duration pauseOfAnUpstream = absl::Milliseconds(1200);
/// Leaves a caller a third of its 3 s for another entry.
constexpr absl::Duration maxWait = absl::Seconds(2);

std::string closedAddress()
{
    return "127.0.0.1:" + std::to_string(net::freePort());
}

/// Connects \a entry to u1 to u4, which do not respond, until it takes itself for cut off.
void awaitCutOff(Entry &entry)
{
    bool isCutOff = false;
    entry.thread.run([&] {
        for (int i = 1; i <= 4; ++i)
            entry.upstreams.probeSilent("u" + std::to_string(i));
    });
    while (!isCutOff) {
        std::this_thread::yield();
        entry.thread.run([&] { isCutOff = entry.upstreams.isCutOff(); });
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(ProxyRequestLinksTest)

// Guards against requests that are refused because upstreams which pause answer no new connection,
// although they accept connections a moment later.
BOOST_AUTO_TEST_CASE(requestIsServedWhenPausedUpstreamsAcceptConnectionsAgain)
{
    const HangingUpstreams hanging;
    ScriptedUpstreams upstreams({{completeResponse("a", "done")}});
    Entry entry(upstreams, routeOf(RouteKind::NonIdempotent, 1));
    entry.setReachable(hanging.addresses());
    awaitCutOff(entry);
    std::string response;
    std::thread caller([&] { response = entry.sendRequest("a"); });
    absl::SleepFor(absl::Milliseconds(600));
    std::vector<std::string> addresses = hanging.addresses();
    addresses.push_back(upstreams.address(0));
    entry.setReachable(addresses);
    caller.join();
    BOOST_TEST(contains(response, "done"), response);
    BOOST_TEST(upstreams.requests().size() == 1u);
}

// Guards against a request that waits for upstreams which answer no connection and gets an answer
// that does not say that it did not run, or gets it too late to go to another entry.
BOOST_AUTO_TEST_CASE(requestThatWaitsInVainIsRefusedAsNotRun)
{
    const HangingUpstreams hanging;
    ScriptedUpstreams upstreams({});
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, true));
    entry.setReachable(hanging.addresses());
    awaitCutOff(entry);
    const absl::Time start = absl::Now();
    const std::string response = entry.sendRequest("a");
    BOOST_TEST(contains(response, "HTTP/1.1 503"), response);
    BOOST_TEST(contains(response, "Retry-After: "), response);
    const absl::Duration waited = absl::Now() - start;
    BOOST_TEST((waited > pauseOfAnUpstream));
    BOOST_TEST((waited < maxWait));
    BOOST_TEST(upstreams.requests().empty());
}

// Guards against requests that wait on links which are known to be lost.
BOOST_AUTO_TEST_CASE(requestOnLostLinksIsRefusedAtOnce)
{
    ScriptedUpstreams upstreams({});
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, true));
    entry.setReachable({closedAddress(), closedAddress(), closedAddress(), closedAddress()});
    awaitCutOff(entry);
    const absl::Time start = absl::Now();
    const std::string response = entry.sendRequest("a");
    BOOST_TEST(contains(response, "HTTP/1.1 503"), response);
    BOOST_TEST(contains(response, "Retry-After: "), response);
    BOOST_TEST((absl::Now() - start < absl::Seconds(1)));
    BOOST_TEST(upstreams.requests().empty());
}

// Guards against a request that is refused because attempts count although nothing was sent.
BOOST_AUTO_TEST_CASE(upstreamThatRefusesConnectionsIsNoAttempt)
{
    ScriptedUpstreams upstreams({{completeResponse("a", "done")}});
    UnknowingBroker broker(upstreams);
    broker.setAddresses({closedAddress(), upstreams.address(0)});
    Entry entry(upstreams, routeOf(RouteKind::NonIdempotent, 1), broker.address());
    BOOST_TEST(contains(entry.sendRequest("a"), "done"));
    BOOST_TEST(upstreams.requests().size() == 1u);
}

// Guards against a request that is refused because each upstream refused one connection, and
// against an entry that is busy with attempts while they do.
BOOST_AUTO_TEST_CASE(requestIsServedWhenUpstreamsThatRefusedConnectionsAccept)
{
    ScriptedUpstreams upstreams({{completeResponse("a", "done")}});
    UnknowingBroker broker(upstreams);
    broker.setAddresses({closedAddress(), closedAddress()});
    Entry entry(upstreams, routeOf(RouteKind::NonIdempotent, 1), broker.address());
    std::string response;
    std::thread caller([&] { response = entry.sendRequest("a"); });
    absl::SleepFor(absl::Milliseconds(700));
    broker.setAddresses({upstreams.address(0), upstreams.address(1)});
    caller.join();
    BOOST_TEST(contains(response, "done"), response);
    BOOST_TEST(upstreams.requests().size() == 1u);
    BOOST_TEST(broker.requests().size() >= 4u);
    // One request for each attempt, of which there is one in 50 ms, and one for each second one.
    BOOST_TEST(broker.requests().size() <= 2u * 700u / 50u);
}

// Guards against a stream that is aborted because the upstreams that could resume it refused one
// connection each.
BOOST_AUTO_TEST_CASE(streamIsResumedWhenItsUpstreamsAcceptConnectionsAgain)
{
    ScriptedUpstreams upstreams({brokenOffStream(), restOfStream()});
    UnknowingBroker broker(upstreams);
    broker.versions = {"v1", "v1"};
    broker.setAddresses({upstreams.address(0), closedAddress()});
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, true), broker.address());
    std::string response;
    std::thread caller([&] { response = entry.sendRequest("a"); });
    absl::SleepFor(absl::Milliseconds(500));
    broker.setAddresses({upstreams.address(0), upstreams.address(1)});
    caller.join();
    const StreamBody body = streamBody(response);
    BOOST_TEST(body.text == event(1) + event(2) + event(3) + event(4));
    BOOST_TEST(body.isComplete);
    BOOST_TEST(upstreams.requestsAt(0) == 1);
    BOOST_TEST(upstreams.requestsAt(1) == 1);
}

// Guards against a stream that is not resumed because a hedge counts as an attempt, although it was
// cancelled before it was sent.
BOOST_AUTO_TEST_CASE(hedgeThatWasNotSentDoesNotCount)
{
    Step first = {streamHead("a") + chunk(event(1))};
    first.pause = 350;
    first.rest = chunk(event(2));
    first.closes = true;
    const net::HangingListener hanging;
    ScriptedUpstreams upstreams({first, restOfStream()});
    UnknowingBroker broker(upstreams);
    broker.versions = {"v1", "v1"};
    broker.setAddresses({upstreams.address(0), hanging.address()});
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, true), broker.address());
    std::string response;
    std::thread caller([&] { response = entry.sendRequest("a"); });
    while (broker.requests().size() < 2)
        std::this_thread::yield();
    absl::SleepFor(absl::Milliseconds(50));
    broker.setAddresses({upstreams.address(0), upstreams.address(1)});
    caller.join();
    const StreamBody body = streamBody(response);
    BOOST_TEST(body.text == event(1) + event(2) + event(3) + event(4));
    BOOST_TEST(body.isComplete);
    BOOST_TEST(upstreams.requests().size() == 2u);
}

// Guards against a request that counts as one that may have run because its upstream was silent,
// although it was never sent.
BOOST_AUTO_TEST_CASE(silenceOfAConnectionIsNoRun)
{
    const net::HangingListener first;
    const net::HangingListener second;
    ScriptedUpstreams upstreams({});
    UnknowingBroker broker(upstreams);
    broker.setAddresses({first.address(), second.address()});
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, true), broker.address());
    const std::string response = entry.sendRequest("a");
    BOOST_TEST(contains(response, "HTTP/1.1 503"), response);
    BOOST_TEST(contains(response, "Retry-After: "), response);
}

// Guards against a request that is refused as not run because its first attempt was never sent,
// although a further one was.
BOOST_AUTO_TEST_CASE(requestThatWasSentOnceMayHaveRun)
{
    const net::HangingListener first;
    ScriptedUpstreams upstreams({{""}});
    UnknowingBroker broker(upstreams);
    broker.setAddresses({first.address(), upstreams.address(1)});
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, true), broker.address());
    BOOST_TEST(contains(entry.sendRequest("a"), "HTTP/1.1 502"));
    BOOST_TEST(upstreams.requests().size() == 1u);
}

// Guards against a request that counts as one that may have run because its process ends while a
// connection is being established.
BOOST_AUTO_TEST_CASE(requestThatWaitsForAConnectionDidNotRunWhenTheProcessEnds)
{
    const net::HangingListener first;
    ScriptedUpstreams upstreams({});
    UnknowingBroker broker(upstreams);
    broker.setAddresses({first.address(), first.address()});
    Entry entry(upstreams, routeOf(RouteKind::NonIdempotent, 1), broker.address());
    std::string response;
    std::thread caller([&] { response = entry.sendRequest("a"); });
    while (broker.requests().empty())
        std::this_thread::yield();
    absl::SleepFor(absl::Milliseconds(100));
    entry.thread.run([&] { entry.server->endRequests(); });
    caller.join();
    BOOST_TEST(contains(response, "HTTP/1.1 503"), response);
}

// Guards against hedges that load upstreams which are silent for this process already, and against
// a hedge that holds up other requests while it waits for one of the rest.
BOOST_AUTO_TEST_CASE(hedgeIsNotSentToASilentUpstream)
{
    Step first = {streamHead("a") + chunk(event(1)) + chunk(event(2))};
    first.rest = chunk(event(3)) + chunk(event(4)) + lastChunk;
    first.pause = 700;
    ScriptedUpstreams upstreams({first});
    UnknowingBroker broker(upstreams);
    broker.versions = {"v1", "v1"};
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, true), broker.address());
    entry.setReachable({upstreams.address(0), upstreams.address(1)});
    std::string response;
    std::thread caller([&] { response = entry.sendRequest("a"); });
    while (upstreams.requests().empty())
        std::this_thread::yield();
    absl::SleepFor(absl::Milliseconds(50));
    entry.thread.run([&] { entry.upstreams.probeSilent("u2"); });
    caller.join();
    const StreamBody body = streamBody(response);
    BOOST_TEST(body.text == event(1) + event(2) + event(3) + event(4));
    BOOST_TEST(body.isComplete);
    BOOST_TEST(upstreams.requestsAt(1) == 0);
    const auto requests = broker.requests();
    BOOST_TEST_REQUIRE(requests.size() >= 2u);
    const std::vector<std::string> excluded = {"u1", "u2"};
    BOOST_TEST(requests[1].excluded == excluded, boost::test_tools::per_element());
    BOOST_TEST(requests[1].objectiveMs == 0);
}

BOOST_AUTO_TEST_SUITE_END()
