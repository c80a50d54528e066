#include "proxyfixture.h"

#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::serving;

BOOST_AUTO_TEST_SUITE(ProxyRequestTest)

BOOST_AUTO_TEST_CASE(responseIsForwardedUnchanged)
{
    ScriptedUpstreams upstreams({{completeResponse("a", "body")}});
    Entry entry(upstreams, routeOf(RouteKind::NonIdempotent, 1));
    const std::string response = entry.sendRequest("a");
    BOOST_TEST(contains(response, "HTTP/1.1 200"));
    BOOST_TEST(contains(response, "Signed: s-a"));
    BOOST_TEST(contains(response, "\r\n\r\nbody"));
    BOOST_TEST(contains(upstreams.requests().at(0), "\r\n\r\nhi"));
}

// Guards against a request that runs twice although its route allows one run only: it is sent again
// after a connection broke while it may have run.
BOOST_AUTO_TEST_CASE(nonIdempotentRequestIsNotRepeated)
{
    ScriptedUpstreams upstreams({{"", true}});
    Entry entry(upstreams, routeOf(RouteKind::NonIdempotent, 3));
    BOOST_TEST(contains(entry.sendRequest("a"), "HTTP/1.1 502"));
    BOOST_TEST(upstreams.requests().size() == 1u);
}

// Guards against an error response although the request did not run and another upstream is free.
BOOST_AUTO_TEST_CASE(requestRefusedByAnUpstreamRunsAtAnother)
{
    ScriptedUpstreams upstreams({{completeResponse("a", "full", 503, "Not-Run: 1\r\n")},
                                 {completeResponse("a", "done")}});
    Entry entry(upstreams, routeOf(RouteKind::NonIdempotent, 3));
    BOOST_TEST(contains(entry.sendRequest("a"), "done"));
    BOOST_TEST(upstreams.requests().size() == 2u);
}

// Guards against a truncated response that reaches the caller although the request may run again.
BOOST_AUTO_TEST_CASE(idempotentRequestIsRetriedAfterATruncatedResponse)
{
    ScriptedUpstreams upstreams({{"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nha", true},
                                 {completeResponse("a", "whole")}});
    Entry entry(upstreams, routeOf(RouteKind::Idempotent, 2));
    const std::string response = entry.sendRequest("a");
    BOOST_TEST(contains(response, "\r\n\r\nwhole"));
    BOOST_TEST(!contains(response, "\r\n\r\nha"));
}

// Guards against a response that reaches the wrong caller: the upstream sends the response to
// another request first on the same connection.
BOOST_AUTO_TEST_CASE(responseToAnotherRequestIsNotDelivered)
{
    ScriptedUpstreams upstreams(
            {{completeResponse("other", "foreign") + completeResponse("a", "mine")}});
    Entry entry(upstreams, routeOf(RouteKind::NonIdempotent, 1));
    const std::string response = entry.sendRequest("a");
    BOOST_TEST(contains(response, "mine"));
    BOOST_TEST(!contains(response, "foreign"));
}

// Guards against requests that get no response, or a wrong statement whether they ran, when the
// process ends: one runs at an upstream, the other one waits for the response of a silent broker.
BOOST_AUTO_TEST_CASE(openRequestsGetAResponseWhenTheProcessEnds)
{
    ScriptedUpstreams upstreams({{completeResponse("a", "late"), false, 2000}});
    Entry entry(upstreams, routeOf(RouteKind::NonIdempotent, 1));
    std::string running;
    std::thread first([&] { running = entry.sendRequest("a"); });
    while (upstreams.requests().empty())
        std::this_thread::yield();
    boost::asio::io_context context;
    const boost::asio::ip::tcp::acceptor silentBroker(
            context, {boost::asio::ip::make_address("127.0.0.1"), 0});
    const std::string silentAddress =
            "127.0.0.1:" + std::to_string(silentBroker.local_endpoint().port());
    entry.thread.run([&] { entry.slotClient.setBroker(silentAddress); });
    std::string waiting;
    std::thread second([&] { waiting = entry.sendRequest("b"); });
    bool areOpen = false;
    while (!areOpen) {
        entry.thread.run([&] {
            areOpen = entry.server->openExchanges().size() == 2;
            if (areOpen)
                entry.server->endRequests();
        });
    }
    first.join();
    second.join();
    BOOST_TEST(contains(running, "HTTP/1.1 502"));
    BOOST_TEST(contains(waiting, "HTTP/1.1 503"));
    BOOST_TEST(contains(waiting, "the process ends"));
    BOOST_TEST(upstreams.requests().size() == 1u);
}

