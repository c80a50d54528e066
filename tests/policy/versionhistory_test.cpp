#include "rattanrill/policy/versionhistory.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace rattanrill::policy;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

std::vector<SlotUpstream> listOf(const std::vector<std::string> &versions)
{
    std::vector<SlotUpstream> list;
    for (const std::string &version : versions) {
        SlotUpstream upstream;
        upstream.id = version;
        upstream.service = "llm";
        upstream.version = version;
        list.push_back(upstream);
    }
    return list;
}

/// A history whose list is read each second.
class ReadHistory
{
public:
    /// Reads the present list until \a second, when the list becomes \a versions.
    void setAt(int second, const std::vector<std::string> &versions)
    {
        const absl::Time now = start + absl::Seconds(second);
        for (; m_readAt + absl::Seconds(1) < now; m_readAt += absl::Seconds(1))
            history.confirm(m_readAt);
        m_readAt = now;
        history.setUpstreams(now, listOf(versions), now);
    }

    std::optional<std::string> onlySince(int second) const
    {
        return history.onlyVersion("llm", start + absl::Seconds(second));
    }

    VersionHistory history;

private:
    absl::Time m_readAt = start;
};

} // namespace

BOOST_AUTO_TEST_SUITE(VersionHistoryTest)

// Guards against a resumption that is refused on a day with one version, because nothing is
// recorded of the stream.
BOOST_FIXTURE_TEST_CASE(singleVersionIsKnownWithoutARecord, ReadHistory)
{
    setAt(0, {"v1", "v1"});
    setAt(20, {"v1"});
    BOOST_TEST(onlySince(15).value() == "v1");
    BOOST_TEST(!history.onlyVersion("other", start + absl::Seconds(15)).has_value());
}

// Guards against "not known" that is taken for the version that serves now: the old one has just
// left, or the process has just started.
BOOST_FIXTURE_TEST_CASE(versionIsNotGuessed, ReadHistory)
{
    setAt(0, {"v1"});
    BOOST_TEST(!onlySince(-1).has_value());
    setAt(20, {"v1", "v2"});
    BOOST_TEST(!onlySince(19).has_value());
    setAt(30, {"v2"});
    BOOST_TEST(!onlySince(30).has_value());
    BOOST_TEST(onlySince(31).value() == "v2");
}

// Guards against a list that is empty for a moment and makes the history forget.
BOOST_FIXTURE_TEST_CASE(versionThatLeftCountsUntilItLeft, ReadHistory)
{
    setAt(0, {"v1"});
    setAt(10, {});
    BOOST_TEST(onlySince(5).value() == "v1");
    BOOST_TEST(!onlySince(11).has_value());
}

// Guards against a stream of a new version that is continued at the old one by a process that was
// cut off or stood still: upstreams of the new version may have joined, served and left meanwhile.
BOOST_FIXTURE_TEST_CASE(versionsBetweenTwoDistantReadsAreNotKnown, ReadHistory)
{
    setAt(0, {"v1"});
    setAt(10, {"v1"});
    BOOST_TEST(onlySince(5).value() == "v1");
    const absl::Time later = start + absl::Seconds(15);
    history.setUpstreams(later, listOf({"v1"}), later);
    BOOST_TEST(!onlySince(5).has_value());
    BOOST_TEST(!onlySince(14).has_value());
    BOOST_TEST(onlySince(15).value() == "v1");
}

// Guards against a list of unknown age that counts as read now.
BOOST_FIXTURE_TEST_CASE(listOfUnknownAgeShowsNothing, ReadHistory)
{
    history.setUpstreams(start, listOf({"v1"}), absl::InfinitePast());
    BOOST_TEST(!onlySince(1).has_value());
    BOOST_TEST(!history.isReadSince(start));
}

BOOST_AUTO_TEST_SUITE_END()
