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

BOOST_FIXTURE_TEST_SUITE(PollChangesServiceTest, DirectoryFixture)

// Guards against delaying changes that already exist when the poll arrives.
BOOST_AUTO_TEST_CASE(existingChangesAreAnsweredImmediately)
{
    const std::uint64_t revision = putConfig("a");
    const auto answer = poll(revision - 1, 1000);
    BOOST_REQUIRE(answer->has_value());
    BOOST_TEST(revisionOf(**answer) == revision);
}

// Guards against a waiting poll that is answered only at its deadline although a change was
// applied.
BOOST_AUTO_TEST_CASE(waitingPollIsAnsweredByTheNextChange)
{
    const std::uint64_t revision = putConfig("a");
    const auto answer = poll(revision, 1000);
    BOOST_TEST(!answer->has_value());
    putConfig("b");
    BOOST_REQUIRE(answer->has_value());
    BOOST_TEST(revisionOf(**answer) == revision + 1);
}

// Guards against an answer at the deadline that proves freshness only as of the arrival of the
// poll.
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

// Guards against a replica without a quorum that still proves freshness: a withdrawn key would stay
// usable at the entries that poll it.
BOOST_AUTO_TEST_CASE(replicaWithoutQuorumProvesNoFreshness)
{
    const std::uint64_t revision = putConfig("a");
    const auto waiting = poll(revision, 400);
    directory().hasQuorum = false;
    timers.advance(absl::Milliseconds(500));
    BOOST_REQUIRE(waiting->has_value());
    BOOST_REQUIRE(!(*waiting)->ok());
    BOOST_TEST(name((*waiting)->failure().code) == name(ErrorCode::NoQuorum));
    // The poll also fails when the replica has changes to report.
    const auto behind = poll(revision - 1, 400);
    BOOST_REQUIRE(behind->has_value());
    BOOST_TEST(!(*behind)->ok());
}

// Guards against a change that is applied after the query of a poll but before the poll is
// enqueued: the poll would wait until its deadline.
BOOST_AUTO_TEST_CASE(changeBetweenConfirmationAndWaitIsNotMissed)
{
    const std::uint64_t revision = putConfig("a");
    StubRaftNode &group = directory();
    // Calls the listener as if a change were applied between the query and its answer.
    group.beforeResponse = [&] { group.appliedListener(group.currentStatus.appliedIndex); };
    const auto answer = poll(revision, 400);
    BOOST_TEST(!answer->has_value());
    BOOST_TEST(group.confirmations >= 2);
    putConfig("b");
    BOOST_TEST(answer->has_value());
}

// Guards against one round of quorum messages for each of many polls that wait for the same change.
BOOST_AUTO_TEST_CASE(pollsFromTheSameRevisionShareOneConfirmation)
{
    const std::uint64_t revision = putConfig("a");
    for (int i = 0; i < 50; ++i)
        poll(revision, 400);
    const int before = directory().confirmations;
    putConfig("b");
    BOOST_TEST(directory().confirmations == before + 1);
}

// Guards against proving freshness to a poller whose revision is newer than the directory.
BOOST_AUTO_TEST_CASE(pollAheadOfTheDirectoryIsRefused)
{
    putConfig("a");
    const auto answer = poll(100, 400);
    BOOST_REQUIRE(answer->has_value());
    BOOST_REQUIRE(!(*answer)->ok());
    BOOST_TEST(name((*answer)->failure().code) == name(ErrorCode::StaleRevision));
}

// Guards against polls that are never answered because the service stopped.
BOOST_AUTO_TEST_CASE(stopFailsWaitingPolls)
{
    const auto answer = poll(putConfig("a"), 400);
    pollService->stop();
    BOOST_REQUIRE(answer->has_value());
    BOOST_TEST(name((*answer)->failure().code) == name(ErrorCode::Stopped));
}

BOOST_AUTO_TEST_SUITE_END()
