#include "hanginglistener.h"
#include "lostlinks.h"
#include "proxyfixture.h"

#include "rattanrill/serving/eventstream.h"

#include <string>
#include <thread>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::serving;

namespace {

/// Two events, and the rest of the stream after a pause of \a milliseconds.
Step pausingStream(int milliseconds)
{
    Step step = {streamHead("a") + chunk(event(1)) + chunk(event(2))};
    step.rest = chunk(event(3)) + chunk(event(4)) + lastChunk;
    step.pause = milliseconds;
    return step;
}

Step silent()
{
    return {""};
}

const std::string wholeStream = event(1) + event(2) + event(3) + event(4);

struct Fixture
{
    /// Sends a stream request by way of an entry whose first upstream is \a first and whose second
    /// one is \a second, and returns the body of the response.
    StreamBody send(const Step &first, const Step &second)
    {
        ScriptedUpstreams upstreams({first, second});
        Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, true));
        entry.setReachable({upstreams.address(0), upstreams.address(1)});
        StreamBody body = streamBody(entry.sendRequest("a"));
        requests = upstreams.requests().size();
        return body;
    }

    std::size_t requests = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ProxyRequestHedgeTest, Fixture)

// Guards against a stream that is ended while its upstream only pauses, because the call was
// cancelled for an attempt at another upstream that is silent, too.
BOOST_AUTO_TEST_CASE(streamGoesOnWhenAllUpstreamsPause)
{
    const StreamBody body = send(pausingStream(900), silent());
    BOOST_TEST(body.text == wholeStream);
    BOOST_TEST(body.isComplete);
    BOOST_TEST(requests == 2u);
}

// Guards against a stream that is ended because its call was cancelled for an attempt that fails.
BOOST_AUTO_TEST_CASE(streamGoesOnWhenTheNextAttemptFails)
{
    const Step failures[] = {
            {completeResponse("a", "full", 503, "Not-Run: 1\r\n")},
            {completeResponse("a", "error", 500)},
            {completeResponse("a", "no stream")},
            {"", true},
            {streamHead("a") + chunk(event(7)) + lastChunk},
            {streamHead("a") + chunk(event(1)) + lastChunk},
            {streamHead("a") + lastChunk},
    };
    for (const Step &failure : failures) {
        BOOST_TEST_INFO_SCOPE(failure.bytes);
        const StreamBody body = send(pausingStream(700), failure);
        BOOST_TEST(body.text == wholeStream);
        BOOST_TEST(body.isComplete);
    }
}

// Guards against a stream that waits for a silent upstream although the next one responds, and
// against events that are delivered twice because the first upstream goes on.
BOOST_AUTO_TEST_CASE(firstResponseServesTheStream)
{
    const StreamBody body = send(pausingStream(500), restOfStream());
    BOOST_TEST(body.text == wholeStream);
    BOOST_TEST(body.isComplete);
    BOOST_TEST(requests == 2u);
}

// Guards against a stream that waits for an upstream whose connection is silent for good, and that
// can't be connected to, although the next upstream responds late.
BOOST_AUTO_TEST_CASE(unreachableUpstreamIsLeftForASilentOne)
{
    Step first = brokenOffStream();
    first.closes = false;
    Step second = restOfStream();
    second.delay = 600;
    ScriptedUpstreams upstreams({first, second});
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, true));
    entry.setReachable({"127.0.0.1:" + std::to_string(net::freePort()), upstreams.address(1)});
    const StreamBody body = streamBody(entry.sendRequest("a"));
    BOOST_TEST(body.text == wholeStream);
    BOOST_TEST(body.isComplete);
}

// Guards against a stream that is lost with its upstream although another attempt runs already.
BOOST_AUTO_TEST_CASE(streamGoesOnWithTheHedgeWhenTheFirstUpstreamFails)
{
    Step first = pausingStream(280);
    first.rest.clear();
    first.closes = true;
    Step second = restOfStream();
    second.delay = 200;
    const StreamBody body = send(first, second);
    BOOST_TEST(body.text == wholeStream);
    BOOST_TEST(body.isComplete);
}

