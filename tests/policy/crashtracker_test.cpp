#include "rattanrill/policy/crashtracker.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace rattanrill::policy;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);

absl::Time at(int milliseconds)
{
    return start + absl::Milliseconds(milliseconds);
}

/// A request that was sent 50 ms before the crash.
RequestCrash crashAt(int milliseconds, const std::string &upstream, std::vector<std::string> parts)
{
    return {upstream, std::move(parts), at(milliseconds - 50), at(milliseconds)};
}

struct Fixture
{
    bool isBlocked(const std::vector<std::string> &parts) const
    {
        const TraitSet sorted(parts.begin(), parts.end());
        const auto blocks = tracker.blocks();
        return std::any_of(blocks.begin(), blocks.end(), [&](const CrashBlock &block) {
            return std::includes(sorted.begin(), sorted.end(), block.traits.begin(),
                                 block.traits.end());
        });
    }

    /// Three successive crashes of requests with \a parts, each at another upstream.
    void crashThreeTimes(const std::vector<std::string> &parts, int from = 0)
    {
        for (int i = 1; i <= 3; ++i)
            tracker.recordCrash(crashAt(from + i * 100, "u" + std::to_string(i), parts));
    }

    CrashTracker tracker{CrashTrackerSettings()};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrashTrackerTest, Fixture)

// Guards against a part that crashes one upstream after the other because no two of its requests
// are alike.
BOOST_AUTO_TEST_CASE(partIsBlockedWhateverElseItsRequestsHold)
{
    tracker.recordCrash(crashAt(100, "u1", {"a", "bad"}));
    tracker.recordCrash(crashAt(200, "u2", {"bad", "b"}));
    BOOST_TEST(!isBlocked({"bad"}));
    tracker.recordCrash(crashAt(300, "u3", {"c", "d", "bad"}));
    BOOST_TEST(isBlocked({"e", "bad"}));
    BOOST_TEST(!isBlocked({"a", "b", "c", "d"}));
}

// Guards against sound requests that are rejected because they share the first part with harmful
// ones: a response to the first part began between the crashes.
BOOST_AUTO_TEST_CASE(partThatBeganAResponseIsCleared)
{
    tracker.recordCrash(crashAt(100, "u1", {"first", "bad"}));
    tracker.recordCrash(crashAt(200, "u2", {"first", "bad"}));
    tracker.recordSound("first", at(250));
    tracker.recordCrash(crashAt(300, "u3", {"first", "bad"}));
    BOOST_TEST(isBlocked({"first", "bad"}));
    BOOST_TEST(isBlocked({"other", "bad"}));
    BOOST_TEST(!isBlocked({"first", "good"}));
}

// Guards against sound requests that are rejected because all harmful ones so far had another part
// of theirs, too.
BOOST_AUTO_TEST_CASE(partsThatAlwaysCameTogetherAreBlockedTogether)
{
    crashThreeTimes({"subject", "bad"});
    BOOST_TEST(isBlocked({"subject", "bad"}));
    BOOST_TEST(!isBlocked({"subject", "good"}));
    tracker.recordSound("subject", at(500));
    BOOST_TEST(isBlocked({"bad"}));
    BOOST_TEST(!isBlocked({"subject"}));
}

// Guards against a block by a delayed report, which has the crashes of a longer time before the
// responses that cleared their part.
BOOST_AUTO_TEST_CASE(laterReportOfAnEarlierResponseClearsThePart)
{
    crashThreeTimes({"first", "other"});
    tracker.recordSound("first", at(150));
    BOOST_TEST(!isBlocked({"first"}));
    BOOST_TEST(isBlocked({"other"}));
    BOOST_TEST(tracker.crashCount("first") == 2u);
}

// Guards against a block that stays although the part does not crash upstreams.
BOOST_AUTO_TEST_CASE(blockEndsWhenAllItsPartsAreCleared)
{
    crashThreeTimes({"a", "b"});
    BOOST_TEST(tracker.recordSound("a", at(500)));
    BOOST_TEST(tracker.recordSound("b", at(600)));
    BOOST_TEST(tracker.blocks().empty());
}

// Guards against a block after the loss of a failure domain, when the requests of many upstreams
// break at the same moment, and against crashes that several entries report.
BOOST_AUTO_TEST_CASE(crashesAtTheSameMomentCountOnce)
{
    for (int i = 0; i < 20; ++i)
        tracker.recordCrash(crashAt(100 + i, "u" + std::to_string(i), {"first"}));
    BOOST_TEST(tracker.crashCount("first") == 1u);
    BOOST_TEST(tracker.blocks().empty());
}

// Guards against evidence that counts twice because its report was repeated.
BOOST_AUTO_TEST_CASE(repeatedReportCountsOnce)
{
    for (int i = 0; i < 3; ++i)
        tracker.recordCrash(crashAt(100, "u1", {"a"}));
    BOOST_TEST(tracker.crashCount("a") == 1u);
}

// Guards against a block because of one upstream that breaks its connections.
BOOST_AUTO_TEST_CASE(crashesOfOneUpstreamDoNotBlock)
{
    for (int i = 1; i <= 5; ++i)
        tracker.recordCrash(crashAt(i * 100, "u1", {"a"}));
    BOOST_TEST(tracker.blocks().empty());
    tracker.recordCrash(crashAt(600, "u2", {"a"}));
    BOOST_TEST(isBlocked({"a"}));
}

