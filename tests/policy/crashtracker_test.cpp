#include "rattanrill/policy/crashtracker.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <random>
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

    /// Rejects a request with \a traits at process q every second from \a from on, and returns the
    /// time until q gets a trial; a minute when it gets none.
    static absl::Duration timeToTrial(CrashTracker &tracker, absl::Time from,
                                      const TraitSet &traits)
    {
        for (absl::Duration wait; wait < absl::Minutes(1); wait += absl::Milliseconds(50)) {
            tracker.expire(from + wait);
            const bool isRejected = wait % absl::Seconds(1) == absl::ZeroDuration();
            if (isRejected && tracker.recordRejected(from + wait, traits, "q"))
                return wait;
        }
        return absl::Minutes(1);
    }

    /// Time within which a request that was blocked wrongly must get a trial.
    const absl::Duration trialWait = absl::Seconds(6);
    /// Time after a crash within which an open item must be at an upstream again.
    const absl::Duration maxItemWait = absl::Seconds(20);
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

// Guards against a block without end because the request of the trial gets no response.
BOOST_AUTO_TEST_CASE(trialWithoutResultEnds)
{
    crashThreeTimes({"sound"});
    BOOST_TEST(tracker.recordRejected(at(4000), {"sound"}, "p"));
    for (int second = 4; second <= 13; ++second) {
        tracker.recordTrial(at(second * 1000), {"sound"}, "p", 1, TrialState::Sent);
        tracker.expire(at(second * 1000));
    }
    BOOST_TEST(tracker.blocks().front().trialProcess == "p");
    tracker.recordTrial(at(13900), {"sound"}, "p", 1, TrialState::Sent);
    BOOST_TEST(tracker.expire(at(14000)));
    BOOST_TEST(tracker.blocks().front().trialsLeft == 1);
    BOOST_TEST(tracker.blocks().front().trialProcess.empty());
    BOOST_TEST(!tracker.recordRejected(at(28000), {"sound"}, "q"));
    BOOST_TEST(tracker.recordRejected(at(29000), {"sound"}, "q"));
}

// Guards against sound items that nothing works on for 25 s because the record of the block names a
// process that was lost with all others as the owner of the open trial.
BOOST_AUTO_TEST_CASE(trialOfAnOwnerThatWasLostWithTheLeaderEndsSoon)
{
    crashThreeTimes({"sound"});
    BOOST_TEST(tracker.recordRejected(at(4000), {"sound"}, "p"));
    CrashTracker successor{CrashTrackerSettings()};
    successor.restore(at(13000), tracker.blocks());
    BOOST_TEST(timeToTrial(successor, at(13000), {"sound"}) <= trialWait);
}

// Guards against the same when only the owner's process is lost.
BOOST_AUTO_TEST_CASE(trialOfAnOwnerThatWasLostAloneEndsSoon)
{
    crashThreeTimes({"sound"});
    BOOST_TEST(tracker.recordRejected(at(4000), {"sound"}, "p"));
    BOOST_TEST(timeToTrial(tracker, at(4000), {"sound"}) <= trialWait);
}

// Guards against a sound item that gets no trial in the time for open items after a loss of all
// processes, because upstreams that crashed for other reasons ended its first one.
BOOST_AUTO_TEST_CASE(trialAfterTheLossOfAllProcessesComesSoon)
{
    crashThreeTimes({"sound"});
    BOOST_TEST(tracker.recordRejected(at(4000), {"sound"}, "p"));
    tracker.recordCrash(crashAt(5000, "u4", {"sound"}));
    CrashTracker successor{CrashTrackerSettings()};
    successor.restore(at(6000), tracker.blocks());
    BOOST_TEST(timeToTrial(successor, at(6000), {"sound"}) <= trialWait);
}