// Guards against a running call that is cancelled when its entry loses the links to the upstreams
// and no other entry forwards.
BOOST_AUTO_TEST_CASE(runningCallIsKeptWhenTheNextOneCannotBeMade)
{
    ScriptedUpstreams upstreams({pausingStream(900)});
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, true));
    std::vector<std::string> closed;
    for (int i = 0; i < 4; ++i)
        closed.push_back("127.0.0.1:" + std::to_string(net::freePort()));
    entry.setReachable(closed);
    std::string response;
    std::thread caller([&] { response = entry.sendRequest("a"); });
    while (upstreams.requests().empty())
        std::this_thread::yield();
    entry.thread.run([&] {
        for (int i = 1; i <= 4; ++i)
            entry.upstreams.probeSilent("u" + std::to_string(i));
    });
    caller.join();
    const StreamBody body = streamBody(response);
    BOOST_TEST(body.text == wholeStream);
    BOOST_TEST(body.isComplete);
}

// Guards against a stream that is ended because its entry has lost the links, and no other entry
// forwards or the one that does fails: the links come back before its time is over.
BOOST_AUTO_TEST_CASE(streamOnLostLinksGoesOnUntilAnotherUpstreamResponds)
{
    for (const bool isForwarded : {false, true}) {
        BOOST_TEST_INFO_SCOPE(isForwarded);
        const HangingUpstreams hanging;
        ScriptedUpstreams upstreams({pausingStream(1200)});
        UnknowingBroker broker(upstreams);
        broker.versions = {"v1", "v1"};
        if (isForwarded)
            broker.forwarderAddress = "127.0.0.1:" + std::to_string(net::freePort());
        Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, true), broker.address());
        entry.setReachable(hanging.addresses());
        std::string response;
        std::thread caller([&] { response = entry.sendRequest("a"); });
        while (upstreams.requests().empty())
            std::this_thread::yield();
        absl::SleepFor(absl::Milliseconds(50));
        loseLinks(entry);
        caller.join();
        const StreamBody body = streamBody(response);
        BOOST_TEST(body.text == wholeStream);
        BOOST_TEST(body.isComplete);
        BOOST_TEST(broker.requests().size() >= 2u);
    }
}

// Guards against a stream that is ended at an upstream which answers no new connection, for an
// attempt at another one that is silent, too.
BOOST_AUTO_TEST_CASE(streamOfAnUnreachableUpstreamGoesOnWhenTheHedgeIsSilent)
{
    ScriptedUpstreams upstreams({pausingStream(1200), silent()});
    const net::HangingListener hanging;
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, true));
    entry.setReachable({hanging.address(), upstreams.address(1)});
    const StreamBody body = streamBody(entry.sendRequest("a"));
    BOOST_TEST(body.text == wholeStream);
    BOOST_TEST(body.isComplete);
    BOOST_TEST(upstreams.requests().size() == 2u);
}

// Guards against a request that runs on more upstreams than its route allows, because an attempt on
// links that seemed lost does not count after it has responded.
BOOST_AUTO_TEST_CASE(attemptOnLostLinksCountsOnceItResponds)
{
    const HangingUpstreams hanging;
    Step first = pausingStream(900);
    first.rest = chunk(event(3));
    first.closes = true;
    ScriptedUpstreams upstreams({first, {streamHead("a") + chunk(event(4)) + lastChunk}});
    UnknowingBroker broker(upstreams);
    broker.versions = {"v1", "v1"};
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 1, true), broker.address());
    entry.setReachable(hanging.addresses());
    std::string response;
    std::thread caller([&] { response = entry.sendRequest("a"); });
    while (upstreams.requests().empty())
        std::this_thread::yield();
    absl::SleepFor(absl::Milliseconds(50));
    loseLinks(entry);
    caller.join();
    const StreamBody body = streamBody(response);
    BOOST_TEST(body.text == event(1) + event(2) + event(3));
    BOOST_TEST(!body.isComplete);
    BOOST_TEST(upstreams.requests().size() == 1u);
}

// Guards against a running call that is cancelled because its prompt is blocked while its upstream
// pauses.
BOOST_AUTO_TEST_CASE(runningCallIsKeptWhenItsPromptIsBlocked)
{
    ScriptedUpstreams upstreams({pausingStream(700), restOfStream()});
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, true));
    std::string response;
    std::thread caller([&] { response = entry.sendRequest("a", "Part: p\r\n"); });
    while (upstreams.requests().empty())
        std::this_thread::yield();
    entry.thread.run([&] { entry.crashGuard.setBlocks(1, {{{"p"}}}, {"p"}); });
    caller.join();
    const StreamBody body = streamBody(response);
    BOOST_TEST(body.text == wholeStream);
    BOOST_TEST(body.isComplete);
    BOOST_TEST(upstreams.requests().size() == 1u);
}

