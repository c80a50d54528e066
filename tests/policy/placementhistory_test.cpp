#include "placementdecision.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/policy/slotscheduler.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::policy;

namespace {

constexpr int steps = 6000;
constexpr int upstreamCount = 6;

std::string textOf(const SlotDecision &decision)
{
    if (const auto *grant = std::get_if<GrantSlot>(&decision))
        return concat("grant ", grant->task, " ", grant->upstream);
    if (const auto *rejection = std::get_if<RejectSlot>(&decision))
        return concat("reject ", rejection->task, " ",
                      absl::ToInt64Nanoseconds(rejection->retryAfter));
    return concat("preempt ", std::get<PreemptSlot>(decision).task);
}

/// Two schedulers with the same random history, of which only the first one is asked for
/// explanations.
class History
{
public:
    History(unsigned seed, SlotSchedulerSettings settings)
        : m_random(seed)
        , m_explained(settings)
        , m_other(settings)
    {
        setUpstreams();
    }

    void run()
    {
        for (int step = 0; step < steps; ++step) {
            m_now += absl::Milliseconds(below(60));
            if (below(10) < 6)
                endTask();
            else
                changeUpstream();
            decide();
            explainAndRequest();
        }
        BOOST_TEST(m_explained.warmUpWaits() == m_other.warmUpWaits());
    }

    /// Names of what was explained.
    std::set<std::string_view> outcomes;
    std::set<std::string_view> reasons;
    std::set<std::string_view> rules;

private:
    int below(int bound) { return static_cast<int>(m_random() % static_cast<unsigned>(bound)); }

    std::string anyUpstream() { return concat("u", below(upstreamCount)); }

    /// Calls \a change with each scheduler.
    template <typename Change>
    void forBoth(const Change &change)
    {
        change(m_explained);
        change(m_other);
    }

    void setUpstreams()
    {
        std::vector<SlotUpstream> upstreams;
        for (int i = 0; i < upstreamCount; ++i)
            upstreams.push_back({concat("u", i), "llm", "a:1", i % 2 == 0 ? "d0" : "d1", 1 + i % 3,
                                 below(8) == 0, i < 4 ? "1" : "2"});
        forBoth([&](SlotScheduler &scheduler) { scheduler.setUpstreams(upstreams); });
    }

    SlotTask randomTask()
    {
        SlotTask task;
        task.id = concat("t", m_nextTask++);
        task.service = "llm";
        task.workspace = concat("w", below(3));
        task.failureDomain = concat("d", below(2));
        task.priority = below(2);
        task.deadline = m_now + absl::Milliseconds(below(3000));
        task.maxRetryAfter = absl::Seconds(2);
        task.expectedTokens = 1 + below(50);
        if (below(5) == 0)
            task.version = concat(1 + below(3));
        // Batch tasks are sent by the broker itself.
        const bool isBatch = below(4) == 0;
        task.kind = isBatch ? TaskKind::Batch : TaskKind::Online;
        task.sender = isBatch ? "broker" : concat("e", below(2));
        if (!isBatch && below(4) == 0)
            task.excluded = {anyUpstream(), anyUpstream()};
        if (isBatch && below(2) == 0)
            task.priorRunTime = absl::Milliseconds(below(500));
        return task;
    }

    void endTask()
    {
        if (m_running.empty())
            return;
        auto ended = m_running.begin();
        std::advance(ended, below(static_cast<int>(m_running.size())));
        constexpr std::array<ReleaseReason, 6> rareReasons = {
                ReleaseReason::Cancelled,  ReleaseReason::Failed,      ReleaseReason::Unreachable,
                ReleaseReason::Unanswered, ReleaseReason::ServerError, ReleaseReason::Completed};
        ReleaseReason reason = ReleaseReason::Completed;
        if (below(20) == 0)
            reason = rareReasons[static_cast<std::size_t>(below(6))];
        // One upstream fails for a part of the time.
        const bool isFailing = absl::ToUnixSeconds(m_now) % 20 < 10;
        if (isFailing && ended->second == "u0")
            reason = ReleaseReason::ServerError;
        forBoth([&](SlotScheduler &scheduler) { scheduler.release(m_now, ended->first, reason); });
        m_running.erase(ended);
    }

