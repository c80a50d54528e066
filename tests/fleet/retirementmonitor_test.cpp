#include "rattanrill/fleet/retirementmonitor.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::fleet;

namespace {

constexpr absl::Duration someChecks = absl::Seconds(1);

/// A store leader whose reads of the membership the test answers.
struct Fixture
{
    Fixture() { monitor->setActive(true); }

    void respond(Outcome<std::vector<std::string>> membership)
    {
        BOOST_REQUIRE(pending != nullptr);
        std::exchange(pending, nullptr)(std::move(membership));
    }

    ManualClock clock;
    ManualTimerService timers{clock};
    GroupReplica::MembershipCallback pending;
    int reports = 0;
    std::shared_ptr<RetirementMonitor> monitor = std::make_shared<RetirementMonitor>(
            timers, [this](auto callback) { pending = std::move(callback); },
            [this] { ++reports; });
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RetirementMonitorTest, Fixture)

// Guards against a store that is reported as retired although the group has it, or has not
// confirmed that it lacks it.
BOOST_AUTO_TEST_CASE(storeIsRetiredOnlyIfAConfirmedMembershipLacksIt)
{
    monitor->setRetiringStores({"a"});
    timers.advance(someChecks);
    respond(notRun(ErrorCode::NotLeader, ""));
    timers.advance(someChecks);
    respond(notRun(ErrorCode::Conflict, "the membership is being changed"));
    timers.advance(someChecks);
    respond(std::vector<std::string>{"a", "b", "c"});
    BOOST_TEST(monitor->retiredStores().empty());
    BOOST_TEST(reports == 0);
    timers.advance(someChecks);
    respond(std::vector<std::string>{"b", "c", "d"});
    BOOST_TEST(monitor->retiredStores() == std::vector<std::string>{"a"},
               boost::test_tools::per_element());
    BOOST_TEST(reports == 1);
    timers.advance(someChecks);
    BOOST_TEST((pending == nullptr));
    monitor->setRetiringStores({});
    BOOST_TEST(monitor->retiredStores().empty());
}

// Guards against a store that is judged by a membership from before its order was known, after
// which the leader may have added it.
BOOST_AUTO_TEST_CASE(orderThatBecomesKnownDuringAReadWaitsForTheNextOne)
{
    monitor->setRetiringStores({"a"});
    timers.advance(someChecks);
    monitor->setRetiringStores({"a", "d"});
    respond(std::vector<std::string>{"a", "b", "c"});
    BOOST_TEST(monitor->retiredStores().empty());
    timers.advance(someChecks);
    respond(std::vector<std::string>{"a", "b", "c", "d"});
    BOOST_TEST(monitor->retiredStores().empty());
}

BOOST_AUTO_TEST_CASE(membershipIsReadOnlyWhileStoresRetire)
{
    timers.advance(someChecks);
    BOOST_TEST((pending == nullptr));
    monitor->setRetiringStores({"a"});
    monitor->setActive(false);
    timers.advance(someChecks);
    BOOST_TEST((pending == nullptr));
}

BOOST_AUTO_TEST_SUITE_END()
