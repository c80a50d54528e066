#include "rattanrill/policy/requestlimit.h"

#include "rattanrill/policy/slotscheduler.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <variant>
#include <vector>

using namespace rattanrill::policy;

namespace {

const absl::Time start = absl::FromUnixSeconds(1000);
constexpr absl::Duration window = absl::Seconds(4);
constexpr absl::Duration step = absl::Milliseconds(10);

/// Most requests in one window. \a times must be sorted.
double mostInOneWindow(const std::vector<absl::Time> &times)
{
    std::size_t most = 0;
    for (std::size_t first = 0, next = 0; first < times.size(); ++first) {
        while (next < times.size() && times[next] - times[first] < window)
            ++next;
        most = std::max(most, next - first);
    }
    return static_cast<double>(most);
}

/// Number of requests that an upstream may get in a window from all senders together.
double allowedInOneWindow(double limit)
{
    return 1.5 * limit * absl::ToDoubleSeconds(window) + 5;
}

/// Two upstreams "a" and "b" of 8 slots, with requests that hold a slot for one step.
struct Fixture
{
    Fixture() { scheduler.setUpstreams({upstream("a"), upstream("b")}); }

    static SlotUpstream upstream(const std::string &id)
    {
        SlotUpstream result;
        result.id = id;
        result.service = "s";
        result.slots = 8;
        return result;
    }

    void request(absl::Time now, TaskKind kind = TaskKind::Online,
                 absl::Duration patience = absl::Milliseconds(200))
    {
        SlotTask task;
        task.id = std::to_string(number++);
        task.service = "s";
        task.kind = kind;
        task.deadline = now + patience;
        scheduler.request(now, task);
    }

    void decide(absl::Time now)
    {
        for (const SlotDecision &decision : scheduler.decide(now)) {
            rejected += std::holds_alternative<RejectSlot>(decision) ? 1 : 0;
            const auto *grant = std::get_if<GrantSlot>(&decision);
            if (grant == nullptr)
                continue;
            grants[grant->upstream].push_back(now);
            running.push_back(grant->task);
        }
    }

    /// Ends all running requests.
    void release(absl::Time now, ReleaseReason reason = ReleaseReason::Completed)
    {
        for (const std::string &task : running)
            scheduler.release(now, task, reason);
        running.clear();
    }

    SlotScheduler scheduler{SlotSchedulerSettings()};
    std::map<std::string, std::vector<absl::Time>> grants;
    std::vector<std::string> running;
    int number = 0;
    int rejected = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RequestLimitTest, Fixture)

// Load pattern: bursts of short requests with pauses between them, beside batch tasks. Guards
// against an upstream that gets more requests than its limit because its slots are free again at
// once, and against rejected requests while another upstream has free slots.
BOOST_AUTO_TEST_CASE(limitHoldsForBurstsOfShortRequests)
{
    for (const double limit : {0.5, 3.3, 20.0}) {
        grants.clear();
        for (absl::Time now = start; now < start + absl::Seconds(30); now += step) {
            release(now);
            scheduler.limitReported(now, "a", limit);
            const bool isBurst = (now - start) % absl::Seconds(5) < absl::Seconds(2);
            if (isBurst) {
                request(now);
                request(now);
            }
            request(now, TaskKind::Batch);
            decide(now);
        }
        BOOST_TEST(mostInOneWindow(grants["a"]) <= allowedInOneWindow(limit));
        BOOST_TEST(static_cast<double>(grants["a"].size()) >= limit * 25);
        BOOST_TEST(rejected == 0);
        scheduler.limitReported(start + absl::Seconds(30), "a", std::nullopt);
    }
}

// Guards against a limit that stays although the responses of the upstream name none any more, or
// no response has named one for long.
BOOST_AUTO_TEST_CASE(limitEndsWhenItIsNoLongerNamed)
{
    BOOST_TEST(scheduler.limitReported(start, "a", 1.0));
    BOOST_TEST(!scheduler.limitReported(start, "a", 1.0));
    BOOST_TEST(scheduler.requestLimit(start, "a").has_value());
    BOOST_TEST(scheduler.limitReported(start, "a", std::nullopt));
    BOOST_TEST(!scheduler.requestLimit(start, "a").has_value());
    scheduler.limitReported(start, "a", 1.0);
    BOOST_TEST(!scheduler.requestLimit(start + absl::Seconds(10), "a").has_value());
}

// Guards against waiting requests that nobody decides on when the limit allows the next one, and
// against a check that comes too early again and again.
BOOST_AUTO_TEST_CASE(waitingRequestIsDecidedOnWhenTheLimitAllowsIt)
{
    scheduler.setUpstreams({upstream("a")});
    scheduler.limitReported(start, "a", 10.0);
    request(start);
    decide(start);
    BOOST_TEST(grants["a"].empty());
    const absl::Time next = scheduler.nextDecision();
    BOOST_TEST((next > start && next <= start + absl::Milliseconds(101)));
    decide(next);
    BOOST_TEST(grants["a"].size() == 1u);
}

// Guards against requests that wait until their deadline although the limits of all upstreams do
// not allow them in time.
BOOST_AUTO_TEST_CASE(requestsBeyondAllLimitsAreRejectedAtOnce)
{
    scheduler.limitReported(start, "a", 1.0);
    scheduler.limitReported(start, "b", 1.0);
    for (int i = 0; i < 20; ++i)
        request(start);
    decide(start);
    BOOST_TEST(rejected == 20);
}

// Guards against a limited upstream that looks unhealthy because it refuses requests.
BOOST_AUTO_TEST_CASE(refusalsUnderALimitDoNotEject)
{
    scheduler.setUpstreams({upstream("a")});
    for (int i = 0; i < 5; ++i) {
        request(start);
        decide(start);
        release(start, ReleaseReason::Cancelled);
    }
    BOOST_TEST(grants["a"].size() == 5u);
}

// Guards against requests that were granted elsewhere, as from the local share of an entry, and are
// not counted.
BOOST_AUTO_TEST_CASE(adoptedRequestsCount)
{
    scheduler.setUpstreams({upstream("a")});
    scheduler.limitReported(start, "a", 2.0);
    const absl::Time later = start + absl::Seconds(4);
    scheduler.limitReported(later, "a", 2.0);
    for (int i = 0; i < 5; ++i) {
        SlotTask task;
        task.id = "adopted-" + std::to_string(i);
        task.service = "s";
        scheduler.adopt(later, task, "a");
    }
    request(later);
    decide(later);
    BOOST_TEST(grants["a"].empty());
}

// Guards against the local shares of many entries that add up beyond the limit when all of them
// lose the broker at the same moment, after it has granted the whole limit.
BOOST_AUTO_TEST_CASE(shareThatStartsWithoutAccumulatedRequestsGrantsNothingAtOnce)
{
    RequestLimitSettings settings;
    settings.burstRequests = 0;
    RequestLimit share{settings};
    share.report(start, 3.0 / 12);
    const absl::Time lost = start + absl::Seconds(9);
    BOOST_TEST(share.allows(lost));
    share.clearAccumulated(lost);
    BOOST_TEST(!share.allows(lost));
    BOOST_TEST(!share.allows(lost + absl::Seconds(0.9)));
}

BOOST_AUTO_TEST_SUITE_END()
