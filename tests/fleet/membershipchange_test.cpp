#include "rattanrill/fleet/membershipchange.h"

#include "rattanrill/fleet/replicaidentity.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <string>

using namespace rattanrill;
using namespace rattanrill::fleet;

namespace {

replication::RaftNodeStatus leading(std::vector<std::string> voters,
                                    std::vector<std::string> learners = {})
{
    replication::RaftNodeStatus status;
    status.role = replication::Role::Leader;
    status.leader = voters.front();
    status.voters = std::move(voters);
    status.learners = std::move(learners);
    return status;
}

VoterCandidate present(const std::string &replica)
{
    return {replica, "d", true, false};
}

VoterCandidate silent(const std::string &replica)
{
    return {replica, "d", false, false};
}

const MembershipRules rules{5};

} // namespace

BOOST_AUTO_TEST_SUITE(MembershipChangeTest)

// Guards against a lost disk that stays a voter: the process at its address has another identity.
BOOST_AUTO_TEST_CASE(emptiedDiskIsExchangedAtItsOwnAddress)
{
    const auto change = nextMembershipChange(
            leading({"a/1", "b/1", "c/1"}),
            {present("a/1"), present("b/1"), present("c/2"), present("d/1")}, rules);
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST(change->added == "c/2");
    BOOST_TEST(change->replaced == "c/1");
}

BOOST_AUTO_TEST_CASE(silentVoterIsExchangedForAPresentProcess)
{
    const auto change = nextMembershipChange(
            leading({"a/1", "b/1", "c/1"}),
            {present("a/1"), present("b/1"), silent("c/1"), present("d/1")}, rules);
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST(change->added == "d/1");
    BOOST_TEST(change->replaced == "c/1");
}

// Guards against a group that shrinks below the copies it had, one silent voter after another.
BOOST_AUTO_TEST_CASE(silentVoterStaysWithoutASuccessor)
{
    BOOST_TEST(!nextMembershipChange(leading({"a/1", "b/1", "c/1"}),
                                     {present("a/1"), present("b/1"), silent("c/1")}, rules));
}

// Guards against changes by a leader that knows nothing of who lives.
BOOST_AUTO_TEST_CASE(nothingIsChangedWithoutCandidates)
{
    BOOST_TEST(!nextMembershipChange(leading({"a/1", "b/1", "c/1"}), {}, rules));
}

BOOST_AUTO_TEST_CASE(groupGrowsToAnOddNumber)
{
    const auto four = nextMembershipChange(
            leading({"a/1", "b/1", "c/1"}),
            {present("a/1"), present("b/1"), present("c/1"), present("d/1")}, rules);
    BOOST_TEST(!four.has_value());
    const auto five = nextMembershipChange(
            leading({"a/1", "b/1", "c/1"}),
            {present("a/1"), present("b/1"), present("c/1"), present("d/1"), present("e/1")},
            rules);
    BOOST_REQUIRE(five.has_value());
    BOOST_TEST(five->replaced.empty());
}

BOOST_AUTO_TEST_CASE(staleLearnerIsRemoved)
{
    const auto change = nextMembershipChange(
            leading({"a/1", "b/1", "c/1"}, {"d/1"}),
            {present("a/1"), present("b/1"), present("c/1"), silent("d/1")}, rules);
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST(change->added.empty());
    BOOST_TEST(change->replaced == "d/1");
}

BOOST_AUTO_TEST_CASE(retiringVoterGivesWayToASpare)
{
    std::vector<VoterCandidate> candidates{present("a/1"), present("b/1"), present("c/1"),
                                           present("d/1")};
    candidates[1].retiring = true;
    const auto change = nextMembershipChange(leading({"a/1", "b/1", "c/1"}), candidates, rules);
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST(change->added == "d/1");
    BOOST_TEST(change->replaced == "b/1");
}

BOOST_AUTO_TEST_CASE(retiringVoterLeavesWithoutSpareOnlyWhenAllOthersAreThere)
{
    std::vector<VoterCandidate> candidates{present("a/1"), present("b/1"), present("c/1")};
    candidates[1].retiring = true;
    const auto change = nextMembershipChange(leading({"a/1", "b/1", "c/1"}), candidates, rules);
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST(change->replaced == "b/1");
    candidates[2].alive = false;
    BOOST_TEST(!nextMembershipChange(leading({"a/1", "b/1", "c/1"}), candidates, rules));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ReplicaIdentityTest)

// Guards against a process that forgets who it is, or comes back as the replica whose disk it lost.
BOOST_AUTO_TEST_CASE(identityLastsAsLongAsItsFolder)
{
    const auto folder = std::filesystem::temp_directory_path() / "rattanrill-identity-test";
    std::filesystem::remove_all(folder);
    const auto load = [&](const ReplicaIdentity &fresh) {
        const auto loaded = outcomeOf([&] { return loadOrCreateIdentity(folder.string(), fresh); });
        BOOST_REQUIRE(loaded.ok());
        return loaded.value();
    };
    load({"a:1/one", {"a:1/one", "b:1/one"}});
    const ReplicaIdentity again = load({"a:1/two", {}});
    BOOST_TEST(again.replica == "a:1/one");
    BOOST_TEST(again.founders.size() == 2u);
    std::filesystem::remove_all(folder);
    BOOST_TEST(load({"a:1/two", {}}).replica == "a:1/two");
    BOOST_TEST(peerAddressOf("a:1/two") == "a:1");
    std::ofstream(folder / "identity.json") << "no json";
    BOOST_TEST(!outcomeOf([&] { return loadOrCreateIdentity(folder.string(), {}); }).ok());
    std::filesystem::remove_all(folder);
}

BOOST_AUTO_TEST_SUITE_END()
