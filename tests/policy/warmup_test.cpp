#include "rattanrill/policy/warmup.h"

#include "rattanrill/policy/slotscheduler.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace rattanrill::policy;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
constexpr absl::Duration coldTime = absl::Seconds(8);
constexpr double rate = 3;

absl::Time at(double seconds)
{
    return start + absl::Seconds(seconds);
}

WarmUp makeWarmUp()
{
    WarmUp warmUp;
    warmUp.configure(start, {coldTime, rate});
    return warmUp;
}

/// Most times in one window of one second. \a times must be sorted.
std::size_t mostInOneSecond(const std::vector<absl::Time> &times)
{
    std::size_t most = 0;
    for (std::size_t first = 0, next = 0; first < times.size(); ++first) {
        while (next < times.size() && times[next] - times[first] < absl::Seconds(1))
            ++next;
        most = std::max(most, next - first);
    }
    return most;
}

} // namespace

BOOST_AUTO_TEST_SUITE(WarmUpTest)

// Guards against reports that prolong an episode although they only arrived late, and against an
// upstream that becomes cold again unnoticed.
BOOST_AUTO_TEST_CASE(laterReportsShortenTheEpisodeUnlessItIsANewOne)
{
    WarmUp warmUp = makeWarmUp();
    warmUp.recordListed(at(0), absl::Seconds(5), at(0));
    BOOST_TEST((warmUp.coldUntil() == at(5)));
    warmUp.recordReported(at(1), absl::Seconds(3));
    BOOST_TEST((warmUp.coldUntil() == at(4)));
    warmUp.recordListed(at(1.2), absl::Seconds(3.2), at(1));
    BOOST_TEST((warmUp.coldUntil() == at(4)));
    warmUp.recordReported(at(2), absl::Seconds(8));
    BOOST_TEST((warmUp.coldUntil() == at(10)));
    BOOST_TEST((warmUp.source() == ColdSource::Response));
    BOOST_TEST(warmUp.isCold(at(9.9)));
    BOOST_TEST(!warmUp.isCold(at(10)));
}

// Guards against an upstream that stays cold because the same list is set again.
BOOST_AUTO_TEST_CASE(sameListCountsOnce)
{
    WarmUp warmUp = makeWarmUp();
    warmUp.recordListed(at(0), absl::Seconds(2), at(0));
    warmUp.recordListed(at(1.9), absl::Seconds(2), at(0));
    BOOST_TEST(!warmUp.isCold(at(2)));
    warmUp.recordListed(at(3), absl::Seconds(2), at(3));
    BOOST_TEST(warmUp.isCold(at(4.9)));
    warmUp.recordListed(at(4), absl::ZeroDuration(), at(4));
    BOOST_TEST(!warmUp.isCold(at(4)));
}

// Guards against a restarted upstream that gets all requests because the list lags: it shows the
// upstream as warm, or as in the episode before.
BOOST_AUTO_TEST_CASE(suspicionHoldsUntilAReportOfTheNewEpisode)
{
    WarmUp warmUp = makeWarmUp();
    warmUp.recordListed(at(0), absl::Seconds(3), at(0));
    warmUp.suspect(at(1), "e");
    warmUp.recordListed(at(2), absl::Seconds(1), at(1.5));
    warmUp.recordListed(at(4), absl::ZeroDuration(), at(4));
    BOOST_TEST((warmUp.source() == ColdSource::Suspicion));
    BOOST_TEST((warmUp.coldUntil() == at(9)));
    warmUp.recordListed(at(5), absl::Seconds(3.5), at(5));
    BOOST_TEST((warmUp.coldUntil() == at(8.5)));
    warmUp.suspect(at(6), "e");
    warmUp.recordReported(at(6), absl::ZeroDuration());
    BOOST_TEST(!warmUp.isCold(at(6)));
}

// Guards against upstreams that count as cold because one process lost its links to all of them.
BOOST_AUTO_TEST_CASE(suspicionOfACutOffObserverIsDiscarded)
{
    WarmUp warmUp = makeWarmUp();
    warmUp.suspect(at(0), "e");
    warmUp.suspect(at(1), "f");
    warmUp.discard(at(2), "e");
    BOOST_TEST(warmUp.isCold(at(2)));
    warmUp.discard(at(2), "f");
    BOOST_TEST(!warmUp.isCold(at(2)));
}

