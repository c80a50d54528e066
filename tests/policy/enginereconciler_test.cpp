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

// Guards against an older command that arrives late at an engine which ignores fencing tokens and
// undoes a newer command.
BOOST_AUTO_TEST_CASE(engineThatIgnoresFencesGetsNoCommandBeforeTheOlderOneEnds)
{
    const EngineReconcilerSettings settings;
    EngineReconciler reconciler(settings, start);
    reconciler.setDesired(start, {desired("e", "prefill", false)}, 1);
    BOOST_TEST(reconciler.decide(start + settings.commandLifetime - absl::Seconds(1)).empty());
    const absl::Time sent = start + settings.commandLifetime;
    const std::vector<EngineCommand> first = reconciler.decide(sent);
    BOOST_REQUIRE(first.size() == 1U);
    reconciler.setDesired(sent, {desired("e", "decode", false)}, 2);
    BOOST_TEST(reconciler.decide(sent + absl::Hours(1)).empty());
    reconciler.timedOut(sent + absl::Hours(1), first[0]);
    BOOST_TEST(reconciler.decide(sent + absl::Hours(1)).empty());
    const auto second = reconciler.decide(sent + absl::Hours(1) + settings.commandLifetime);
    BOOST_REQUIRE(second.size() == 1U);
    BOOST_TEST(second[0].value == "decode");
    BOOST_TEST(second[0].fence == 2U);
}

// Guards against a needless delay of commands to an engine that rejects older commands itself.
BOOST_AUTO_TEST_CASE(engineThatChecksFencesGetsCommandsAtOnce)
{
    EngineReconciler reconciler(EngineReconcilerSettings{}, start);
    reconciler.setDesired(start, {desired("e", "decode", true)}, 7);
    const auto commands = reconciler.decide(start);
    BOOST_REQUIRE(commands.size() == 1U);
    BOOST_TEST(!reconciler.isConverged("e"));
    reconciler.answered(start, commands[0], true);
    BOOST_TEST(reconciler.isConverged("e"));
    BOOST_TEST(reconciler.decide(start + absl::Hours(1)).empty());
}

// Guards against a restart of the fleet in which all engines load their weights at the same time
// from a rate-limited store.
BOOST_AUTO_TEST_CASE(weightLoadsStayWithinTheStoresRate)
{
    EngineReconcilerSettings settings;
    settings.weightLoadRate = {0.5, 2};
    EngineReconciler reconciler(settings, start);
    std::vector<DesiredState> all;
    for (int i = 0; i < 50; ++i)
        all.push_back({"e" + std::to_string(i), true, {{EngineCommandKind::LoadModel, "m"}}});
    reconciler.setDesired(start, all, 1);
    std::size_t commands = 0;
    for (int second = 0; second < 40; ++second) {
        commands += reconciler.decide(start + absl::Seconds(second)).size();
        BOOST_TEST(commands <= 0.5 * second + 2);
    }
    BOOST_TEST(commands >= 18U);
}

BOOST_AUTO_TEST_SUITE_END()