// Guards against a sound item that loses its trial while it waits for a slot, also when the leader
// changes meanwhile.
BOOST_AUTO_TEST_CASE(trialThatWaitsToBeSentStaysOpen)
{
    crashThreeTimes({"sound"});
    BOOST_TEST(tracker.recordRejected(at(4000), {"sound"}, "p"));
    CrashTracker successor{CrashTrackerSettings()};
    successor.restore(at(5000), tracker.blocks());
    for (int second = 7; second < 60; second += 2) {
        successor.recordTrial(at(second * 1000), {"sound"}, "p", 1, TrialState::Waiting);
        successor.expire(at(second * 1000));
        BOOST_TEST(!successor.recordRejected(at(second * 1000), {"sound"}, "q"));
    }
    BOOST_TEST(successor.blocks().front().trialProcess == "p");
    successor.recordTrial(at(60000), {"sound"}, "p", 1, TrialState::Sent);
    successor.recordSound("sound", at(61000));
    BOOST_TEST(successor.blocks().empty());
}

// Guards against trials that are used up although their owners sent no request, and against a
// repeated report that returns a later trial of the same process.
BOOST_AUTO_TEST_CASE(returnedTrialDoesNotCount)
{
    crashThreeTimes({"sound"});
    for (int number = 1; number <= 5; ++number) {
        const absl::Time now = at(4000 + number * 1000);
        BOOST_TEST(tracker.recordRejected(now, {"sound"}, "p"));
        BOOST_TEST(!tracker.recordTrial(now, {"sound"}, "p", number - 1, TrialState::Returned));
        BOOST_TEST(!tracker.recordTrial(now, {"sound"}, "q", number, TrialState::Returned));
        BOOST_TEST(tracker.blocks().front().trialsLeft == 1);
        BOOST_TEST(tracker.recordTrial(now, {"sound"}, "p", number, TrialState::Returned));
        BOOST_TEST(tracker.blocks().front().trialsLeft == 2);
    }
}

// Guards against a harmful request that is sent without end because each owner of a trial is lost,
// also over changes of the leader.
BOOST_AUTO_TEST_CASE(lossesOfOwnersGiveOneFurtherTrial)
{
    crashThreeTimes({"bad"});
    std::vector<CrashBlock> record = tracker.blocks();
    int trials = 0;
    for (int minute = 1; minute < 20; ++minute) {
        CrashTracker successor{CrashTrackerSettings()};
        successor.restore(at(minute * 60000), record);
        if (timeToTrial(successor, at(minute * 60000), {"bad"}) < absl::Minutes(1))
            ++trials;
        record = successor.blocks();
    }
    BOOST_TEST(trials == 3);
}

// Guards against an accepted item that is sent to no upstream any more after its trials have met
// crashes of other causes, also with a leader that has the block from the records.
BOOST_AUTO_TEST_CASE(itemGetsTrialsUntilItRuns)
{
    crashThreeTimes({"item"});
    absl::Time now = at(300);
    for (int trial = 0; trial < 10; ++trial) {
        const absl::Time crashed = now;
        while (!tracker.recordRejected(now, {"item"}, "p", TaskKind::Batch))
            now += absl::Seconds(1);
        BOOST_TEST((now - crashed) <= maxItemWait);
        now += absl::Milliseconds(100);
        tracker.recordCrash({"u", {"item"}, now - absl::Milliseconds(50), now});
        if (trial == 5)
            tracker.restore(now, std::vector<CrashBlock>(tracker.blocks()));
    }
    BOOST_TEST(tracker.blocks().front().crashedItemTrials == 10);
    BOOST_TEST(tracker.blocks().front().trialsLeft == 2);
}

