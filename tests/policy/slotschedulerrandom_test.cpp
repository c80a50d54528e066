#include "rattanrill/policy/slotscheduler.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <map>
#include <random>
#include <string>
#include <variant>
#include <vector>

using namespace rattanrill::policy;

namespace {

constexpr int upstreamCount = 8;
constexpr int slotsPerUpstream = 2;
/// Longer than ejections, warm-ups and reports last after the last disturbance.
constexpr absl::Duration maxWait = absl::Seconds(30);

/// A scheduler under random events, with the owners of its tasks.
class RandomPlay
{
public:
    explicit RandomPlay(std::uint64_t seed)
        : m_random(seed)
    {
        listAll();
    }

    /// Performs one random event.
    void step()
    {
        using Event = void (RandomPlay::*)();
        static constexpr Event events[] = {
                &RandomPlay::list,         &RandomPlay::requestBatch,  &RandomPlay::requestBatch,
                &RandomPlay::requestBatch, &RandomPlay::requestOnline, &RandomPlay::requestOnline,
                &RandomPlay::releaseOne,   &RandomPlay::releaseOne,    &RandomPlay::releaseOne,
                &RandomPlay::cancelOne,    &RandomPlay::reportLoad,    &RandomPlay::reportLimit,
                &RandomPlay::reportCold,   &RandomPlay::discard,       &RandomPlay::takeOver,
                &RandomPlay::repeatRequest};
        m_now += absl::Milliseconds(number(400));
        (this->*events[number(static_cast<int>(std::size(events)) - 1)])();
        decide();
    }

    /// Ends all disturbances, and lets tasks that hold slots end soon. Returns the batch tasks that
    /// wait after maxWait.
    std::vector<std::string> calmDown()
    {
        listAll();
        for (absl::Time end = m_now + maxWait; m_now < end; m_now += absl::Seconds(1)) {
            for (int index = 0; index < upstreamCount; ++index)
                reportSound(index);
            decide();
            for (const std::string &task : runningTasks())
                release(task, ReleaseReason::Completed, "");
            decide();
        }
        std::vector<std::string> waiting;
        for (const auto &[id, task] : m_waiting) {
            if (task.kind == TaskKind::Batch)
                waiting.push_back(id);
        }
        return waiting;
    }

    /// Number of new batch tasks that get slots at once.
    int fill()
    {
        for (const std::string &task : runningTasks())
            release(task, ReleaseReason::Completed, "");
        for (int index = 0; index < upstreamCount * slotsPerUpstream; ++index) {
            SlotTask task = newTask(TaskKind::Batch);
            task.service = serviceOf(index % 2);
            task.version.reset();
            request(task);
        }
        decide();
        return static_cast<int>(m_running.size());
    }

private:
    int number(int most) { return std::uniform_int_distribution<int>(0, most)(m_random); }
    bool chance(int percent) { return number(99) < percent; }
    static std::string serviceOf(int index) { return index % 2 == 0 ? "s0" : "s1"; }
    std::string anyVersion() { return chance(50) ? "v1" : "v2"; }
    std::string anySender() { return chance(70) ? "a" : chance(50) ? "b" : ""; }
    std::string anyUpstream() { return "u" + std::to_string(number(upstreamCount - 1)); }

    SlotUpstream upstream(int index) const
    {
        const std::string id = "u" + std::to_string(index);
        SlotUpstream result{id, serviceOf(index), id + ":1", "d", slotsPerUpstream, false};
        result.version = index < upstreamCount / 2 ? "v1" : "v2";
        return result;
    }

    void listAll()
    {
        std::vector<SlotUpstream> all;
        for (int index = 0; index < upstreamCount; ++index)
            all.push_back(upstream(index));
        m_scheduler.setUpstreams(all);
    }

    void list()
    {
        std::vector<SlotUpstream> some;
        for (int index = 0; index < upstreamCount; ++index) {
            SlotUpstream listed = upstream(index);
            listed.leaving = chance(20);
            if (chance(80))
                some.push_back(listed);
        }
        m_scheduler.setUpstreams(some);
    }

    SlotTask newTask(TaskKind kind)
    {
        SlotTask task;
        task.id = "t" + std::to_string(m_nextTask++);
        task.service = serviceOf(number(1));
        task.workspace = "w" + std::to_string(number(2));
        task.failureDomain = "d";
        task.sender = anySender();
        task.kind = kind;
        task.deadline = m_now + absl::Milliseconds(number(20000));
        if (chance(30))
            task.version = anyVersion();
        if (kind == TaskKind::Batch && chance(30))
            task.priorRunTime = absl::Milliseconds(number(4000));
        return task;
    }

    void request(const SlotTask &task)
    {
        m_waiting[task.id] = task;
        m_running.erase(task.id);
        m_scheduler.request(m_now, task);
    }

    void requestBatch() { request(newTask(TaskKind::Batch)); }
    void requestOnline() { request(newTask(TaskKind::Online)); }

