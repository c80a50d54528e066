#include "localcluster.h"

#include "rattanrill/base/concat.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>

using namespace rattanrill;
using namespace rattanrill::replication;

BOOST_AUTO_TEST_SUITE(RaftNodeTest)

// Guards against a group of one replica that cannot form, or that loses acknowledged writes in a
// restart.
BOOST_AUTO_TEST_CASE(singleReplicaKeepsWritesOverRestarts)
{
    LocalCluster cluster;
    BOOST_REQUIRE(cluster.open("a", {"a"}).ok());
    for (int i = 0; i < 400; ++i)
        BOOST_REQUIRE(cluster.write(concat("key", i % 7, "=", i)).ok());
    cluster.close("a");
    BOOST_REQUIRE(cluster.open("a", {"a"}).ok());
    cluster.waitForLeader();
    const auto value = cluster.linearizableRead("a", "key0");
    BOOST_REQUIRE(value.ok());
    BOOST_TEST(value.value() == "399");
}

// Guards against followers that serve reads from stale state, and against a group that stops
// serving after the loss of its leader.
BOOST_AUTO_TEST_CASE(threeReplicasServeReadsAndSurviveTheLossOfTheLeader)
{
    LocalCluster cluster;
    const std::vector<ReplicaId> voters = {"a", "b", "c"};
    for (const ReplicaId &id : voters)
        BOOST_REQUIRE(cluster.open(id, voters).ok());
    BOOST_REQUIRE(cluster.write("key=1").ok());
    for (const ReplicaId &id : voters)
        BOOST_TEST(cluster.linearizableRead(id, "key").value() == "1");
    const ReplicaId lost = cluster.waitForLeader();
    cluster.close(lost);
    BOOST_REQUIRE(cluster.write("key=2").ok());
    for (int i = 0; i < 300; ++i)
        BOOST_REQUIRE(cluster.write(concat("other=", i)).ok());
    BOOST_REQUIRE(cluster.open(lost, voters).ok());
    BOOST_TEST(LocalCluster::waitUntil([&] {
        const auto value = cluster.linearizableRead(lost, "key");
        return value.ok() && value.value() == "2";
    }));
}

// Guards against a replica that votes again under its old identity after its disk was emptied, and
// against a group that cannot replace such a replica.
BOOST_AUTO_TEST_CASE(emptiedReplicaStopsAndIsReplacedUnderANewId)
{
    LocalCluster cluster;
    const std::vector<ReplicaId> voters = {"a", "b", "c"};
    for (const ReplicaId &id : voters)
        BOOST_REQUIRE(cluster.open(id, voters).ok());
    BOOST_REQUIRE(cluster.write("key=1").ok());
    const ReplicaId lost = cluster.waitForLeader();
    cluster.close(lost);
    std::filesystem::remove_all(cluster.folder(lost));
    BOOST_REQUIRE(cluster.open(lost, voters).ok());
    BOOST_TEST(LocalCluster::waitUntil([&] { return cluster.at(lost).status().stopped; }));
    cluster.close(lost);
    BOOST_REQUIRE(cluster.open("d", voters).ok());
    BOOST_REQUIRE(cluster.write("key=2").ok());
    const auto changed = cluster.addReplica(cluster.waitForLeader(), "d", lost);
    BOOST_TEST_INFO((changed.ok() ? "" : describe(changed.failure())));
    BOOST_REQUIRE(changed.ok());
    const auto isVoter = [&] {
        const std::vector<ReplicaId> now = cluster.at("d").status().voters;
        return now.size() == 3 && std::count(now.begin(), now.end(), "d") == 1;
    };
    BOOST_TEST(LocalCluster::waitUntil(isVoter));
    BOOST_TEST(cluster.linearizableRead("d", "key").value() == "2");
}

// Guards against a membership that a leader without a quorum names from memory: it may have been
// changed by another leader, or may never be committed.
BOOST_AUTO_TEST_CASE(membershipIsReadOnlyFromAConfirmedLeader)
{
    LocalCluster cluster;
    const std::vector<ReplicaId> voters = {"a", "b", "c"};
    for (const ReplicaId &id : voters)
        BOOST_REQUIRE(cluster.open(id, voters).ok());
    BOOST_REQUIRE(cluster.write("key=1").ok());
    const ReplicaId leader = cluster.waitForLeader();
    const auto membership = cluster.readMembership(leader);
    BOOST_REQUIRE(membership.ok());
    BOOST_TEST(membership.value() == voters, boost::test_tools::per_element());
    const ReplicaId follower = leader == "a" ? "b" : "a";
    BOOST_TEST(!cluster.readMembership(follower).ok());
    cluster.setDisconnected(leader, true);
    BOOST_TEST(!cluster.readMembership(leader).ok());
}

// Guards against a membership that is read while a change of it is open.
BOOST_AUTO_TEST_CASE(membershipIsNotReadDuringAChange)
{
    LocalCluster cluster;
    BOOST_REQUIRE(cluster.open("a", {"a"}).ok());
    BOOST_REQUIRE(cluster.write("key=1").ok());
    cluster.waitForLeader();
    // Nothing runs at "b", so the change stays open.
    cluster.at("a").addReplica("b", "", [](const Outcome<std::string> &) {});
    const auto membership = cluster.readMembership("a");
    BOOST_REQUIRE(!membership.ok());
    BOOST_TEST((membership.failure().code == ErrorCode::Conflict));
}

BOOST_AUTO_TEST_SUITE_END()