// Guards against online requests that reach more upstreams than allowed because an item with the
// same traits is tried, and against items that use up their trials.
BOOST_AUTO_TEST_CASE(itemTrialsDoNotChangeTheNumberOfOnlineOnes)
{
    crashThreeTimes({"shared"});
    int online = 0;
    for (int second = 1; second < 600; ++second) {
        const absl::Time now = at(second * 1000);
        const bool isItem = second % 3 != 0;
        tracker.expire(now);
        if (!tracker.recordRejected(now, {"shared"}, "p",
                                    isItem ? TaskKind::Batch : TaskKind::Online))
            continue;
        online += isItem ? 0 : 1;
        const int number = tracker.blocks().front().trialNumber;
        // A third of the trials is returned, the owner of another third is lost.
        if (isItem && number % 3 == 0)
            tracker.recordTrial(now, {"shared"}, "p", number, TrialState::Returned);
        else if (!isItem || number % 3 == 1)
            tracker.recordCrash(crashAt(second * 1000 + 100, "u", {"shared"}));
    }
    BOOST_TEST(online == 2);
}

// Guards against a job of harmful items that takes down one upstream after the other, and against
// a sound item that never has its turn among them.
BOOST_AUTO_TEST_CASE(repeatedItemTrialsTakeTurns)
{
    const std::vector<std::string> items = {"a", "b", "c", "d", "e", "f", "g", "h"};
    for (std::size_t i = 0; i < items.size(); ++i)
        crashThreeTimes({items[i]}, static_cast<int>(i) * 1000);
    std::map<std::string, int> trials;
    std::vector<absl::Time> repeated;
    for (int second = 10; second < 200; ++second) {
        for (std::size_t i = 0; i < items.size(); ++i) {
            const int ms = second * 1000 + static_cast<int>(i) * 10;
            if (!tracker.recordRejected(at(ms), {items[i]}, "p", TaskKind::Batch))
                continue;
            if (++trials[items[i]] > 2)
                repeated.push_back(at(ms));
            tracker.recordCrash(crashAt(ms + 100, "u", {items[i]}));
        }
    }
    for (std::size_t i = 1; i < repeated.size(); ++i)
        BOOST_TEST((repeated[i] - repeated[i - 1]) >= CrashTrackerSettings().repeatedTrialPeriod);
    BOOST_TEST(repeated.size() >= 50u);
    const auto [fewest, most] = std::minmax_element(
            trials.begin(), trials.end(),
            [](const auto &left, const auto &right) { return left.second < right.second; });
    BOOST_TEST(most->second - fewest->second <= 1);
}

// Guards against an item that waits for long because an online request preempted its trial.
BOOST_AUTO_TEST_CASE(itemTrialWithoutResultIsRepeatedSoon)
{
    crashThreeTimes({"item"});
    BOOST_TEST(tracker.recordRejected(at(4000), {"item"}, "p", TaskKind::Batch));
    for (int second = 4; second <= 14; ++second) {
        tracker.recordTrial(at(second * 1000), {"item"}, "p", 1, TrialState::Sent);
        tracker.expire(at(second * 1000));
    }
    BOOST_TEST(!tracker.recordRejected(at(16000), {"item"}, "p", TaskKind::Batch));
    BOOST_TEST(tracker.recordRejected(at(17000), {"item"}, "p", TaskKind::Batch));
}

namespace {

/// A harmful request at several processes, each of which learns the recorded blocks with a delay,
/// under random losses of processes, changes of the leader and delayed reports.
class TrialSimulation
{
public:
    explicit TrialSimulation(unsigned seed)
        : m_random(seed)
    {
        for (int i = 1; i <= 3; ++i)
            m_tracker.recordCrash(crashAt(i * 100, "u" + std::to_string(i), {"bad"}));
        m_record = m_tracker.blocks();
    }

    void step()
    {
        m_now += absl::Milliseconds(pick(1000));
        m_tracker.expire(m_now);
        static constexpr std::array<void (TrialSimulation::*)(const std::string &), 12> actions = {
                &TrialSimulation::reject,       &TrialSimulation::reject,
                &TrialSimulation::record,       &TrialSimulation::record,
                &TrialSimulation::learn,        &TrialSimulation::learn,
                &TrialSimulation::send,         &TrialSimulation::send,
                &TrialSimulation::report,       &TrialSimulation::returnTrial,
                &TrialSimulation::repeatReport, &TrialSimulation::lose};
        const std::size_t action = pick(actions.size());
        (this->*actions[action])(m_processes[pick(m_processes.size())]);
    }

