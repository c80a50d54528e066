#include "baselinepolicy.h"

#include <algorithm>

namespace rattanrill::policy::bench {

namespace {

constexpr int maxAttempts = 3;
/// Time for which an engine is not selected after a failure.
constexpr absl::Duration avoidTime = absl::Seconds(10);

} // namespace

BaselinePolicy::BaselinePolicy(BaselineRules rules)
    : m_rules(rules)
{}

void BaselinePolicy::setEngines(absl::Time /*now*/, const std::vector<EngineInfo> &engines)
{
    m_engines.clear();
    for (const EngineInfo &info : engines) {
        if (!info.leaving)
            m_engines.push_back(Engine{info.name, {}, absl::InfinitePast(), 0});
    }
}

void BaselinePolicy::setEntries(const std::string & /*self*/, const std::vector<std::string> &all)
{
    m_entries = all.size();
}

void BaselinePolicy::loadReported(absl::Time /*now*/, const std::string &engine,
                                  const EngineLoad &load)
{
    for (Engine &reported : m_engines) {
        if (reported.name != engine)
            continue;
        reported.load = load;
        // The entries do not coordinate, so each of them uses an equal share of the free slots. The
        // share is rounded up, so together they can exceed the limit.
        const double limit = static_cast<double>(load.maxBatch) * m_rules.batchFillLimit;
        const auto freeSlots = static_cast<std::int64_t>(limit) - load.running - load.waiting;
        const auto entries = static_cast<std::int64_t>(m_entries);
        reported.freeSlots = std::max<std::int64_t>((freeSlots + entries - 1) / entries, 0);
    }
}

void BaselinePolicy::arrived(absl::Time /*now*/, const Task &task)
{
    TaskState &state = m_tasks[task.id];
    state.task = task;
    state.delivered = task.deliveredTokens;
    (task.kind == TaskKind::Online ? m_online : m_batch).push_back(task.id);
}

void BaselinePolicy::progress(absl::Time /*now*/, TaskId task, int attempt, std::int64_t tokens)
{
    const auto state = m_tasks.find(task);
    if (state != m_tasks.end() && state->second.attempt == attempt)
        state->second.delivered = tokens;
}

void BaselinePolicy::finished(absl::Time /*now*/, TaskId task, int /*attempt*/,
                              std::int64_t /*tokens*/)
{
    m_tasks.erase(task);
}

void BaselinePolicy::failed(absl::Time now, TaskId task, int attempt, const AttemptFailure &failure)
{
    const auto found = m_tasks.find(task);
    if (found == m_tasks.end() || found->second.attempt != attempt)
        return;
    TaskState &state = found->second;
    state.delivered = std::max(state.delivered, failure.deliveredTokens);
    for (Engine &engine : m_engines) {
        if (engine.name == state.engine)
            engine.avoidUntil = now + avoidTime;
    }
    if (state.attempt < maxAttempts) {
        (state.task.kind == TaskKind::Online ? m_online : m_batch).push_back(task);
        return;
    }
    m_decisions.emplace_back(RejectTask{task, failure.failure, absl::ZeroDuration()});
    m_tasks.erase(task);
}

void BaselinePolicy::preempted(absl::Time /*now*/, TaskId /*task*/, int /*attempt*/,
                               std::int64_t /*tokens*/, const std::string & /*kvHandle*/)
{}

std::vector<SchedulerDecision> BaselinePolicy::decide(absl::Time now)
{
    while (!m_online.empty()) {
        Engine *engine = choose(now);
        if (engine == nullptr)
            break;
        start(m_tasks.at(m_online.front()), *engine);
        m_online.pop_front();
    }
    for (Engine &engine : m_engines) {
        while (engine.freeSlots > 0 && now >= engine.avoidUntil && !m_batch.empty()) {
            --engine.freeSlots;
            start(m_tasks.at(m_batch.front()), engine);
            m_batch.pop_front();
        }
    }
    return std::move(m_decisions);
}

std::size_t BaselinePolicy::batchCapacity(absl::Time /*now*/) const
{
    std::int64_t freeSlots = 0;
    for (const Engine &engine : m_engines)
        freeSlots += engine.freeSlots;
    const auto waiting = static_cast<std::int64_t>(m_batch.size());
    return static_cast<std::size_t>(std::max<std::int64_t>(freeSlots - waiting, 0));
}

BaselinePolicy::Engine *BaselinePolicy::choose(absl::Time now)
{
    Engine *best = nullptr;
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        Engine &engine = m_engines[(m_next + i) % m_engines.size()];
        if (now < engine.avoidUntil)
            continue;
        if (m_rules.roundRobin) {
            m_next = (m_next + i + 1) % m_engines.size();
            return &engine;
        }
        const std::int64_t load = engine.load.running + engine.load.waiting;
        if (best == nullptr || load < best->load.running + best->load.waiting)
            best = &engine;
    }
    return best;
}

void BaselinePolicy::start(TaskState &state, const Engine &engine)
{
    ++state.attempt;
    state.engine = engine.name;
    m_decisions.emplace_back(
            StartTask{state.task.id, engine.name, state.attempt, state.delivered, {}});
}

} // namespace rattanrill::policy::bench
