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

// Guards against one entry that forwards each call while others are idle, and against processes
// that are cut off at the same moment and all begin with the same entry.
BOOST_AUTO_TEST_CASE(equalForwardersTakeTurns)
{
    std::map<std::string, int> first;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        ForwarderSelector seeded(seed);
        seeded.setForwarders({{"1", "a", "1:1"}, {"2", "a", "2:1"}, {"3", "a", "3:1"}});
        std::map<std::string, int> calls;
        for (int i = 0; i < 6; ++i) {
            const auto chosen =
                    seeded.choose(start, "self", "a", [](const Forwarder &) { return true; });
            first[chosen->instance] += i == 0 ? 1 : 0;
            ++calls[chosen->instance];
            seeded.release(chosen->instance);
        }
        for (const char *instance : {"1", "2", "3"})
            BOOST_TEST(calls[instance] == 2);
    }
    for (const char *instance : {"1", "2", "3"})
        BOOST_TEST(first[instance] > 0);
}

BOOST_AUTO_TEST_SUITE_END()
