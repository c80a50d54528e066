#include "directoryfixture.h"

#include "rattanrill/wire/codec.h"

#include <boost/test/unit_test.hpp>

using namespace rattanrill;
using namespace rattanrill::control;

namespace {

std::uint64_t revisionOf(const Outcome<std::string> &reply)
{
    BOOST_REQUIRE(reply.ok());
    const auto response =
            outcomeOf([&] { return wire::decode<wire::PollChangesResponse>(reply.value()); });
    BOOST_REQUIRE(response.ok());
    return response.value().revision;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(PollChangesServiceTest, DirectoryFixture)

// Guards against a poll that waits although the changes exist when it arrives.
BOOST_AUTO_TEST_CASE(existingChangesAreAnsweredImmediately)
{
    const std::uint64_t revision = putConfig("a");
    const auto reply = poll(revision - 1, 1000);
    BOOST_REQUIRE(reply->has_value());
    BOOST_TEST(revisionOf(**reply) == revision);
}

// Guards against a waiting poll that gets its reply only at its deadline although a change was
// applied earlier.
BOOST_AUTO_TEST_CASE(waitingPollIsAnsweredByTheNextChange)
{
    const std::uint64_t revision = putConfig("a");
    const auto reply = poll(revision, 1000);
    BOOST_TEST(!reply->has_value());
    putConfig("b");
    BOOST_REQUIRE(reply->has_value());
    BOOST_TEST(revisionOf(**reply) == revision + 1);
}

// Guards against a reply at the deadline that proves freshness only as of the arrival of the poll.
BOOST_AUTO_TEST_CASE(pollWithoutChangeIsConfirmedAgainBeforeItsAnswer)
{
    const std::uint64_t revision = putConfig("a");
    const auto reply = poll(revision, 400);
    timers.advance(absl::Milliseconds(390));
    BOOST_TEST(!reply->has_value());
    const int before = directory().confirmations;
    timers.advance(absl::Milliseconds(30));
    BOOST_REQUIRE(reply->has_value());
    BOOST_TEST(revisionOf(**reply) == revision);
    BOOST_TEST(directory().confirmations == before + 1);
}

// Guards against a replica that has lost its quorum but still proves freshness, so that entries
// that poll it continue to accept a withdrawn key.
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
    // Calls the listener as if a change were applied between the query and its response.
    group.beforeResponse = [&] { group.appliedListener(group.currentStatus.appliedIndex); };
    const auto reply = poll(revision, 400);
    BOOST_TEST(!reply->has_value());
    BOOST_TEST(group.confirmations >= 2);
    putConfig("b");
    BOOST_TEST(reply->has_value());
}

// Guards against a separate confirmation, and thus a round of quorum messages, for each of many
// polls that wait for the same change.
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
    const auto reply = poll(100, 400);
    BOOST_REQUIRE(reply->has_value());
    BOOST_REQUIRE(!(*reply)->ok());
    BOOST_TEST(name((*reply)->failure().code) == name(ErrorCode::StaleRevision));
}

// Guards against polls that never get a reply because the service was stopped.
BOOST_AUTO_TEST_CASE(stopFailsWaitingPolls)
{
    const auto reply = poll(putConfig("a"), 400);
    pollService->stop();
    BOOST_REQUIRE(reply->has_value());
    BOOST_TEST(name((*reply)->failure().code) == name(ErrorCode::Stopped));
}

BOOST_AUTO_TEST_SUITE_END()