// Guards against a caller that waits until the deadline for an upstream that does not respond.
BOOST_AUTO_TEST_CASE(unresponsiveUpstreamIsReplacedByAFreeOne)
{
    ScriptedUpstreams upstreams(
            {{completeResponse("a", "late"), false, 2000}, {completeResponse("a", "soon")}});
    Entry entry(upstreams, routeOf(RouteKind::Idempotent, 2));
    BOOST_TEST(contains(entry.sendRequest("a"), "soon"));
}

// Guards against a non-idempotent request that runs twice, or is refused as not run, because the
// body of its response exceeds the size limit.
BOOST_AUTO_TEST_CASE(requestWithATooLongResponseIsNotRepeated)
{
    ScriptedUpstreams upstreams(
            {{"HTTP/1.1 200 OK\r\nId: a\r\n\r\n", false, 0, std::string(65536, 'z')},
             {completeResponse("a", "second run")}});
    Entry entry(upstreams, routeOf(RouteKind::NonIdempotent, 3));
    BOOST_TEST(contains(entry.sendRequest("a"), "HTTP/1.1 502"));
    BOOST_TEST(upstreams.requests().size() == 1u);
}

// Guards against a process that keeps what faulty upstreams send without end, each within the limit
// of one response, until it has no memory left.
BOOST_AUTO_TEST_CASE(responsesTogetherAreBounded)
{
    ScriptedUpstreams upstreams(
            {{"HTTP/1.1 200 OK\r\nId: a\r\n\r\n", false, 0, std::string(65536, 'z')}});
    Entry entry(upstreams, routeOf(RouteKind::NonIdempotent, 1));
    const auto buffers = std::make_shared<BufferBudget>(std::size_t(1) << 20);
    entry.thread.run([&] { entry.context.buffers = buffers; });
    const std::string response = entry.sendRequest("a");
    BOOST_TEST(contains(response, "HTTP/1.1 502"));
    BOOST_TEST(contains(response, "buffers too many bytes"));
    entry.thread.run([&] { BOOST_TEST(buffers->usedBytes() == 0u); });
}

// Guards against a sound upstream that is ejected because this process lacks memory. One that
// exceeds the limit of a single response counts as failed.
BOOST_AUTO_TEST_CASE(lackOfMemoryIsNoFailureOfTheUpstream)
{
    const Step endless = {"HTTP/1.1 200 OK\r\nId: a\r\n\r\n", false, 0, std::string(65536, 'z')};
    for (const auto &[limitBytes, reason] :
         {std::pair(std::size_t(1) << 20, "abandoned"),
          std::pair(BufferBudget::defaultLimitBytes, "failed")}) {
        ScriptedUpstreams upstreams({endless});
        UnknowingBroker broker(upstreams);
        Entry entry(upstreams, routeOf(RouteKind::NonIdempotent, 1), broker.address());
        const auto buffers = std::make_shared<BufferBudget>(limitBytes);
        entry.thread.run([&] { entry.context.buffers = buffers; });
        BOOST_TEST(contains(entry.sendRequest("a"), "HTTP/1.1 502"));
        const auto releases = broker.awaitReleases(1);
        BOOST_TEST_REQUIRE(!releases.empty());
        BOOST_TEST(releases.front().end == reason);
    }
}

// Guards against a whole response without a length that is refused or cut.
BOOST_AUTO_TEST_CASE(wholeResponseWithoutLengthIsForwarded)
{
    ScriptedUpstreams upstreams({{"HTTP/1.1 200 OK\r\nId: a\r\n\r\nall of it", true}});
    Entry entry(upstreams, routeOf(RouteKind::NonIdempotent, 1));
    BOOST_TEST(contains(entry.sendRequest("a"), "\r\n\r\nall of it"));
}

// Guards against an upstream's error response that is replaced by one of the serving system.
BOOST_AUTO_TEST_CASE(errorResponseOfAnUpstreamIsForwarded)
{
    ScriptedUpstreams upstreams({{completeResponse("a", "it failed", 500)}});
    Entry entry(upstreams, routeOf(RouteKind::NonIdempotent, 3));
    const std::string response = entry.sendRequest("a");
    BOOST_TEST(contains(response, "HTTP/1.1 500"));
    BOOST_TEST(contains(response, "Signed: s-a"));
}

// Guards against an upstream that responds with errors at once and counts as healthy, and against
// one that counts as faulty because it refused a request.
BOOST_AUTO_TEST_CASE(serverErrorIsReportedWithTheRelease)
{
    struct Row
    {
        std::string response;
        std::string reason;
    };
    const std::vector<Row> rows = {
            {completeResponse("a", "it failed", 500), "server_error"},
            {completeResponse("a", "busy", 503), "server_error"},
            {completeResponse("a", "full", 503, "Not-Run: 1\r\n"), "failed"},
            {completeResponse("a", "wrong", 400), "served"},
    };
    for (const auto &[response, reason] : rows) {
        ScriptedUpstreams upstreams({{response}, {completeResponse("a", "done")}});
        UnknowingBroker broker(upstreams);
        Entry entry(upstreams, routeOf(RouteKind::Idempotent, 2), broker.address());
        entry.sendRequest("a");
        const auto releases = broker.awaitReleases(1);
        BOOST_TEST_REQUIRE(!releases.empty());
        BOOST_TEST(releases.front().end == reason, response);
    }
}