    /// A waiting task whose needs have changed.
    void repeatRequest()
    {
        if (m_waiting.empty())
            return;
        SlotTask task = std::next(m_waiting.begin(), number(int(m_waiting.size()) - 1))->second;
        task.service = serviceOf(number(1));
        task.sender = anySender();
        task.version.reset();
        request(task);
    }

    std::vector<std::string> runningTasks() const
    {
        std::vector<std::string> tasks;
        for (const auto &[id, task] : m_running)
            tasks.push_back(id);
        return tasks;
    }

    void release(std::string task, ReleaseReason reason, const std::string &observer)
    {
        m_scheduler.release(m_now, task, reason, observer);
        m_running.erase(task);
    }

    void releaseOne()
    {
        if (m_running.empty())
            return;
        static constexpr ReleaseReason reasons[] = {
                ReleaseReason::Completed,  ReleaseReason::Cancelled,   ReleaseReason::Failed,
                ReleaseReason::Failed,     ReleaseReason::Unreachable, ReleaseReason::Unanswered,
                ReleaseReason::ServerError};
        const auto entry = std::next(m_running.begin(), number(int(m_running.size()) - 1));
        release(entry->first, reasons[number(int(std::size(reasons)) - 1)], anySender());
    }

    void cancelOne()
    {
        auto &tasks = chance(50) ? m_waiting : m_running;
        if (tasks.empty())
            return;
        const std::string id = std::next(tasks.begin(), number(int(tasks.size()) - 1))->first;
        tasks.erase(id);
        m_scheduler.cancel(id);
    }

    void reportLoad()
    {
        m_scheduler.loadReported(m_now, anyUpstream(), number(4));
        m_scheduler.paceReported(m_now, anyUpstream(), 0.5 + number(4));
    }

    void reportLimit() { m_scheduler.limitReported(m_now, anyUpstream(), 0.5 * number(4)); }

    void reportCold()
    {
        m_scheduler.coldReported(m_now, anyUpstream(), absl::Milliseconds(number(3000)));
    }

    void discard() { m_scheduler.discardReports(m_now, anySender()); }
    void takeOver() { m_scheduler.beginTakeover(m_now); }

    void reportSound(int index)
    {
        const std::string id = "u" + std::to_string(index);
        m_scheduler.limitReported(m_now, id, std::nullopt);
        m_scheduler.coldReported(m_now, id, absl::ZeroDuration());
        m_scheduler.paceReported(m_now, id, 1);
        std::int64_t requests = 0;
        for (const auto &[task, upstream] : m_places)
            requests += upstream == id && m_running.count(task) != 0 ? 1 : 0;
        m_scheduler.loadReported(m_now, id, requests);
    }

    void decide()
    {
        for (auto decisions = m_scheduler.decide(m_now); !decisions.empty();
             decisions = m_scheduler.decide(m_now)) {
            for (const SlotDecision &decision : decisions)
                std::visit([this](const auto &typed) { apply(typed); }, decision);
        }
    }

    void apply(const GrantSlot &grant)
    {
        const auto waiting = m_waiting.find(grant.task);
        BOOST_TEST_REQUIRE((waiting != m_waiting.end()));
        m_places[grant.task] = grant.upstream;
        m_running[grant.task] = waiting->second;
        m_waiting.erase(waiting);
    }

    void apply(const RejectSlot &reject) { m_waiting.erase(reject.task); }

    /// The owner requests a slot again.
    void apply(const PreemptSlot &preempted)
    {
        SlotTask task = m_running.at(preempted.task);
        task.priorRunTime += absl::Milliseconds(500);
        request(task);
    }

    std::mt19937_64 m_random;
    absl::Time m_now = absl::UnixEpoch() + absl::Hours(1);
    SlotScheduler m_scheduler{SlotSchedulerSettings()};
    std::map<std::string, SlotTask> m_waiting;
    std::map<std::string, SlotTask> m_running;
    /// The upstreams of the tasks that were granted slots.
    std::map<std::string, std::string> m_places;
    int m_nextTask = 0;
};

std::uint64_t environmentNumber(const char *name, std::uint64_t fallback)
{
    const char *value = std::getenv(name);
    return value == nullptr ? fallback : std::strtoull(value, nullptr, 10);
}

} // namespace

BOOST_AUTO_TEST_SUITE(SlotSchedulerRandomTest)

// Guards against batch tasks that wait although upstreams are idle, and against slots that are
// lost, after any order of events.
BOOST_AUTO_TEST_CASE(tasksGetSlotsOnceTheUpstreamsAreSound)
{
    constexpr int steps = 400;
    const std::uint64_t first = environmentNumber("RATTANRILL_FIRST_SEED", 1);
    const std::uint64_t seeds = environmentNumber("RATTANRILL_SEEDS", 30);
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        BOOST_TEST_INFO_SCOPE("seed " << seed);
        RandomPlay play(seed);
        for (int step = 0; step < steps; ++step)
            play.step();
        const std::vector<std::string> waiting = play.calmDown();
        BOOST_TEST(waiting.empty());
        BOOST_TEST(play.fill() == upstreamCount * slotsPerUpstream);
    }
}

BOOST_AUTO_TEST_SUITE_END()
