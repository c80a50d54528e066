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

// Guards against entries that share their first engine for suspects, so that one crash counts
// against the requests of both, and against an engine that no entry or several entries prefer.
BOOST_AUTO_TEST_CASE(everyEntryHasItsOwnEngineForSuspects)
{
    std::set<std::string> firstChoices;
    std::set<std::string> preferred;
    for (const std::string &entry : entries) {
        EngineAssignment assignment;
        assignment.setEntries(entry, entries);
        const std::vector<std::string> order = assignment.suspectOrder(engines);
        BOOST_TEST(std::set<std::string>(order.begin(), order.end()).size() == engines.size());
        firstChoices.insert(order.front());
        for (const std::string &engine : assignment.preferredEngines(engines))
            BOOST_TEST(preferred.insert(engine).second);
    }
    BOOST_TEST(firstChoices.size() == entries.size());
    BOOST_TEST(preferred.size() == engines.size());
}

// Guards against an entry that gets no engine because the entries outnumber the engines, or that
// fails when there are no engines.
BOOST_AUTO_TEST_CASE(everyEntryHasAnEngineWhenEntriesOutnumberEngines)
{
    for (const std::string &entry : entries) {
        EngineAssignment assignment;
        assignment.setEntries(entry, entries);
        BOOST_TEST(assignment.preferredEngines({"1", "2"}).size() == 1U);
        BOOST_TEST(assignment.suspectOrder({"1", "2"}).size() == 2U);
        BOOST_TEST(assignment.suspectOrder({}).empty());
    }
}

// Guards against overlapping windows of two groups, which would leave fewer engines without batch
// prefill, and against a group whose window never opens.
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

// Guards against a lost failure domain that makes suspects of all requests that ran there, and
// against two crashes in one domain by the same request that are treated as the loss of the domain.
BOOST_AUTO_TEST_CASE(lostDomainIsDistinguishedFromAPoisonRequest)
{
    CrashHistory history;
    BOOST_TEST(history.add({start, "1", "d", {"poison", "x"}}).empty());
    BOOST_TEST(history.add({start + absl::Seconds(1), "2", "d", {"poison"}}).empty());
    BOOST_TEST(history.add({start + absl::Seconds(1), "3", "other", {"y"}}).empty());
    BOOST_TEST(history.add({start + absl::Seconds(10), "4", "d", {"z"}}).empty());
    BOOST_TEST(history.add({start + absl::Seconds(11), "5", "d", {"w"}}).size() == 2U);
}

// Guards against tasks of a lost failure domain that are treated as suspects and therefore restart
// one at a time.
BOOST_FIXTURE_TEST_CASE(tasksOfALostDomainRestartConcurrently, SchedulerFixture)
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
    const std::size_t freeSlots = 16 - running.size();
    const auto restarts = filter<StartTask>(advance(absl::Milliseconds(100)));
    BOOST_TEST(restarts.size() >= std::min({lost, freeSlots, std::size_t{10}}));
}

BOOST_AUTO_TEST_SUITE_END()
