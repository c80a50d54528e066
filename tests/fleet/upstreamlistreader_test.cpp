#include "rattanrill/fleet/upstreamlistreader.h"

#include "fakediscovery.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::fleet;

namespace {

struct Fixture
{
    UpstreamListHandlers handlers()
    {
        UpstreamListHandlers result;
        result.onPage = [this](const UpstreamPage &page, absl::Time) { pages.push_back(page); };
        result.onComplete = [this](const std::vector<wire::FleetUpstream> &upstreams,
                                   absl::Time readAt) {
            ++completeReads;
            lastSize = upstreams.size();
            lastReadAt = readAt;
        };
        result.onFailed = [this](const Failure &, absl::Time) { ++failedReads; };
        result.onPageAfterStop = [this](const UpstreamPage &page, absl::Time readAt) {
            latePages.push_back(page);
            lastReadAt = readAt;
        };
        return result;
    }

    ManualClock clock;
    ManualTimerService timers{clock};
    FakeDiscovery discovery;
    std::vector<UpstreamPage> pages;
    std::vector<UpstreamPage> latePages;
    int completeReads = 0;
    int failedReads = 0;
    std::size_t lastSize = 0;
    absl::Time lastReadAt;
    UpstreamListReader reader{timers, clock, discovery, UpstreamListReaderSettings(), handlers()};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UpstreamListReaderTest, Fixture)

BOOST_AUTO_TEST_CASE(listIsReadOnceInEachPeriod)
{
    discovery.setPage("", {upstream("u", false)}, "p");
    discovery.setPage("p", {upstream("v", false)}, "");
    reader.start();
    BOOST_TEST(completeReads == 1);
    BOOST_TEST(lastSize == 2u);
    timers.advance(absl::Milliseconds(9500));
    BOOST_TEST(completeReads == 10);
    reader.stop();
    timers.advance(absl::Seconds(10));
    BOOST_TEST(completeReads == 10);
}

// Guards against an upstream that counts as ready although a page showed it as draining, because a
// later page of the same read could not be read.
BOOST_AUTO_TEST_CASE(pageIsReportedAlthoughALaterPageFails)
{
    discovery.setPage("", {upstream("u", true)}, "p");
    for (const ErrorCode code : {ErrorCode::UpstreamUnavailable, ErrorCode::RateLimited}) {
        pages.clear();
        discovery.failPage("p", code);
        reader.start();
        BOOST_TEST_REQUIRE(pages.size() == 1u);
        BOOST_TEST(pages.front().upstreams.front().draining);
        timers.advance(absl::Seconds(5));
        BOOST_TEST(completeReads == 0);
        BOOST_TEST(failedReads > 0);
        reader.stop();
    }
}

// Guards against a list that is a whole period older because one call failed.
BOOST_AUTO_TEST_CASE(failedPageIsRequestedAgainSoon)
{
    discovery.setPage("", {upstream("u", false)}, "p");
    discovery.failPage("p", ErrorCode::UpstreamUnavailable);
    const absl::Time startedAt = clock.now();
    reader.start();
    discovery.setPage("p", {upstream("v", false)}, "");
    timers.advance(absl::Milliseconds(300));
    BOOST_TEST(completeReads == 1);
    BOOST_TEST(lastSize == 2u);
    BOOST_TEST((lastReadAt == startedAt));
    BOOST_TEST(discovery.calls("") == 1);
}

// Guards against a read that is given up and repeated only in the next period.
BOOST_AUTO_TEST_CASE(failedReadIsRepeatedSoonerThanThePeriod)
{
    discovery.failPage("", ErrorCode::UpstreamUnavailable);
    reader.start();
    while (failedReads == 0)
        timers.advance(absl::Milliseconds(10));
    discovery.setPage("", {upstream("u", false)}, "");
    timers.advance(absl::Milliseconds(500));
    BOOST_TEST(completeReads == 1);
}

// Guards against calls that add to the overload of a platform that rejects them, or that is down.
BOOST_AUTO_TEST_CASE(failingPlatformGetsFewCalls)
{
    discovery.failPage("", ErrorCode::RateLimited);
    reader.start();
    timers.advance(absl::Seconds(20));
    BOOST_TEST(discovery.calls() <= 20);
    discovery.failPage("", ErrorCode::UpstreamUnavailable);
    const int before = discovery.calls();
    timers.advance(absl::Seconds(20));
    BOOST_TEST(discovery.calls() - before <= 40);
}

// Guards against a list of many pages that takes up the calls which the platform accepts: 40 a
// second from all processes, of which two may read at a time.
BOOST_AUTO_TEST_CASE(listOfManyPagesTakesHalfOfTheAcceptedCalls)
{
    constexpr int pageCount = 50;
    for (int page = 0; page < pageCount; ++page)
        discovery.setPage(page == 0 ? "" : std::to_string(page), {},
                          page + 1 == pageCount ? "" : std::to_string(page + 1));
    reader.start();
    timers.advance(absl::Seconds(60));
    BOOST_TEST(completeReads > 20);
    BOOST_TEST(discovery.calls() <= 20 * 60 + pageCount);
}

// Guards against a page that is lost, or taken for one of the current read, because it arrives
// after the reader was stopped: its process has lost its term.
BOOST_AUTO_TEST_CASE(pageAfterStopIsReportedAsLate)
{
    discovery.setPage("", {upstream("u", true)}, "p");
    discovery.holdCalls();
    const absl::Time startedAt = clock.now();
    reader.start();
    reader.stop();
    timers.advance(absl::Milliseconds(300));
    reader.start();
    discovery.setPage("p", {}, "");
    discovery.releaseCalls();
    BOOST_TEST(latePages.size() == 1u);
    BOOST_TEST(latePages.front().upstreams.front().draining);
    // The call of the second read, and its second page.
    BOOST_TEST(pages.size() == 2u);
    BOOST_TEST(completeReads == 1);
    BOOST_TEST((lastReadAt == startedAt + absl::Milliseconds(300)));
}

BOOST_AUTO_TEST_SUITE_END()
