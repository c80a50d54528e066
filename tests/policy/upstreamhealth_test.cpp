#include "rattanrill/policy/upstreamhealth.h"

#include <boost/test/unit_test.hpp>

using namespace rattanrill::policy;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

OutlierSettings settings()
{
    OutlierSettings result;
    result.consecutiveFailures = 2;
    return result;
}

struct Fixture
{
    UpstreamHealth health{settings()};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UpstreamHealthTest, Fixture)

// Guards against an upstream that nobody gets because one process has lost its link to it.
BOOST_AUTO_TEST_CASE(oneObserverEjectsForItselfOnly)
{
    for (int i = 0; i < 5; ++i)
        health.failed(start, "cut off", true);
    BOOST_TEST(health.isEjectedFor(start, "cut off"));
    BOOST_TEST(!health.isEjected(start));
    BOOST_TEST(!health.isEjectedFor(start, "other"));
    BOOST_TEST(health.trafficShare(start, "other") == 1.0);
}

// Guards against sound upstreams that get no requests for seconds after a pause, in which their
// systems answer no new connections.
BOOST_AUTO_TEST_CASE(unansweredConnectionsOfAPauseAreNoFailures)
{
    for (const std::string observer : {"1", "2", "1", "2"})
        health.unanswered(start, observer);
    BOOST_TEST(health.isEjectedFor(start, "1"));
    BOOST_TEST(!health.isEjected(start));
    const absl::Time next = start + UpstreamHealth::unansweredAvoidance;
    BOOST_TEST(!health.isEjectedFor(next, "1"));
    BOOST_TEST(health.trafficShare(next, "1") == 1.0);
    health.unanswered(start + UpstreamHealth::maxUnanswered, "1");
    const absl::Time last =
            start + UpstreamHealth::maxUnanswered + UpstreamHealth::unansweredAvoidance;
    BOOST_TEST(!health.isEjectedFor(last, "1"));
    BOOST_TEST(health.trafficShare(last, "1") == 1.0);
}

// Guards against an upstream that is avoided after its pause.
BOOST_AUTO_TEST_CASE(successEndsTheAvoidanceByAllObservers)
{
    health.unanswered(start, "1");
    health.succeeded(start, "2");
    BOOST_TEST(!health.isEjectedFor(start, "1"));
}

// Guards against a host without power that gets every further request for the time of an attempt to
// connect.
BOOST_AUTO_TEST_CASE(hostThatNeverAnswersIsEjected)
{
    const absl::Time later = start + absl::Milliseconds(1400);
    for (const absl::Time now : {start, later})
        health.unanswered(now, "1");
    BOOST_TEST(health.isEjectedFor(later + absl::Seconds(1), "1"));
    BOOST_TEST(!health.isEjected(later));
    for (const absl::Time now : {start, later})
        health.unanswered(now, "2");
    BOOST_TEST(health.isEjected(later + absl::Seconds(1)));
    // The first attempt after the ejection shows that the host is still gone.
    const absl::Time again = health.ejectedUntil("1") + absl::Seconds(5);
    health.unanswered(again, "1");
    BOOST_TEST(health.isEjectedFor(again + absl::Seconds(3), "1"));
}

// Guards against upstreams that are ejected because of unanswered connections that lie far apart or
// on either side of a success.
BOOST_AUTO_TEST_CASE(unansweredConnectionsOfSeveralPausesAreNoCommonEvidence)
{
    health.unanswered(start, "1");
    const absl::Time second = start + absl::Seconds(11);
    health.unanswered(second, "1");
    BOOST_TEST(!health.isEjectedFor(second + absl::Seconds(1), "1"));
    health.succeeded(second + absl::Seconds(1), "1");
    const absl::Time third = second + absl::Seconds(3);
    health.unanswered(third, "1");
    BOOST_TEST(!health.isEjectedFor(third + absl::Seconds(1), "1"));
}

// Guards against a crashed upstream that each process has to find out for itself.
BOOST_AUTO_TEST_CASE(twoObserversEjectForAll)
{
    health.failed(start, "a", true);
    health.failed(start, "b", false);
    BOOST_TEST(health.isEjectedFor(start, "other"));
    BOOST_TEST(health.trafficShare(start, "other") == 0.0);
}

// Guards against an upstream that is ejected for all because of failures between which it
// responded.
BOOST_AUTO_TEST_CASE(successEndsTheAgreement)
{
    health.failed(start, "a", true);
    health.succeeded(start, "c");
    health.failed(start, "b", true);
    BOOST_TEST(!health.isEjected(start));
}

// Guards against upstreams that stay ejected because of processes that turn out to be cut off from
// all of them: their failures arrive before they know.
BOOST_AUTO_TEST_CASE(ejectionEndsWhenItsWitnessesAreDiscarded)
{
    health.failed(start, "cut off 1", true);
    health.failed(start, "cut off 2", true);
    BOOST_TEST(health.isEjected(start));
    health.discard(start, "cut off 1");
    BOOST_TEST(!health.isEjected(start));
    BOOST_TEST(health.trafficShare(start, "other") == 1.0);
}

// Guards against a crashed upstream that gets requests again because one of those who saw the crash
// is cut off.
BOOST_AUTO_TEST_CASE(ejectionStaysWhileEnoughWitnessesAreLeft)
{
    health.failed(start, "cut off", true);
    health.failed(start, "a", true);
    health.discard(start, "cut off");
    BOOST_TEST(!health.isEjected(start));
    health.failed(start, "b", true);
    BOOST_TEST(health.isEjected(start));
    health.discard(start, "cut off");
    BOOST_TEST(health.isEjected(start));
}

// Guards against a crashed upstream that gets requests again although two of those who saw the
// crash are linked.
BOOST_AUTO_TEST_CASE(laterFailuresReplaceADiscardedWitness)
{
    health.failed(start, "cut off", true);
    health.failed(start, "a", true);
    health.failed(start, "b", true);
    health.discard(start, "cut off");
    BOOST_TEST(health.isEjected(start));
}

// Guards against an upstream that gets little traffic after an ejection that was wrong.
BOOST_AUTO_TEST_CASE(discardAfterTheEjectionRestoresTheTraffic)
{
    health.failed(start, "cut off 1", true);
    health.failed(start, "cut off 2", true);
    const absl::Time later = start + absl::Milliseconds(2100);
    BOOST_TEST(!health.isEjected(later));
    health.discard(later, "cut off 1");
    BOOST_TEST(health.trafficShare(later, "other") == 1.0);
}

// Guards against an upstream that is ejected because of two failures that have nothing in common.
BOOST_AUTO_TEST_CASE(oldFailuresDoNotCount)
{
    health.failed(start, "a", true);
    health.failed(start + absl::Hours(1), "b", true);
    BOOST_TEST(!health.isEjected(start + absl::Hours(1)));
}

// Guards against an upstream that is ejected at once when it fails a single request.
BOOST_AUTO_TEST_CASE(singleFailureDoesNotEject)
{
    health.failed(start, "a", false);
    BOOST_TEST(!health.isEjectedFor(start, "a"));
}

BOOST_AUTO_TEST_SUITE_END()
