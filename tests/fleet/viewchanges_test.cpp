#include "rattanrill/fleet/viewchanges.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

using namespace rattanrill::fleet;

BOOST_AUTO_TEST_SUITE(ViewChangesTest)

// Guards against a change that a member misses, or receives with each poll.
BOOST_AUTO_TEST_CASE(onlyTheLastChangeOfAKeyCounts)
{
    ViewChanges changes;
    changes.record("a", 1);
    changes.record("b", 2);
    changes.record("a", 3);
    BOOST_TEST(changes.keysSince(0) == (std::vector<std::string>{"b", "a"}),
               boost::test_tools::per_element());
    BOOST_TEST(changes.keysSince(2) == std::vector<std::string>{"a"},
               boost::test_tools::per_element());
    BOOST_TEST(changes.keysSince(3).empty());
}

// Guards against a member that keeps an entry for good because its removal was forgotten.
BOOST_AUTO_TEST_CASE(forgottenChangesAreNotComplete)
{
    ViewChanges changes(2);
    changes.record("a", 1);
    changes.record("b", 2);
    BOOST_TEST(changes.isCompleteSince(0));
    changes.record("c", 3);
    BOOST_TEST(!changes.isCompleteSince(0));
    BOOST_TEST(changes.isCompleteSince(1));
    changes.reset(7);
    BOOST_TEST(!changes.isCompleteSince(6));
    BOOST_TEST(changes.isCompleteSince(7));
}

BOOST_AUTO_TEST_SUITE_END()
