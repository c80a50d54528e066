#include "linkevidence.h"

#include <boost/test/unit_test.hpp>

using namespace rattanrill;
using namespace rattanrill::serving;
using policy::LinkEvidence;

namespace {

constexpr absl::Duration sinceAttempt = absl::Milliseconds(250);

std::optional<net::TcpState> heard(int millisecondsAgo)
{
    return net::TcpState{absl::Milliseconds(millisecondsAgo), absl::ZeroDuration(), true};
}

std::optional<net::TcpState> unacknowledged(int milliseconds)
{
    return net::TcpState{absl::Seconds(2), absl::Milliseconds(milliseconds), true};
}

LinkEvidence evidenceOf(const std::vector<std::optional<net::TcpState>> &states)
{
    return linkEvidenceOf(states, sinceAttempt);
}

} // namespace

BOOST_AUTO_TEST_SUITE(LinkEvidenceTest)

// Guards against a verdict on a link on which nothing was sent meanwhile.
BOOST_AUTO_TEST_CASE(connectionsWithoutTrafficShowNothing)
{
    BOOST_TEST((evidenceOf({}) == LinkEvidence::Unknown));
    BOOST_TEST((evidenceOf({heard(300), heard(2000)}) == LinkEvidence::Unknown));
}

// Guards against a cut that is not found because another connection was heard of before it.
BOOST_AUTO_TEST_CASE(unacknowledgedDataShowsALostLink)
{
    BOOST_TEST((evidenceOf({unacknowledged(200)}) == LinkEvidence::NotAcknowledged));
    BOOST_TEST((evidenceOf({heard(200), unacknowledged(200)}) == LinkEvidence::NotAcknowledged));
}

// Guards against an acknowledgement that the peer delays, or that is lost with its packet, and is
// taken for a lost link.
BOOST_AUTO_TEST_CASE(lateAcknowledgementIsNoLostLink)
{
    BOOST_TEST((evidenceOf({unacknowledged(60)}) == LinkEvidence::Pending));
    BOOST_TEST((evidenceOf({unacknowledged(200), heard(20)}) == LinkEvidence::Acknowledged));
}

// Guards against a full accept queue that is taken for a lost link because a connection, which only
// this side holds for established, is not acknowledged.
BOOST_AUTO_TEST_CASE(connectionWithoutAnyAcknowledgementProvesNothing)
{
    net::TcpState fresh{absl::Seconds(2), absl::Seconds(2), false};
    BOOST_TEST((evidenceOf({fresh}) == LinkEvidence::Unknown));
    BOOST_TEST((evidenceOf({fresh, heard(20)}) == LinkEvidence::Acknowledged));
}

// Guards against a cut that is never found where the operating system tells nothing.
BOOST_AUTO_TEST_CASE(unreadableStateIsReported)
{
    BOOST_TEST((evidenceOf({std::nullopt}) == LinkEvidence::Unavailable));
    BOOST_TEST((evidenceOf({std::nullopt, heard(20)}) == LinkEvidence::Acknowledged));
}

BOOST_AUTO_TEST_SUITE_END()