// Guards against one of two harmful parts that is not found because both crash upstreams at the
// same time.
BOOST_AUTO_TEST_CASE(twoHarmfulPartsAreBothBlocked)
{
    for (int i = 1; i <= 3; ++i) {
        tracker.recordCrash(crashAt(i * 100, "u" + std::to_string(i), {"first", "bad"}));
        tracker.recordCrash(crashAt(i * 100 + 10, "v" + std::to_string(i), {"first", "worse"}));
        tracker.recordSound("first", at(i * 100 + 40));
    }
    BOOST_TEST(isBlocked({"bad"}));
    BOOST_TEST(isBlocked({"worse"}));
    BOOST_TEST(!isBlocked({"first"}));
}

// Guards against a part that a new leader releases.
BOOST_AUTO_TEST_CASE(restoredBlockStays)
{
    crashThreeTimes({"bad"});
    CrashTracker successor{CrashTrackerSettings()};
    successor.restore(at(1000), tracker.blocks());
    BOOST_TEST((successor.blocks() == tracker.blocks()));
    // Evidence from before the block does not clear it.
    successor.recordSound("bad", at(900));
    BOOST_TEST(successor.blocks().size() == 1u);
}

// Guards against evidence that does not count because several entries repeat it to a new leader, in
// any order.
BOOST_AUTO_TEST_CASE(crashesReportedOutOfOrderCount)
{
    tracker.recordCrash(crashAt(300, "u3", {"bad"}));
    tracker.recordCrash(crashAt(100, "u1", {"bad"}));
    tracker.recordCrash(crashAt(300, "u3", {"bad"}));
    tracker.recordCrash(crashAt(100, "u1", {"bad"}));
    BOOST_TEST(tracker.blocks().empty());
    tracker.recordCrash(crashAt(200, "u2", {"bad"}));
    BOOST_TEST(isBlocked({"bad"}));
}

// Guards against a sound request that stays blocked because upstreams crashed for other reasons
// each time it ran.
BOOST_AUTO_TEST_CASE(trialOfASoundRequestEndsItsBlock)
{
    crashThreeTimes({"sound"});
    BOOST_TEST(!tracker.recordRejected(at(3000), {"sound"}, "p"));
    BOOST_TEST(tracker.recordRejected(at(3300), {"sound"}, "p"));
    BOOST_TEST(tracker.blocks().front().trialProcess == "p");
    tracker.recordSound("sound", at(3400));
    BOOST_TEST(tracker.blocks().empty());
}

// Guards against trials that let a harmful request reach more than three upstreams after its third
// crash, also through other leaders and under another block.
BOOST_AUTO_TEST_CASE(trialsAreBounded)
{
    crashThreeTimes({"subject", "bad"});
    CrashTracker successor{CrashTrackerSettings()};
    successor.restore(at(400), tracker.blocks());
    int trials = 0;
    for (int second = 1; second < 120; ++second) {
        if (!successor.recordRejected(at(second * 1000), {"bad", "subject"}, "p"))
            continue;
        ++trials;
        // A second process does not get the trial that is open.
        BOOST_TEST(!successor.recordRejected(at(second * 1000 + 10), {"bad", "subject"}, "q"));
        successor.recordCrash(crashAt(second * 1000 + 100, "u", {"bad", "subject"}));
        BOOST_TEST(successor.blocks().front().trialProcess.empty());
    }
    BOOST_TEST(trials == 2);
    for (int crash = 0; crash < 3; ++crash)
        successor.recordCrash(crashAt(130000 + crash * 100, crash == 0 ? "u" : "v", {"bad"}));
    BOOST_TEST_REQUIRE(successor.blocks().size() == 1u);
    BOOST_TEST((successor.blocks().front().traits == TraitSet{"bad"}));
    BOOST_TEST(successor.blocks().front().trialsLeft == 0);
}

// Guards against a block without end because the process with the trial gets no such request.
BOOST_AUTO_TEST_CASE(trialWithoutResultEnds)
{
    crashThreeTimes({"sound"});
    BOOST_TEST(tracker.recordRejected(at(4000), {"sound"}, "p"));
    tracker.expire(at(13000));
    BOOST_TEST(tracker.blocks().front().trialProcess == "p");
    BOOST_TEST(tracker.expire(at(14000)));
    BOOST_TEST(tracker.blocks().front().trialProcess.empty());
    BOOST_TEST(!tracker.recordRejected(at(28000), {"sound"}, "q"));
    BOOST_TEST(tracker.recordRejected(at(29000), {"sound"}, "q"));
}

// Guards against memory that grows with the number of requests.
BOOST_AUTO_TEST_CASE(evidenceIsBounded)
{
    CrashTrackerSettings settings;
    settings.maxTraits = 10;
    settings.maxBlocks = 3;
    CrashTracker bounded{settings};
    for (int i = 0; i < 100; ++i) {
        const std::string part = "p" + std::to_string(i);
        for (int crash = 1; crash <= 3; ++crash)
            bounded.recordCrash(
                    crashAt(i * 1000 + crash * 100, "u" + std::to_string(crash), {part}));
    }
    BOOST_TEST(bounded.blocks().size() == 3u);
    BOOST_TEST(bounded.suspects().size() <= 10u);
    bounded.expire(at(0) + absl::Hours(2));
    BOOST_TEST(bounded.blocks().empty());
    BOOST_TEST(bounded.suspects().empty());
}

BOOST_AUTO_TEST_SUITE_END()