    int sent() const { return m_sent; }

private:
    /// A trial as its owner knows it.
    struct Trial
    {
        int number = 0;
        TrialState state = TrialState::Waiting;
    };

    struct Report
    {
        std::string process;
        Trial trial;
    };

    /// Returns a random number below \a count.
    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(m_random);
    }

    void reject(const std::string &process) { m_tracker.recordRejected(m_now, {"bad"}, process); }

    void record(const std::string &) { m_record = m_tracker.blocks(); }

    /// The owner of the recorded trial learns of it.
    void learn(const std::string &)
    {
        const CrashBlock &block = m_record.front();
        Trial &trial = m_trials[block.trialProcess];
        if (block.trialNumber != trial.number)
            trial = {block.trialNumber, TrialState::Waiting};
    }

    /// May happen long after the leader has ended the trial. The report of the crash may be lost.
    void send(const std::string &process)
    {
        Trial &trial = m_trials[process];
        if (trial.number == 0 || trial.state != TrialState::Waiting)
            return;
        trial.state = TrialState::Sent;
        ++m_sent;
        if (pick(2) == 0)
            m_tracker.recordCrash({"u", {"bad"}, m_now, m_now + absl::Milliseconds(1)});
    }

    void report(const std::string &process)
    {
        const Trial trial = m_trials[process];
        m_reports.push_back({process, trial});
        m_tracker.recordTrial(m_now, {"bad"}, process, trial.number, trial.state);
    }

    void returnTrial(const std::string &process)
    {
        Trial &trial = m_trials[process];
        if (trial.state == TrialState::Waiting && pick(4) == 0)
            trial.state = TrialState::Returned;
        report(process);
    }

    void repeatReport(const std::string &)
    {
        if (m_reports.empty())
            return;
        const Report &report = m_reports[pick(m_reports.size())];
        m_tracker.recordTrial(m_now, {"bad"}, report.process, report.trial.number,
                              report.trial.state);
    }

    /// Loses the leader, one process or all processes.
    void lose(const std::string &process)
    {
        const std::size_t kind = pick(9);
        if (kind == 0)
            return m_tracker.restore(m_now, m_record);
        if (kind == 1)
            return restart(process);
        if (kind > 2)
            return;
        for (const std::string &each : std::vector<std::string>(m_processes))
            restart(each);
        m_tracker.restore(m_now, m_record);
    }

    /// A restarted process has another id and no trial.
    void restart(const std::string &process)
    {
        m_trials.erase(process);
        std::replace(m_processes.begin(), m_processes.end(), std::string(process),
                     "p" + std::to_string(++m_lastProcess));
    }

    std::mt19937 m_random;
    CrashTracker m_tracker{CrashTrackerSettings()};
    absl::Time m_now = at(400);
    /// Blocks that the fleet group has recorded, from which processes learn and leaders start.
    std::vector<CrashBlock> m_record;
    std::map<std::string, Trial> m_trials;
    std::vector<Report> m_reports;
    std::vector<std::string> m_processes = {"p1", "p2", "p3"};
    int m_lastProcess = 3;
    int m_sent = 0;
};

} // namespace

// Guards against more than three retries of a harmful request in any order of losses and reports.
BOOST_AUTO_TEST_CASE(retriesAreBoundedUnderRandomLosses)
{
    int most = 0;
    for (unsigned seed = 1; seed <= 500; ++seed) {
        TrialSimulation simulation(seed);
        for (int step = 0; step < 400; ++step)
            simulation.step();
        BOOST_TEST_INFO("seed " << seed);
        BOOST_TEST(simulation.sent() <= 3);
        most = std::max(most, simulation.sent());
    }
    BOOST_TEST(most == 3);
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
