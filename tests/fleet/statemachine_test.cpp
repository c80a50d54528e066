#include "rattanrill/fleet/statemachine.h"

#include "rattanrill/fleet/retirement.h"
#include "rattanrill/wire/codec.h"
#include "rattanrill/wire/fleetmessages.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>

using namespace rattanrill;

namespace {

struct Fixture
{
    std::uint64_t put(std::uint64_t version, const std::string &document)
    {
        return perform(wire::PutConfiguration{version, document}).configurationVersion;
    }

    wire::CommandResult apply(wire::FleetOperation operation)
    {
        const std::string response =
                machine->apply(++index, wire::encode(wire::FleetCommand{std::move(operation)}));
        const auto result = outcomeOf([&] { return wire::decode<wire::CommandResult>(response); });
        BOOST_REQUIRE(result.ok());
        return result.value();
    }

    wire::FleetResult perform(wire::FleetOperation operation)
    {
        const wire::CommandResult response = apply(std::move(operation));
        BOOST_REQUIRE(!response.failure.failed);
        const auto result =
                outcomeOf([&] { return wire::decode<wire::FleetResult>(response.body); });
        BOOST_REQUIRE(result.ok());
        return result.value();
    }

    /// Retires store \a number of a deployment of four that tolerates one failure. The sender knows
    /// of no other order.
    wire::CommandResult retire(int number)
    {
        wire::RetireStore command{"s" + std::to_string(number), "store-" + std::to_string(number)};
        for (int other = 1; other <= 4; ++other) {
            if (other != number)
                command.otherStores.push_back("s" + std::to_string(other));
        }
        command.minRemainingStores = 3;
        return apply(command);
    }

    static wire::FleetSnapshot records(const replication::StateMachine &machine,
                                       std::uint64_t knownVersion = 0)
    {
        const std::string response = machine.query(wire::encode(wire::FleetQuery{knownVersion}));
        const auto result = outcomeOf([&]() -> Result<wire::FleetSnapshot> {
            BOOST_LEAF_AUTO(decoded, wire::decode<wire::CommandResult>(response));
            return wire::decode<wire::FleetSnapshot>(decoded.body);
        });
        BOOST_REQUIRE(result.ok());
        return result.value();
    }

    bool isCompleted(const std::string &instance) const
    {
        return fleet::retirementState(records(*machine), instance)
               == fleet::RetirementState::Completed;
    }

