#include "rattanrill/policy/enginereconciler.h"

#include <boost/test/unit_test.hpp>

using namespace rattanrill::policy;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

DesiredState desired(const std::string &engine, const std::string &role, bool checksFence)
{
    return DesiredState{engine, checksFence, {{EngineCommandKind::SetRole, role}}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(EngineReconcilerTest)

// Guards against an older order that arrives late at an engine which ignores fencing numbers and
// undoes a newer one.
BOOST_AUTO_TEST_CASE(engineThatIgnoresFencesWaitsForOlderOrders)
{
    const EngineReconcilerSettings settings;
    EngineReconciler placement(settings, start);
    placement.setDesired(start, {desired("e", "prefill", false)}, 1);
    BOOST_TEST(placement.decide(start + settings.commandLifetime - absl::Seconds(1)).empty());
    const absl::Time sent = start + settings.commandLifetime;
    const std::vector<EngineCommand> first = placement.decide(sent);
    BOOST_REQUIRE(first.size() == 1U);
    placement.setDesired(sent, {desired("e", "decode", false)}, 2);
    BOOST_TEST(placement.decide(sent + absl::Hours(1)).empty());
    placement.timedOut(sent + absl::Hours(1), first[0]);
    BOOST_TEST(placement.decide(sent + absl::Hours(1)).empty());
    const auto second = placement.decide(sent + absl::Hours(1) + settings.commandLifetime);
    BOOST_REQUIRE(second.size() == 1U);
    BOOST_TEST(second[0].name == "decode");
    BOOST_TEST(second[0].fence == 2U);
}

// Guards against a needless wait where the engine rejects older orders itself.
BOOST_AUTO_TEST_CASE(engineThatChecksFencesGetsOrdersAtOnce)
{
    EngineReconciler placement(EngineReconcilerSettings{}, start);
    placement.setDesired(start, {desired("e", "decode", true)}, 7);
    const auto orders = placement.decide(start);
    BOOST_REQUIRE(orders.size() == 1U);
    BOOST_TEST(!placement.isConverged("e"));
    placement.answered(start, orders[0], true);
    BOOST_TEST(placement.isConverged("e"));
    BOOST_TEST(placement.decide(start + absl::Hours(1)).empty());
}

// Guards against a restart of the fleet that loads all weights at once from a rate limited store.
BOOST_AUTO_TEST_CASE(weightLoadsStayWithinTheStoresRate)
{
    EngineReconcilerSettings settings;
    settings.weightLoads = {0.5, 2};
    EngineReconciler placement(settings, start);
    std::vector<DesiredState> all;
    for (int i = 0; i < 50; ++i)
        all.push_back({"e" + std::to_string(i), true, {{EngineCommandKind::LoadModel, "m"}}});
    placement.setDesired(start, all, 1);
    std::size_t orders = 0;
    for (int second = 0; second < 40; ++second) {
        orders += placement.decide(start + absl::Seconds(second)).size();
        BOOST_TEST(orders <= 0.5 * second + 2);
    }
    BOOST_TEST(orders >= 18U);
}

BOOST_AUTO_TEST_SUITE_END()
