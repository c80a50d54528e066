#include "rattanrill/directory/directorysubscriber.h"

#include "rattanrill/wire/codec.h"

#include <boost/test/unit_test.hpp>

#include <deque>

using namespace rattanrill;
using namespace rattanrill::directory;

namespace {

/// Keeps polls open until the test responds to them.
class ManualPollClient : public DirectoryPollClient
{
public:
    struct Poll
    {
        wire::PollChangesRequest request;
        Callback callback;
    };

    void poll(const wire::PollChangesRequest &request, absl::Duration, Callback callback) override
    {
        open.push_back({request, std::move(callback)});
    }

    void respond(Outcome<wire::PollChangesResponse> outcome)
    {
        const Poll poll = open.front();
        open.pop_front();
        poll.callback(std::move(outcome));
    }

    std::deque<Poll> open;
};

struct Fixture
{
    Fixture()
    {
        subscriber.onChange(
                [this](const auto &view) { publishedRevisions.push_back(view->revision()); });
    }

    ManualClock clock;
    ManualTimerService timers{clock};
    ManualPollClient polls;
    std::vector<std::uint64_t> publishedRevisions;
    DirectorySubscriber subscriber{{"entry-1"}, polls, timers, clock};
};

wire::PollChangesResponse contractAt(std::uint64_t revision, double rate)
{
    wire::Contract contract;
    contract.workspace = "w";
    contract.ratePerSecond = rate;
    contract.revision = revision;
    return {revision,
            false,
            {{revision, wire::RecordKind::Contract, "w", false, wire::encode(contract)}},
            0};
}

wire::PollChangesResponse unchanged(std::uint64_t revision)
{
    return {revision, false, {}, 0};
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(DirectorySubscriberTest, Fixture)

// Guards against an age that is too low: a response is only known to contain what was committed
// before the poll was sent, not what was committed before the response arrived.
BOOST_AUTO_TEST_CASE(ageCountsFromTheTimeThePollWasSent)
{
    BOOST_TEST((subscriber.viewAge() == absl::InfiniteDuration()));
    subscriber.start();
    timers.advance(absl::Milliseconds(700));
    BOOST_TEST((subscriber.viewAge() == absl::InfiniteDuration()));
    polls.respond(contractAt(1, 1));
    BOOST_TEST((subscriber.viewAge() == absl::Milliseconds(700)));
    timers.advance(absl::Milliseconds(300));
    polls.respond(unchanged(1));
    BOOST_TEST((subscriber.viewAge() == absl::Milliseconds(300)));
}

// Guards against a failed poll that resets the age of the view.
BOOST_AUTO_TEST_CASE(failedPollDoesNotResetTheAge)
{
    subscriber.start();
    polls.respond(contractAt(1, 1));
    timers.advance(absl::Milliseconds(100));
    polls.respond(notRun(ErrorCode::Timeout, ""));
    BOOST_TEST((subscriber.viewAge() == absl::Milliseconds(100)));
    BOOST_TEST(subscriber.view()->revision() == 1u);
}

// Guards against an older configuration that replaces a newer one (R13), and against an age that is
// reset by the response of a replica that lags behind.
BOOST_AUTO_TEST_CASE(olderRevisionDoesNotChangeTheViewOrResetTheAge)
{
    subscriber.start();
    polls.respond(contractAt(5, 5));
    timers.advance(absl::Milliseconds(100));
    polls.respond(contractAt(4, 4));
    BOOST_TEST(subscriber.view()->contract("w")->ratePerSecond == 5);
    BOOST_TEST((subscriber.viewAge() == absl::Milliseconds(100)));
    timers.advance(absl::Seconds(1));
    wire::PollChangesResponse snapshot = contractAt(3, 3);
    snapshot.snapshot = true;
    polls.respond(snapshot);
    BOOST_TEST(subscriber.view()->revision() == 5u);
    BOOST_TEST((publishedRevisions == std::vector<std::uint64_t>{5}));
}

// Guards against a view that skips a change that cannot be decoded, because the change could
// withdraw a key.
BOOST_AUTO_TEST_CASE(unreadableChangeIsNotSkipped)
{
    subscriber.start();
    wire::PollChangesResponse damaged = contractAt(1, 1);
    damaged.changes[0].body = "damaged";
    polls.respond(damaged);
    BOOST_TEST(subscriber.view()->revision() == 0u);
    BOOST_TEST((subscriber.viewAge() == absl::InfiniteDuration()));
}

// Guards against polls that request changes again that were already received, and against a new
// view that modifies the previous one.
BOOST_AUTO_TEST_CASE(pollsResumeFromTheViewsRevision)
{
    subscriber.start();
    BOOST_TEST(polls.open.front().request.afterRevision == 0u);
    polls.respond(contractAt(7, 1));
    timers.advance(absl::Milliseconds(20));
    BOOST_TEST(polls.open.front().request.afterRevision == 7u);
    const std::shared_ptr<const DirectoryView> before = subscriber.view();
    wire::PollChangesResponse removal = unchanged(8);
    removal.changes.push_back({8, wire::RecordKind::Route, "r", true, ""});
    polls.respond(removal);
    timers.advance(absl::Milliseconds(20));
    BOOST_TEST(polls.open.front().request.afterRevision == 8u);
    BOOST_TEST(before->revision() == 7u);
    BOOST_TEST((publishedRevisions == std::vector<std::uint64_t>{7, 8}));
}

// Guards against a flood of polls while the control instances are unreachable, and against a
// backoff that grows without limit.
BOOST_AUTO_TEST_CASE(failuresBackOffWithinBounds)
{
    subscriber.start();
    for (int failures = 0; failures < 40; ++failures) {
        polls.respond(notRun(ErrorCode::ConnectionLost, ""));
        BOOST_REQUIRE(polls.open.empty());
        timers.advance(absl::Milliseconds(24));
        BOOST_REQUIRE(polls.open.empty());
        timers.advance(absl::Milliseconds(976));
        BOOST_REQUIRE(polls.open.size() == 1u);
    }
}

// Guards against a busy loop of polls when each one is answered immediately.
BOOST_AUTO_TEST_CASE(pollsKeepAMinimumInterval)
{
    subscriber.start();
    polls.respond(unchanged(0));
    BOOST_TEST(polls.open.empty());
    timers.advance(absl::Milliseconds(20));
    BOOST_TEST(polls.open.size() == 1u);
}

// Guards against listeners that are called, and polls that are sent, while a program shuts down.
BOOST_AUTO_TEST_CASE(noListenerIsCalledAndNoPollIsSentAfterStop)
{
    subscriber.start();
    subscriber.stop();
    polls.respond(contractAt(1, 1));
    timers.advance(absl::Seconds(5));
    BOOST_TEST(publishedRevisions.empty());
    BOOST_TEST(polls.open.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(DirectoryViewTest)

// Guards against a call to a protected route that is served by an open route with a shorter or
// similar prefix (R4).
BOOST_AUTO_TEST_CASE(longestPrefixOfWholeSegmentsWins)
{
    wire::PollChangesResponse response = unchanged(3);
    for (const char *prefix : {"/a", "/a/b/", "/ab"}) {
        const wire::Route route{prefix, prefix, "s", false, false, 1};
        response.changes.push_back(
                {1, wire::RecordKind::Route, prefix, false, wire::encode(route)});
    }
    const DirectoryView view =
            outcomeOf([&] { return DirectoryView().withChanges(response); }).value();
    BOOST_TEST(view.route("/a/b/c")->name == "/a/b/");
    BOOST_TEST(view.route("/a/b")->name == "/a/b/");
    BOOST_TEST(view.route("/a/bc")->name == "/a");
    BOOST_TEST(view.route("/ab/x")->name == "/ab");
    BOOST_TEST(!view.route("/abc"));
    BOOST_TEST(!view.route("/"));
}

// Guards against an older record that replaces a newer one because a response repeats a change.
BOOST_AUTO_TEST_CASE(changesUpToTheViewsRevisionAreSkipped)
{
    const DirectoryView view =
            outcomeOf([&] { return DirectoryView().withChanges(contractAt(5, 5)); }).value();
    wire::PollChangesResponse overlap = contractAt(4, 4);
    overlap.revision = 6;
    const DirectoryView next = outcomeOf([&] { return view.withChanges(overlap); }).value();
    BOOST_TEST(next.revision() == 6u);
    BOOST_TEST(next.contract("w")->ratePerSecond == 5);
}

// Guards against copying the contracts of all workspaces for a change of one.
BOOST_AUTO_TEST_CASE(changeSharesAllOtherRecords)
{
    wire::PollChangesResponse response = unchanged(1);
    for (int index = 0; index < 6300; ++index) {
        wire::Contract contract;
        contract.workspace = std::to_string(index);
        response.changes.push_back(
                {1, wire::RecordKind::Contract, contract.workspace, false, wire::encode(contract)});
    }
    const DirectoryView before =
            outcomeOf([&] { return DirectoryView().withChanges(response); }).value();
    const DirectoryView after =
            outcomeOf([&] { return before.withChanges(contractAt(2, 1)); }).value();
    BOOST_TEST(after.contractCount() == 6301u);
    BOOST_TEST(before.contractCount() == 6300u);
    BOOST_TEST(after.contract("17") == before.contract("17"));
    BOOST_TEST(!before.contract("w"));
}

BOOST_AUTO_TEST_SUITE_END()
