#include "rattanrill/fleet/fleetview.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace rattanrill;
using namespace rattanrill::fleet;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
constexpr absl::Duration timeout = absl::Seconds(2);

wire::FleetSyncRequest syncRequest(const std::string &instance, wire::MemberRole role)
{
    wire::FleetSyncRequest request;
    request.self.instance = instance;
    request.self.role = role;
    request.self.peerAddress = instance + ":1";
    request.self.replica = instance + ":1/x";
    return request;
}

wire::FleetSyncRequest storeLeaderRequest(const std::string &instance, std::uint64_t term)
{
    wire::FleetSyncRequest request = syncRequest(instance, wire::MemberRole::Store);
    request.leadsStores = true;
    request.storeTerm = term;
    return request;
}

std::vector<std::string> reportedStoreLeaders(const FleetView &view)
{
    std::vector<std::string> result;
    for (const wire::FleetMemberStatus &status :
         view.makeResponse(wire::FleetSyncRequest()).members) {
        if (status.leadsStores)
            result.push_back(status.member.instance);
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

// Guards against entries that request slots from a lost broker. The broker runs on the leader of
// the store group. A lost leader counts as alive until the member timeout and could until then be
// reported as the leader besides its successor.
BOOST_AUTO_TEST_CASE(onlyTheStoreLeaderOfTheHighestTermIsReported)
{
    view.recordHeartbeat(storeLeaderRequest("z", 3), start);
    view.recordHeartbeat(storeLeaderRequest("a", 4), start + absl::Milliseconds(100));
    BOOST_TEST(reportedStoreLeaders(view) == std::vector<std::string>{"a"},
               boost::test_tools::per_element());
    // The former leader has not detected yet that it was replaced.
    view.recordHeartbeat(storeLeaderRequest("z", 3), start + absl::Milliseconds(200));
    BOOST_TEST(reportedStoreLeaders(view) == std::vector<std::string>{"a"},
               boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(memberWithoutHeartbeatIsNotAlive)
{
    view.recordHeartbeat(syncRequest("e", wire::MemberRole::Entry), start);
    const std::uint64_t previousSequence = view.sequence();
    view.expire(start + timeout + absl::Milliseconds(1));
    BOOST_TEST(view.sequence() > previousSequence);
    BOOST_TEST(!view.makeResponse(wire::FleetSyncRequest()).members.front().alive);
    view.recordHeartbeat(syncRequest("e", wire::MemberRole::Entry), start + absl::Seconds(3));
    BOOST_TEST(view.makeResponse(wire::FleetSyncRequest()).members.front().alive);
    view.expire(start + absl::Minutes(1));
    BOOST_TEST(view.makeResponse(wire::FleetSyncRequest()).members.empty());
}

// Guards against members that the leader takes for lost because they poll a relay, and against a
// relay that a member has left and that reports an earlier process of it.
BOOST_AUTO_TEST_CASE(relayedPollsAreHeartbeats)
{
    wire::FleetSyncRequest relay = syncRequest("c", wire::MemberRole::Control);
    relay.relayed = {{syncRequest("e", wire::MemberRole::Entry).self, 400}};
    view.recordHeartbeat(relay, start + absl::Milliseconds(500));
    BOOST_TEST(view.makeResponse(wire::FleetSyncRequest()).liveEntries == 1);
    wire::FleetSyncRequest formerRelay = syncRequest("d", wire::MemberRole::Control);
    formerRelay.relayed = relay.relayed;
    formerRelay.relayed.front().member.replica = "former";
    formerRelay.relayed.front().ageMs = 900;
    view.recordHeartbeat(formerRelay, start + absl::Milliseconds(600));
    for (const wire::FleetMemberStatus &status :
         view.makeResponse(wire::FleetSyncRequest()).members)
        BOOST_TEST(status.member.replica != "former");
    view.expire(start + absl::Milliseconds(2050));
    BOOST_TEST(view.makeResponse(wire::FleetSyncRequest()).liveEntries == 1);
    view.expire(start + absl::Milliseconds(2101));
    BOOST_TEST(view.makeResponse(wire::FleetSyncRequest()).liveEntries == 0);
}

// Guards against a change of the retiring stores or of the replicas that members do not receive,
// because only changed records are sent.
BOOST_AUTO_TEST_CASE(flagsOfStoresAreChanges)
{
    view.recordHeartbeat(syncRequest("s", wire::MemberRole::Store), start);
    wire::FleetSyncRequest request = syncRequest("c", wire::MemberRole::Control);
    request.acceptsChanges = true;
    const auto poll = [&] {
        const wire::FleetSyncResponse response = view.makeResponse(request);
        request.viewTerm = response.viewTerm;
        request.viewSequence = response.viewSequence;
        return response;
    };
    poll();
    wire::FleetSnapshot records;
    records.retiringStores = {"s:1/x"};
    view.setRecords(records);
    BOOST_TEST(!view.isCurrent(request));
    wire::FleetSyncResponse response = poll();
    BOOST_TEST_REQUIRE(response.members.size() == 1u);
    BOOST_TEST(response.members.front().retiring);
    wire::FleetSyncRequest storeLeader = storeLeaderRequest("s", 1);
    storeLeader.storeReplicas = {"s:1/x"};
    view.recordHeartbeat(storeLeader, start);
    response = poll();
    BOOST_TEST_REQUIRE(response.members.size() == 1u);
    BOOST_TEST(response.members.front().holdsCopy);
    BOOST_TEST(response.members.front().leadsStores);
    BOOST_TEST(poll().members.empty());
}

// Guards against a retirement that a new leader takes for completed before the leader of the store
// group has reported it, because it has not heard yet which stores hold a copy.
BOOST_AUTO_TEST_CASE(retirementIsCompletedOnlyByAReportOfTheStoreLeader)
{
    wire::FleetSnapshot records;
    records.retiringStores = {"s:1/x"};
    records.retirements = {{"s", "s:1/x", false}};
    view.setRecords(records);
    view.recordHeartbeat(storeLeaderRequest("s2", 3), start);
    view.beginTerm(2, start + absl::Seconds(1));
    view.recordHeartbeat(storeLeaderRequest("s2", 3), start + absl::Seconds(4));
    view.expire(start + absl::Seconds(5));
    BOOST_TEST(view.membersComplete());
    BOOST_TEST(view.retirementChanges().empty());
    wire::FleetSyncRequest report = storeLeaderRequest("s2", 3);
    report.retiredStores = {"s:1/x"};
    view.recordHeartbeat(report, start + absl::Seconds(5));
    const std::vector<wire::FleetOperation> changes = view.retirementChanges();
    BOOST_TEST_REQUIRE(changes.size() == 1u);
    BOOST_TEST(std::get<wire::CompleteRetirement>(changes.front()).replica == "s:1/x");
    records.retirements.front().completed = true;
    view.setRecords(records);
    BOOST_TEST(view.retirementChanges().empty());
    BOOST_TEST(view.makeResponse(wire::FleetSyncRequest()).openRetirements.empty());
}

// Guards against a retiring store that loses its disk and becomes a voter again under another
// replica id.
BOOST_AUTO_TEST_CASE(retirementAppliesToAFurtherReplicaOfTheInstance)
{
    wire::FleetSnapshot records;
    records.retiringStores = {"s:1/former"};
    records.retirements = {{"s", "s:1/former", false}};
    view.setRecords(records);
    view.recordHeartbeat(syncRequest("s", wire::MemberRole::Store), start);
    const wire::FleetSyncResponse response = view.makeResponse(wire::FleetSyncRequest());
    BOOST_TEST(response.members.front().retiring);
    BOOST_TEST(response.openRetirements == records.retiringStores,
               boost::test_tools::per_element());
    const std::vector<wire::FleetOperation> changes = view.retirementChanges();
    BOOST_TEST_REQUIRE(changes.size() == 1u);
    BOOST_TEST(std::get<wire::RetireStore>(changes.front()).replica == "s:1/x");
    BOOST_TEST(std::get<wire::RetireStore>(changes.front()).instance == "s");
}

// Guards against a new leader that replaces voters that are alive, because it has not received
// their first heartbeats yet.
BOOST_AUTO_TEST_CASE(newLeaderHasNoCandidatesBeforeTheMemberTimeout)
{
    view.recordHeartbeat(syncRequest("c", wire::MemberRole::Control), start);
    BOOST_TEST(view.voterCandidates(wire::MemberRole::Control).empty());
    view.recordHeartbeat(syncRequest("c", wire::MemberRole::Control), start + timeout);
    view.expire(start + timeout + absl::Milliseconds(1));
    BOOST_TEST(view.voterCandidates(wire::MemberRole::Control).size() == 1u);
    view.beginTerm(2, start + absl::Seconds(3));
    BOOST_TEST(view.voterCandidates(wire::MemberRole::Control).empty());
}

BOOST_AUTO_TEST_CASE(unchangedViewIsNotSentAgain)
{
    view.recordHeartbeat(syncRequest("e", wire::MemberRole::Entry), start);
    wire::FleetSyncRequest request = syncRequest("e", wire::MemberRole::Entry);
    const wire::FleetSyncResponse first = view.makeResponse(request);
    request.viewTerm = first.viewTerm;
    request.viewSequence = first.viewSequence;
    view.recordHeartbeat(request, start + absl::Milliseconds(500));
    BOOST_TEST(view.isCurrent(request));
    BOOST_TEST(view.makeResponse(request).members.empty());
}

// Guards against an evacuation that members receive only at the end of their polls, or that a new
// term discards.
BOOST_AUTO_TEST_CASE(evacuationIsSentAtOnceAndInEachTerm)
{
    wire::FleetSyncRequest request = syncRequest("e", wire::MemberRole::Entry);
    request.acceptsChanges = true;
    const wire::FleetSyncResponse first = view.makeResponse(request);
    request.viewTerm = first.viewTerm;
    request.viewSequence = first.viewSequence;
    BOOST_TEST(view.isCurrent(request));
    wire::FleetSnapshot records;
    records.evacuations = {{"a", true}, {"b", false}};
    view.setRecords(records);
    BOOST_TEST(!view.isCurrent(request));
    const std::vector<std::string> expected{"a"};
    BOOST_TEST(view.makeResponse(request).evacuatedDomains == expected,
               boost::test_tools::per_element());
    view.beginTerm(2, start);
    BOOST_TEST(view.makeResponse(request).evacuatedDomains == expected,
               boost::test_tools::per_element());
    records.evacuations.front().isEvacuated = false;
    view.setRecords(records);
    BOOST_TEST(view.makeResponse(request).evacuatedDomains.empty());
}

BOOST_AUTO_TEST_CASE(unchangedUpstreamsKeepTheSequenceNumber)
{
    const std::vector<wire::FleetUpstream> list{{"u", "s", "a:1", "d", 8, false}};
    view.setUpstreams(list, start);
    const std::uint64_t previousSequence = view.sequence();
    view.setUpstreams(list, start);
    BOOST_TEST(view.sequence() == previousSequence);
    view.setUpstreams({{"u", "s", "a:1", "d", 8, true}}, start);
    BOOST_TEST(view.sequence() > previousSequence);
}

// Guards against members that do not receive for how long an upstream remains cold because nothing
// else in the list has changed.
BOOST_AUTO_TEST_CASE(coldTimeIsPassedOn)
{
    wire::FleetUpstream upstream{"u", "s", "a:1", "d", 8, false};
    view.setUpstreams({upstream}, start);
    wire::FleetSyncRequest request = syncRequest("e", wire::MemberRole::Entry);
    const wire::FleetSyncResponse first = view.makeResponse(request);
    request.viewTerm = first.viewTerm;
    request.viewSequence = first.viewSequence;
    upstream.coldRemainingMs = 1500;
    view.setUpstreams({upstream}, start + absl::Seconds(1));
    BOOST_TEST(!view.isCurrent(request));
    const wire::FleetSyncResponse second = view.makeResponse(request);
    BOOST_TEST_REQUIRE(second.upstreams.size() == 1u);
    BOOST_TEST(second.upstreams[0].coldRemainingMs == 1500);
}

// Guards against a store group that is bootstrapped with fewer stores than the deployment has,
// because the others have not sent a heartbeat yet.
BOOST_AUTO_TEST_CASE(storeGroupIsBootstrappedWhenThreeStoresAreAlive)
{
    view.recordHeartbeat(syncRequest("s1", wire::MemberRole::Store), start);
    view.recordHeartbeat(syncRequest("s2", wire::MemberRole::Store), start);
    BOOST_TEST(view.initialStoreVoters(start + absl::Seconds(1)).empty());
    view.recordHeartbeat(syncRequest("s3", wire::MemberRole::Store), start + absl::Seconds(1));
    BOOST_TEST(view.initialStoreVoters(start + absl::Seconds(1)).size() == 3u);
    wire::FleetSnapshot bootstrapped;
    bootstrapped.storeFounders = {"a"};
    view.setRecords(bootstrapped);
    BOOST_TEST(view.initialStoreVoters(start + absl::Seconds(1)).empty());
}

// Guards against the loss of the configuration document after a read that omits it because its
// version is known.
BOOST_AUTO_TEST_CASE(recordsWithoutDocumentKeepThePreviousDocument)
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

// Guards against entries that do not learn of a blocked prompt, also from the leader of a new term,
// and against a full view that is sent for each change of the suspects.
BOOST_AUTO_TEST_CASE(blockedPromptsAreSentWithoutTheRestOfTheView)
{
    view.recordHeartbeat(syncRequest("e", wire::MemberRole::Entry), start);
    wire::FleetSyncRequest request = syncRequest("e", wire::MemberRole::Entry);
    const auto poll = [&] {
        const wire::FleetSyncResponse response = view.makeResponse(request);
        request.viewTerm = response.viewTerm;
        request.viewSequence = response.viewSequence;
        request.promptSequence = response.promptSequence;
        return response;
    };
    poll();
    BOOST_TEST(view.hasCurrentPrompts(request));
    wire::FleetSnapshot records;
    records.blockedPrompts = {{{"a", "b"}}};
    view.setRecords(records);
    view.setSuspectPromptParts({"a", "b"});
    BOOST_TEST(view.isCurrent(request));
    BOOST_TEST(!view.hasCurrentPrompts(request));
    wire::FleetSyncResponse response = poll();
    BOOST_TEST(response.promptsIncluded);
    BOOST_TEST(response.members.empty());
    BOOST_TEST(response.blockedPrompts.size() == 1u);
    BOOST_TEST(response.suspectPromptParts.size() == 2u);
    BOOST_TEST(!poll().promptsIncluded);
    view.beginTerm(2, start);
    response = poll();
    BOOST_TEST(response.promptsIncluded);
    BOOST_TEST(response.blockedPrompts.size() == 1u);
}

// Guards against an upstream that counts as ready although a page showed it as draining, and
// against one that is removed because its page was not read.
BOOST_AUTO_TEST_CASE(pageChangesUpstreamsAndRemovesNone)
{
    const wire::FleetUpstream ready{"u", "s", "a:1", "d", 8, false};
    const wire::FleetUpstream leaving{"u", "s", "a:1", "d", 8, true};
    const wire::FleetUpstream other{"v", "s", "b:1", "d", 8, false};
    view.setUpstreams({ready, other}, start);
    const std::uint64_t previousSequence = view.sequence();
    view.applyPage({ready});
    BOOST_TEST(view.sequence() == previousSequence);
    view.applyPage({leaving});
    BOOST_TEST(view.sequence() > previousSequence);
    BOOST_TEST_REQUIRE(view.upstreams().size() == 2u);
    BOOST_TEST(view.upstreams()[0].draining);
    BOOST_TEST((view.upstreamsReadAt() == start));
}

// Guards against a view that all members get again with each read, while the list shows an upstream
// that has restarted beside its former entry with the same id.
BOOST_AUTO_TEST_CASE(pageWithARepeatedIdKeepsTheSequenceNumber)
{
    const std::vector<wire::FleetUpstream> list = {{"u", "s", "a:1", "d", 8, false},
                                                   {"u", "s", "b:1", "d", 8, false}};
    view.setUpstreams(list, start);
    const std::uint64_t sequence = view.sequence();
    view.applyPage(list);
    view.setUpstreams(list, start + absl::Seconds(1));
    BOOST_TEST(view.sequence() == sequence);
}

// Guards against a new leader that forgets which upstreams leave: until it has read the platform's
// list itself, members use their earlier lists.
BOOST_AUTO_TEST_CASE(newTermKeepsDrainingMarksUntilTheFirstCompleteRead)
{
    view.setUpstreams({{"u", "s", "a:1", "d", 8, false}}, start);
    view.beginTerm(2, start);
    view.setDrainingMarks({"u"});
    view.applyPage({{"v", "s", "b:1", "d", 8, true}, {"w", "s", "c:1", "d", 8, false}});
    wire::FleetSyncResponse response = view.makeResponse(wire::FleetSyncRequest());
    BOOST_TEST(!response.upstreamsKnown);
    BOOST_TEST(response.drainingUpstreams == (std::vector<std::string>{"u", "v"}),
               boost::test_tools::per_element());
    const std::uint64_t previousSequence = view.sequence();
    view.setUpstreams({{"u", "s", "a:1", "d", 8, false}}, start);
    BOOST_TEST(view.sequence() > previousSequence);
    response = view.makeResponse(wire::FleetSyncRequest());
    BOOST_TEST(response.upstreamsKnown);
    BOOST_TEST(response.drainingUpstreams.empty());
}

BOOST_AUTO_TEST_SUITE_END()
