#include "brokermetrics.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace rattanrill;
using namespace rattanrill::gateway;

namespace {

constexpr const char *ejections = "rattanrill_upstream_ejections_total";

struct Fixture
{
    void setUpstreams(int count)
    {
        std::vector<wire::FleetUpstream> list;
        for (int i = 0; i < count; ++i) {
            const std::string id = std::to_string(i);
            list.push_back({id, "llm", "u" + id + ":1", "d", 8, false});
        }
        broker.setUpstreams(list, serving::CapacityShare());
    }

    /// Returns the upstream that the task is granted; empty when there is none.
    std::string grant(const std::string &id)
    {
        policy::SlotTask task;
        task.id = id;
        task.service = "llm";
        task.workspace = "w";
        task.kind = policy::TaskKind::Batch;
        std::string upstream;
        broker.acquireBatch(
                task,
                {[&](const policy::GrantSlot &granted) { upstream = granted.upstream; }, [] {}});
        return upstream;
    }

    /// Whether the metrics contain the line \a line after an update.
    bool shows(const std::string &line)
    {
        updated.update();
        return metrics.exposition().find(line + "\n") != std::string::npos;
    }

    std::uint64_t ejectionCount(const std::string &reason) const
    {
        return metrics.counter(ejections, {{"reason", reason}});
    }

    ManualClock clock;
    ManualTimerService timers{clock};
    serving::SlotBroker broker{timers, clock, serving::SlotBrokerSettings()};
    Metrics metrics;
    BrokerMetrics updated{broker, metrics};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(BrokerMetricsTest, Fixture)

// Guards against an upstream that operators take for ejected although a single observer can't reach
// it, and against ejections that are counted again with each update.
BOOST_AUTO_TEST_CASE(ejectionsAreCountedByTheirReason)
{
    setUpstreams(1);
    BOOST_TEST(shows("rattanrill_ejected_upstreams 0"));
    BOOST_TEST(shows(std::string(ejections) + "{reason=\"server_error\"} 0"));
    BOOST_TEST_REQUIRE(grant("a") == "0");
    broker.releaseBatch("a", policy::ReleaseReason::Unreachable, "e1");
    BOOST_TEST(shows("rattanrill_ejected_upstreams 0"));
    BOOST_TEST_REQUIRE(grant("b") == "0");
    broker.releaseBatch("b", policy::ReleaseReason::Unreachable, "e2");
    BOOST_TEST(shows("rattanrill_ejected_upstreams 1"));
    BOOST_TEST(shows("rattanrill_ejected_upstreams 1"));
    BOOST_TEST(ejectionCount("gone") == 2u);
    BOOST_TEST(ejectionCount("failed") == 0u);
    timers.advance(absl::Seconds(10));
    BOOST_TEST(shows("rattanrill_ejected_upstreams 0"));
}

// Guards against an upstream that responds with server errors, gets no requests and shows in no
// metric.
BOOST_AUTO_TEST_CASE(ejectionForServerErrorsIsShown)
{
    setUpstreams(4);
    const auto isEjected = [&] {
        return broker.ejectionCount(policy::ReleaseReason::ServerError) > 0;
    };
    for (int i = 0; i < 1000 && !isEjected(); ++i) {
        const std::string id = std::to_string(i);
        const bool fails = grant(id) == "0";
        broker.releaseBatch(id, fails ? policy::ReleaseReason::ServerError
                                      : policy::ReleaseReason::Completed);
        timers.advance(absl::Milliseconds(10));
    }
    BOOST_TEST(shows("rattanrill_ejected_upstreams 1"));
    BOOST_TEST(ejectionCount("server_error") == 1u);
    broker.setUpstreams({}, serving::CapacityShare());
    BOOST_TEST(shows("rattanrill_ejected_upstreams 0"));
}

// Guards against a spread that stays at its last value while a service runs nothing.
BOOST_AUTO_TEST_CASE(loadIsShownWhileAServiceRunsRequests)
{
    setUpstreams(2);
    for (const char *id : {"a", "b", "c"})
        BOOST_TEST_REQUIRE(!grant(id).empty());
    broker.reportLoad({"0", 2, -1, false, 0, "u0:1", -1, 4});
    BOOST_TEST(shows("rattanrill_highest_pace{service=\"llm\"} 4"));
    for (const char *id : {"a", "b"})
        broker.releaseBatch(id, policy::ReleaseReason::Completed);
    // One request at two upstreams.
    BOOST_TEST(shows("rattanrill_load_spread{service=\"llm\"} 2"));
    broker.releaseBatch("c", policy::ReleaseReason::Completed);
    updated.update();
    BOOST_TEST(metrics.exposition().find("service=") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
