#include "groupsimulation.h"

#include "rattanrill/base/concat.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>

using namespace rattanrill;
using namespace rattanrill::replication;

namespace {

std::uint64_t environmentNumber(const char *name, std::uint64_t standard)
{
    const char *text = std::getenv(name);
    return text == nullptr ? standard : std::strtoull(text, nullptr, 10);
}

SimulationOptions seeded(std::uint64_t seed)
{
    SimulationOptions options;
    options.seed = seed;
    options.replicas = seed % 3 == 0 ? 5 : 3;
    options.maxBatchBytes = seed % 2 == 0 ? 512 : 1;
    return options;
}

/// A safeguard and the member that switches it off.
struct Safeguard
{
    const char *name;
    bool DisabledSafeguards::*disabled;
};

/// The first violation within \a count seeds of a core without a safeguard; empty when none.
std::string violationWithout(bool DisabledSafeguards::*safeguard, std::uint64_t count)
{
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        SimulationOptions options = seeded(seed);
        options.disabled.*safeguard = true;
        options.checkRecovery = false;
        GroupSimulation simulation(options);
        simulation.run();
        if (!simulation.violation().empty())
            return simulation.violation();
    }
    return "";
}

std::string violationOfEarlierTermCommit(const DisabledSafeguards &disabled)
{
    SimulationOptions options;
    options.replicas = 5;
    options.disabled = disabled;
    options.maxBatchBytes = 1;
    options.startReplicas = false;
    GroupSimulation simulation(options);
    simulation.presetDisk("n1", {1, 2}, 3);
    simulation.presetDisk("n2", {1, 2}, 3);
    simulation.presetDisk("n3", {1}, 3);
    simulation.presetDisk("n4", {1}, 3);
    simulation.presetDisk("n5", {1, 3}, 3);
    for (const ReplicaId id : {"n1", "n2", "n3"})
        simulation.start(id);
    for (int i = 0; i < 100000 && simulation.core("n3")->raftLog().lastIndex() < 2; ++i)
        simulation.advance(absl::Microseconds(20));
    // The leader hears that entry 2 has arrived, but its own entry does not get through any more.
    simulation.cutLink("n1", "n3", true);
    simulation.cutLink("n2", "n3", true);
    simulation.advance(absl::Milliseconds(20));
    simulation.crash("n1");
    simulation.crash("n2");
    simulation.start("n4");
    simulation.start("n5");
    simulation.advance(absl::Seconds(2));
    return simulation.violation();
}

std::uint64_t termsAfterReturn(const DisabledSafeguards &disabled)
{
    SimulationOptions options;
    options.disabled = disabled;
    GroupSimulation simulation(options);
    simulation.advance(absl::Seconds(1));
    const ReplicaId leader = simulation.leader();
    const std::uint64_t before = simulation.core(leader)->term();
    const ReplicaId other = leader == "n1" ? "n2" : "n1";
    simulation.isolate(other, true);
    simulation.advance(absl::Seconds(1));
    simulation.isolate(other, false);
    simulation.advance(absl::Seconds(1));
    return simulation.core(simulation.leader())->term() - before;
}

std::uint64_t writesBehindDeafLeader(const DisabledSafeguards &disabled)
{
    SimulationOptions options;
    options.disabled = disabled;
    GroupSimulation simulation(options);
    simulation.advance(absl::Seconds(1));
    const ReplicaId deaf = simulation.leader();
    for (const ReplicaId id : {"n1", "n2", "n3"})
        simulation.cutLink(id, deaf, id != deaf);
    simulation.advance(absl::Seconds(1));
    const std::uint64_t before = simulation.acknowledgedWrites();
    simulation.write(simulation.leader());
    simulation.advance(absl::Milliseconds(300));
    return simulation.acknowledgedWrites() - before;
}

} // namespace

BOOST_AUTO_TEST_SUITE(GroupSimulationTest)

