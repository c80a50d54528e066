#include "groupsimulation.h"

#include "rattanrill/base/concat.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>

using namespace rattanrill;
using namespace rattanrill::replication;

namespace {

std::uint64_t environmentNumber(const char *name, std::uint64_t defaultValue)
{
    const char *text = std::getenv(name);
    return text == nullptr ? defaultValue : std::strtoull(text, nullptr, 10);
}

SimulationOptions optionsForSeed(std::uint64_t seed)
{
    SimulationOptions options;
    options.seed = seed;
    options.replicas = seed % 3 == 0 ? 5 : 3;
    options.maxBatchBytes = seed % 2 == 0 ? 512 : 1;
    return options;
}

/// A safeguard and the member that disables it.
struct Safeguard
{
    const char *name;
    bool DisabledSafeguards::*disabled;
};

/// Disables \a safeguard, runs up to \a count seeds and returns the first violation; empty when
/// there is none.
std::string violationWithout(bool DisabledSafeguards::*safeguard, std::uint64_t count)
{
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        SimulationOptions options = optionsForSeed(seed);
        options.disabled.*safeguard = true;
        options.checkRecovery = false;
        GroupSimulation simulation(options);
        simulation.run();
        if (!simulation.violation().empty())
            return simulation.violation();
    }
    return "";
}

/// Runs the scenario of section 5.4.2 of the Raft paper and returns the first violation; empty when
/// there is none.
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
    // The leader receives the acknowledgement of entry 2, but can no longer replicate the entry of
    // its own term.
    simulation.setLinkCut("n1", "n3", true);
    simulation.setLinkCut("n2", "n3", true);
    simulation.advance(absl::Milliseconds(20));
    simulation.crash("n1");
    simulation.crash("n2");
    simulation.start("n4");
    simulation.start("n5");
    simulation.advance(absl::Seconds(2));
    return simulation.violation();
}

/// Isolates a follower for one second and returns by how much its return increases the term.
std::uint64_t termIncreaseAfterReconnect(const DisabledSafeguards &disabled)
{
    SimulationOptions options;
    options.disabled = disabled;
    GroupSimulation simulation(options);
    simulation.advance(absl::Seconds(1));
    const ReplicaId leader = simulation.leader();
    const std::uint64_t before = simulation.core(leader)->term();
    const ReplicaId other = leader == "n1" ? "n2" : "n1";
    simulation.setIsolated(other, true);
    simulation.advance(absl::Seconds(1));
    simulation.setIsolated(other, false);
    simulation.advance(absl::Seconds(1));
    return simulation.core(simulation.leader())->term() - before;
}

/// Cuts the links to the leader, writes once and returns the number of acknowledged writes.
std::uint64_t writesAfterLeaderStopsReceiving(const DisabledSafeguards &disabled)
{
    SimulationOptions options;
    options.disabled = disabled;
    GroupSimulation simulation(options);
    simulation.advance(absl::Seconds(1));
    const ReplicaId oldLeader = simulation.leader();
    for (const ReplicaId id : {"n1", "n2", "n3"})
        simulation.setLinkCut(id, oldLeader, id != oldLeader);
    simulation.advance(absl::Seconds(1));
    const std::uint64_t before = simulation.acknowledgedWrites();
    simulation.write(simulation.leader());
    simulation.advance(absl::Milliseconds(300));
    return simulation.acknowledgedWrites() - before;
}

} // namespace

BOOST_AUTO_TEST_SUITE(GroupSimulationTest)

// Guards against lost or changed committed entries, two leaders in one term, stale reads and a
// group that does not recover, after crashes, lost disks, partitions and delays. The environment
// variables RATTANRILL_SEEDS and RATTANRILL_FIRST_SEED select the seeds.
BOOST_AUTO_TEST_CASE(invariantsHoldUnderRandomFaults)
{
    const std::uint64_t first = environmentNumber("RATTANRILL_FIRST_SEED", 1);
    const std::uint64_t count = environmentNumber("RATTANRILL_SEEDS", 1000);
    std::uint64_t writes = 0;
    std::uint64_t reads = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        GroupSimulation simulation(optionsForSeed(seed));
        simulation.run();
        BOOST_TEST(simulation.violation() == "");
        writes += simulation.acknowledgedWrites();
        reads += simulation.completedReads();
    }
    BOOST_TEST_MESSAGE(
            concat(count, " seeds, ", writes, " acknowledged writes, ", reads, " reads"));
    // A group that accepts no calls violates no invariant, so the number of calls is checked too.
    BOOST_TEST(writes > count * 10);
    BOOST_TEST(reads > count * 10);
}

