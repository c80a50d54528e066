#include "polltargets.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::fleet;

namespace {

wire::FleetMemberStatus control(const std::string &address, const std::string &failureDomain)
{
    wire::FleetMemberStatus status;
    status.member.instance = address;
    status.member.role = wire::MemberRole::Control;
    status.member.failureDomain = failureDomain;
    status.member.peerAddress = address;
    status.alive = true;
    return status;
}

PollTargets targetsOf(int number, bool usesRelays = true)
{
    wire::FleetMember self;
    self.instance = "entry-" + std::to_string(number);
    self.failureDomain = "a";
    PollTargets targets(self, usesRelays);
    targets.setSeeds({"seed1", "seed2", "seed3"});
    return targets;
}

const std::vector<wire::FleetMemberStatus> controls = {control("a1", "a"), control("a2", "a"),
                                                       control("b1", "b"), control("b2", "b")};

} // namespace

BOOST_AUTO_TEST_SUITE(PollTargetsTest)

// Guards against hundreds of processes that start at once and all connect to the same seed first.
BOOST_AUTO_TEST_CASE(membersSpreadOverTheSeeds)
{
    constexpr int members = 300;
    std::map<std::string, int> counts;
    for (int number = 0; number < members; ++number)
        ++counts[targetsOf(number).order().front()];
    BOOST_TEST(counts.size() == 3u);
    for (const auto &[address, count] : counts)
        BOOST_TEST(count < members / 2);
}

// Guards against a change that crosses the boundary of a failure domain once for each entry, and
// against entries that all poll the leader.
BOOST_AUTO_TEST_CASE(relayOfTheOwnDomainIsPreferredToTheLeader)
{
    std::map<std::string, int> counts;
    for (int number = 0; number < 100; ++number) {
        PollTargets targets = targetsOf(number);
        targets.setMembers(controls);
        targets.setLeader("b1");
        ++counts[targets.preferredRelay()];
        BOOST_TEST(targets.order().front() == targets.preferredRelay());
    }
    BOOST_TEST(counts.size() == 2u);
    BOOST_TEST(counts["a1"] > 25);
    BOOST_TEST(counts["a2"] > 25);
    PollTargets targets = targetsOf(1);
    targets.setMembers(controls);
    targets.setLeader("a1");
    BOOST_TEST(targets.preferredRelay() == "a2");
}

// Guards against a member that returns to a lost relay again and again.
BOOST_AUTO_TEST_CASE(lostRelayIsNotPreferred)
{
    PollTargets targets = targetsOf(1);
    std::vector<wire::FleetMemberStatus> members = controls;
    members[0].alive = false;
    members[1].alive = false;
    targets.setMembers(members);
    targets.setLeader("b1");
    BOOST_TEST(targets.preferredRelay() == "b2");
    for (wire::FleetMemberStatus &status : members)
        status.alive = false;
    targets.setMembers(members);
    BOOST_TEST(targets.preferredRelay().empty());
    // The lost ones may be back before the list shows it.
    BOOST_TEST(targets.order().size() == 7u);
}

BOOST_AUTO_TEST_CASE(memberWithoutRelaysPrefersNone)
{
    PollTargets targets = targetsOf(1, false);
    targets.setMembers(controls);
    BOOST_TEST(targets.preferredRelay().empty());
    BOOST_TEST(targets.order().size() == 7u);
}

BOOST_AUTO_TEST_SUITE_END()
