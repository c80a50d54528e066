#include "tcpinfo.h"

#include <boost/test/unit_test.hpp>

using namespace rattanrill::net;

namespace {

ConnectionTimes times(int sinceReceivedMs, int sinceWrittenMs)
{
    return {absl::Milliseconds(sinceReceivedMs), absl::Milliseconds(sinceWrittenMs), true};
}

TcpInfo unacknowledged()
{
    TcpInfo info;
    info.isUnacknowledged = true;
    return info;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TcpInfoTest)

// Guards against a cut that is not found, and an acknowledgement that is assumed, on a system that
// measures no times.
BOOST_AUTO_TEST_CASE(timesOfTheProcessReplaceThoseOfTheSystem)
{
    const TcpState cut = tcpStateOf(unacknowledged(), times(2000, 60));
    BOOST_TEST((cut.unacknowledged == absl::Milliseconds(60)));
    BOOST_TEST((cut.sinceReceived == absl::Milliseconds(2000)));
    BOOST_TEST(cut.isConfirmed);
    const TcpState paused = tcpStateOf(TcpInfo(), times(2000, 60));
    BOOST_TEST((paused.unacknowledged == absl::ZeroDuration()));
    BOOST_TEST((paused.sinceReceived == absl::Milliseconds(60)));
}

// Guards against an upload that counts as not acknowledged although the system tells when the last
// acknowledgement arrived.
BOOST_AUTO_TEST_CASE(laterAcknowledgementOfAnUploadCounts)
{
    TcpInfo info = unacknowledged();
    info.sinceReceived = absl::Milliseconds(4);
    const TcpState state = tcpStateOf(info, times(2000, 900));
    BOOST_TEST((state.unacknowledged == absl::Milliseconds(4)));
    BOOST_TEST((state.sinceReceived == absl::Milliseconds(4)));
}

// Guards against data that counts as acknowledged before it was sent.
BOOST_AUTO_TEST_CASE(dataThatWaitsIsNotAcknowledged)
{
    TcpInfo info;
    BOOST_TEST((tcpStateOf(info, times(2000, 1)).sinceReceived == absl::Milliseconds(2000)));
    info.hasUnsentData = true;
    info.isProbing = true;
    const TcpState state = tcpStateOf(info, times(2000, 900));
    BOOST_TEST((state.sinceReceived == absl::Milliseconds(2000)));
    BOOST_TEST((state.unacknowledged == absl::ZeroDuration()));
}

// Guards against a cut that is not found on a connection without traffic.
BOOST_AUTO_TEST_CASE(unansweredKeepAliveProbeIsNotAcknowledged)
{
    TcpInfo info;
    info.isProbing = true;
    info.sinceReceived = absl::Milliseconds(1200);
    ConnectionTimes idle;
    idle.sinceReceived = absl::Seconds(3);
    const TcpState state = tcpStateOf(info, idle);
    BOOST_TEST((state.unacknowledged == absl::Milliseconds(200)));
    BOOST_TEST((state.sinceReceived == absl::Milliseconds(1200)));
    BOOST_TEST(!state.isConfirmed);
}

BOOST_AUTO_TEST_SUITE_END()
