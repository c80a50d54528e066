#include "rattanrill/serving/slotbroker.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::serving;
using wire::SlotOutcome;

namespace {

std::shared_ptr<const DeploymentIndex> deployment(double rate, double burst)
{
    Deployment result;
    result.version = 1;
    result.workspaces = {{"w", {"k"}, -1, rate, burst}};
    return std::make_shared<const DeploymentIndex>(std::move(result));
}

SlotBrokerSettings settings()
{
    SlotBrokerSettings result;
    result.rateToleranceFraction = 0.1;
    result.rateToleranceRequests = 20;
    return result;
}

struct Fixture
{
    Fixture()
    {
        broker.setDeployment(deployment(10, 10));
        broker.setUpstreams({{"u", "llm", "u:1", "d", 100, false}}, CapacityShare());
    }

    wire::SlotRequest request(const std::string &id)
    {
        wire::SlotRequest result;
        result.requestId = id;
        result.instance = "e";
        result.service = "llm";
        result.workspace = "w";
        result.objectiveMs = 300;
        result.deadlineMs = 5000;
        return result;
    }

    std::optional<wire::SlotResponse> acquire(const wire::SlotRequest &question)
    {
        last.reset();
        broker.acquire(question, [this](const wire::SlotResponse &response) { last = response; });
        return last;
    }

    bool isGranted(const std::string &id)
    {
        const auto answer = acquire(request(id));
        return answer && answer->verdict == SlotOutcome::Granted;
    }

    void release(const std::string &id) { broker.release({"e", id, "u", "served"}); }

    ManualClock clock;
    ManualTimerService timers{clock};
    SlotBroker broker{timers, clock, settings()};
    std::optional<wire::SlotResponse> last;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SlotBrokerTest, Fixture)

// Guards against a workspace that gets more than its rate and burst, with what the deployment
// allows on top, in any window, also over changes of the broker.
BOOST_AUTO_TEST_CASE(rateHoldsInEveryWindowOverChangesOfTheBroker)
{
    std::vector<absl::Time> grants;
    for (int step = 0; step < 3000; ++step) {
        timers.advance(absl::Milliseconds(10));
        // Two changes within one window are the most that is borne.
        if (step == 1000 || step == 1200)
            broker.reset();
        for (int i = 0; i < 2; ++i) {
            const std::string id = std::to_string(step) + "." + std::to_string(i);
            if (isGranted(id)) {
                grants.push_back(clock.now());
                release(id);
            }
        }
    }
    const double bound = (10 * 5 + 10) * 1.1 + 20;
    for (std::size_t first = 0, next = 0; first < grants.size(); ++first) {
        while (next < grants.size() && grants[next] - grants[first] <= absl::Seconds(5))
            ++next;
        BOOST_TEST_REQUIRE(static_cast<double>(next - first) <= bound);
    }
    BOOST_TEST(grants.size() > 290u);
}

BOOST_AUTO_TEST_CASE(overRateSaysWhenToReturn)
{
    timers.advance(absl::Seconds(10));
    int granted = 0;
    for (int i = 0; i < 30; ++i)
        granted += isGranted(std::to_string(i)) ? 1 : 0;
    BOOST_TEST(granted == 10);
    BOOST_TEST((last->verdict == SlotOutcome::OverRate));
    BOOST_TEST(last->retryAfterMs > 0);
    BOOST_TEST(last->retryAfterMs <= 100);
}

// Guards against tries of one request that are charged several times.
BOOST_AUTO_TEST_CASE(furtherTryIsNotCharged)
{
    timers.advance(absl::Seconds(10));
    for (int i = 0; i < 10; ++i)
        BOOST_TEST(isGranted(std::to_string(i)));
    wire::SlotRequest again = request("0~2");
    again.chargesRate = false;
    BOOST_TEST((acquire(again)->verdict == SlotOutcome::Granted));
}

// Guards against a lost broker that is noticed only after the whole wait for a place.
BOOST_AUTO_TEST_CASE(waitingRequestIsToldSoAndKeepsItsTurn)
{
    broker.setUpstreams({{"u", "llm", "u:1", "d", 1, false}}, CapacityShare());
    wire::SlotRequest patient = request("waits");
    patient.objectiveMs = 5000;
    BOOST_TEST(isGranted("runs"));
    BOOST_TEST(!acquire(patient).has_value());
    timers.advance(settings().maxResponseDelay);
    BOOST_TEST_REQUIRE(last.has_value());
    BOOST_TEST((last->verdict == SlotOutcome::Waiting));
    // The place becomes free between two questions.
    release("runs");
    patient.again = true;
    BOOST_TEST((acquire(patient)->verdict == SlotOutcome::Granted));
}

// Guards against a caller that leaves while it waits, whose asker then takes the broker for lost.
BOOST_AUTO_TEST_CASE(releasedWhileWaitingIsAnswered)
{
    broker.setUpstreams({{"u", "llm", "u:1", "d", 1, false}}, CapacityShare());
    wire::SlotRequest patient = request("waits");
    patient.objectiveMs = 5000;
    isGranted("runs");
    acquire(patient);
    release("waits");
    BOOST_TEST(last.has_value());
}

// Guards against places that stay taken after the process that held them is gone.
BOOST_AUTO_TEST_CASE(placesOfAGoneProcessAreTakenBack)
{
    broker.setUpstreams({{"u", "llm", "u:1", "d", 1, false}}, CapacityShare());
    BOOST_TEST(isGranted("lost"));
    broker.setLiveInstances({"other"});
    BOOST_TEST(isGranted("next"));
}

BOOST_AUTO_TEST_CASE(silentHolderLosesItsPlaceAfterItsDeadline)
{
    broker.setUpstreams({{"u", "llm", "u:1", "d", 1, false}}, CapacityShare());
    BOOST_TEST(isGranted("lost"));
    timers.advance(absl::Seconds(9));
    BOOST_TEST(isGranted("next"));
}

// Guards against a new broker that gives out places which entries hold.
BOOST_AUTO_TEST_CASE(placesOfAFormerBrokerAreAdopted)
{
    broker.setUpstreams({{"u", "llm", "u:1", "d", 2, false}}, CapacityShare());
    broker.restoreHeldSlots({"e", {{"old", "llm", "w", "u", 3000}}});
    BOOST_TEST(isGranted("new"));
    BOOST_TEST(!isGranted("third"));
    release("old");
    BOOST_TEST(isGranted("fourth"));
    // A holder that says nothing any more loses an adopted place like any other.
    broker.restoreHeldSlots({"f", {{"lost", "llm", "w", "u", 100}}});
    timers.advance(absl::Seconds(4));
    release("new");
    release("fourth");
    BOOST_TEST(isGranted("fifth"));
    BOOST_TEST(isGranted("sixth"));
}

BOOST_AUTO_TEST_CASE(batchWorkIsToldToLeave)
{
    broker.setUpstreams({{"u", "llm", "u:1", "d", 1, false}}, CapacityShare());
    policy::SlotTask task;
    task.id = "item";
    task.service = "llm";
    task.workspace = "w";
    task.kind = policy::TaskKind::Batch;
    std::string events;
    SlotBroker::BatchHandlers handlers;
    handlers.granted = [&](const std::string &, const std::string &) { events += "granted "; };
    handlers.preempted = [&] { events += "yield"; };
    broker.acquireBatch(task, handlers);
    BOOST_TEST(events == "granted ");
    BOOST_TEST(isGranted("online"));
    BOOST_TEST(events == "granted yield");
}

BOOST_AUTO_TEST_SUITE_END()
