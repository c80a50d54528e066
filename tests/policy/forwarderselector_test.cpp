#include "rattanrill/policy/forwarderselector.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>

using namespace rattanrill::policy;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

struct Fixture
{
    Fixture()
    {
        selector.setForwarders({{"a1", "a", "a1:1"}, {"a2", "a", "a2:1"}, {"b1", "b", "b1:1"}});
    }

    /// Returns the instance that forwards a call of a1; empty when there is none.
    std::string choose(absl::Time now = start)
    {
        const auto forwarder =
                selector.choose(now, "a1", "a", [](const Forwarder &) { return true; });
        return forwarder ? forwarder->instance : std::string();
    }

    ForwarderSelector selector;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ForwarderSelectorTest, Fixture)

// Guards against calls that cross the boundary of a failure domain without need, and against one
// entry that forwards all of them.
BOOST_AUTO_TEST_CASE(nearForwarderIsPreferredUntilItIsBusy)
{
    std::map<std::string, int> calls;
    BOOST_TEST(choose() == "a2");
    for (int i = 0; i < 9; ++i)
        ++calls[choose()];
    BOOST_TEST(calls["a2"] > calls["b1"]);
    BOOST_TEST(calls["b1"] >= 3);
}

// Guards against calls that are forwarded to an entry which is cut off, too.
BOOST_AUTO_TEST_CASE(entryThatIsCutOffDoesNotForward)
{
    selector.recordLinks(start, "a2", true);
    BOOST_TEST(choose() == "b1");
    selector.recordLinks(start, "b1", true);
    BOOST_TEST(choose().empty());
    selector.recordLinks(start, "a2", false);
    BOOST_TEST(choose() == "a2");
}

// Guards against an entry that is never chosen again because it sends no requests of its own and so
// never says that its links are back.
BOOST_AUTO_TEST_CASE(statementOfACutExpires)
{
    selector.recordLinks(start, "a2", true);
    BOOST_TEST(choose(start + absl::Seconds(4)) == "a2");
}

// Guards against a stopped or frozen entry that each call is sent to.
BOOST_AUTO_TEST_CASE(forwarderThatFailedIsAvoidedForAWhile)
{
    selector.recordFailure(start, "a2");
    BOOST_TEST(choose() == "b1");
    BOOST_TEST(choose(start + absl::Seconds(2)) == "a2");
}

// Guards against a forwarder that seems busy for good because its calls are not counted down.
BOOST_AUTO_TEST_CASE(endedCallsNoLongerCount)
{
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(choose() == "a2");
        selector.release("a2");
    }
}

BOOST_AUTO_TEST_SUITE_END()
