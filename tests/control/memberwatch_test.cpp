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

BOOST_AUTO_TEST_CASE(firstHeartbeatJoinsAndLaterOnesDoNotWrite)
{
    BOOST_TEST(heartbeat("entry-1", "1").ok());
    advance(absl::Milliseconds(100));
    BOOST_TEST(hasMember("entry-1"));
    const std::size_t writes = directory().proposed.size();
    advance(absl::Seconds(2), {"entry-1"});
    BOOST_TEST(directory().proposed.size() == writes);
}

BOOST_AUTO_TEST_CASE(silentMemberIsRemovedAfterTheTimeoutAndTheOthersStay)
{
    advance(absl::Seconds(1), {"entry-1", "entry-2"});
    advance(settings.memberTimeout - absl::Milliseconds(300), {"entry-2"});
    BOOST_TEST(hasMember("entry-1"));
    advance(absl::Seconds(1), {"entry-2"});
    BOOST_TEST(!hasMember("entry-1"));
    BOOST_TEST(hasMember("entry-2"));
}

// Guards against a new leader that has heard nobody yet and removes everybody.
BOOST_AUTO_TEST_CASE(newLeaderGivesAFullGracePeriod)
{
    advance(absl::Seconds(1), {"entry-1"});
    directory().now.role = replication::Role::Follower;
    advance(settings.memberTimeout * 2);
    directory().now.role = replication::Role::Leader;
    directory().now.term = 5;
    advance(settings.memberTimeout - absl::Milliseconds(300));
    BOOST_TEST(hasMember("entry-1"));
    advance(absl::Seconds(1));
    BOOST_TEST(!hasMember("entry-1"));
}

// Guards against a process that was stopped for a while and takes its own pause for silence.
BOOST_AUTO_TEST_CASE(pauseOfTheLeaderItselfIsNoSilence)
{
    advance(absl::Seconds(1), {"entry-1"});
    clock.advance(settings.memberTimeout * 3);
    advance(absl::Seconds(1));
    BOOST_TEST(hasMember("entry-1"));
}

BOOST_AUTO_TEST_CASE(leavingRemovesAtOnceAndALateHeartbeatDoesNotJoinAgain)
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

BOOST_AUTO_TEST_CASE(newIncarnationReplacesTheOldOne)
{
    advance(absl::Seconds(1), {"entry-1"});
    BOOST_TEST(heartbeat("entry-1", "2").ok());
    advance(absl::Milliseconds(100));
    BOOST_TEST(view->view()->member("entry-1")->incarnation == "2");
    BOOST_TEST(!heartbeat("entry-1", "1").ok());
}

BOOST_AUTO_TEST_CASE(followerNamesTheLeadersPeerAddress)
{
    directory().now.role = replication::Role::Follower;
    directory().now.leader = "control-2";
    const auto refused = heartbeat("entry-1", "1");
    BOOST_REQUIRE(!refused.ok());
    BOOST_TEST(name(refused.failure().code) == name(ErrorCode::NotLeader));
    BOOST_TEST(refused.failure().detail == "127.0.0.2:1");
}

BOOST_AUTO_TEST_CASE(lackingNamesMembersBelowTheRevision)
{
    advance(absl::Seconds(1), {"entry-1", "entry-2"});
    const std::uint64_t revision = view->view()->revision();
    heartbeat("entry-1", "1", false, revision);
    BOOST_TEST(members->lacking(revision, *view->view()) == std::vector<std::string>{"entry-2"},
               boost::test_tools::per_element());
}

// Guards against leases that never expire because no other command comes, and against a log that
// grows for ever in an idle deployment.
BOOST_AUTO_TEST_CASE(partitionTimeAdvancesWhileThereIsWork)
{
    auto &partition = static_cast<StubGroup &>(*groups.find("batch-0"));
    partition.now.role = replication::Role::Follower;
    partitions->start();
    advance(absl::Seconds(5));
    BOOST_TEST(partition.proposed.empty());
    partition.now.role = replication::Role::Leader;
    advance(absl::Seconds(10));
    BOOST_TEST(partition.proposed.size() == 20u);
    const auto command =
            outcomeOf([&] { return wire::decode<wire::BatchCommand>(partition.proposed.back()); });
    BOOST_TEST(command.value().nowMs > 0);
    advance(absl::Minutes(10));
    const std::size_t before = partition.proposed.size();
    advance(absl::Minutes(10));
    BOOST_TEST(partition.proposed.size() - before <= 10u);
    partitions->noteWork("batch-0");
    advance(absl::Seconds(5));
    BOOST_TEST(partition.proposed.size() - before >= 10u);
}

BOOST_AUTO_TEST_SUITE_END()
