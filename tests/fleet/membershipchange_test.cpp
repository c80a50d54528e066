#include "rattanrill/fleet/membershipchange.h"

#include "rattanrill/fleet/replicaidentity.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <string>

using namespace rattanrill;
using namespace rattanrill::fleet;

namespace {

replication::RaftNodeStatus leaderStatus(std::vector<std::string> voters,
                                         std::vector<std::string> learners = {})
{
    replication::RaftNodeStatus status;
    status.role = replication::Role::Leader;
    status.leader = voters.front();
    status.voters = std::move(voters);
    status.learners = std::move(learners);
    return status;
}

VoterCandidate liveCandidate(const std::string &replica)
{
    return {replica, "d", true, false};
}

VoterCandidate deadCandidate(const std::string &replica)
{
    return {replica, "d", false, false};
}

const VoterLimits limits{5, 3};

} // namespace

BOOST_AUTO_TEST_SUITE(MembershipChangeTest)

// Guards against a voter that stays in the group after its disk was lost. The process at its
// address has returned under another replica id.
BOOST_AUTO_TEST_CASE(voterWithLostDiskIsReplacedAtItsAddress)
{
    const auto change = nextMembershipChange(leaderStatus({"a/1", "b/1", "c/1"}),
                                             {liveCandidate("a/1"), liveCandidate("b/1"),
                                              liveCandidate("c/2"), liveCandidate("d/1")},
                                             limits);
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST(change->added == "c/2");
    BOOST_TEST(change->removed == "c/1");
}

BOOST_AUTO_TEST_CASE(deadVoterIsReplacedByALiveProcess)
{
    const auto change = nextMembershipChange(leaderStatus({"a/1", "b/1", "c/1"}),
                                             {liveCandidate("a/1"), liveCandidate("b/1"),
                                              deadCandidate("c/1"), liveCandidate("d/1")},
                                             limits);
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST(change->added == "d/1");
    BOOST_TEST(change->removed == "c/1");
}

// Guards against a group that loses copies of its data because voters that are not alive are
// removed one after another without a replacement.
BOOST_AUTO_TEST_CASE(deadVoterStaysWithoutAReplacement)
{
    BOOST_TEST(!nextMembershipChange(
            leaderStatus({"a/1", "b/1", "c/1"}),
            {liveCandidate("a/1"), liveCandidate("b/1"), deadCandidate("c/1")}, limits));
}

// Guards against changes by a leader that does not know yet which processes are alive.
BOOST_AUTO_TEST_CASE(votersStayUnchangedWithoutCandidates)
{
    BOOST_TEST(!nextMembershipChange(leaderStatus({"a/1", "b/1", "c/1"}), {}, limits));
}

BOOST_AUTO_TEST_CASE(groupGrowsToAnOddNumber)
{
    const auto four = nextMembershipChange(leaderStatus({"a/1", "b/1", "c/1"}),
                                           {liveCandidate("a/1"), liveCandidate("b/1"),
                                            liveCandidate("c/1"), liveCandidate("d/1")},
                                           limits);
    BOOST_TEST(!four.has_value());
    const auto five =
            nextMembershipChange(leaderStatus({"a/1", "b/1", "c/1"}),
                                 {liveCandidate("a/1"), liveCandidate("b/1"), liveCandidate("c/1"),
                                  liveCandidate("d/1"), liveCandidate("e/1")},
                                 limits);
    BOOST_REQUIRE(five.has_value());
    BOOST_TEST(five->removed.empty());
}

BOOST_AUTO_TEST_CASE(staleLearnerIsRemoved)
{
    const auto change = nextMembershipChange(leaderStatus({"a/1", "b/1", "c/1"}, {"d/1"}),
                                             {liveCandidate("a/1"), liveCandidate("b/1"),
                                              liveCandidate("c/1"), deadCandidate("d/1")},
                                             limits);
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST(change->added.empty());
    BOOST_TEST(change->removed == "d/1");
}

