#include "rattanrill/policy/streamorigins.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace rattanrill::policy;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

StreamOriginSettings smallSettings()
{
    StreamOriginSettings settings;
    settings.maxRecords = 10;
    return settings;
}

} // namespace

BOOST_AUTO_TEST_SUITE(StreamOriginsTest)

// Guards against a stream that continues at the version of an earlier grant that brought no event.
BOOST_AUTO_TEST_CASE(laterRecordReplacesTheEarlierOne)
{
    StreamOrigins origins{StreamOriginSettings()};
    BOOST_TEST(!origins.find("a").has_value());
    origins.record(start, "a", {"llm", "v1"});
    origins.record(start + absl::Seconds(1), "a", {"llm", "v2"});
    BOOST_TEST(origins.find("a")->version == "v2");
    BOOST_TEST(origins.size() == 1u);
}

// Guards against a stream that is forgotten while its caller resumes it again and again.
BOOST_AUTO_TEST_CASE(recordIsKeptFromItsLastGrantOn)
{
    StreamOrigins origins{StreamOriginSettings()};
    for (int second = 0; second <= 60; second += 20)
        origins.record(start + absl::Seconds(second), "a", {"llm", "v1"});
    origins.record(start + absl::Seconds(85), "b", {"llm", "v1"});
    BOOST_TEST(origins.find("a").has_value());
    origins.record(start + absl::Seconds(91), "c", {"llm", "v1"});
    BOOST_TEST(!origins.find("a").has_value());
}

// Guards against memory that grows with the number of streams.
BOOST_AUTO_TEST_CASE(recordsAreBounded)
{
    StreamOrigins origins{smallSettings()};
    for (int i = 0; i < 1000; ++i)
        origins.record(start + absl::Milliseconds(i), std::to_string(i), {"llm", "v1"});
    BOOST_TEST(origins.size() == 10u);
    BOOST_TEST(origins.find("999").has_value());
    BOOST_TEST(!origins.find("989").has_value());
}

// Guards against a new broker that learns of no stream, or of each one without end.
BOOST_AUTO_TEST_CASE(newestRecordsAreReturnedOnce)
{
    StreamOrigins origins{StreamOriginSettings()};
    for (int i = 0; i < 5; ++i)
        origins.record(start + absl::Seconds(i), std::to_string(i), {"llm", "v1"});
    origins.record(start + absl::Seconds(5), "1", {"llm", "v1"});
    BOOST_TEST(origins.recordedSince(absl::InfinitePast(), 100).size() == 5u);
    const auto newest = origins.recordedSince(start + absl::Seconds(3), 2);
    BOOST_TEST_REQUIRE(newest.size() == 2u);
    BOOST_TEST(newest[0].stream == "4");
    BOOST_TEST(newest[1].stream == "1");
}

BOOST_AUTO_TEST_SUITE_END()
