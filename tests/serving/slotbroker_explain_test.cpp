#include "rattanrill/serving/slotbroker.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <string>
#include <utility>

using namespace rattanrill;
using namespace rattanrill::serving;
using policy::ExclusionReason;
using policy::PlacementExplanation;
using policy::PlacementOutcome;

namespace {

struct Fixture
{
    Fixture()
    {
        Deployment deployment;
        deployment.version = 1;
        deployment.workspaces = {{"w", {"k"}, -1, 10, 2}};
        broker.setDeployment(std::make_shared<const DeploymentIndex>(std::move(deployment)));
        broker.setUpstreams({{"a", "llm", "a:1", "d0", 2, false, "1"},
                             {"b", "llm", "b:1", "d1", 2, false, "2"}},
                            CapacityShare());
        timers.advance(absl::Seconds(2));
    }

    wire::SlotRequest request(const std::string &failureDomain = "d0")
    {
        wire::SlotRequest result;
        result.requestId = std::to_string(nextRequest++);
        result.instance = "e";
        result.failureDomain = failureDomain;
        result.service = "llm";
        result.workspace = "w";
        result.objectiveMs = 300;
        result.deadlineMs = 5000;
        return result;
    }

    /// Explains the request, sends it, and checks that the response is the one explained.
    PlacementExplanation acquireAsExplained(const wire::SlotRequest &slotRequest)
    {
        const PlacementExplanation explanation = broker.explain(slotRequest);
        std::optional<wire::SlotResponse> response;
        broker.acquire(slotRequest, [&](const wire::SlotResponse &made) { response = made; });
        const auto outcome = explanation.outcome;
        BOOST_TEST_REQUIRE(response.has_value() == (outcome != PlacementOutcome::Waits));
        if (!response)
            return explanation;
        BOOST_TEST((response->verdict == wire::SlotOutcome::Granted)
                   == (outcome == PlacementOutcome::Granted));
        BOOST_TEST((response->verdict == wire::SlotOutcome::OverRate)
                   == (outcome == PlacementOutcome::OverRate));
        BOOST_TEST(response->upstream == explanation.upstream);
        if (explanation.wait)
            BOOST_TEST(response->retryAfterMs == absl::ToInt64Milliseconds(*explanation.wait));
        return explanation;
    }

    ManualClock clock;
    ManualTimerService timers{clock};
    SlotBroker broker{timers, clock, SlotBrokerSettings()};
    int nextRequest = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SlotBrokerExplainTest, Fixture)

// Guards against an explanation that takes from the workspace's rate, and against one that names a
// slot for a request over the rate.
BOOST_AUTO_TEST_CASE(rateIsExplainedAndNotCharged)
{
    for (int i = 0; i < 5; ++i)
        BOOST_TEST(broker.explain(request()).rate->level == 2);
    BOOST_TEST((acquireAsExplained(request()).outcome == PlacementOutcome::Granted));
    acquireAsExplained(request());
    const PlacementExplanation over = acquireAsExplained(request());
    BOOST_TEST((over.outcome == PlacementOutcome::OverRate));
    BOOST_TEST((over.wait == absl::Milliseconds(100)));
    BOOST_TEST(over.rate->contract.ratePerSecond == 10);
    BOOST_TEST(over.rate->contract.burst == 2);
    wire::SlotRequest furtherAttempt = request();
    furtherAttempt.chargesRate = false;
    BOOST_TEST((acquireAsExplained(furtherAttempt).outcome == PlacementOutcome::Granted));
}

// Guards against a request that is explained as another one than the broker schedules: sender,
// excluded upstreams, version and objective count.
BOOST_AUTO_TEST_CASE(requestIsExplainedAsItIsScheduled)
{
    BOOST_TEST(acquireAsExplained(request("d1")).upstream == "b");
    wire::SlotRequest excluding = request("d1");
    excluding.excluded = {"b"};
    BOOST_TEST(acquireAsExplained(excluding).upstream == "a");
    timers.advance(absl::Seconds(1));
    wire::SlotRequest resumed = request("d0");
    resumed.resumed = resumed.versionKnown = true;
    resumed.version = "2";
    BOOST_TEST(acquireAsExplained(resumed).upstream == "b");
    acquireAsExplained(request());
    timers.advance(absl::Seconds(1));
    wire::SlotRequest withShortObjective = request();
    withShortObjective.objectiveMs = 1;
    BOOST_TEST((acquireAsExplained(withShortObjective).outcome == PlacementOutcome::Rejected));
    wire::SlotRequest withLongObjective = request();
    withLongObjective.objectiveMs = 5000;
    BOOST_TEST((acquireAsExplained(withLongObjective).outcome == PlacementOutcome::Waits));
}

// Guards against an evacuation that looks like a leave of the upstream itself.
BOOST_AUTO_TEST_CASE(evacuationIsNamed)
{
    broker.setEvacuatedDomains({"d0"});
    broker.reportLoad({"b", -1, -1, true, 0, "b:1"});
    const PlacementExplanation explanation = acquireAsExplained(request());
    BOOST_TEST((explanation.outcome == PlacementOutcome::Rejected));
    BOOST_TEST((explanation.upstreams.at(0).reason == ExclusionReason::Evacuated));
    BOOST_TEST((explanation.upstreams.at(1).reason == ExclusionReason::Leaving));
}

// Guards against a batch item that is explained as charged, or as one that preempts others.
BOOST_AUTO_TEST_CASE(batchItemIsChargedToNoRate)
{
    const auto explainBatch = [this] { return broker.explain(request(), policy::TaskKind::Batch); };
    for (int i = 0; i < 4; ++i) {
        BOOST_TEST((explainBatch().outcome == PlacementOutcome::Granted));
        policy::SlotTask task;
        task.id = std::to_string(i);
        task.service = "llm";
        task.kind = policy::TaskKind::Batch;
        broker.acquireBatch(task, {[](const policy::GrantSlot &) {}, [] {}});
    }
    BOOST_TEST((explainBatch().outcome == PlacementOutcome::Waits));
    BOOST_TEST(!explainBatch().rate.has_value());
    BOOST_TEST((broker.explain(request()).outcome == PlacementOutcome::Preempts));
}

BOOST_AUTO_TEST_SUITE_END()