BOOST_AUTO_TEST_CASE(retiringVoterIsReplacedByASpare)
{
    std::vector<VoterCandidate> candidates{liveCandidate("a/1"), liveCandidate("b/1"),
                                           liveCandidate("c/1"), liveCandidate("d/1")};
    candidates[1].retiring = true;
    const auto change =
            nextMembershipChange(leaderStatus({"a/1", "b/1", "c/1"}), candidates, limits);
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST(change->added == "d/1");
    BOOST_TEST(change->removed == "b/1");
}

BOOST_AUTO_TEST_CASE(retiringVoterIsRemovedWithoutSpareOnlyWhenAllOthersAreAlive)
{
    const auto status = leaderStatus({"a/1", "b/1", "c/1", "d/1"});
    std::vector<VoterCandidate> candidates{liveCandidate("a/1"), liveCandidate("b/1"),
                                           liveCandidate("c/1"), liveCandidate("d/1")};
    candidates[1].retiring = true;
    const auto change = nextMembershipChange(status, candidates, limits);
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST(change->removed == "b/1");
    candidates[2].alive = false;
    BOOST_TEST(!nextMembershipChange(status, candidates, limits));
}

// Guards against a group that does not survive the loss of one disk, because a voter retires while
// no spare is alive to replace it (LOST).
BOOST_AUTO_TEST_CASE(retiringVoterStaysWhenTooFewWouldRemain)
{
    std::vector<VoterCandidate> candidates{liveCandidate("a/1"), liveCandidate("b/1"),
                                           liveCandidate("c/1"), deadCandidate("d/1")};
    candidates[1].retiring = true;
    BOOST_TEST(!nextMembershipChange(leaderStatus({"a/1", "b/1", "c/1"}), candidates, limits));
    candidates[3].alive = true;
    const auto change =
            nextMembershipChange(leaderStatus({"a/1", "b/1", "c/1"}), candidates, limits);
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST(change->added == "d/1");
    BOOST_TEST(change->removed == "b/1");
}

// Guards against a retirement that never ends, because an addition that failed has left the store a
// learner.
BOOST_AUTO_TEST_CASE(retiringLearnerIsRemoved)
{
    std::vector<VoterCandidate> candidates{liveCandidate("a/1"), liveCandidate("b/1"),
                                           liveCandidate("c/1"), liveCandidate("d/1")};
    candidates[3].retiring = true;
    const auto change =
            nextMembershipChange(leaderStatus({"a/1", "b/1", "c/1"}, {"d/1"}), candidates, limits);
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST(change->added.empty());
    BOOST_TEST(change->removed == "d/1");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ReplicaIdentityTest)

// Guards against a process that returns under another replica id although its data folder was kept,
// or under the previous one although its disk was lost.
BOOST_AUTO_TEST_CASE(identityIsKeptUntilItsFolderIsRemoved)
{
    const auto folder = std::filesystem::temp_directory_path() / "rattanrill-identity-test";
    std::filesystem::remove_all(folder);
    const auto load = [&](const ReplicaIdentity &newIdentity) {
        const auto loaded =
                outcomeOf([&] { return loadOrCreateIdentity(folder.string(), newIdentity); });
        BOOST_REQUIRE(loaded.ok());
        return loaded.value();
    };
    load({"a:1/one", {"a:1/one", "b:1/one"}});
    const ReplicaIdentity reloaded = load({"a:1/two", {}});
    BOOST_TEST(reloaded.replica == "a:1/one");
    BOOST_TEST(reloaded.initialVoters.size() == 2u);
    std::filesystem::remove_all(folder);
    BOOST_TEST(load({"a:1/two", {}}).replica == "a:1/two");
    BOOST_TEST(peerAddressOf("a:1/two") == "a:1");
    std::ofstream(folder / "identity.json") << "no json";
    BOOST_TEST(!outcomeOf([&] { return loadOrCreateIdentity(folder.string(), {}); }).ok());
    std::filesystem::remove_all(folder);
}

BOOST_AUTO_TEST_SUITE_END()
