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
        wire::CrashEvidence evidence;
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
                     [this](const wire::CrashEvidence &evidence, std::function<void(bool)> done) {
                         reports.push_back({evidence, std::move(done)});
                     }};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrashGuardTest, Fixture)

// Guards against a harmful request that runs, and against sound ones that are rejected, because
// only a part of a blocked combination is compared.
BOOST_AUTO_TEST_CASE(promptWithAllPartsOfABlockIsBlocked)
{
    guard.setBlocks(1, {{{"x", "y"}}, {{"z"}}}, {});
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
    guard.recordSound({"a", "b"});
    BOOST_TEST(reports.empty());
    guard.setBlocks(1, {}, {"a"});
    guard.recordSound({"a", "b"});
    BOOST_TEST_REQUIRE(reports.size() == 1u);
    BOOST_TEST(reports.front().evidence.begun.size() == 1u);
    answer(true);
    // The parts of a crash that this process has reported are suspects until a response begins.
    guard.recordCrash("u1", {"c"}, clock.now(), clock.now());
    answer(true);
    guard.recordSound({"c"});
    BOOST_TEST_REQUIRE(reports.size() == 1u);
    BOOST_TEST(reports.front().evidence.begun.front().part == "c");
    answer(true);
    guard.recordSound({"c"});
    BOOST_TEST(reports.empty());
}

// Guards against evidence that is lost with the leader: crashes below the limit exist only in its
// memory.
BOOST_AUTO_TEST_CASE(receivedCrashesAreRepeatedToANewLeader)
{
    guard.setBlocks(1, {}, {});
    guard.recordCrash("u1", {"a", "b"}, clock.now() - absl::Milliseconds(20), clock.now());
    answer(true);
    timers.advance(absl::Seconds(2));
    guard.recordSound({"b"});
    answer(true);
    guard.setBlocks(1, {}, {});
    BOOST_TEST(reports.empty());
    guard.setBlocks(2, {}, {});
    BOOST_TEST_REQUIRE(reports.size() == 1u);
    const auto &crashes = reports.front().evidence.crashes;
    BOOST_TEST_REQUIRE(crashes.size() == 1u);
    BOOST_TEST(crashes.front().crashAgeMs == 2000);
    // A response cleared the other trait, which the new leader cannot know.
    BOOST_TEST((crashes.front().promptParts == std::vector<std::string>{"a"}));
}

// Guards against a trial that runs in another process or more than once, also after the same
// process received the blocks again.
BOOST_AUTO_TEST_CASE(trialRunsOnceInTheNamedProcess)
{
    guard.setBlocks(1, {{{"a"}, 2, ""}}, {"a"});
    BOOST_TEST(guard.isBlocked({"a", "x"}));
    BOOST_TEST_REQUIRE(reports.size() == 1u);
    const std::string process = reports.front().evidence.process;
    BOOST_TEST(reports.front().evidence.rejected.size() == 1u);
    answer(true);
    guard.setBlocks(1, {{{"a"}, 1, "other"}}, {"a"});
    BOOST_TEST(guard.isBlocked({"a"}));
    guard.setBlocks(1, {{{"a"}, 0, process}}, {"a"});
    BOOST_TEST(!guard.isBlocked({"a"}));
    guard.recordSent({"a"});
    BOOST_TEST(guard.isBlocked({"a"}));
    guard.setBlocks(1, {{{"a"}, 0, process}}, {"a"});
    BOOST_TEST(guard.isBlocked({"a"}));
    guard.setBlocks(1, {{{"a"}, 0, ""}}, {"a"});
    guard.recordCancelled({"a"});
    BOOST_TEST(guard.isBlocked({"a"}));
}

// Guards against a sound item that is held for an hour because an online request took the slot of
// its trial.
BOOST_AUTO_TEST_CASE(cancelledTrialIsRepeated)
{
    guard.setBlocks(1, {{{"a"}, 1, ""}}, {"a"});
    BOOST_TEST(guard.isBlocked({"a"}));
    const std::string process = reports.front().evidence.process;
    guard.setBlocks(1, {{{"a"}, 0, process}}, {"a"});
    guard.recordSent({"a"});
    guard.recordCancelled({"a"});
    BOOST_TEST(!guard.isBlocked({"a"}));
}

