#include "rattanrill/policy/upstreamlinks.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace rattanrill::policy;

namespace {

struct Fixture
{
    Fixture() { links.setUpstreamCount(12); }

    void breakConnections(int upstreams)
    {
        for (int i = 0; i < upstreams; ++i)
            links.broken(std::to_string(i));
    }

    void refuseConnections(int upstreams)
    {
        for (int i = 0; i < upstreams; ++i)
            links.notConnected(std::to_string(i));
    }

    void leaveUnanswered(int upstreams, LinkEvidence evidence)
    {
        for (int i = 0; i < upstreams; ++i)
            links.unanswered(std::to_string(i), evidence);
    }

    UpstreamLinks links;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UpstreamLinksTest, Fixture)

// Guards against a process that goes on sending requests although none of its upstreams responds.
BOOST_AUTO_TEST_CASE(silenceOfSeveralUpstreamsIsALostLink)
{
    breakConnections(3);
    BOOST_TEST(!links.isCutOff());
    breakConnections(4);
    BOOST_TEST(links.isCutOff());
    BOOST_TEST(!links.canReceive());
}

// Guards against a process that takes one upstream which fails again and again for all of them.
BOOST_AUTO_TEST_CASE(oneUpstreamThatFailsOftenIsNoLostLink)
{
    for (int i = 0; i < 100; ++i)
        links.notConnected("crashed");
    BOOST_TEST(!links.isCutOff());
    BOOST_TEST(!links.isSuspect());
}

// Guards against upstreams that crash together, or fall silent for a moment, and are taken for a
// lost link while others respond.
BOOST_AUTO_TEST_CASE(anyByteEndsTheSilence)
{
    breakConnections(3);
    links.received();
    links.broken("another");
    BOOST_TEST(!links.isCutOff());
}

// Guards against requests on new connections, which are all refused, while established ones live
// on.
BOOST_AUTO_TEST_CASE(newConnectionsMayFailAlone)
{
    refuseConnections(7);
    BOOST_TEST(links.canReceive());
    BOOST_TEST(!links.canConnect());
    BOOST_TEST(links.isCutOff());
}

// Guards against a third of the upstreams that crash together and are taken for a lost link because
// no other connection is opened meanwhile.
BOOST_AUTO_TEST_CASE(crashesOfFewUpstreamsAreNoLostLink)
{
    refuseConnections(6);
    BOOST_TEST(!links.isCutOff());
    BOOST_TEST(links.isSuspect());
}

// Guards against a cut that is found late because connections hang, old and new ones.
BOOST_AUTO_TEST_CASE(unansweredConnectionsCountAsBrokenOnes)
{
    for (const LinkEvidence evidence :
         {LinkEvidence::NotAcknowledged, LinkEvidence::Unknown, LinkEvidence::Unavailable}) {
        BOOST_TEST_INFO_SCOPE(name(evidence));
        breakConnections(2);
        links.unanswered("a", evidence);
        BOOST_TEST(links.canReceive());
        BOOST_TEST(!links.isCutOff());
        links.unanswered("b", evidence);
        BOOST_TEST(!links.canReceive());
        BOOST_TEST(links.isCutOff());
        links.connected();
        BOOST_TEST(!links.isSuspect());
    }
}

// Guards against full accept queues of upstreams that pause, which are taken for a lost link.
BOOST_AUTO_TEST_CASE(unansweredConnectionsAloneAreNoCertainLoss)
{
    leaveUnanswered(12, LinkEvidence::Unknown);
    BOOST_TEST((links.state() == LinkState::Unanswered));
    BOOST_TEST(links.isCutOff());
    leaveUnanswered(4, LinkEvidence::NotAcknowledged);
    BOOST_TEST((links.state() == LinkState::Lost));
}

// Guards against a cut that is not found where the operating system does not tell what is
// acknowledged.
BOOST_AUTO_TEST_CASE(unansweredConnectionsAreALostLinkWithoutEvidence)
{
    leaveUnanswered(3, LinkEvidence::Unavailable);
    BOOST_TEST((links.state() == LinkState::Working));
    leaveUnanswered(4, LinkEvidence::Unavailable);
    BOOST_TEST((links.state() == LinkState::Lost));
}

// Guards against an upstream that counts as failed before its acknowledgement can have arrived.
BOOST_AUTO_TEST_CASE(pendingAcknowledgementIsNoFailure)
{
    leaveUnanswered(12, LinkEvidence::Pending);
    BOOST_TEST((links.state() == LinkState::Working));
}

// Guards against an upstream that counts as failed although its operating system acknowledges.
BOOST_AUTO_TEST_CASE(acknowledgedDataIsNoFailure)
{
    leaveUnanswered(12, LinkEvidence::Acknowledged);
    BOOST_TEST((links.state() == LinkState::Working));
    BOOST_TEST(!links.isSuspect());
    leaveUnanswered(12, LinkEvidence::Unknown);
    leaveUnanswered(12, LinkEvidence::Acknowledged);
    BOOST_TEST((links.state() == LinkState::Working));
    BOOST_TEST(!links.hasFailed("0"));
}

// Guards against a certain loss that is doubted because other upstreams do not answer.
BOOST_AUTO_TEST_CASE(refusedConnectionsAreALostLink)
{
    leaveUnanswered(12, LinkEvidence::Unknown);
    refuseConnections(7);
    BOOST_TEST((links.state() == LinkState::Lost));
}

// Guards against a process that does not notice that its links are back.
BOOST_AUTO_TEST_CASE(newConnectionEndsTheCut)
{
    refuseConnections(12);
    links.connected();
    BOOST_TEST(!links.isCutOff());
    BOOST_TEST(!links.isSuspect());
}

BOOST_AUTO_TEST_SUITE_END()
