#include "rattanrill/policy/versionhistory.h"

#include <boost/test/unit_test.hpp>

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

} // namespace

BOOST_AUTO_TEST_SUITE(VersionHistoryTest)

// Guards against a resumption that is refused on a day with one version, because nothing is
// recorded of the stream.
BOOST_AUTO_TEST_CASE(singleVersionIsKnownWithoutARecord)
{
    VersionHistory history;
    history.setUpstreams(start, listOf({"v1", "v1"}));
    history.setUpstreams(start + absl::Seconds(20), listOf({"v1"}));
    BOOST_TEST(history.onlyVersion("llm", start + absl::Seconds(15)).value() == "v1");
    BOOST_TEST(!history.onlyVersion("other", start + absl::Seconds(15)).has_value());
}

// Guards against "not known" that is taken for the version that serves now: the old one has just
// left, or the process has just started.
BOOST_AUTO_TEST_CASE(versionIsNotGuessed)
{
    VersionHistory history;
    history.setUpstreams(start, listOf({"v1"}));
    BOOST_TEST(!history.onlyVersion("llm", start - absl::Seconds(1)).has_value());
    history.setUpstreams(start + absl::Seconds(20), listOf({"v1", "v2"}));
    BOOST_TEST(!history.onlyVersion("llm", start + absl::Seconds(19)).has_value());
    history.setUpstreams(start + absl::Seconds(30), listOf({"v2"}));
    BOOST_TEST(!history.onlyVersion("llm", start + absl::Seconds(30)).has_value());
    BOOST_TEST(history.onlyVersion("llm", start + absl::Seconds(31)).value() == "v2");
}

// Guards against a list that is empty for a moment and makes the history forget.
BOOST_AUTO_TEST_CASE(versionThatLeftCountsUntilItLeft)
{
    VersionHistory history;
    history.setUpstreams(start, listOf({"v1"}));
    history.setUpstreams(start + absl::Seconds(10), {});
    BOOST_TEST(history.onlyVersion("llm", start + absl::Seconds(5)).value() == "v1");
    BOOST_TEST(!history.onlyVersion("llm", start + absl::Seconds(11)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
