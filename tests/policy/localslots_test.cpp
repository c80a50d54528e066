#include "rattanrill/policy/slotscheduler.h"

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

using namespace rattanrill::policy;

namespace {

/// A scheduler that may use one of the eight slots of an upstream.
struct Fixture
{
    Fixture() { setOwnSlots(1); }

    void setOwnSlots(std::int64_t ownSlots)
    {
        scheduler.setUpstreams({{"u", "llm", "u:1", "d", 8, false, "", ownSlots}});
    }

    static SlotSchedulerSettings settings()
    {
        SlotSchedulerSettings result;
        result.sharesUpstreams = true;
        return result;
    }

    /// Reports \a requests of other senders, besides those of the scheduler.
    void reportOthers(std::int64_t requests)
    {
        const auto own = static_cast<std::int64_t>(scheduler.running("llm", TaskKind::Online));
        scheduler.loadReported(now, "u", requests + own);
        scheduler.loadReported(now, "u", requests + own);
    }

    /// Returns the decision on a request; nullopt while it waits.
    std::optional<SlotDecision> request(const std::string &id,
                                        absl::Duration wait = absl::Seconds(5))
    {
        SlotTask task;
        task.id = id;
        task.service = "llm";
        task.workspace = "w";
        task.sender = "e";
        task.deadline = now + wait;
        scheduler.request(now, task);
        const std::vector<SlotDecision> decisions = scheduler.decide(now);
        return decisions.empty() ? std::nullopt : std::optional(decisions.front());
    }

    bool isGranted(const std::string &id)
    {
        const auto decision = request(id);
        return decision && std::holds_alternative<GrantSlot>(*decision);
    }

    /// Whether failures eject the upstream that others send \a requests to when they occur. It is
    /// idle when the failing requests are granted.
    bool failuresEjectBeside(std::int64_t requests)
    {
        for (int i = 0; i < 20; ++i) {
            const std::string id = "failing-" + std::to_string(i);
            reportOthers(0);
            BOOST_TEST_REQUIRE(isGranted(id));
            reportOthers(requests);
            if (scheduler.release(now, id, ReleaseReason::Failed, "e"))
                return true;
        }
        return false;
    }

    SlotScheduler scheduler{settings()};
    absl::Time now = absl::FromUnixSeconds(1000);
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LocalSlotsTest, Fixture)

// Guards against requests of others that use up the own part, and against tasks beyond the own part
// or beyond all slots.
BOOST_AUTO_TEST_CASE(ownPartLimitsOwnTasksAndAllSlotsLimitThemWithOthers)
{
    reportOthers(8);
    BOOST_TEST(!isGranted("full"));
    scheduler.cancel("full");
    reportOthers(7);
    BOOST_TEST(isGranted("first"));
    reportOthers(0);
    BOOST_TEST(!isGranted("second"));
}

// Guards against an own part above one slot that requests of others use up although slots are free.
BOOST_AUTO_TEST_CASE(ownTasksGetTheSlotsThatOthersLeaveFree)
{
    setOwnSlots(4);
    reportOthers(6);
    BOOST_TEST(isGranted("first"));
    BOOST_TEST(isGranted("second"));
    BOOST_TEST(!isGranted("third"));
    scheduler.cancel("third");
    reportOthers(0);
    BOOST_TEST(isGranted("fourth"));
    BOOST_TEST(isGranted("fifth"));
    BOOST_TEST(!isGranted("sixth"));
}

// Guards against a failing upstream that is never ejected because each request of another sender
// there excuses its failures.
BOOST_AUTO_TEST_CASE(failureBesideRequestsOfOthersCountsUntilAllSlotsAreTaken)
{
    BOOST_TEST(failuresEjectBeside(7));
}

// Guards against an ejection of an upstream whose requests fail because others have taken all its
// slots and it queues the rest.
BOOST_AUTO_TEST_CASE(failureBesideRequestsOfOthersInAllSlotsEjectsNothing)
{
    BOOST_TEST(!failuresEjectBeside(8));
}

// Guards against a task that waits until its deadline because the slots of others, which it does
// not get, are expected to be released to it.
BOOST_AUTO_TEST_CASE(waitIsEstimatedByTheOwnPart)
{
    BOOST_TEST(isGranted("first"));
    // An online request holds its slot for 700 ms at first.
    BOOST_TEST(!request("waits", absl::Milliseconds(800)).has_value());
    const auto decision = request("late", absl::Milliseconds(800));
    BOOST_TEST_REQUIRE(decision.has_value());
    BOOST_TEST(std::holds_alternative<RejectSlot>(*decision));
}

BOOST_AUTO_TEST_SUITE_END()
