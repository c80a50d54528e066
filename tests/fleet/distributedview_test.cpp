#include "rattanrill/fleet/distributedview.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::fleet;
using wire::MemberRole;

namespace {

wire::FleetMemberStatus member(const std::string &instance, MemberRole role)
{
    wire::FleetMemberStatus status;
    status.member.instance = instance;
    status.member.role = role;
    status.alive = true;
    return status;
}

std::vector<std::string> instances(const wire::FleetSyncResponse &response)
{
    std::vector<std::string> result;
    for (const wire::FleetMemberStatus &status : response.members)
        result.push_back(status.member.instance);
    return result;
}

struct Fixture
{
    Fixture() { view.reset(1, 1); }

    void put(const std::string &instance, MemberRole role)
    {
        view.beginChange();
        view.putMember(member(instance, role));
    }

    void setUpstreams(const std::vector<wire::FleetUpstream> &upstreams)
    {
        view.beginChange();
        view.setUpstreams(upstreams, view.term());
    }

    /// Polls as a member of \a role that has received everything up to its last poll.
    wire::FleetSyncResponse poll(MemberRole role)
    {
        wire::FleetSyncRequest &request = requests[role];
        request.self.role = role;
        request.acceptsChanges = true;
        wire::FleetSyncResponse response;
        view.fill(response, request);
        request.viewTerm = response.viewTerm;
        request.viewSequence = response.viewSequence;
        return response;
    }

    DistributedView view;
    std::map<MemberRole, wire::FleetSyncRequest> requests;
};

const wire::FleetUpstream u{"u", "s", "a:1", "d", 8, false};
const wire::FleetUpstream v{"v", "s", "b:1", "d", 8, false};

} // namespace

BOOST_FIXTURE_TEST_SUITE(DistributedViewTest, Fixture)

// Guards against a response that contains all members and upstreams whenever one of them changes:
// with hundreds of members the leader then has no time for anything else.
BOOST_AUTO_TEST_CASE(responseContainsOnlyWhatHasChanged)
{
    put("c", MemberRole::Control);
    put("s", MemberRole::Store);
    setUpstreams({u, v});
    wire::FleetSyncResponse response = poll(MemberRole::Store);
    BOOST_TEST(!response.containsChangesOnly);
    BOOST_TEST(response.members.size() == 2u);
    BOOST_TEST(response.upstreams.size() == 2u);
    view.beginChange();
    view.removeMember("c");
    wire::FleetUpstream draining = u;
    draining.draining = true;
    setUpstreams({draining});
    response = poll(MemberRole::Store);
    BOOST_TEST(response.containsChangesOnly);
    BOOST_TEST(response.members.empty());
    BOOST_TEST(response.removedMembers == std::vector<std::string>{"c"},
               boost::test_tools::per_element());
    BOOST_TEST_REQUIRE(response.upstreams.size() == 1u);
    BOOST_TEST(response.upstreams.front().draining);
    BOOST_TEST(response.removedUpstreams == std::vector<std::string>{"v@b:1"},
               boost::test_tools::per_element());
}

// Guards against a start of hundreds of entries in which each one is reported to all others.
BOOST_AUTO_TEST_CASE(entriesAreReportedToStoresOnlyAndNotAtOnce)
{
    put("s", MemberRole::Store);
    poll(MemberRole::Entry);
    poll(MemberRole::Store);
    put("e1", MemberRole::Entry);
    put("e2", MemberRole::Entry);
    BOOST_TEST(view.isCurrent(requests[MemberRole::Entry]));
    BOOST_TEST(view.isCurrent(requests[MemberRole::Store]));
    const wire::FleetSyncResponse toEntry = poll(MemberRole::Entry);
    BOOST_TEST(toEntry.members.empty());
    BOOST_TEST(toEntry.liveEntries == 2);
    BOOST_TEST(instances(poll(MemberRole::Store)) == (std::vector<std::string>{"e1", "e2"}),
               boost::test_tools::per_element());
    put("s2", MemberRole::Store);
    BOOST_TEST(!view.isCurrent(requests[MemberRole::Entry]));
}

// Guards against an older process that counts the entries in the list, or does not apply changes.
BOOST_AUTO_TEST_CASE(senderThatAcceptsNoChangesReceivesEverything)
{
    put("e", MemberRole::Entry);
    wire::FleetSyncRequest request;
    request.self.role = MemberRole::Entry;
    request.viewTerm = 1;
    request.viewSequence = view.sequence();
    put("s", MemberRole::Store);
    wire::FleetSyncResponse response;
    view.fill(response, request);
    BOOST_TEST(!response.containsChangesOnly);
    BOOST_TEST(response.members.size() == 2u);
}

// Guards against upstreams that a member keeps for good: a new leader without a list sends none,
// and the member then has the list of the previous leader, of which the new one knows no changes.
BOOST_AUTO_TEST_CASE(firstListOfALeaderIsSentAsAWhole)
{
    put("s", MemberRole::Store);
    BOOST_TEST(!poll(MemberRole::Entry).upstreamsKnown);
    setUpstreams({u});
    const wire::FleetSyncResponse response = poll(MemberRole::Entry);
    BOOST_TEST(!response.containsChangesOnly);
    BOOST_TEST(response.upstreamsKnown);
    BOOST_TEST(response.upstreams.size() == 1u);
}

// Guards against a sender whose view is of another term, or from before the changes that are
// remembered, and which receives a part of the view only.
BOOST_AUTO_TEST_CASE(unknownBaseReceivesEverything)
{
    put("s", MemberRole::Store);
    poll(MemberRole::Entry);
    view.reset(2, 5);
    put("s", MemberRole::Store);
    BOOST_TEST(!view.isCurrent(requests[MemberRole::Entry]));
    BOOST_TEST(!poll(MemberRole::Entry).containsChangesOnly);
    requests[MemberRole::Entry].viewSequence = 4;
    BOOST_TEST(!poll(MemberRole::Entry).containsChangesOnly);
}

BOOST_AUTO_TEST_SUITE_END()
