#include "proxyfixture.h"

#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::serving;

BOOST_AUTO_TEST_SUITE(ProxyRequestTest)

// Guards against prompt parts that are accused of a crash although the response had begun, against
// a crash that is not reported, and against a request that a response clears before it crashes.
BOOST_AUTO_TEST_CASE(onlyAttemptsThatHadNotBegunAccuseTheirPromptParts)
{
    ScriptedUpstreams upstreams({{streamHead("a") + chunk(event(1)), true},
                                 {streamHead("a"), true},
                                 {streamHead("b") + chunk(event(1)) + "0\r\n\r\n"}});
    Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, true));
    entry.sendRequest("a", "Part: p\r\n");
    BOOST_TEST(entry.allReports().size() == 2u);
    entry.sendRequest("b", "Part: p\r\n");
    const auto reports = entry.allReports();
    BOOST_TEST_REQUIRE(reports.size() == 4u);
    BOOST_TEST_REQUIRE(reports[0].crashes.size() == 1u);
    const std::string fingerprint = reports[0].crashes[0].promptParts.back();
    BOOST_TEST((reports[0].crashes[0].promptParts == std::vector<std::string>{fingerprint}));
    BOOST_TEST_REQUIRE(reports[1].crashes.size() == 1u);
    BOOST_TEST((reports[1].crashes[0].promptParts == std::vector<std::string>{"p", fingerprint}));
    BOOST_TEST(reports[1].begun.empty());
    // The begin of the response clears the part, and its end the request.
    BOOST_TEST_REQUIRE(reports[2].begun.size() == 1u);
    BOOST_TEST(reports[2].begun[0].part == "p");
    BOOST_TEST_REQUIRE(reports[3].begun.size() == 1u);
    BOOST_TEST(reports[3].begun[0].part == fingerprint);
}

// Guards against a crash that nobody remembers because the request has no prompt, and against a
// request that is sent again although it crashes upstreams.
BOOST_AUTO_TEST_CASE(requestWithoutPromptIsRecognizedByItsFingerprint)
{
    ScriptedUpstreams upstreams({{"", true}});
    Entry entry(upstreams, routeOf(RouteKind::Idempotent, 1));
    entry.sendRequest("a");
    const auto reports = entry.allReports();
    BOOST_TEST_REQUIRE(reports.size() == 1u);
    BOOST_TEST_REQUIRE(reports[0].crashes.size() == 1u);
    const std::vector<std::string> &traits = reports[0].crashes[0].promptParts;
    BOOST_TEST_REQUIRE(traits.size() == 1u);
    entry.thread.run([&] { entry.crashGuard.setBlocks(1, {{traits}}, traits); });
    BOOST_TEST(contains(entry.sendRequest("b"), "HTTP/1.1 503"));
    BOOST_TEST(upstreams.requests().size() == 1u);
}

// Guards against a sound request that stays a suspect because its upstream responds with an error
// or without a body.
BOOST_AUTO_TEST_CASE(anyCompleteResponseClearsItsRequest)
{
    for (const std::string &response :
         {completeResponse("b", "no such record", 404), completeResponse("b", "")}) {
        ScriptedUpstreams upstreams({{"", true}, {response}});
        Entry entry(upstreams, routeOf(RouteKind::Idempotent, 1));
        entry.sendRequest("a");
        BOOST_TEST(entry.allReports().size() == 1u);
        entry.sendRequest("b");
        const auto reports = entry.allReports();
        BOOST_TEST_REQUIRE(reports.size() == 2u);
        BOOST_TEST(reports[1].begun.size() == 1u);
    }
}

// Guards against prompts that no response clears because their route has no streams.
BOOST_AUTO_TEST_CASE(wholeResponseClearsItsPrompt)
{
    ScriptedUpstreams upstreams({{completeResponse("a", "whole")}});
    Entry entry(upstreams, routeOf(RouteKind::Idempotent, 1));
    entry.thread.run([&] { entry.crashGuard.setBlocks(1, {}, {"p"}); });
    entry.sendRequest("a", "Part: p\r\n");
    const auto reports = entry.allReports();
    BOOST_TEST_REQUIRE(reports.size() == 1u);
    BOOST_TEST(reports[0].begun.size() == 1u);
}

// Guards against prompts that are accused of a crash because an upstream reset one connection while
// it ran on.
BOOST_AUTO_TEST_CASE(resetOfOneConnectionIsNotReportedAsCrash)
{
    ScriptedUpstreams upstreams({{completeResponse("0", "slow"), false, 500},
                                 {completeResponse("1", "slow"), false, 500},
                                 {"", true}});
    Entry entry(upstreams, routeOf(RouteKind::NonIdempotent, 1));
    std::vector<std::thread> callers;
    // Each upstream runs one of the first two requests; the third one is sent to the first
    // upstream.
    for (std::size_t i = 0; i < 2; ++i) {
        callers.emplace_back([&entry, i] { entry.sendRequest(std::to_string(i)); });
        while (upstreams.requests().size() <= i)
            std::this_thread::yield();
    }
    BOOST_TEST(contains(entry.sendRequest("2", "Part: p\r\n"), "HTTP/1.1 502"));
    BOOST_TEST(entry.allReports().empty());
    for (std::thread &caller : callers)
        caller.join();
}

// Guards against a blocked prompt that reaches an upstream, at first or as a further attempt.
BOOST_AUTO_TEST_CASE(requestWithABlockedPromptIsNotSent)
{
    // The block is set while the upstream has not failed yet.
    ScriptedUpstreams upstreams({{"", true, 1000}});
    Entry entry(upstreams, unhurriedStream(2));
    std::string failed;
    std::thread caller([&] { failed = entry.sendRequest("a", "Part: p\r\n"); });
    while (upstreams.requests().empty())
        std::this_thread::yield();
    entry.thread.run([&] { entry.crashGuard.setBlocks(1, {{{"p"}}}, {"p"}); });
    caller.join();
    BOOST_TEST(contains(failed, "HTTP/1.1 502"));
    BOOST_TEST(contains(entry.sendRequest("b", "Part: p\r\n"), "HTTP/1.1 503"));
    BOOST_TEST(upstreams.requests().size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