// Guards against every loss or change of committed entries, two leaders of a term, stale reads and
// a group that does not recover. RATTANRILL_SEEDS and RATTANRILL_FIRST_SEED choose the seeds.
BOOST_AUTO_TEST_CASE(invariantsHoldUnderRandomFaults)
{
    const std::uint64_t first = environmentNumber("RATTANRILL_FIRST_SEED", 1);
    const std::uint64_t count = environmentNumber("RATTANRILL_SEEDS", 1000);
    std::uint64_t writes = 0;
    std::uint64_t reads = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        GroupSimulation simulation(seeded(seed));
        simulation.run();
        BOOST_TEST(simulation.violation() == "");
        writes += simulation.acknowledgedWrites();
        reads += simulation.answeredReads();
    }
    BOOST_TEST_MESSAGE(
            concat(count, " seeds, ", writes, " acknowledged writes, ", reads, " reads"));
    // A group that accepts nothing would break no invariant.
    BOOST_TEST(writes > count * 10);
    BOOST_TEST(reads > count * 10);
}

// Guards against replicas that harm a group by standing for election soon after their start.
BOOST_AUTO_TEST_CASE(shortFirstElectionsKeepTheInvariants)
{
    constexpr std::uint64_t seeds = 300;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        SimulationOptions options = seeded(seed);
        // A quarter of the simulation's election timeout.
        options.initialElectionTimeout = absl::Milliseconds(25);
        GroupSimulation simulation(options);
        simulation.run();
        BOOST_TEST(simulation.violation() == "");
    }
}

// Guards against runs that cannot be repeated from their seed.
BOOST_AUTO_TEST_CASE(equalSeedsGiveEqualRuns)
{
    GroupSimulation first(seeded(7));
    GroupSimulation second(seeded(7));
    first.run();
    second.run();
    BOOST_TEST(first.digest() == second.digest());
    BOOST_TEST(first.acknowledgedWrites() == second.acknowledgedWrites());
}

// Guards against a checker that would not notice: without any one of these safeguards it must find
// a violation.
BOOST_AUTO_TEST_CASE(checkerNoticesEveryMissingSafeguard)
{
    const std::vector<Safeguard> safeguards = {
            {"vote on disk before the answer", &DisabledSafeguards::persistBeforeVote},
            {"entries on disk before the answer",
             &DisabledSafeguards::persistBeforeAcknowledgement},
            {"a quorum confirms reads", &DisabledSafeguards::readConfirmation},
            {"a lost disk ends an identity", &DisabledSafeguards::identityCheck},
    };
    for (const Safeguard &safeguard : safeguards) {
        const std::string violation = violationWithout(safeguard.disabled, 1000);
        BOOST_TEST_MESSAGE(concat("without \"", safeguard.name, "\": ", violation));
        BOOST_TEST(violation != "", safeguard.name);
    }
}

// Guards against a commit of an earlier term's entry that only counts replicas: section 5.4.2 of
// the Raft paper. Entry 2 of term 2 reaches a quorum, then a replica with an entry of term 3 wins.
BOOST_AUTO_TEST_CASE(entriesOfEarlierTermsCommitWithOneOfTheOwnTerm)
{
    BOOST_TEST(violationOfEarlierTermCommit(DisabledSafeguards()) == "");
    DisabledSafeguards disabled;
    disabled.termCheckOfCommit = true;
    BOOST_TEST(violationOfEarlierTermCommit(disabled) != "");
}

// Guards against a replica that was cut off and deposes a healthy leader when it comes back.
BOOST_AUTO_TEST_CASE(returningReplicaDoesNotDeposeTheLeader)
{
    BOOST_TEST(termsAfterReturn(DisabledSafeguards()) == 0u);
    DisabledSafeguards disabled;
    disabled.preVote = true;
    BOOST_TEST(termsAfterReturn(disabled) > 0u);
}

// Guards against a leader that still sends but hears nobody and blocks the group for ever.
BOOST_AUTO_TEST_CASE(leaderThatHearsNobodyStepsDown)
{
    BOOST_TEST(writesBehindDeafLeader(DisabledSafeguards()) > 0u);
    DisabledSafeguards disabled;
    disabled.checkQuorum = true;
    BOOST_TEST(writesBehindDeafLeader(disabled) == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
