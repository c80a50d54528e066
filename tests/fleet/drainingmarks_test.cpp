#include "drainingmarks.h"

#include <boost/test/unit_test.hpp>

using namespace rattanrill;
using namespace rattanrill::fleet;

BOOST_AUTO_TEST_SUITE(DrainingMarksTest)

// Guards against an upstream that gets no requests because a control process that becomes leader
// again remembers how the platform's list showed it long ago.
BOOST_AUTO_TEST_CASE(oldMarkOfARestartedUpstreamIsDropped)
{
    const absl::Time start = absl::FromUnixSeconds(1000);
    DrainingMarks marks;
    marks.record({"a", "b"}, start);
    marks.record({"b"}, start + absl::Seconds(5));
    BOOST_TEST((marks.take(start + absl::Seconds(11)) == std::set<std::string>{"b"}));
    BOOST_TEST(marks.take(start + absl::Seconds(11)).empty());
}

BOOST_AUTO_TEST_SUITE_END()