// Guards against a whole response that is lost because its upstream pauses.
BOOST_AUTO_TEST_CASE(wholeResponseIsDeliveredAfterAPause)
{
    ScriptedUpstreams upstreams({{completeResponse("a", "late"), false, 1500}, silent()});
    Entry entry(upstreams, routeOf(RouteKind::Idempotent, 2));
    entry.setReachable({upstreams.address(0), upstreams.address(1)});
    BOOST_TEST(contains(entry.sendRequest("a"), "late"));
}

// Guards against a server error that is delivered as the response although the hedge still runs and
// responds next.
BOOST_AUTO_TEST_CASE(serverErrorIsNotServedWhileTheHedgeRuns)
{
    const Step error = {completeResponse("a", "error", 500), false, 260};
    const Step whole = {streamHead("a") + chunk(wholeStream) + lastChunk, false, 200};
    const StreamBody body = send(error, whole);
    BOOST_TEST(body.text == wholeStream);
    BOOST_TEST(body.isComplete);
    BOOST_TEST(requests == 2u);
}

// Guards against an upstream that responds to hedges with errors at once and counts as healthy.
BOOST_AUTO_TEST_CASE(serverErrorOfAHedgeIsReportedWithTheRelease)
{
    ScriptedUpstreams upstreams({pausingStream(700), {completeResponse("a", "error", 500)}});
    UnknowingBroker broker(upstreams);
    broker.versions = {"v1", "v1"};
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, true), broker.address());
    entry.sendRequest("a");
    const auto releases = broker.awaitReleases(2);
    BOOST_TEST_REQUIRE(!releases.empty());
    BOOST_TEST(releases.front().upstream == "u2");
    BOOST_TEST(releases.front().end == "server_error");
}

// Guards against a running call that is cancelled for a hedge whose stream ends inside an event.
BOOST_AUTO_TEST_CASE(streamGoesOnWhenTheHedgeEndsInsideAnEvent)
{
    const Step hedge = {streamHead("a") + chunk(event(1) + event(2)) + chunk("id: 3\nda")
                        + lastChunk};
    const StreamBody body = send(pausingStream(700), hedge);
    BOOST_TEST(body.text == wholeStream);
    BOOST_TEST(body.isComplete);
}

// Guards against a request that runs on more upstreams than its route allows: a hedge on an
// established connection reaches its upstream although new connections fail, so it counts.
BOOST_AUTO_TEST_CASE(hedgeOnAnEstablishedConnectionCounts)
{
    ScriptedUpstreams upstreams({{brokenOffStream().bytes}, silent(), restOfStream()}, 3);
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, true));
    entry.thread.run([&] {
        for (int i = 0; i < 3; ++i)
            entry.connections.connect(upstreams.address(i), [](bool) {});
    });
    absl::SleepFor(absl::Milliseconds(50));
    std::vector<std::string> closed;
    closed.reserve(9);
    for (int i = 0; i < 9; ++i)
        closed.push_back("127.0.0.1:" + std::to_string(net::freePort()));
    entry.setReachable(closed);
    bool canReceive = false;
    bool isCutOff = false;
    entry.thread.run([&] {
        for (int i = 1; i <= 9; ++i)
            entry.upstreams.probeSilent("u" + std::to_string(i));
    });
    absl::SleepFor(absl::Milliseconds(50));
    entry.thread.run([&] {
        canReceive = entry.upstreams.canReceive();
        isCutOff = entry.upstreams.isCutOff();
    });
    BOOST_TEST_REQUIRE(canReceive);
    BOOST_TEST_REQUIRE(isCutOff);
    (void)entry.sendRequest("a");
    BOOST_TEST(upstreams.requests().size() == 2u);
}