// Guards against replicas that disrupt a group because a short initial timeout lets them start an
// election soon after their start.
BOOST_AUTO_TEST_CASE(shortInitialElectionTimeoutKeepsInvariants)
{
    constexpr std::uint64_t seeds = 300;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        SimulationOptions options = optionsForSeed(seed);
        // A quarter of the election timeout of the simulation.
        options.initialElectionTimeout = absl::Milliseconds(25);
        GroupSimulation simulation(options);
        simulation.run();
        BOOST_TEST(simulation.violation() == "");
    }
}

// Guards against runs that cannot be reproduced from their seed, for example after a use of real
// time.
BOOST_AUTO_TEST_CASE(equalSeedsProduceEqualRuns)
{
    GroupSimulation first(optionsForSeed(7));
    GroupSimulation second(optionsForSeed(7));
    first.run();
    second.run();
    BOOST_TEST(first.digest() == second.digest());
    BOOST_TEST(first.acknowledgedWrites() == second.acknowledgedWrites());
}

// Guards against invariant checks that miss violations: with any one of these safeguards disabled,
// they must find one.
BOOST_AUTO_TEST_CASE(checkerDetectsEveryDisabledSafeguard)
{
    const std::vector<Safeguard> safeguards = {
            {"vote is on disk before the reply", &DisabledSafeguards::persistBeforeVote},
            {"entries are on disk before the reply",
             &DisabledSafeguards::persistBeforeAcknowledgement},
            {"a quorum confirms reads", &DisabledSafeguards::readConfirmation},
            {"a replica whose disk was lost cannot keep its identity",
             &DisabledSafeguards::identityCheck},
    };
    for (const Safeguard &safeguard : safeguards) {
        const std::string violation = violationWithout(safeguard.disabled, 1000);
        BOOST_TEST_MESSAGE(concat("without \"", safeguard.name, "\": ", violation));
        BOOST_TEST(violation != "", safeguard.name);
    }
}

// Guards against committing an entry of an earlier term by counting replicas (section 5.4.2 of the
// Raft paper): entry 2 of term 2 reaches a quorum, then a replica with an entry of term 3 wins an
// election and overwrites it.
BOOST_AUTO_TEST_CASE(earlierTermEntriesCommitOnlyWithAnEntryOfTheCurrentTerm)
{
    BOOST_TEST(violationOfEarlierTermCommit(DisabledSafeguards()) == "");
    DisabledSafeguards disabled;
    disabled.termCheckOfCommit = true;
    BOOST_TEST(violationOfEarlierTermCommit(disabled) != "");
}

// Guards against a replica that raises its term while it is isolated and deposes a healthy leader
// when it reconnects.
BOOST_AUTO_TEST_CASE(returningReplicaDoesNotDeposeTheLeader)
{
    BOOST_TEST(termIncreaseAfterReconnect(DisabledSafeguards()) == 0u);
    DisabledSafeguards disabled;
    disabled.preVote = true;
    BOOST_TEST(termIncreaseAfterReconnect(disabled) > 0u);
}

// Guards against a leader that can send but not receive: its heartbeats prevent an election, and it
// cannot commit anything.
BOOST_AUTO_TEST_CASE(leaderThatReceivesNothingStepsDown)
{
    BOOST_TEST(writesAfterLeaderStopsReceiving(DisabledSafeguards()) > 0u);
    DisabledSafeguards disabled;
    disabled.checkQuorum = true;
    BOOST_TEST(writesAfterLeaderStopsReceiving(disabled) == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