    void changeUpstream()
    {
        const std::string id = anyUpstream();
        const int figure = below(5);
        const int change = below(60);
        const bool isLimited = below(4) == 0;
        if (change == 0)
            return setUpstreams();
        forBoth([&](SlotScheduler &scheduler) {
            if (change == 1)
                scheduler.beginTakeover(m_now);
            else if (change < 20)
                scheduler.loadReported(m_now, id, figure);
            else if (change < 25)
                scheduler.paceReported(m_now, id, 0.5 + figure);
            else if (change < 30)
                scheduler.limitReported(m_now, id,
                                        isLimited ? std::optional(1.0 + figure) : std::nullopt);
            else if (change < 33)
                scheduler.setWarmUp(m_now, id, {absl::Seconds(2), 1.0 + figure});
            else if (change < 36)
                scheduler.coldReported(m_now, id, absl::Milliseconds(300 * figure));
        });
    }

    std::vector<SlotDecision> decide()
    {
        std::vector<SlotDecision> all;
        while (true) {
            const auto decisions = m_explained.decide(m_now);
            const auto others = m_other.decide(m_now);
            BOOST_TEST_REQUIRE(decisions.size() == others.size());
            for (std::size_t i = 0; i < decisions.size(); ++i)
                BOOST_TEST_REQUIRE(textOf(decisions[i]) == textOf(others[i]));
            BOOST_TEST_REQUIRE((m_explained.nextDecision() == m_other.nextDecision()));
            if (decisions.empty())
                return all;
            for (const SlotDecision &decision : decisions) {
                if (const auto *grant = std::get_if<GrantSlot>(&decision))
                    m_running[grant->task] = grant->upstream;
                if (const auto *preemption = std::get_if<PreemptSlot>(&decision))
                    m_running.erase(preemption->task);
                all.push_back(decision);
            }
        }
    }

    void explainAndRequest()
    {
        const SlotTask task = randomTask();
        const PlacementExplanation explanation = m_explained.explain(m_now, task);
        m_explained.explain(m_now, randomTask());
        forBoth([&](SlotScheduler &scheduler) { scheduler.request(m_now, task); });
        checkAgreement(explanation, decisionFor(task.id, decide()));
        outcomes.insert(name(explanation.outcome));
        if (explanation.rule)
            rules.insert(name(*explanation.rule));
        for (const UpstreamExplanation &upstream : explanation.upstreams) {
            if (upstream.reason)
                reasons.insert(name(*upstream.reason));
        }
    }

    std::mt19937 m_random;
    SlotScheduler m_explained;
    SlotScheduler m_other;
    absl::Time m_now = absl::FromUnixSeconds(1000);
    int m_nextTask = 0;
    /// Upstreams of the tasks that hold slots, by task.
    std::map<std::string, std::string> m_running;
};

} // namespace

BOOST_AUTO_TEST_SUITE(PlacementHistoryTest)

// Guards against an explanation that differs from the decision in some state, and against one that
// changes a later decision, a counter or the random numbers. All outcomes and rules occur, and all
// reasons but the evacuation, which SlotScheduler doesn't know.
BOOST_AUTO_TEST_CASE(explanationsAreTheDecisionsAndChangeNone)
{
    std::set<std::string_view> outcomes;
    std::set<std::string_view> reasons;
    std::set<std::string_view> rules;
    for (const bool sharesUpstreams : {false, true}) {
        for (unsigned seed = 1; seed <= 4; ++seed) {
            SlotSchedulerSettings settings;
            settings.sharesUpstreams = sharesUpstreams;
            settings.turnSeed = seed;
            settings.onlineReserve = seed % 2;
            BOOST_TEST_CONTEXT("seed " << seed << ", shares upstreams: " << sharesUpstreams)
            {
                History history(seed, settings);
                history.run();
                outcomes.merge(history.outcomes);
                reasons.merge(history.reasons);
                rules.merge(history.rules);
            }
        }
    }
    BOOST_TEST(outcomes.size() == 4u);
    BOOST_TEST(reasons.size() == 10u);
    BOOST_TEST(rules.size() == 4u);
}

BOOST_AUTO_TEST_SUITE_END()
