#include "crashhistory.h"
#include "engineassignment.h"
#include "prefillwindows.h"
#include "schedulerfixture.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace rattanrill;
using namespace rattanrill::policy;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
const std::vector<std::string> entries = {"a", "b", "c", "d", "e", "f"};
const std::vector<std::string> engines = {"1", "2", "3", "4", "5", "6", "7", "8", "9"};

} // namespace

BOOST_AUTO_TEST_SUITE(AssignmentTest)

// Guards against suspects of two entries on one engine, and against an entry that has none.
BOOST_AUTO_TEST_CASE(everyEntryHasItsOwnEngineForSuspects)
{
    std::set<std::string> firsts;
    std::set<std::string> preferred;
    for (const std::string &entry : entries) {
        EngineAssignment assignment;
        assignment.setEntries(entry, entries);
        const std::vector<std::string> order = assignment.suspectOrder(engines);
        BOOST_TEST(std::set<std::string>(order.begin(), order.end()).size() == engines.size());
        firsts.insert(order.front());
        for (const std::string &own : assignment.preferredEngines(engines))
            BOOST_TEST(preferred.insert(own).second);
    }
    BOOST_TEST(firsts.size() == entries.size());
    BOOST_TEST(preferred.size() == engines.size());
}

// Guards against an entry without an engine while there are more entries than engines.
BOOST_AUTO_TEST_CASE(moreEntriesThanEnginesShare)
{
    for (const std::string &entry : entries) {
        EngineAssignment assignment;
        assignment.setEntries(entry, entries);
        BOOST_TEST(assignment.preferredEngines({"1", "2"}).size() == 1U);
        BOOST_TEST(assignment.suspectOrder({"1", "2"}).size() == 2U);
        BOOST_TEST(assignment.suspectOrder({}).empty());
    }
}

// Guards against two groups in their window at once, and against a group that gets none.
BOOST_AUTO_TEST_CASE(exactlyOneGroupIsOpenAtATime)
{
    for (const double weight : {0.0, 0.5, 1.0}) {
        PrefillWindows windows(weight);
        windows.setClockOffset(absl::Milliseconds(-123456));
        std::set<std::size_t> opened;
        for (int i = 0; i < 300; ++i) {
            const absl::Time now = start + absl::Milliseconds(10 * i + 1);
            int open = 0;
            for (std::size_t group = 0; group < windows.groups(); ++group) {
                if (windows.isOpen(now, group)) {
                    ++open;
                    opened.insert(group);
                }
                BOOST_TEST((windows.nextOpening(now, group) > now));
            }
            BOOST_TEST(open == 1);
        }
        BOOST_TEST(opened.size() == windows.groups());
    }
}

// Guards against suspicion of all work in a lost failure domain, and against a poison request that
// clears itself by crashing two upstreams of one domain.
BOOST_AUTO_TEST_CASE(lostDomainIsToldFromAPoisonRequest)
{
    CrashHistory history;
    BOOST_TEST(history.add({start, "1", "d", {"poison", "x"}}).empty());
    BOOST_TEST(history.add({start + absl::Seconds(1), "2", "d", {"poison"}}).empty());
    BOOST_TEST(history.add({start + absl::Seconds(1), "3", "other", {"y"}}).empty());
    BOOST_TEST(history.add({start + absl::Seconds(10), "4", "d", {"z"}}).empty());
    BOOST_TEST(history.add({start + absl::Seconds(11), "5", "d", {"w"}}).size() == 2U);
}

// Guards against work of a lost domain that runs one at a time as if it were suspect.
BOOST_FIXTURE_TEST_CASE(workOfALostDomainRestartsTogether, SchedulerFixture)
{
    setEngines(4);
    for (int i = 0; i < 24; ++i)
        add(TaskKind::Online);
    decide();
    const auto before = running;
    std::size_t lost = 0;
    for (const std::string engine : {"engine-0", "engine-1"}) {
        for (const auto &[id, run] : before) {
            if (run.engine != engine)
                continue;
            fail(id, AttemptFailure::Kind::Crashed);
            ++lost;
        }
    }
    BOOST_TEST(lost >= 4U);
    const std::size_t places = 16 - running.size();
    const auto again = only<StartTask>(advance(absl::Milliseconds(100)));
    BOOST_TEST(again.size() >= std::min({lost, places, std::size_t{10}}));
}

BOOST_AUTO_TEST_SUITE_END()