// Guards against callers that are told that a request did not run, because its upstream responded
// with a status that says so but did not state it: they would send the request again.
BOOST_AUTO_TEST_CASE(unstatedPromiseOfAnUpstreamIsNotForwarded)
{
    ScriptedUpstreams upstreams({{completeResponse("a", "busy", 503)}});
    Entry entry(upstreams, routeOf(RouteKind::NonIdempotent, 3));
    const std::string response = entry.sendRequest("a");
    BOOST_TEST(contains(response, "HTTP/1.1 502"));
    BOOST_TEST(!contains(response, "Signed:"));
    BOOST_TEST(upstreams.requests().size() == 1u);
}

// Guards against a repeated response on a kept connection that is taken for the response to the
// next request: its caller would be told that the request did not run, or get another response.
BOOST_AUTO_TEST_CASE(repeatedResponseIsNotTakenForTheNextOne)
{
    struct Row
    {
        const char *name;
        std::string firstId;
        std::string first;
        std::string secondId;
        std::string repeated;
    };
    const auto response = [](const std::string &id, const std::string &status) {
        return "HTTP/1.1 " + status + "\r\n" + id + "Content-Length: 3\r\n\r\nold";
    };
    const std::string refused = "503 X\r\nNot-Run: 1";
    const std::string idA = "Id: a\r\n";
    const Row rows[] = {
            {"refusal of another request", "a", response(idA, refused), "b",
             response(idA, refused)},
            {"refusal without an id", "a", response("", refused), "b", response("", refused)},
            {"refusal repeated without its id", "a", response(idA, refused), "b",
             response("", refused)},
            {"refusal of a request that is sent again", "a", response(idA, refused), "a",
             response(idA, refused)},
            {"response without an id", "a", response("", "200 OK"), "b", response("", "200 OK")},
            {"response repeated without its id", "a", response(idA, "200 OK"), "b",
             response("", "200 OK")},
            {"response to a request that is sent again", "a", response(idA, "200 OK"), "a",
             response(idA, "200 OK")},
            {"response to a request without an id", "", response("", "200 OK"), "",
             response("", "200 OK")},
    };
    for (const Row &row : rows) {
        BOOST_TEST_INFO_SCOPE(row.name);
        ScriptedUpstreams upstreams(
                {{row.first}, {completeResponse(row.secondId, "mine"), false, 0, {}, row.repeated}},
                1);
        Entry entry(upstreams, routeOf(RouteKind::NonIdempotent, 1));
        entry.sendRequest(row.firstId);
        const std::string second = entry.sendRequest(row.secondId);
        BOOST_TEST(contains(second, "HTTP/1.1 200"));
        BOOST_TEST(contains(second, "\r\n\r\nmine"));
        BOOST_TEST(upstreams.requests().size() == 2u);
    }
}

// Guards against a request that is refused as not run, because the only response on its connection
// is a repeated refusal without an id.
BOOST_AUTO_TEST_CASE(requestWithOnlyARepeatedRefusalMayHaveRun)
{
    const std::string refusal = "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
    ScriptedUpstreams upstreams({{completeResponse("a", "first")}, {"", true, 0, {}, refusal}}, 1);
    Entry entry(upstreams, routeOf(RouteKind::NonIdempotent, 2));
    entry.sendRequest("a");
    BOOST_TEST(contains(entry.sendRequest("b"), "HTTP/1.1 502"));
    BOOST_TEST(upstreams.requests().size() == 2u);
}

// Guards against a response that reaches the caller as whole although its upstream stopped in the
// middle of its head or its body.
BOOST_AUTO_TEST_CASE(responseCutAtAnyByteIsNotDelivered)
{
    const std::string whole = completeResponse("a", "body");
    for (std::size_t cut = 0; cut < whole.size(); ++cut) {
        BOOST_TEST_INFO_SCOPE(cut << " bytes");
        ScriptedUpstreams upstreams({{whole.substr(0, cut), true}}, 1);
        Entry entry(upstreams, routeOf(RouteKind::NonIdempotent, 1));
        BOOST_TEST(contains(entry.sendRequest("a"), "HTTP/1.1 502"));
    }
}

BOOST_AUTO_TEST_SUITE_END()