// Guards against a bucket that is full when the episode begins, and against batch tasks that take
// the requests that online tasks need.
BOOST_AUTO_TEST_CASE(rateStartsEmptyAndBatchUsesWhatOnlineTasksLeave)
{
    WarmUp warmUp = makeWarmUp();
    BOOST_TEST(warmUp.allows(at(10), TaskKind::Batch));
    warmUp.recordReported(at(10), coldTime);
    BOOST_TEST(!warmUp.allows(at(10), TaskKind::Online));
    const absl::Time onlineAt = warmUp.nextAllowed(at(10), TaskKind::Online);
    BOOST_TEST((onlineAt > at(10.33) && onlineAt < at(10.34)));
    BOOST_TEST(warmUp.allows(onlineAt, TaskKind::Online));
    BOOST_TEST(!warmUp.allows(onlineAt, TaskKind::Batch));
    BOOST_TEST(warmUp.allows(warmUp.nextAllowed(at(10), TaskKind::Batch), TaskKind::Batch));
    warmUp.configure(at(10), {coldTime, 0});
    BOOST_TEST(!warmUp.allows(at(17.9), TaskKind::Online));
    BOOST_TEST((warmUp.nextAllowed(at(11), TaskKind::Online) == at(18)));
    BOOST_TEST(warmUp.allows(at(18), TaskKind::Online));
}

namespace {

/// Load pattern: a third of 12 upstreams returns cold at second 1, in the middle of a burst that
/// fills the other ones. Each step of 10 ms sends online requests, which hold a slot for 400 ms,
/// and a batch task. The list lags by 1 s; what shows the cold upstreams first is that nothing
/// responded there. Another scheduler takes over at second 4.
struct ColdReturn
{
    static constexpr int upstreams = 12;
    static constexpr std::int64_t slots = 4;
    static constexpr absl::Duration step = absl::Milliseconds(10);
    static constexpr absl::Duration holdTime = absl::Milliseconds(400);

    static std::string idOf(int index) { return std::to_string(index); }

    static void setUp(SlotScheduler &scheduler, std::optional<double> warmUpRate)
    {
        std::vector<SlotUpstream> list;
        for (int index = 0; index < upstreams; ++index)
            list.push_back({idOf(index), "s", "a:1", "d", slots});
        scheduler.setUpstreams(list);
        for (const SlotUpstream &upstream : list)
            scheduler.setWarmUp(at(0), upstream.id, {coldTime, warmUpRate});
    }

    void request(absl::Time now, TaskKind kind)
    {
        SlotTask task;
        task.id = std::to_string(number++);
        task.service = "s";
        task.kind = kind;
        task.deadline = now + absl::Milliseconds(200);
        scheduler->request(now, task);
    }

    void decide(absl::Time now)
    {
        for (const SlotDecision &decision : scheduler->decide(now)) {
            if (const auto *preempted = std::get_if<PreemptSlot>(&decision))
                running.erase(preempted->task);
            const auto *grant = std::get_if<GrantSlot>(&decision);
            if (grant == nullptr)
                continue;
            grants[grant->upstream].push_back(now);
            running[grant->task] = {grant->upstream, now};
        }
    }

    void release(absl::Time now)
    {
        for (auto entry = running.begin(); entry != running.end();) {
            const bool isDone = now - entry->second.second >= holdTime;
            if (isDone)
                scheduler->release(now, entry->first, ReleaseReason::Completed);
            entry = isDone ? running.erase(entry) : std::next(entry);
        }
    }

    std::size_t runningAt(const std::string &upstream) const
    {
        return static_cast<std::size_t>(
                std::count_if(running.begin(), running.end(),
                              [&](const auto &entry) { return entry.second.first == upstream; }));
    }

    bool hasWarmFreeSlot() const
    {
        for (int index = 0; index < upstreams; ++index) {
            if (index % 3 != 0 && runningAt(idOf(index)) < static_cast<std::size_t>(slots))
                return true;
        }
        return false;
    }

    /// Shows both schedulers a list with the remaining time of the upstreams that return.
    void showList(absl::Time now, absl::Duration remaining)
    {
        for (int index = 0; index < upstreams; index += 3) {
            for (SlotScheduler *each : {&first, &second})
                each->coldListed(now, idOf(index), remaining, now);
        }
    }

    /// Reports to both schedulers that nothing responds at the upstreams that return.
    void reportUnreachable(absl::Time now)
    {
        SlotTask task;
        task.id = "lost";
        task.service = "s";
        for (int index = 0; index < upstreams; index += 3) {
            for (SlotScheduler *each : {&first, &second}) {
                each->adopt(now, task, idOf(index));
                each->release(now, task.id, ReleaseReason::Unreachable, "e");
            }
        }
    }

    /// Difference between the numbers of requests at the upstreams that have returned.
    std::size_t imbalance() const
    {
        const auto [least, most] =
                std::minmax({runningAt("0"), runningAt("3"), runningAt("6"), runningAt("9")});
        return most - least;
    }

    /// Adopts the slots that the former scheduler granted.
    void takeOver(SlotScheduler &successor, absl::Time now)
    {
        successor.clearAccumulatedRequests(now);
        for (const auto &[id, slot] : running) {
            SlotTask task;
            task.id = id;
            task.service = "s";
            successor.adopt(now, task, slot.first);
        }
        scheduler = &successor;
    }