// Guards against a running call that is cancelled for a silent one because its upstream drains, so
// that nothing tells whether it can be reached.
BOOST_AUTO_TEST_CASE(streamOfADrainingUpstreamGoesOnWhenAllUpstreamsPause)
{
    ScriptedUpstreams upstreams({pausingStream(900), silent()});
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, true));
    entry.thread.run([&] {
        entry.upstreams.setUpstreams({{"u1", "s", upstreams.address(0), "d", 4, true, ""},
                                      {"u2", "s", upstreams.address(1), "d", 4, false, ""}});
    });
    const StreamBody body = streamBody(entry.sendRequest("a"));
    BOOST_TEST(body.text == wholeStream);
    BOOST_TEST(body.isComplete);
}

// Guards against a stream that waits until its deadline for an upstream that hangs but accepts
// connections, while others respond, because the hedge, whose first event takes longer than usual,
// was its last attempt.
BOOST_AUTO_TEST_CASE(hangingUpstreamIsLeftForASlowOne)
{
    const Step busy = {streamHead("b") + chunk(event(1)), false, 0, chunk(event(1))};
    Step first = brokenOffStream();
    first.closes = false;
    Step second = restOfStream();
    second.delay = 400;
    ScriptedUpstreams upstreams({busy, first, second}, 3);
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, true));
    entry.setReachable({upstreams.address(0), upstreams.address(1), upstreams.address(2)});
    std::thread other([&] { (void)entry.sendRequest("b"); });
    while (upstreams.requests().empty())
        std::this_thread::yield();
    const StreamBody body = streamBody(entry.sendRequest("a"));
    other.join();
    BOOST_TEST(body.text == wholeStream);
    BOOST_TEST(body.isComplete);
}

// Guards against a stream that waits until its deadline for an upstream that hangs, because the
// hedge was cancelled although its upstream had accepted it and only its first event was late.
BOOST_AUTO_TEST_CASE(hangingUpstreamIsLeftForOneThatHasAccepted)
{
    Step first = brokenOffStream();
    first.closes = false;
    Step second = {streamHead("a")};
    second.rest = chunk(event(3)) + chunk(event(4)) + lastChunk;
    second.pause = 600;
    const StreamBody body = send(first, second);
    BOOST_TEST(body.text == wholeStream);
    BOOST_TEST(body.isComplete);
    BOOST_TEST(requests == 2u);
}

// Guards against a running call that is cancelled because four other upstreams answer no new
// connection, although the next attempt cannot be made.
BOOST_AUTO_TEST_CASE(runningCallIsKeptWhenOtherUpstreamsDoNotAnswer)
{
    ScriptedUpstreams upstreams({pausingStream(900)});
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, true));
    std::array<net::HangingListener, 4> hanging;
    std::vector<wire::FleetUpstream> list;
    list.reserve(hanging.size());
    for (const net::HangingListener &listener : hanging)
        list.push_back(
                {"h" + std::to_string(list.size()), "s", listener.address(), "d", 4, false, ""});
    std::string response;
    std::thread caller([&] { response = entry.sendRequest("a"); });
    while (upstreams.requests().empty())
        std::this_thread::yield();
    entry.thread.run([&] {
        entry.upstreams.setUpstreams(list);
        for (const wire::FleetUpstream &upstream : list)
            entry.upstreams.probeSilent(upstream.id);
    });
    caller.join();
    const StreamBody body = streamBody(response);
    BOOST_TEST(body.text == wholeStream);
    BOOST_TEST(body.isComplete);
}

// Guards against an upstream that hangs and is never left, because it was silent for the second
// time while a slot at another one, requested at the first time, was not granted yet.
BOOST_AUTO_TEST_CASE(silenceDuringASlotRequestIsNoticedAfterIt)
{
    Step first = {streamHead("a") + chunk(event(1)) + chunk(event(2))};
    first.pause = 250;
    first.rest = chunk(event(3));
    ScriptedUpstreams upstreams({first, {streamHead("a") + chunk(event(4)) + lastChunk}});
    UnknowingBroker broker(upstreams);
    broker.versions = {"v1", "v1"};
    broker.furtherGrantDelay = absl::Milliseconds(500);
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, true), broker.address());
    entry.setReachable({upstreams.address(0), upstreams.address(1)});
    const StreamBody body = streamBody(entry.sendRequest("a"));
    BOOST_TEST(broker.requests().size() >= 2u);
    BOOST_TEST(body.text == wholeStream);
    BOOST_TEST(body.isComplete);
}

