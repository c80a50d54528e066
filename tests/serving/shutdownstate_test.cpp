#include "rattanrill/serving/shutdownstate.h"

#include <boost/test/unit_test.hpp>

using namespace rattanrill::serving;

namespace {

const absl::Time stopSignal = absl::FromUnixSeconds(1000);
constexpr absl::Duration timeout = absl::Seconds(8);
constexpr absl::Duration admissionTime = absl::Milliseconds(2500);

absl::Time after(double seconds)
{
    return stopSignal + absl::Seconds(seconds);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ShutdownStateTest)

BOOST_AUTO_TEST_CASE(everyRequestIsAdmittedBeforeTheStopSignal)
{
    const ShutdownState state;
    BOOST_TEST(state.admits(stopSignal, absl::InfiniteFuture()));
    BOOST_TEST(state.elapsedMs(stopSignal) == -1);
    BOOST_TEST(state.remainingMs(stopSignal) == -1);
}

// Guards against a request that is taken although it may outlast the process, and against requests
// that are rejected while callers can't go elsewhere yet or although they end in time.
BOOST_AUTO_TEST_CASE(lateRequestIsAdmittedOnlyIfItEndsInTime)
{
    ShutdownState state;
    state.begin(stopSignal, timeout, admissionTime);
    BOOST_TEST(state.admits(after(2.5), absl::InfiniteFuture()));
    BOOST_TEST(!state.admits(after(2.6), absl::InfiniteFuture()));
    BOOST_TEST(!state.admits(after(2.6), after(7.6)));
    BOOST_TEST(state.admits(after(2.6), after(7.5)));
    BOOST_TEST(!state.admits(after(7.6), after(7.7)));
}

// Guards against a process with a short shutdown timeout that is killed while it admits requests.
BOOST_AUTO_TEST_CASE(admissionEndsWithinAShortTimeout)
{
    ShutdownState state;
    state.begin(stopSignal, absl::Seconds(2), admissionTime);
    BOOST_TEST(!state.admits(after(1), absl::InfiniteFuture()));
    BOOST_TEST((state.admissionEnd() < state.requestsEnd()));
}

// Guards against requests that are ended earlier than in the last sixth of the timeout, or so late
// that their responses can't be sent.
BOOST_AUTO_TEST_CASE(requestsEndInTheLastSixthOfTheTimeout)
{
    ShutdownState state;
    state.begin(stopSignal, timeout, admissionTime);
    BOOST_TEST((state.requestsEnd() >= stopSignal + timeout * 5 / 6));
    BOOST_TEST((state.requestsEnd() < state.responsesEnd()));
    BOOST_TEST((state.responsesEnd() < stopSignal + timeout));
}

BOOST_AUTO_TEST_CASE(logFieldsCountFromTheStopSignal)
{
    ShutdownState state;
    state.begin(stopSignal, timeout, admissionTime);
    BOOST_TEST(state.elapsedMs(after(3)) == 3000);
    BOOST_TEST(state.remainingMs(after(3)) == 5000);
    BOOST_TEST(state.remainingMs(after(9)) == 0);
}

BOOST_AUTO_TEST_SUITE_END()
