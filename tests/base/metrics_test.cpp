#include "rattanrill/base/metrics.h"

#include <boost/test/unit_test.hpp>

using namespace rattanrill;

BOOST_AUTO_TEST_SUITE(MetricsTest)

// Guards against exposition text that a scraper rejects because a label is not escaped, and against
// buckets that omit the values below the first or above the last bound.
BOOST_AUTO_TEST_CASE(bucketsAreCumulativeAndLabelsAreEscaped)
{
    Metrics metrics;
    metrics.count("requests_total", {{"workspace", "a\"b"}}, 2);
    metrics.observe("ttft_seconds", {}, 0.0001);
    metrics.observe("ttft_seconds", {}, 0.5);
    metrics.observe("ttft_seconds", {}, 5000);
    const std::string text = metrics.exposition();
    BOOST_TEST(text.find("requests_total{workspace=\"a\\\"b\"} 2\n") != std::string::npos);
    BOOST_TEST(text.find("ttft_seconds_bucket{le=\"0.001\"} 1\n") != std::string::npos);
    BOOST_TEST(text.find("ttft_seconds_bucket{le=\"1000\"} 2\n") != std::string::npos);
    BOOST_TEST(text.find("ttft_seconds_bucket{le=\"+Inf\"} 3\n") != std::string::npos);
}

// Guards against large bucket counts that are written with only six digits, as other numbers are:
// burn rates are differences of such counts and would be wrong.
BOOST_AUTO_TEST_CASE(largeCountsKeepAllDigits)
{
    Metrics metrics;
    for (int i = 0; i < 1234567; ++i)
        metrics.observe("ttft_seconds", {}, 0.0001);
    const std::string text = metrics.exposition();
    BOOST_TEST(text.find("ttft_seconds_bucket{le=\"0.001\"} 1234567\n") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
