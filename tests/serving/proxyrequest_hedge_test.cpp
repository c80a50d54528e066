#include "proxyfixture.h"

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
    Step first = pausingStream(450);
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
            entry.upstreams.recordSilence("u" + std::to_string(i));
    });
    caller.join();
    const StreamBody body = streamBody(response);
    BOOST_TEST(body.text == wholeStream);
    BOOST_TEST(body.isComplete);
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

// Guards against an error response of an upstream that was silent, which is delivered although
// another upstream runs the request.
BOOST_AUTO_TEST_CASE(errorIsNotDeliveredWhileAnotherUpstreamRunsTheRequest)
{
    ScriptedUpstreams upstreams({{completeResponse("a", "error", 500), false, 850},
                                 {completeResponse("a", "soon"), false, 200}});
    Entry entry(upstreams, routeOf(RouteKind::Idempotent, 2));
    entry.setReachable({upstreams.address(0), upstreams.address(1)});
    BOOST_TEST(contains(entry.sendRequest("a"), "soon"));
}

BOOST_AUTO_TEST_SUITE_END()
