#include "loadrunner.h"

#include "engineserver.h"
#include "rattanrill/base/concat.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace rattanrill;
using namespace rattanrill::load;

namespace {

constexpr const char *loopback = "127.0.0.1";

fakes::EngineModelSettings engineSettings()
{
    fakes::EngineModelSettings settings;
    settings.models = {"m"};
    settings.timings.stepBase = absl::Milliseconds(1);
    return settings;
}

/// Starts a fake engine server in this process and runs load against it.
struct Fixture
{
    Fixture()
        : runner(engineSettings(), faults, records)
        , server(fakes::HttpSettings{loopback, 0, 32})
        , engine(server, runner, faults, records)
        , port(outcomeOf([this] { return server.bind(); }).value())
        , listener([this] { server.listen_after_bind(); })
    {
        while (!server.is_running())
            std::this_thread::yield();
    }

    ~Fixture()
    {
        server.stop();
        listener.join();
    }

    void setFault(const Json &fault)
    {
        BOOST_TEST_REQUIRE(
                outcomeOf([&] { return faults.set(fault, SystemClock::instance().now()); }).ok());
        runner.applyFaults();
    }

    Json runLoad(std::int64_t &wrongCount)
    {
        LoadPlan plan;
        plan.targets = {concat("http://", loopback, ":", port)};
        plan.workspaces = {{"a", "k", 100, std::nullopt}};
        plan.model = "m";
        plan.prompts = "unused";
        plan.duration = absl::Milliseconds(200);
        plan.evenArrivals = true;
        plan.newConnections = true;
        LoadSummary summary;
        HistoryFile history("");
        const std::vector<Json> prompts = {{{"prompt", "p"}, {"max_tokens", 20}}};
        const auto schedule = outcomeOf([&] { return makeSchedule(plan, prompts); }).value();
        LoadRunner(plan, summary, history).run(schedule);
        wrongCount = summary.wrongCount();
        return summary.json();
    }

    fakes::Faults faults;
    fakes::RequestLog records;
    fakes::EngineRunner runner;
    fakes::FakeHttpServer server;
    fakes::EngineServer engine;
    int port;
    std::thread listener;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LoadRunnerTest, Fixture)

// Guards against planned requests that are dropped, sent twice or missing from the summary.
BOOST_AUTO_TEST_CASE(everyPlannedRequestIsSentAndCounted)
{
    std::int64_t wrongCount = -1;
    const Json summary = runLoad(wrongCount);
    BOOST_TEST(wrongCount == 0);
    const Json expected = {{"completed", 20}};
    BOOST_TEST(summary.at("outcomes") == expected);
    BOOST_TEST(summary.at("tokens") == 400);
    BOOST_TEST(records.lastSeq() == 20);
}

// Guards against refusals that are counted as wrong responses or without their code or run state.
BOOST_AUTO_TEST_CASE(refusalsAreCountedByCodeAndRunState)
{
    setFault({{"refuse", true}});
    std::int64_t wrongCount = -1;
    const Json summary = runLoad(wrongCount);
    const Json expected = {{{"code", "upstream_busy"}, {"run", "not_run"}, {"count", 20}}};
    BOOST_TEST(summary.at("refusals") == expected);
    BOOST_TEST(wrongCount == 0);
}

// Guards against a check that accepts every response: the fake engine swaps the responses to two
// requests.
BOOST_AUTO_TEST_CASE(swappedResponsesCountAsWrong)
{
    // The engine is slowed down so that responses overlap in time.
    setFault({{"cross_answers", 1}, {"slow_factor", 10}});
    std::int64_t wrongCount = 0;
    const Json summary = runLoad(wrongCount);
    BOOST_TEST(wrongCount == 2);
    BOOST_TEST(summary.at("outcomes").at("foreign") == 2);
}

BOOST_AUTO_TEST_SUITE_END()