// Guards against a sound item that loses its trial while it waits for a slot, and against a trial
// of a lost process that nobody ends: the owner repeats what it knows, also to a new leader.
BOOST_AUTO_TEST_CASE(ownerRepeatsTheStateOfItsTrial)
{
    guard.setBlocks(1, {{{"a"}, 2, ""}}, {"a"});
    BOOST_TEST(guard.isBlocked({"a"}));
    const std::string process = reports.front().evidence.process;
    answer(true);
    guard.setBlocks(1, {{{"a"}, 1, process, 1}}, {"a"});
    for (int second = 0; second < 20; ++second) {
        BOOST_TEST(!guard.isBlocked({"a"}));
        timers.advance(absl::Seconds(1));
        BOOST_TEST_REQUIRE(reports.size() == 1u);
        BOOST_TEST_REQUIRE(reports.front().evidence.trials.size() == 1u);
        const wire::TrialReport &trial = reports.front().evidence.trials.front();
        BOOST_TEST((trial.parts == std::vector<std::string>{"a"}));
        BOOST_TEST(trial.trialNumber == 1);
        BOOST_TEST((!trial.isSent && !trial.isReturned));
        // A report that was not received is repeated before the next period.
        answer(false);
        timers.advance(absl::Milliseconds(60));
        BOOST_TEST_REQUIRE(reports.size() == 1u);
        BOOST_TEST(reports.front().evidence.trials.size() == 1u);
        answer(true);
        guard.setBlocks(1 + second % 2, {{{"a"}, 1, process, 1}}, {"a"});
    }
    guard.recordSent({"a"});
    timers.advance(absl::Seconds(1));
    BOOST_TEST_REQUIRE(reports.size() == 1u);
    BOOST_TEST(reports.front().evidence.trials.front().isSent);
    answer(true);
    guard.setBlocks(20, {}, {});
    timers.advance(absl::Seconds(5));
    BOOST_TEST(reports.empty());
}

// Guards against a trial that is used up, or kept from other processes, because its owner gets no
// further request. A trial that was returned is not sent, also after another request was cancelled,
// but the process may get the next one.
BOOST_AUTO_TEST_CASE(trialThatNoRequestNeedsIsReturned)
{
    guard.setBlocks(1, {{{"a"}, 2, ""}}, {"a"});
    BOOST_TEST(guard.isBlocked({"a"}));
    const std::string process = reports.front().evidence.process;
    answer(true);
    guard.setBlocks(1, {{{"a"}, 1, process, 1}}, {"a"});
    for (int second = 1; second <= 6; ++second) {
        timers.advance(absl::Seconds(1));
        BOOST_TEST_REQUIRE(reports.size() == 1u);
        BOOST_TEST_REQUIRE(reports.front().evidence.trials.size() == 1u);
        BOOST_TEST(reports.front().evidence.trials.front().isReturned == (second >= 4));
        answer(true);
    }
    guard.recordCancelled({"a"});
    guard.setBlocks(1, {{{"a"}, 1, process, 1}}, {"a"});
    BOOST_TEST(guard.isBlocked({"a"}));
    guard.setBlocks(1, {{{"a"}, 1, process, 2}}, {"a"});
    BOOST_TEST(!guard.isBlocked({"a"}));
}

// Guards against a trial that is sent twice because an outdated list names its owner again.
BOOST_AUTO_TEST_CASE(outdatedListReopensNoTrial)
{
    guard.setBlocks(1, {{{"a"}, 2, ""}}, {"a"});
    BOOST_TEST(guard.isBlocked({"a"}));
    const std::string process = reports.front().evidence.process;
    answer(true);
    guard.setBlocks(1, {{{"a"}, 1, process, 1}}, {"a"});
    guard.recordSent({"a"});
    guard.setBlocks(1, {{{"a"}, 2, "", 1, true}}, {"a"});
    guard.recordCancelled({"a"});
    BOOST_TEST(guard.isBlocked({"a"}));
    guard.setBlocks(1, {{{"a"}, 1, process, 1}}, {"a"});
    BOOST_TEST(guard.isBlocked({"a"}));
    timers.advance(absl::Seconds(2));
    answer(true);
    BOOST_TEST_REQUIRE(reports.size() == 1u);
    BOOST_TEST(!reports.front().evidence.trials.front().isReturned);
    answer(true);
    guard.setBlocks(1, {{{"a"}, 1, process, 2}}, {"a"});
    BOOST_TEST(!guard.isBlocked({"a"}));
}

