#include "testfleet.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"

#include "absl/time/clock.h"

#include <boost/test/unit_test.hpp>

#include <optional>

namespace rattanrill::entry {
namespace {

/// Name of a workspace whose rate bucket is owned by the entry with index \a owner among \a
/// entries.
std::string workspaceOf(int owner, int entries)
{
    std::vector<std::string> members;
    for (int i = 0; i < entries; ++i)
        members.push_back(concat("entry-", i));
    for (int i = 0;; ++i) {
        const std::string workspace = concat("w", i);
        if (rendezvousOwner(workspace, members) == static_cast<std::size_t>(owner))
            return workspace;
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(Limits)

// R7: guards against a workspace that gets its full burst at each entry instead of once.
BOOST_AUTO_TEST_CASE(burstLimitAppliesAcrossAllEntries)
{
    TestFleet fleet(3, 1);
    // The rate adds less than one request during the test.
    fleet.addWorkspace("small", 0.01, 5);
    fleet.awaitReady();
    int granted = 0;
    int limited = 0;
    BOOST_REQUIRE(eventually([&] {
        const auto response = fleet.complete((granted + limited) % 3, "small", "p", 1);
        granted += response->status == 200 ? 1 : 0;
        limited += response->status == 429 ? 1 : 0;
        return limited >= 12;
    }));
    BOOST_TEST(granted <= 5);
    const auto refused = fleet.complete(0, "small", "p", 1);
    BOOST_TEST(errorOf(refused).at("code") == "rate_limited");
    BOOST_TEST(errorOf(refused).at("run") == "not_run");
    BOOST_TEST(!refused->get_header_value("Retry-After").empty());
}

// R7: guards against a joining entry that becomes the owner of a rate bucket and starts with an
// empty or a full bucket instead of the level at the former owner.
BOOST_AUTO_TEST_CASE(joiningOwnerTakesOverTheBucketLevel)
{
    TestFleet fleet(1, 1);
    const std::string used = workspaceOf(1, 2);
    // The rate adds less than one request during the test.
    fleet.addWorkspace(used, 0.01, 9);
    fleet.awaitReady();
    for (int i = 0; i < 4; ++i)
        BOOST_TEST(fleet.complete(0, used, "p", 1)->status == 200);
    fleet.startEntry();
    fleet.awaitReady();
    int granted = 4;
    for (int i = 0; i < 10; ++i)
        granted += fleet.complete(i % 2, used, "p", 1)->status == 200 ? 1 : 0;
    BOOST_TEST(granted == 9);
}

// R7: guards against losing the rest of a workspace's burst when the owner of its bucket leaves.
BOOST_AUTO_TEST_CASE(leavingOwnerHandsOverTheBucketLevel)
{
    TestFleet fleet(2, 1);
    const std::string workspace = workspaceOf(0, 2);
    fleet.addWorkspace(workspace, 0.01, 5);
    fleet.awaitReady();
    int granted = fleet.complete(0, workspace, "p", 1)->status == 200 ? 1 : 0;
    BOOST_TEST(fleet.entry(0).drain());
    for (int i = 0; i < 7; ++i)
        granted += fleet.complete(1, workspace, "p", 1)->status == 200 ? 1 : 0;
    BOOST_TEST(granted == 5);
}

// R7, R9: guards against requests that run uncounted while the owner of the bucket cannot grant
// because its directory view is older than the owner lease.
BOOST_AUTO_TEST_CASE(ownerWithAStaleViewGrantsNothing)
{
    TestFleet fleet(2, 1);
    const std::string workspace = workspaceOf(1, 2);
    fleet.addWorkspace(workspace, 1000, 1000);
    fleet.awaitReady();
    BOOST_TEST(eventually([&] { return fleet.complete(0, workspace, "p", 1)->status == 200; }));
    const std::size_t runs = fleet.engine(0).runs();
    fleet.control().setPollsUnresponsive(true);
    // Both views become older than the owner lease, but not older than the key freshness limit.
    BOOST_TEST(eventually([&] {
        return errorOf(fleet.complete(0, workspace, "p", 1)).value("code", "") == "rate_unknown";
    }));
    const auto refused = fleet.complete(0, workspace, "p", 1);
    BOOST_TEST(errorOf(refused).value("run", "") == "not_run");
    BOOST_TEST(fleet.engine(0).runs() >= runs);
}

// R12: guards against a drain that breaks running streams, and against one that refuses new
// requests during the drain notice.
BOOST_AUTO_TEST_CASE(drainInterruptsNoRequest)
{
    TestFleet fleet(0, 2);
    // With the short lease of the fixture, an owner whose view is 300 ms old refuses requests.
    fleet.settings().timings.ownerLease = Timings().ownerLease;
    fleet.startEntry();
    fleet.startEntry();
    fleet.awaitReady();
    ScriptedEngine::Script script;
    script.pauseAt = 2;
    fleet.engine(0).setScript(script);
    fleet.engine(1).setScript(script);
    std::vector<std::unique_ptr<StreamedCall>> calls;
    for (int i = 0; i < 6; ++i) {
        const std::string prompt = concat("drain ", i);
        calls.push_back(std::make_unique<StreamedCall>(fleet.port(0), "key-acme", prompt, 30));
        BOOST_TEST(calls.back()->awaitText(expectedText(prompt, 2)));
    }
    httplib::Client idle("127.0.0.1", fleet.port(0));
    idle.set_keep_alive(true);
    BOOST_TEST(idle.Get("/healthz")->status == 200);
    bool finished = false;
    std::thread drain([&] { finished = fleet.entry(0).drain(); });
    // During the drain notice the entry is no longer ready but still serves requests.
    BOOST_TEST(eventually([&] {
        const auto ready = idle.Get("/readyz");
        return ready && ready->status == 503;
    }));
    BOOST_TEST(fleet.complete(0, "acme", "late", 1)->status == 200);
    BOOST_TEST(eventually([&] {
        httplib::Client client("127.0.0.1", fleet.port(0));
        return !client.Get("/healthz");
    }));
    BOOST_TEST(fleet.control().members() == 1u);
    fleet.engine(0).resume();
    fleet.engine(1).resume();
    drain.join();
    BOOST_TEST(finished);
    for (int i = 0; i < 6; ++i) {
        calls[i]->join();
        BOOST_TEST(calls[i]->complete);
        BOOST_TEST(calls[i]->text == expectedText(concat("drain ", i), 30));
    }
}

// R12: guards against a shutdown that closes the connections of the requests that still run at the
// end of its time, or that waits for them beyond it.
BOOST_AUTO_TEST_CASE(drainLimitEndsRequestsWithCompleteResponses)
{
    TestFleet fleet(0, 1, 1);
    fleet.settings().timings.drainLimit = absl::Seconds(2);
    fleet.control().write(wire::PutRoute{{"desk", "/desk", "desk", false, true}});
    fleet.startEntry();
    fleet.awaitReady();
    ScriptedEngine::Script script;
    script.pauseAt = 2;
    fleet.engine(0).setScript(script);
    fleet.service(0).setScript(script);
    const std::size_t engineRuns = fleet.engine(0).runs();
    StreamedCall streamed(fleet.port(0), "key-acme", "begun", 30);
    BOOST_REQUIRE(streamed.awaitText(expectedText("begun", 2)));
    std::optional<httplib::Result> responses[2];
    std::thread whole([&] { responses[0] = fleet.complete(0, "acme", "whole", 30); });
    std::thread service([&] { responses[1] = fleet.post(0, "/desk/a", "acme", "{}"); });
    BOOST_REQUIRE(fleet.engine(0).awaitRuns(engineRuns + 2));
    BOOST_REQUIRE(fleet.service(0).awaitRuns(1));
    const absl::Time start = absl::Now();
    BOOST_TEST(!fleet.entry(0).drain());
    // The responses paused for 10 s; the shutdown must not wait for them.
    BOOST_TEST(absl::ToDoubleSeconds(absl::Now() - start) < 8);
    streamed.join();
    whole.join();
    service.join();
    BOOST_TEST(streamed.status == 200);
    BOOST_TEST(streamed.text == expectedText("begun", 2));
    BOOST_TEST(streamed.errorCode == "draining");
    BOOST_TEST(streamed.errorRun == "may_have_run");
    BOOST_TEST(!streamed.complete);
    for (const std::optional<httplib::Result> &response : responses) {
        BOOST_TEST(errorOf(*response).value("code", "") == "draining");
        BOOST_TEST(errorOf(*response).value("run", "") == "may_have_run");
        BOOST_TEST((*response)->status == 503);
    }
}

// Guards against connections above the limit that wait without a response instead of being refused.
BOOST_AUTO_TEST_CASE(connectionsAboveTheLimitAreRefused)
{
    TestFleet fleet(0, 1);
    fleet.settings().http.maxConnections = 3;
    fleet.startEntry();
    fleet.awaitReady();
    ScriptedEngine::Script script;
    script.pauseAt = 1;
    fleet.engine(0).setScript(script);
    std::vector<std::unique_ptr<StreamedCall>> calls;
    for (int i = 0; i < 3; ++i) {
        calls.push_back(std::make_unique<StreamedCall>(fleet.port(0), "key-acme", "full", 4));
        BOOST_TEST(calls.back()->awaitText(expectedText("full", 1)));
    }
    const auto refused = fleet.complete(0, "acme", "p", 1);
    BOOST_TEST(refused->status == 503);
    BOOST_TEST(errorOf(refused).at("code") == "overloaded");
    BOOST_TEST(errorOf(refused).at("run") == "not_run");
    fleet.engine(0).resume();
    for (const auto &call : calls) {
        call->join();
        BOOST_TEST(call->complete);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanrill::entry
