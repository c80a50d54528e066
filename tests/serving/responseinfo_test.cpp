#include "rattanrill/serving/protocoladapter.h"

#include <boost/test/unit_test.hpp>

using namespace rattanrill;
using namespace rattanrill::serving;
using policy::ReleaseReason;

BOOST_AUTO_TEST_SUITE(ResponseInfoTest)

// Guards against a limited upstream that is ejected because it refuses requests.
BOOST_AUTO_TEST_CASE(refusalUnderALimitIsNoFault)
{
    ResponseInfo info;
    info.notRun = true;
    BOOST_TEST((refusalReason(info) == ReleaseReason::Failed));
    info.requestLimit = 2.5;
    BOOST_TEST((refusalReason(info) == ReleaseReason::Cancelled));
    info.isInstanceMismatch = true;
    BOOST_TEST((refusalReason(info) == ReleaseReason::Unreachable));
}

// Guards against an upstream that is ejected because it refuses requests while it leaves: after its
// restart it would get none.
BOOST_AUTO_TEST_CASE(refusalByAnUpstreamThatLeavesIsNoFault)
{
    ResponseInfo info;
    info.notRun = true;
    info.isLeaving = true;
    BOOST_TEST((refusalReason(info) == ReleaseReason::Cancelled));
    info.isInstanceMismatch = true;
    BOOST_TEST((refusalReason(info) == ReleaseReason::Unreachable));
}

// Guards against an upstream that is ejected because its system answers no new connection while it
// pauses, or because the process that connects is cut off.
BOOST_AUTO_TEST_CASE(unansweredConnectionIsNoProofOfAnAbsentUpstream)
{
    using net::CallStatus;
    BOOST_TEST((notSentReason(CallStatus::NotConnected, false) == ReleaseReason::Unreachable));
    BOOST_TEST((notSentReason(CallStatus::Unanswered, false) == ReleaseReason::Unanswered));
    BOOST_TEST((notSentReason(CallStatus::Unanswered, true) == ReleaseReason::Cancelled));
}

// Guards against a limit that is reported as ended, or a load as zero, because the response names
// only one of them.
BOOST_AUTO_TEST_CASE(loadAndLimitAreReportedIndependently)
{
    ResponseInfo info;
    info.requestLimit = 2.5;
    BOOST_TEST(loadOf("u", "u:1", info).requests == -1);
    BOOST_TEST(loadOf("u", "u:1", info).requestLimit == 2.5);
    info.requestLimit.reset();
    info.outstandingRequests = 3;
    BOOST_TEST(loadOf("u", "u:1", info).requests == 3);
    BOOST_TEST(loadOf("u", "u:1", info).requestLimit == 0);
    BOOST_TEST(loadOf("u", "u:1", info).coldRemainingMs == -1);
    info.coldRemainingMs = 1500;
    BOOST_TEST(loadOf("u", "u:1", info).coldRemainingMs == 1500);
    BOOST_TEST(loadOf("u", "u:1", info).pace == 0);
    info.pace = 1.5;
    BOOST_TEST(loadOf("u", "u:1", info).pace == 1.5);
}

// Guards against a response that is taken for the own one although it names another request, or no
// request.
BOOST_AUTO_TEST_CASE(responseBelongsToTheRequestThatItNames)
{
    ResponseInfo info;
    BOOST_TEST((ownerOf(info, "a") == net::ResponseOwner::Unknown));
    BOOST_TEST((ownerOf(info, "") == net::ResponseOwner::Unknown));
    info.requestId = "a";
    BOOST_TEST((ownerOf(info, "a") == net::ResponseOwner::ThisRequest));
    BOOST_TEST((ownerOf(info, "b") == net::ResponseOwner::AnotherRequest));
    BOOST_TEST((ownerOf(info, "") == net::ResponseOwner::Unknown));
}

BOOST_AUTO_TEST_SUITE_END()
