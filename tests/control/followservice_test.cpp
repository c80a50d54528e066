#include "directoryfixture.h"

#include "rattanrill/wire/codec.h"

#include <boost/test/unit_test.hpp>

using namespace rattanrill;
using namespace rattanrill::control;

namespace {

std::uint64_t revisionOf(const Outcome<std::string> &answer)
{
    BOOST_REQUIRE(answer.ok());
    const auto response =
            outcomeOf([&] { return wire::decode<wire::PollChangesResponse>(answer.value()); });
    BOOST_REQUIRE(response.ok());
    return response.value().revision;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(FollowServiceTest, DirectoryFixture)

BOOST_AUTO_TEST_CASE(changesAreAnsweredAtOnce)
{
    const std::uint64_t revision = putConfig("a");
    const auto answer = poll(revision - 1, 1000);
    BOOST_REQUIRE(answer->has_value());
    BOOST_TEST(revisionOf(**answer) == revision);
}

BOOST_AUTO_TEST_CASE(waitingPollIsAnsweredByTheNextChange)
{
    const std::uint64_t revision = putConfig("a");
    const auto answer = poll(revision, 1000);
    BOOST_TEST(!answer->has_value());
    putConfig("b");
    BOOST_REQUIRE(answer->has_value());
    BOOST_TEST(revisionOf(**answer) == revision + 1);
}

BOOST_AUTO_TEST_CASE(pollWithoutChangeIsConfirmedAgainBeforeItsAnswer)
{
    const std::uint64_t revision = putConfig("a");
    const auto answer = poll(revision, 400);
    timers.advance(absl::Milliseconds(390));
    BOOST_TEST(!answer->has_value());
    const int before = directory().confirmations;
    timers.advance(absl::Milliseconds(30));
    BOOST_REQUIRE(answer->has_value());
    BOOST_TEST(revisionOf(**answer) == revision);
    BOOST_TEST(directory().confirmations == before + 1);
}

// Guards against a replica that is cut off from the leader and still proves freshness: a withdrawn
// key would stay usable at its entries.
BOOST_AUTO_TEST_CASE(replicaThatIsCutOffProvesNoFreshness)
{
    const std::uint64_t revision = putConfig("a");
    const auto waiting = poll(revision, 400);
    directory().hasQuorum = false;
    timers.advance(absl::Milliseconds(500));
    BOOST_REQUIRE(waiting->has_value());
    BOOST_REQUIRE(!(*waiting)->ok());
    BOOST_TEST(name((*waiting)->failure().code) == name(ErrorCode::NoQuorum));
    // Also when there are changes that this replica knows.
    const auto behind = poll(revision - 1, 400);
    BOOST_REQUIRE(behind->has_value());
    BOOST_TEST(!(*behind)->ok());
}

// Guards against a change that is applied after a poll's query and before the poll waits, and that
// the poll then sleeps through.
BOOST_AUTO_TEST_CASE(changeBetweenConfirmationAndWaitIsNotMissed)
{
    const std::uint64_t revision = putConfig("a");
    StubGroup &group = directory();
    // The listener runs as if the change had been applied while the answer was on its way.
    group.beforeAnswer = [&] { group.listener(group.now.appliedIndex); };
    const auto answer = poll(revision, 400);
    BOOST_TEST(!answer->has_value());
    BOOST_TEST(group.confirmations >= 2);
    putConfig("b");
    BOOST_TEST(answer->has_value());
}

BOOST_AUTO_TEST_CASE(pollsFromTheSameRevisionShareOneConfirmation)
{
    const std::uint64_t revision = putConfig("a");
    for (int i = 0; i < 50; ++i)
        poll(revision, 400);
    const int before = directory().confirmations;
    putConfig("b");
    BOOST_TEST(directory().confirmations == before + 1);
}

BOOST_AUTO_TEST_CASE(followerAheadOfTheDirectoryIsRefused)
{
    putConfig("a");
    const auto answer = poll(100, 400);
    BOOST_REQUIRE(answer->has_value());
    BOOST_REQUIRE(!(*answer)->ok());
    BOOST_TEST(name((*answer)->failure().code) == name(ErrorCode::StaleRevision));
}

BOOST_AUTO_TEST_CASE(stopFailsWaitingPolls)
{
    const auto answer = poll(putConfig("a"), 400);
    follow->stop();
    BOOST_REQUIRE(answer->has_value());
    BOOST_TEST(name((*answer)->failure().code) == name(ErrorCode::Stopped));
}

BOOST_AUTO_TEST_SUITE_END()
