#include "rattanrill/serving/crashguard.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <string>
#include <utility>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::serving;

namespace {

struct Fixture
{
    struct Report
    {
        wire::PromptEvidence evidence;
        std::function<void(bool)> done;
    };

    /// Answers the oldest open report.
    void answer(bool isReceived)
    {
        const Report report = reports.front();
        reports.erase(reports.begin());
        report.done(isReceived);
    }

    ManualClock clock;
    ManualTimerService timers{clock};
    std::vector<Report> reports;
    CrashGuard guard{timers, clock, "e",
                     [this](const wire::PromptEvidence &evidence, std::function<void(bool)> done) {
                         reports.push_back({evidence, std::move(done)});
                     }};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrashGuardTest, Fixture)

// Guards against a harmful request that runs, and against sound ones that are rejected, because
// only a part of a blocked combination is compared.
BOOST_AUTO_TEST_CASE(promptWithAllPartsOfABlockIsBlocked)
{
    guard.setBlocks({{{"x", "y"}}, {{"z"}}}, {});
    BOOST_TEST(guard.isBlocked({"y", "a", "x"}));
    BOOST_TEST(guard.isBlocked({"z"}));
    BOOST_TEST(!guard.isBlocked({"x", "a"}));
    BOOST_TEST(!guard.isBlocked({}));
}

// Guards against evidence that is lost because the leader of the fleet group does not respond: it
// is reported again, with its age, until it has been received.
BOOST_AUTO_TEST_CASE(evidenceIsReportedUntilItIsReceived)
{
    guard.recordCrash("u1", {"a"}, clock.now() - absl::Milliseconds(20), clock.now());
    BOOST_TEST_REQUIRE(reports.size() == 1u);
    answer(false);
    guard.recordCrash("u2", {"b"}, clock.now(), clock.now());
    timers.advance(absl::Milliseconds(500));
    BOOST_TEST_REQUIRE(reports.size() == 1u);
    const auto &crashes = reports.front().evidence.crashes;
    BOOST_TEST_REQUIRE(crashes.size() == 2u);
    BOOST_TEST(crashes.front().upstream == "u1");
    BOOST_TEST(crashes.front().crashAgeMs >= 50);
    BOOST_TEST(crashes.front().sentAgeMs - crashes.front().crashAgeMs == 20);
    answer(true);
    timers.advance(absl::Seconds(5));
    BOOST_TEST(reports.empty());
}

// Guards against sound parts that stay suspects because nobody reports that their responses begin,
// and against a report for each response.
BOOST_AUTO_TEST_CASE(onlyResponsesToSuspectsAreReported)
{
    guard.recordBegun({"a", "b"});
    BOOST_TEST(reports.empty());
    guard.setBlocks({}, {"a"});
    guard.recordBegun({"a", "b"});
    BOOST_TEST_REQUIRE(reports.size() == 1u);
    BOOST_TEST(reports.front().evidence.begun.size() == 1u);
    answer(true);
    // The parts of a crash that this process has reported are suspects until a response begins.
    guard.recordCrash("u1", {"c"}, clock.now(), clock.now());
    answer(true);
    guard.recordBegun({"c"});
    BOOST_TEST_REQUIRE(reports.size() == 1u);
    BOOST_TEST(reports.front().evidence.begun.front().part == "c");
    answer(true);
    guard.recordBegun({"c"});
    BOOST_TEST(reports.empty());
}

// Guards against memory that grows while the leader of the fleet group cannot be reached.
BOOST_AUTO_TEST_CASE(pendingEvidenceIsBounded)
{
    for (int i = 0; i < 2000; ++i)
        guard.recordCrash("u", {std::to_string(i)}, clock.now(), clock.now());
    answer(false);
    timers.advance(absl::Seconds(1));
    BOOST_TEST(reports.front().evidence.crashes.size() == 256u);
}

BOOST_AUTO_TEST_SUITE_END()