    std::unique_ptr<replication::StateMachine> machine = fleet::makeFleetStateMachine();
    std::uint64_t index = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FleetStateMachineTest, Fixture)

// Guards against a configuration that reverts to an older version when a change is resent late.
BOOST_AUTO_TEST_CASE(highestVersionStays)
{
    BOOST_TEST(put(7, "seven") == 7u);
    BOOST_TEST(put(5, "five") == 7u);
    BOOST_TEST(records(*machine).configuration == "seven");
    BOOST_TEST(put(9, "nine") == 9u);
    BOOST_TEST(records(*machine).configuration == "nine");
}

// Guards against two changes of the same version by different operators that both take effect.
BOOST_AUTO_TEST_CASE(equalVersionWithOtherContentChangesNothing)
{
    put(7, "first");
    BOOST_TEST(put(7, "second") == 7u);
    BOOST_TEST(records(*machine).configuration == "first");
}

BOOST_AUTO_TEST_CASE(documentIsOmittedForTheKnownVersion)
{
    put(7, "seven");
    BOOST_TEST(records(*machine, 7).configuration.empty());
    BOOST_TEST(records(*machine, 7).configurationVersion == 7u);
}

// Guards against a second store group besides the one that already stores accepted jobs.
BOOST_AUTO_TEST_CASE(storeGroupIsBootstrappedOnlyOnce)
{
    perform(wire::BootstrapStoreGroup{{"a", "b", "c"}});
    perform(wire::BootstrapStoreGroup{{"x"}});
    BOOST_TEST(records(*machine).storeFounders.size() == 3u);
}

// Guards against a store that counts as retired before the leader of the store group has confirmed
// it, or that never does after its order was sent again.
BOOST_AUTO_TEST_CASE(retirementIsCompletedOnlyByItsRecord)
{
    BOOST_TEST((fleet::retirementState(records(*machine), "s")
                == fleet::RetirementState::NotRequested));
    perform(wire::RetireStore{"s:1/x", "s"});
    BOOST_TEST(!isCompleted("s"));
    perform(wire::CompleteRetirement{"other"});
    BOOST_TEST(!isCompleted("s"));
    perform(wire::CompleteRetirement{"s:1/x"});
    BOOST_TEST(isCompleted("s"));
    perform(wire::RetireStore{"s:1/x", "s"});
    BOOST_TEST(isCompleted("s"));
}

// Guards against a store that counts as retired although it has lost its disk meanwhile and holds a
// copy again under another replica id.
BOOST_AUTO_TEST_CASE(retirementCoversAllReplicasOfTheInstance)
{
    perform(wire::RetireStore{"s:1/x", "s"});
    perform(wire::RetireStore{"s:1/y", "s"});
    perform(wire::CompleteRetirement{"s:1/x"});
    BOOST_TEST(!isCompleted("s"));
    perform(wire::CompleteRetirement{"s:1/y"});
    BOOST_TEST(isCompleted("s"));
}

// Guards against two orders to retire a store that arrive together and are both accepted, because
// the sender of each counts the other store as one that remains (LOST).
BOOST_AUTO_TEST_CASE(secondOfTwoRetirementsAtOnceIsRefused)
{
    BOOST_TEST(!retire(1).failure.failed);
    BOOST_TEST(retire(2).failure.code == name(ErrorCode::Conflict));
    BOOST_TEST(records(*machine).retiringStores == std::vector<std::string>{"s1"},
               boost::test_tools::per_element());
    perform(wire::CompleteRetirement{"s1"});
    BOOST_TEST(retire(2).failure.code == name(ErrorCode::Conflict));
}

// Guards against an accepted order that is refused when the operator sends it again, also after the
// store is gone.
BOOST_AUTO_TEST_CASE(repeatedRetirementIsAcceptedAgain)
{
    BOOST_TEST(!retire(1).failure.failed);
    wire::RetireStore repeated{"s1", "store-1"};
    repeated.minRemainingStores = 3;
    BOOST_TEST(!apply(repeated).failure.failed);
    BOOST_TEST(!apply(wire::RetireStore{"", "store-1"}).failure.failed);
    BOOST_TEST(records(*machine).retirements.size() == 1u);
    BOOST_TEST(apply(wire::RetireStore{"", "store-9"}).failure.code == name(ErrorCode::NotFound));
}

// Guards against an evacuation that a repeated command ends or starts again, and against a later
// command that an earlier one overrides.
BOOST_AUTO_TEST_CASE(lastCommandOnAFailureDomainWins)
{
    const auto evacuations = [&] { return records(*machine, 7).evacuations; };
    put(7, "seven");
    perform(wire::SetEvacuation{"b", true, true});
    perform(wire::SetEvacuation{"a", true, true});
    perform(wire::SetEvacuation{"b", true, true});
    perform(wire::SetEvacuation{"a", false, true});
    BOOST_TEST_REQUIRE(evacuations().size() == 2u);
    BOOST_TEST(evacuations()[0].failureDomain == "a");
    BOOST_TEST(!evacuations()[0].isEvacuated);
    BOOST_TEST(evacuations()[1].isEvacuated);
}

// Guards against a misspelt domain whose evacuation is acknowledged, and against one that can't be
// finished because nothing runs in the domain any more.
BOOST_AUTO_TEST_CASE(unknownFailureDomainIsRefused)
{
    BOOST_TEST(apply(wire::SetEvacuation{"x", true, false}).failure.code
               == name(ErrorCode::NotFound));
    perform(wire::SetEvacuation{"a", true, true});
    perform(wire::SetEvacuation{"a", false, false});
    BOOST_TEST(!records(*machine).evacuations.front().isEvacuated);
}

BOOST_AUTO_TEST_CASE(snapshotRestoresTheWholeState)
{
    put(7, "seven");
    perform(wire::SetEvacuation{"a", true, true});
    perform(wire::BootstrapStoreGroup{{"a"}});
    perform(wire::RetireStore{"r", "s"});
    perform(wire::RetireStore{"r", "s"});
    perform(wire::CompleteRetirement{"r"});
    const auto restoredMachine = fleet::makeFleetStateMachine();
    BOOST_REQUIRE(outcomeOf([&] { return restoredMachine->restore(machine->snapshot()); }).ok());
    const wire::FleetSnapshot restored = records(*restoredMachine);
    BOOST_TEST(restored.configuration == "seven");
    BOOST_TEST(restored.storeFounders.size() == 1u);
    BOOST_TEST(restored.retiringStores.size() == 1u);
    BOOST_TEST_REQUIRE(restored.retirements.size() == 1u);
    BOOST_TEST(restored.retirements.front().completed);
    BOOST_TEST_REQUIRE(restored.evacuations.size() == 1u);
    BOOST_TEST(restored.evacuations.front().isEvacuated);
    BOOST_TEST(!outcomeOf([&] { return restoredMachine->restore("\xff no snapshot"); }).ok());
    BOOST_TEST(records(*restoredMachine).configuration == "seven");
}

BOOST_AUTO_TEST_SUITE_END()
