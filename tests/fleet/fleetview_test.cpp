#include "rattanrill/fleet/fleetview.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace rattanrill;
using namespace rattanrill::fleet;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
constexpr absl::Duration timeout = absl::Seconds(2);

wire::FleetSyncRequest call(const std::string &instance, wire::MemberRole role)
{
    wire::FleetSyncRequest request;
    request.self.instance = instance;
    request.self.role = role;
    request.self.peerAddress = instance + ":1";
    request.self.replica = instance + ":1/x";
    return request;
}

wire::FleetSyncRequest storeLeader(const std::string &instance, std::uint64_t term)
{
    wire::FleetSyncRequest request = call(instance, wire::MemberRole::Store);
    request.leadsStores = true;
    request.storeTerm = term;
    return request;
}

std::vector<std::string> leaders(const FleetView &view)
{
    std::vector<std::string> result;
    for (const wire::FleetMemberStatus &live :
         view.makeResponse(wire::FleetSyncRequest()).members) {
        if (live.leadsStores)
            result.push_back(live.member.instance);
    }
    return result;
}

struct Fixture
{
    Fixture() { view.beginTerm(1, start); }

    FleetView view{timeout};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FleetViewTest, Fixture)

// Guards against entries that ask a broker which is lost, because its successor is listed beside
// it: the lost one counts as alive until the member timeout.
BOOST_AUTO_TEST_CASE(storeLeaderOfTheHighestTermCounts)
{
    view.recordHeartbeat(storeLeader("z", 3), start);
    view.recordHeartbeat(storeLeader("a", 4), start + absl::Milliseconds(100));
    BOOST_TEST(leaders(view) == std::vector<std::string>{"a"}, boost::test_tools::per_element());
    // The former leader does not know yet that it was replaced.
    view.recordHeartbeat(storeLeader("z", 3), start + absl::Milliseconds(200));
    BOOST_TEST(leaders(view) == std::vector<std::string>{"a"}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(silentMemberIsNotAlive)
{
    view.recordHeartbeat(call("e", wire::MemberRole::Entry), start);
    const std::uint64_t before = view.sequence();
    view.expire(start + timeout + absl::Milliseconds(1));
    BOOST_TEST(view.sequence() > before);
    BOOST_TEST(!view.makeResponse(wire::FleetSyncRequest()).members.front().alive);
    view.recordHeartbeat(call("e", wire::MemberRole::Entry), start + absl::Seconds(3));
    BOOST_TEST(view.makeResponse(wire::FleetSyncRequest()).members.front().alive);
    view.expire(start + absl::Minutes(1));
    BOOST_TEST(view.makeResponse(wire::FleetSyncRequest()).members.empty());
}

// Guards against voters that are taken for lost by a leader that has only just begun to listen.
BOOST_AUTO_TEST_CASE(newLeaderNamesNoCandidatesBeforeItHasHeardOfAll)
{
    view.recordHeartbeat(call("c", wire::MemberRole::Control), start);
    BOOST_TEST(view.voterCandidates(wire::MemberRole::Control).empty());
    view.recordHeartbeat(call("c", wire::MemberRole::Control), start + timeout);
    view.expire(start + timeout + absl::Milliseconds(1));
    BOOST_TEST(view.voterCandidates(wire::MemberRole::Control).size() == 1u);
    view.beginTerm(2, start + absl::Seconds(3));
    BOOST_TEST(view.voterCandidates(wire::MemberRole::Control).empty());
}

BOOST_AUTO_TEST_CASE(unchangedViewIsNotSentAgain)
{
    view.recordHeartbeat(call("e", wire::MemberRole::Entry), start);
    wire::FleetSyncRequest request = call("e", wire::MemberRole::Entry);
    const wire::FleetSyncResponse first = view.makeResponse(request);
    request.viewTerm = first.viewTerm;
    request.viewSequence = first.viewSequence;
    view.recordHeartbeat(request, start + absl::Milliseconds(500));
    BOOST_TEST(view.isCurrent(request));
    BOOST_TEST(view.makeResponse(request).members.empty());
}

BOOST_AUTO_TEST_CASE(unchangedListRaisesNoSequence)
{
    const std::vector<wire::FleetUpstream> list{{"u", "s", "a:1", "d", 8, false}};
    view.setUpstreams(list);
    const std::uint64_t before = view.sequence();
    view.setUpstreams(list);
    BOOST_TEST(view.sequence() == before);
    view.setUpstreams({{"u", "s", "a:1", "d", 8, true}});
    BOOST_TEST(view.sequence() > before);
}

// Guards against a store group that is founded by fewer stores than are about to appear.
BOOST_AUTO_TEST_CASE(storesFoundTheirGroupWhenEnoughAreThere)
{
    view.recordHeartbeat(call("s1", wire::MemberRole::Store), start);
    view.recordHeartbeat(call("s2", wire::MemberRole::Store), start);
    BOOST_TEST(view.storeFounders(start + absl::Seconds(1)).empty());
    view.recordHeartbeat(call("s3", wire::MemberRole::Store), start + absl::Seconds(1));
    BOOST_TEST(view.storeFounders(start + absl::Seconds(1)).size() == 3u);
    wire::FleetSnapshot founded;
    founded.storeFounders = {"a"};
    view.setRecords(founded);
    BOOST_TEST(view.storeFounders(start + absl::Seconds(1)).empty());
}

// Guards against a document that is dropped by a read which left it out as known.
BOOST_AUTO_TEST_CASE(recordsWithoutDocumentKeepTheKnownOne)
{
    wire::FleetSnapshot records;
    records.configurationVersion = 4;
    records.configuration = "four";
    view.setRecords(records);
    records.configuration.clear();
    records.retiringStores = {"r"};
    view.setRecords(records);
    BOOST_TEST(view.records().configuration == "four");
}

BOOST_AUTO_TEST_SUITE_END()
