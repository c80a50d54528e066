#include "fleetrelay.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace rattanrill;
using namespace rattanrill::fleet;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
constexpr absl::Duration memberTimeout = absl::Seconds(2);

wire::FleetSyncRequest pollOf(const std::string &instance, const std::string &replica = "r")
{
    wire::FleetSyncRequest request;
    request.self.instance = instance;
    request.self.replica = replica;
    request.acceptsChanges = true;
    request.acceptsRelay = true;
    return request;
}

/// A relay whose copy of the view is of term 3 and sequence number 7.
struct Fixture
{
    Fixture()
    {
        state.leaderTerm = 3;
        state.viewSequence = 7;
        state.configurationVersion = 5;
        state.configuration = "five";
        state.upstreamsKnown = true;
        state.upstreams = {{"u", "s", "a:1", "d", 8, false}};
        state.upstreamsTerm = 2;
        state.upstreamsReadAt = start;
        state.liveEntries = 9;
        relay.update(state);
    }

    /// A poll of a member that has received the copy.
    wire::FleetSyncRequest currentPoll() const
    {
        wire::FleetSyncRequest request = pollOf("e");
        request.viewTerm = 3;
        request.viewSequence = 7;
        request.configurationVersion = 5;
        return request;
    }

    FleetState state;
    FleetRelay relay{memberTimeout};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FleetRelayTest, Fixture)

// Guards against a list that counts as newer than it is, because its ages are not added up.
BOOST_AUTO_TEST_CASE(responseStatesTheAgesOfTheCopy)
{
    const absl::Time receivedAt = start + absl::Milliseconds(600);
    const absl::Time now = start + absl::Milliseconds(900);
    const auto response = relay.makeResponse(pollOf("e"), receivedAt, now, absl::Milliseconds(250));
    BOOST_TEST(response.upstreamsAgeMs == 900);
    BOOST_TEST(response.viewAgeMs == 250);
    BOOST_TEST(response.heldMs == 300);
    BOOST_TEST(response.viewTerm == 3u);
    BOOST_TEST(response.upstreamsTerm == 2u);
    BOOST_TEST(response.upstreams.size() == 1u);
    BOOST_TEST(response.configuration == "five");
    BOOST_TEST(response.liveEntries == 9);
}

// Guards against a list whose age grows at all members although the leader reads it again.
BOOST_AUTO_TEST_CASE(laterReadOfAnUnchangedListIsPassedOn)
{
    relay.confirmUpstreams(start + absl::Seconds(5));
    const absl::Time now = start + absl::Seconds(6);
    BOOST_TEST(relay.makeResponse(pollOf("e"), now, now, absl::ZeroDuration()).upstreamsAgeMs
               == 1000);
}

// Guards against a member that gets an older view than it had, after it changed its relay.
BOOST_AUTO_TEST_CASE(copyIsBehindAMemberWithANewerView)
{
    wire::FleetSyncRequest request = currentPoll();
    BOOST_TEST(!relay.isBehind(request));
    ++request.viewSequence;
    BOOST_TEST(relay.isBehind(request));
    request.viewSequence = 1;
    request.viewTerm = 4;
    BOOST_TEST(relay.isBehind(request));
}

// Guards against a change that waits for the end of the poll.
BOOST_AUTO_TEST_CASE(changesOfTheCopyAreNews)
{
    BOOST_TEST(!relay.hasNews(currentPoll()));
    FleetState changed = state;
    changed.configurationVersion = 6;
    relay.update(changed);
    BOOST_TEST(relay.hasNews(currentPoll()));
    relay.update(state);
    BOOST_TEST(!relay.hasNews(currentPoll()));
    changed = state;
    changed.viewSequence = 8;
    changed.upstreams.front().draining = true;
    relay.update(changed);
    BOOST_TEST(relay.hasNews(currentPoll()));
    const auto response = relay.makeResponse(currentPoll(), start, start, absl::ZeroDuration());
    BOOST_TEST(response.containsChangesOnly);
    BOOST_TEST_REQUIRE(response.upstreams.size() == 1u);
    BOOST_TEST(response.upstreams.front().draining);
}

// Guards against entries that send requests to an evacuated domain because they poll a relay.
BOOST_AUTO_TEST_CASE(evacuationIsPassedOn)
{
    state.viewSequence = 8;
    state.evacuatedDomains = {"d"};
    relay.update(state);
    BOOST_TEST(relay.hasNews(currentPoll()));
    const auto response = relay.makeResponse(currentPoll(), start, start, absl::ZeroDuration());
    BOOST_TEST(response.evacuatedDomains == state.evacuatedDomains,
               boost::test_tools::per_element());
}

// Guards against a list of an earlier leader that counts as one of the present leader.
BOOST_AUTO_TEST_CASE(newTermIsSentAsAWhole)
{
    state.leaderTerm = 4;
    state.viewSequence = 1;
    relay.update(state);
    BOOST_TEST(relay.hasNews(currentPoll()));
    const auto response = relay.makeResponse(currentPoll(), start, start, absl::ZeroDuration());
    BOOST_TEST(!response.containsChangesOnly);
    BOOST_TEST(response.upstreamsTerm == 2u);
    BOOST_TEST(response.upstreams.size() == 1u);
}

// Guards against a member that the leader takes for lost although it polls the relay, and against
// one that it takes for alive although it has stopped.
BOOST_AUTO_TEST_CASE(pollsAreReportedWithTheirAgeUntilTheMemberTimeout)
{
    BOOST_TEST(relay.recordPoll(pollOf("e", "first"), start));
    BOOST_TEST(!relay.recordPoll(pollOf("e", "first"), start + absl::Milliseconds(500)));
    BOOST_TEST(relay.recordPoll(pollOf("e", "second"), start + absl::Milliseconds(600)));
    const auto members = relay.members(start + absl::Milliseconds(900));
    BOOST_TEST_REQUIRE(members.size() == 1u);
    BOOST_TEST(members.front().member.replica == "second");
    BOOST_TEST(members.front().ageMs == 300);
    BOOST_TEST(relay.members(start + absl::Milliseconds(2601)).empty());
    BOOST_TEST(relay.recordPoll(pollOf("e", "second"), start + absl::Seconds(3)));
    relay.removeMember("e");
    BOOST_TEST(relay.members(start + absl::Seconds(3)).empty());
}

BOOST_AUTO_TEST_SUITE_END()
