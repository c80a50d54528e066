#include "directoryfixture.h"

#include "rattanrill/wire/batchmessages.h"
#include "rattanrill/wire/codec.h"

#include <boost/test/unit_test.hpp>

using namespace rattanrill;
using namespace rattanrill::control;

namespace {

struct MemberFixture : DirectoryFixture
{
    MemberFixture()
    {
        view->start();
        members->start();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(MemberWatchTest, MemberFixture)

// Guards against a directory write for every heartbeat.
BOOST_AUTO_TEST_CASE(firstHeartbeatJoinsAndLaterOnesDoNotWrite)
{
    BOOST_TEST(heartbeat("entry-1", "1").ok());
    advance(absl::Milliseconds(100));
    BOOST_TEST(hasMember("entry-1"));
    const std::size_t writes = directory().proposed.size();
    advance(absl::Seconds(2), {"entry-1"});
    BOOST_TEST(directory().proposed.size() == writes);
}

// Guards against failed members that stay in the directory, and against removing members that still
// send heartbeats.
BOOST_AUTO_TEST_CASE(memberWithoutHeartbeatsIsRemovedAfterTheTimeoutAndOthersStay)
{
    advance(absl::Seconds(1), {"entry-1", "entry-2"});
    advance(settings.memberTimeout - absl::Milliseconds(300), {"entry-2"});
    BOOST_TEST(hasMember("entry-1"));
    advance(absl::Seconds(1), {"entry-2"});
    BOOST_TEST(!hasMember("entry-1"));
    BOOST_TEST(hasMember("entry-2"));
}

// Guards against a new leader that removes all members because it has received no heartbeats yet.
BOOST_AUTO_TEST_CASE(newLeaderWaitsAFullMemberTimeout)
{
    advance(absl::Seconds(1), {"entry-1"});
    directory().currentStatus.role = replication::Role::Follower;
    advance(settings.memberTimeout * 2);
    directory().currentStatus.role = replication::Role::Leader;
    directory().currentStatus.term = 5;
    advance(settings.memberTimeout - absl::Milliseconds(300));
    BOOST_TEST(hasMember("entry-1"));
    advance(absl::Seconds(1));
    BOOST_TEST(!hasMember("entry-1"));
}

// Guards against a leader that was suspended for a while and then removes members whose heartbeats
// it could not read in that time.
BOOST_AUTO_TEST_CASE(suspendedLeaderRemovesNoMember)
{
    advance(absl::Seconds(1), {"entry-1"});
    clock.advance(settings.memberTimeout * 3);
    advance(absl::Seconds(1));
    BOOST_TEST(hasMember("entry-1"));
}

// Guards against a late heartbeat that adds an incarnation again after it has left.
BOOST_AUTO_TEST_CASE(leavingMemberIsRemovedAtOnceAndALateHeartbeatDoesNotRejoin)
{
    advance(absl::Seconds(1), {"entry-1"});
    BOOST_TEST(heartbeat("entry-1", "1", true).ok());
    advance(absl::Milliseconds(100));
    BOOST_TEST(!hasMember("entry-1"));
    const auto late = heartbeat("entry-1", "1");
    BOOST_REQUIRE(!late.ok());
    BOOST_TEST(name(late.failure().code) == name(ErrorCode::NotMember));
    BOOST_TEST(heartbeat("entry-1", "2").ok());
    BOOST_TEST(heartbeat("entry-1", "2", true).ok());
    BOOST_TEST(heartbeat("entry-1", "2", true).ok());
}

// Guards against two incarnations of an instance that replace each other in turn.
BOOST_AUTO_TEST_CASE(newIncarnationReplacesTheOldOne)
{
    advance(absl::Seconds(1), {"entry-1"});
    BOOST_TEST(heartbeat("entry-1", "2").ok());
    advance(absl::Milliseconds(100));
    BOOST_TEST(view->view()->member("entry-1")->incarnation == "2");
    BOOST_TEST(!heartbeat("entry-1", "1").ok());
}

// Guards against a NotLeader failure from which the sender cannot find the leader.
BOOST_AUTO_TEST_CASE(followerReturnsTheLeadersPeerAddress)
{
    directory().currentStatus.role = replication::Role::Follower;
    directory().currentStatus.leader = "control-2";
    const auto refused = heartbeat("entry-1", "1");
    BOOST_REQUIRE(!refused.ok());
    BOOST_TEST(name(refused.failure().code) == name(ErrorCode::NotLeader));
    BOOST_TEST(refused.failure().detail == "127.0.0.2:1");
}

// Guards against reporting a revision as in force while a member has not applied it.
BOOST_AUTO_TEST_CASE(membersBehindListsMembersBelowTheRevision)
{
    advance(absl::Seconds(1), {"entry-1", "entry-2"});
    const std::uint64_t revision = view->view()->revision();
    heartbeat("entry-1", "1", false, revision);
    BOOST_TEST(members->membersBehind(revision, *view->view())
                       == std::vector<std::string>{"entry-2"},
               boost::test_tools::per_element());
}

// Guards against leases that never expire because no other command arrives, and against a log that
// grows without bound in an idle deployment.
BOOST_AUTO_TEST_CASE(partitionTimeAdvancesOftenOnlyAfterRecentCommands)
{
    auto &partition = static_cast<StubRaftNode &>(*groups.find("batch-0"));
    partition.currentStatus.role = replication::Role::Follower;
    partitions->start();
    advance(absl::Seconds(5));
    BOOST_TEST(partition.proposed.empty());
    partition.currentStatus.role = replication::Role::Leader;
    advance(absl::Seconds(10));
    BOOST_TEST(partition.proposed.size() == 20u);
    const auto command =
            outcomeOf([&] { return wire::decode<wire::BatchCommand>(partition.proposed.back()); });
    BOOST_TEST(command.value().nowMs > 0);
    advance(absl::Minutes(10));
    const std::size_t before = partition.proposed.size();
    advance(absl::Minutes(10));
    BOOST_TEST(partition.proposed.size() - before <= 10u);
    partitions->recordCommand("batch-0");
    advance(absl::Seconds(5));
    BOOST_TEST(partition.proposed.size() - before >= 10u);
}

BOOST_AUTO_TEST_SUITE_END()
