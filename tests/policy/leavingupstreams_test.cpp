#include "rattanrill/policy/leavingupstreams.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace rattanrill::policy;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
const absl::Time unknown = absl::InfinitePast();

SlotUpstream listed(const std::string &id, bool draining, const std::string &address = "a:1")
{
    SlotUpstream upstream;
    upstream.id = id;
    upstream.address = address;
    upstream.leaving = draining;
    return upstream;
}

/// An upstream "u" that has announced at \a start that it leaves.
struct Fixture
{
    Fixture() { BOOST_TEST(leaving.record(start, "u", "a:1")); }

    bool isLeaving() const { return leaving.isLeaving("u", "a:1"); }

    LeavingUpstreams leaving;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LeavingUpstreamsTest, Fixture)

// Guards against an upstream that gets requests again because a list that lags still shows it as
// ready.
BOOST_AUTO_TEST_CASE(listThatLagsEndsNoAnnouncement)
{
    leaving.update({listed("u", false)}, unknown);
    leaving.update({listed("u", false)}, start);
    leaving.update({listed("u", false)}, start + maxUpstreamListLag);
    BOOST_TEST(isLeaving());
    BOOST_TEST(!leaving.isLeaving("v", "a:1"));
}

// Guards against a restarted upstream that gets no requests because the lists that showed it as
// draining were missed.
BOOST_AUTO_TEST_CASE(laterReadyListEndsTheAnnouncement)
{
    const auto ended = leaving.update({listed("u", false)},
                                      start + maxUpstreamListLag + absl::Milliseconds(1));
    BOOST_TEST_REQUIRE(ended.size() == 1u);
    BOOST_TEST(ended[0].upstream == "u");
    BOOST_TEST(name(ended[0].reason) == "ready");
    BOOST_TEST(!isLeaving());
}

// Guards against an announcement that ends although the upstream announced again that it leaves.
BOOST_AUTO_TEST_CASE(timeCountsFromTheLastAnnouncement)
{
    BOOST_TEST(!leaving.record(start + absl::Seconds(5), "u", "a:1"));
    // An announcement that was received late does not replace a newer one.
    leaving.record(start + absl::Seconds(1), "u", "a:1");
    leaving.update({listed("u", false)}, start + absl::Seconds(12));
    BOOST_TEST(isLeaving());
}

// Guards against a restarted upstream that gets no requests until the lag of the list has passed.
BOOST_AUTO_TEST_CASE(readyAfterDrainingEndsTheAnnouncement)
{
    leaving.update({listed("u", false)}, unknown);
    leaving.update({listed("u", true)}, unknown);
    BOOST_TEST(isLeaving());
    const auto ended = leaving.update({listed("u", false)}, unknown);
    BOOST_TEST_REQUIRE(ended.size() == 1u);
    BOOST_TEST(name(ended[0].reason) == "restarted");
}

// Guards against a list that shows an earlier restart and ends a later announcement.
BOOST_AUTO_TEST_CASE(drainingBeforeTheAnnouncementDoesNotCount)
{
    leaving.update({listed("u", true)}, unknown);
    leaving.record(start + absl::Seconds(1), "u", "a:1");
    leaving.update({listed("u", false)}, unknown);
    BOOST_TEST(isLeaving());
}

// Guards against a list of a former leader of the fleet group that is received after a newer one.
BOOST_AUTO_TEST_CASE(olderListEndsNoAnnouncement)
{
    leaving.update({listed("u", true)}, start + absl::Seconds(3));
    leaving.update({listed("u", false)}, start + absl::Seconds(2));
    leaving.update({listed("u", false)}, unknown);
    leaving.update({}, start + absl::Seconds(2));
    leaving.update({listed("u", false, "b:1")}, start + absl::Seconds(2));
    BOOST_TEST(isLeaving());
    leaving.update({listed("u", false)}, start + absl::Seconds(4));
    BOOST_TEST(!isLeaving());
}

// Guards against announcements that stay for ever, and against those that count for another
// upstream: one at the same address, or one that has the id but another address.
BOOST_AUTO_TEST_CASE(announcementEndsWithItsUpstream)
{
    BOOST_TEST(!leaving.isLeaving("u", "b:1"));
    const absl::Time later = start + maxUpstreamListLag + absl::Milliseconds(1);
    auto ended = leaving.update({listed("v", false)}, later);
    BOOST_TEST_REQUIRE(ended.size() == 1u);
    BOOST_TEST(name(ended[0].reason) == "removed");
    BOOST_TEST(!leaving.isLeaving("v", "a:1"));
    leaving.record(start, "u", "a:1");
    ended = leaving.update({listed("u", false, "b:1")}, later);
    BOOST_TEST_REQUIRE(ended.size() == 1u);
    BOOST_TEST(name(ended[0].reason) == "moved");
    BOOST_TEST(leaving.update({listed("u", false)}, later).empty());
}

// Guards against an upstream that gets requests again because its entry was missing or unreadable
// in one list, or another program had written one with its id.
BOOST_AUTO_TEST_CASE(missingOrWrongEntryEndsNoAnnouncement)
{
    leaving.update({}, start + absl::Seconds(1));
    leaving.update({listed("u", false, "b:1")}, start + absl::Seconds(2));
    BOOST_TEST(leaving.update({listed("u", false)}, start + absl::Seconds(3)).empty());
    BOOST_TEST(isLeaving());
}

BOOST_AUTO_TEST_SUITE_END()