    SlotScheduler first{SlotSchedulerSettings()};
    SlotScheduler second{SlotSchedulerSettings()};
    SlotScheduler *scheduler = &first;
    std::map<std::string, std::vector<absl::Time>> grants;
    /// Upstream and time of the grant, by task.
    std::map<std::string, std::pair<std::string, absl::Time>> running;
    int number = 0;
};

} // namespace

// Guards against cold upstreams that get more than their rate in some second, also when another
// scheduler takes over; against requests that wait or are rejected while a warm upstream has a free
// slot; and against one upstream that gets most requests when all of them become warm at once.
BOOST_FIXTURE_TEST_CASE(coldReturnOfAThirdKeepsTheRateAndLeavesNoWarmSlotFree, ColdReturn)
{
    setUp(first, rate);
    setUp(second, rate);
    const absl::Time warmAt = at(1) + coldTime;
    std::map<std::string, std::vector<absl::Time>> coldGrants;
    int waitsBesideFreeSlots = 0;
    std::size_t largestImbalance = 0;
    reportUnreachable(at(1));
    for (absl::Time now = at(1); now < warmAt + absl::Seconds(1); now += step) {
        release(now);
        if (now > at(1) && (now - at(1)) % absl::Seconds(1) == absl::ZeroDuration())
            showList(now, std::max(warmAt - now, absl::ZeroDuration()));
        if (now == at(4))
            takeOver(second, now);
        // More than the warm upstreams carry.
        request(now, TaskKind::Online);
        request(now, TaskKind::Batch);
        decide(now);
        if (scheduler->waiting("s", TaskKind::Online) > 0 && hasWarmFreeSlot())
            ++waitsBesideFreeSlots;
        if (now < warmAt)
            coldGrants = grants;
        else
            largestImbalance = std::max(largestImbalance, imbalance());
    }
    for (int index = 0; index < upstreams; index += 3) {
        const auto most = static_cast<double>(mostInOneSecond(coldGrants[idOf(index)]));
        BOOST_TEST(most <= rate * 1.5 + 5);
        // The rate is used, too: at least half of it over the whole warm-up.
        BOOST_TEST(static_cast<double>(coldGrants[idOf(index)].size())
                   >= rate * absl::ToDoubleSeconds(coldTime) / 2);
        BOOST_TEST(grants[idOf(index)].size() > coldGrants[idOf(index)].size());
    }
    BOOST_TEST(waitsBesideFreeSlots == 0);
    BOOST_TEST(largestImbalance <= 1u);
    BOOST_TEST(first.warmUpWaits() > 0u);
}

// Guards against other decisions for a service without a warm-up rate because its upstreams report
// that they are cold.
BOOST_FIXTURE_TEST_CASE(withoutARateColdUpstreamsAreUsedAsBefore, ColdReturn)
{
    std::vector<std::map<std::string, std::vector<absl::Time>>> runs;
    for (const bool isReported : {false, true}) {
        SlotScheduler plain{SlotSchedulerSettings()};
        scheduler = &plain;
        grants.clear();
        running.clear();
        setUp(plain, std::nullopt);
        for (absl::Time now = at(0); now < at(3); now += step) {
            release(now);
            if (isReported)
                for (int index = 0; index < upstreams; index += 3)
                    plain.coldListed(now, idOf(index), coldTime, now);
            request(now, TaskKind::Online);
            request(now, TaskKind::Batch);
            decide(now);
        }
        runs.push_back(grants);
        BOOST_TEST(plain.coldUpstreams(at(2)).empty());
    }
    BOOST_TEST((runs[0] == runs[1]));
}

// Guards against waits that are counted although the cold upstream would not have got the task: it
// has another version, is excluded, or is avoided by the sender.
BOOST_AUTO_TEST_CASE(onlyWaitsForAColdUpstreamAreCounted)
{
    SlotScheduler scheduler{SlotSchedulerSettings()};
    scheduler.setUpstreams(
            {{"cold", "s", "a:1", "d", 4, false, "v1"}, {"full", "s", "a:2", "d", 1, false, "v2"}});
    scheduler.setWarmUp(at(0), "cold", {coldTime, 0});
    scheduler.coldReported(at(0), "cold", coldTime);
    SlotTask task;
    task.service = "s";
    task.sender = "e";
    task.deadline = at(20);
    const auto wait = [&](const std::string &id) {
        task.id = id;
        scheduler.request(at(0), task);
        scheduler.decide(at(0));
        return scheduler.warmUpWaits();
    };
    BOOST_TEST(wait("running") == 0u);
    task.excluded = {"cold"};
    BOOST_TEST(wait("excluding") == 0u);
    task.excluded.clear();
    scheduler.cancel("excluding");
    SlotTask lost;
    lost.id = "lost";
    lost.service = "s";
    scheduler.adopt(at(0), lost, "cold");
    scheduler.release(at(0), lost.id, ReleaseReason::Unreachable, "e");
    BOOST_TEST(wait("unreachable") == 0u);
    scheduler.cancel("unreachable");
    task.sender = "f";
    BOOST_TEST(wait("cold") == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