// Guards against an upstream that works on for a caller that has left while two attempts run.
BOOST_AUTO_TEST_CASE(bothCallsEndWhenTheCallerLeaves)
{
    ScriptedUpstreams upstreams({{brokenOffStream().bytes}, silent()});
    UnknowingBroker broker(upstreams);
    broker.versions = {"v1", "v1"};
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, true), broker.address());
    entry.setReachable({upstreams.address(0), upstreams.address(1)});
    {
        boost::asio::io_context context;
        boost::asio::ip::tcp::socket socket(context);
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), entry.port});
        const std::string request = "POST /x HTTP/1.1\r\nHost: h\r\nId: a\r\nContent-Length: "
                                    "2\r\n\r\nhi";
        boost::asio::write(socket, boost::asio::buffer(request));
        while (upstreams.requests().size() < 2)
            std::this_thread::yield();
    }
    absl::SleepFor(absl::Milliseconds(100));
    entry.thread.run([&] {
        // A silent call's connection is reset when it is cancelled; only the probe's may stay.
        BOOST_TEST(!entry.connections.hasOpenConnections(upstreams.address(1)));
    });
    const auto releases = broker.awaitReleases(2);
    BOOST_TEST(releases.size() == 2u);
    std::vector<std::string> ids;
    ids.reserve(releases.size());
    for (const wire::SlotRelease &release : releases)
        ids.push_back(release.requestId);
    std::sort(ids.begin(), ids.end());
    BOOST_TEST((std::unique(ids.begin(), ids.end()) == ids.end()));
}

// Guards against a process whose memory is exhausted by the responses of hedges, which no limit
// counts. The body of an error is not kept at all.
BOOST_AUTO_TEST_CASE(bodyOfAHedgeCountsAsBuffered)
{
    constexpr std::size_t fillerBytes = std::size_t(1) << 18;
    Step error = {"HTTP/1.1 500 X\r\nId: a\r\nContent-Length: 1000000000\r\n\r\n"};
    error.filler = std::string(fillerBytes, 'x');
    Step comments = {streamHead("a")};
    comments.filler = chunk(":" + std::string(fillerBytes, 'x') + "\n\n");
    for (const auto &[hedge, isKept] : {std::pair(error, false), std::pair(comments, true)}) {
        ScriptedUpstreams upstreams({pausingStream(700), hedge});
        Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, true));
        entry.setReachable({upstreams.address(0), upstreams.address(1)});
        std::string response;
        std::thread caller([&] { response = entry.sendRequest("a"); });
        while (upstreams.requests().size() < 2)
            std::this_thread::yield();
        std::size_t buffered = 0;
        for (int i = 0; i < 20; ++i) {
            absl::SleepFor(absl::Milliseconds(10));
            entry.thread.run(
                    [&] { buffered = std::max(buffered, entry.context.buffers->usedBytes()); });
        }
        caller.join();
        BOOST_TEST((buffered > 0) == isKept);
        BOOST_TEST(buffered <= EventSplitter::maxEventBytes + 2 * fillerBytes);
        BOOST_TEST(streamBody(response).text == wholeStream);
    }
}

// Guards against the upstream of a hedge that counts as failed because this process lacks memory.
BOOST_AUTO_TEST_CASE(lackOfMemoryIsNoFailureOfTheHedge)
{
    Step comments = {streamHead("a")};
    comments.filler = chunk(":" + std::string(std::size_t(1) << 16, 'x') + "\n\n");
    ScriptedUpstreams upstreams({pausingStream(700), comments});
    UnknowingBroker broker(upstreams);
    broker.versions = {"v1", "v1"};
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, true), broker.address());
    const auto buffers = std::make_shared<BufferBudget>(std::size_t(1) << 18);
    entry.thread.run([&] { entry.context.buffers = buffers; });
    BOOST_TEST(streamBody(entry.sendRequest("a")).text == wholeStream);
    const auto releases = broker.awaitReleases(2);
    BOOST_TEST_REQUIRE(!releases.empty());
    BOOST_TEST(releases.front().upstream == "u2");
    BOOST_TEST(releases.front().end == "abandoned");
}

BOOST_AUTO_TEST_SUITE_END()
