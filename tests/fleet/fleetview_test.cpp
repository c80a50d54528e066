#include "rattanrill/fleet/fleetview.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace rattanrill;
using namespace rattanrill::fleet;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
constexpr absl::Duration timeout = absl::Seconds(2);

wire::SyncRequest call(const std::string &instance, wire::MemberRole role)
{
    wire::SyncRequest request;
    request.self.instance = instance;
    request.self.role = role;
    request.self.peerAddress = instance + ":1";
    request.self.replica = instance + ":1/x";
    return request;
}

wire::SyncRequest storeLeader(const std::string &instance, std::uint64_t term)
{
    wire::SyncRequest request = call(instance, wire::MemberRole::Store);
    request.leadsStores = true;
    request.storeTerm = term;
    return request;
}

std::vector<std::string> leaders(const FleetView &view)
{
    std::vector<std::string> result;
    for (const wire::LiveMember &live : view.answer(wire::SyncRequest()).members) {
        if (live.leadsStores)
            result.push_back(live.member.instance);
    }
    return result;
}

struct Fixture
{
    Fixture() { view.begin(1, start); }

    FleetView view{timeout};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FleetViewTest, Fixture)

// Guards against entries that ask a broker which is lost, because its successor is listed beside
// it: the lost one counts as alive until the member timeout.
BOOST_AUTO_TEST_CASE(storeLeaderOfTheHighestTermCounts)
{
    view.heard(storeLeader("z", 3), start);
    view.heard(storeLeader("a", 4), start + absl::Milliseconds(100));
    BOOST_TEST(leaders(view) == std::vector<std::string>{"a"}, boost::test_tools::per_element());
    // The former leader does not know yet that it was replaced.
    view.heard(storeLeader("z", 3), start + absl::Milliseconds(200));
    BOOST_TEST(leaders(view) == std::vector<std::string>{"a"}, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(silentMemberIsNotAlive)
{
    view.heard(call("e", wire::MemberRole::Entry), start);
    const std::uint64_t before = view.sequence();
    view.expire(start + timeout + absl::Milliseconds(1));
    BOOST_TEST(view.sequence() > before);
    BOOST_TEST(!view.answer(wire::SyncRequest()).members.front().alive);
    view.heard(call("e", wire::MemberRole::Entry), start + absl::Seconds(3));
    BOOST_TEST(view.answer(wire::SyncRequest()).members.front().alive);
    view.expire(start + absl::Minutes(1));
    BOOST_TEST(view.answer(wire::SyncRequest()).members.empty());
}

// Guards against voters that are taken for lost by a leader that has only just begun to listen.
BOOST_AUTO_TEST_CASE(newLeaderNamesNoCandidatesBeforeItHasHeardOfAll)
{
    view.heard(call("c", wire::MemberRole::Control), start);
    BOOST_TEST(view.candidates(wire::MemberRole::Control).empty());
    view.heard(call("c", wire::MemberRole::Control), start + timeout);
    view.expire(start + timeout + absl::Milliseconds(1));
    BOOST_TEST(view.candidates(wire::MemberRole::Control).size() == 1u);
    view.begin(2, start + absl::Seconds(3));
    BOOST_TEST(view.candidates(wire::MemberRole::Control).empty());
}

BOOST_AUTO_TEST_CASE(unchangedViewIsNotSentAgain)
{
    view.heard(call("e", wire::MemberRole::Entry), start);
    wire::SyncRequest request = call("e", wire::MemberRole::Entry);
    const wire::SyncResponse first = view.answer(request);
    request.viewTerm = first.viewTerm;
    request.viewSequence = first.viewSequence;
    view.heard(request, start + absl::Milliseconds(500));
    BOOST_TEST(view.isCurrent(request));
    BOOST_TEST(view.answer(request).members.empty());
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
    view.heard(call("s1", wire::MemberRole::Store), start);
    view.heard(call("s2", wire::MemberRole::Store), start);
    BOOST_TEST(view.storeFounders(start + absl::Seconds(1)).empty());
    view.heard(call("s3", wire::MemberRole::Store), start + absl::Seconds(1));
    BOOST_TEST(view.storeFounders(start + absl::Seconds(1)).size() == 3u);
    wire::FleetRecords founded;
    founded.storeFounders = {"a"};
    view.setRecords(founded);
    BOOST_TEST(view.storeFounders(start + absl::Seconds(1)).empty());
}

// Guards against a document that is dropped by a read which left it out as known.
BOOST_AUTO_TEST_CASE(recordsWithoutDocumentKeepTheKnownOne)
{
    wire::FleetRecords records;
    records.configurationVersion = 4;
    records.configuration = "four";
    view.setRecords(records);
    records.configuration.clear();
    records.retiringStores = {"r"};
    view.setRecords(records);
    BOOST_TEST(view.records().configuration == "four");
}

BOOST_AUTO_TEST_SUITE_END()