// Guards against a trial whose cancelled request counts as never sent: it may have reached any
// number of upstreams.
BOOST_AUTO_TEST_CASE(cancelledTrialIsNotReturned)
{
    guard.setBlocks(1, {{{"a"}, 2, ""}}, {"a"});
    BOOST_TEST(guard.isBlocked({"a"}));
    const std::string process = reports.front().evidence.process;
    answer(true);
    guard.setBlocks(1, {{{"a"}, 1, process, 1}}, {"a"});
    guard.recordSent({"a"});
    guard.recordCancelled({"a"});
    timers.advance(absl::Seconds(8));
    BOOST_TEST_REQUIRE(reports.size() == 1u);
    BOOST_TEST(reports.front().evidence.trials.front().isSent);
    BOOST_TEST(!reports.front().evidence.trials.front().isReturned);
}

// Guards against a message for each rejected request.
BOOST_AUTO_TEST_CASE(rejectionsAreReportedOnceASecondWhileTrialsAreLeft)
{
    guard.setBlocks(1, {{{"a"}, 1, ""}, {{"b"}, 0, ""}}, {});
    for (int i = 0; i < 100; ++i)
        guard.isBlocked({"a", "b"});
    BOOST_TEST_REQUIRE(reports.size() == 1u);
    BOOST_TEST(reports.front().evidence.rejected.size() == 1u);
    answer(true);
    BOOST_TEST(reports.empty());
    timers.advance(absl::Seconds(1));
    guard.isBlocked({"a"});
    BOOST_TEST(reports.size() == 1u);
}

// Guards against an item that no leader knows of, because the block has no trial of online requests
// left.
BOOST_AUTO_TEST_CASE(rejectedItemsAreReportedWithoutTrialsLeft)
{
    guard.setBlocks(1, {{{"a"}, 0, ""}}, {});
    BOOST_TEST(guard.isBlocked({"a"}, policy::TaskKind::Batch));
    BOOST_TEST_REQUIRE(reports.size() == 1u);
    BOOST_TEST_REQUIRE(reports.front().evidence.rejected.size() == 1u);
    BOOST_TEST(reports.front().evidence.rejected.front().isForItem);
    BOOST_TEST((reports.front().evidence.rejected.front().parts == std::vector<std::string>{"a"}));
}

// Guards against a repeated request that is not recognized, and against different requests that
// are taken for one.
BOOST_AUTO_TEST_CASE(fingerprintCoversWorkspaceResourceAndBody)
{
    net::Request request;
    request.method = "POST";
    request.target = "/p?q";
    request.body = "body";
    request.headers.add("Host", "h");
    request.headers.add("Id", "1");
    const CrashTraits traits = crashTraits("w", request, {"part"});
    BOOST_TEST((traits.suspects(false) == std::vector<std::string>{"part", traits.fingerprint}));
    BOOST_TEST((traits.suspects(true) == std::vector<std::string>{traits.fingerprint}));
    net::Request repeated = request;
    repeated.headers.set("Id", "2");
    BOOST_TEST(crashTraits("w", repeated, {}).fingerprint == traits.fingerprint);
    BOOST_TEST(crashTraits("v", request, {}).fingerprint != traits.fingerprint);
    for (const auto change : {&net::Request::method, &net::Request::target, &net::Request::body}) {
        net::Request other = request;
        (other.*change) += "x";
        BOOST_TEST(crashTraits("w", other, {}).fingerprint != traits.fingerprint);
    }
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
