#include "benchfleet.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"

#include <algorithm>
#include <chrono>

/// The parts of BenchFleet that handle engine events and inject faults.
namespace rattanrill::policy::bench {

namespace {

constexpr absl::Duration sameDomainDelay = absl::Microseconds(100);
/// Time without data after which a connection is considered lost.
constexpr absl::Duration silenceTimeout = absl::Seconds(1);
constexpr absl::Duration connectTimeout = absl::Milliseconds(500);
/// Time after the loss of an entry at which it is removed from the list of entries.
constexpr absl::Duration memberTimeout = absl::Seconds(4);
/// Lease of the owner of a rate bucket. A new owner grants nothing before its end.
constexpr absl::Duration ownerLease = absl::Seconds(2);
/// Time after which the batch items of a lost entry are queued again.
constexpr absl::Duration batchLease = absl::Seconds(5);
/// Delay until a lost upstream is removed from the list of upstreams.
constexpr absl::Duration upstreamListDelay = absl::Seconds(5);
/// Number of load reports of an engine per report of the progress of its tasks.
constexpr int reportsPerProgress = 3;
/// Requests that arrive within this time before the end of the run are not counted, because the run
/// ends before they can be served.
constexpr absl::Duration uncountedTime = absl::Seconds(2);

} // namespace

// Engines

template <typename Event>
void BenchFleet::deliver(int engine, const EngineAttempt &run, Event event)
{
    const auto entry = static_cast<std::size_t>(run.entry);
    m_loop.after(linkDelay(entry, engine), [this, entry, run, event] {
        const auto found = m_tasks.find(run.task);
        const bool current = found != m_tasks.end() && found->second.attempt == run.attempt;
        if (!m_entries[entry].alive || !current)
            return;
        event(found->second, *m_entries[entry].policy);
        decide(entry);
    });
}

void BenchFleet::admitted(int /*engine*/, const EngineAttempt &run)
{
    if (run.kind == TaskKind::Online && isMeasured(m_loop.now()))
        m_result.slotWaits.push_back(absl::ToDoubleSeconds(m_loop.now() - run.submittedAt));
    if (run.attempt > 1 && !run.imported)
        m_result.wastedTokens += run.prefillLeft;
}

void BenchFleet::firstToken(int engine, const EngineAttempt &run)
{
    deliver(engine, run, [this, run](TaskState &state, BenchPolicy &policy) {
        policy.firstToken(m_loop.now(), run.task, run.attempt);
        state.delivered = std::max(state.delivered, run.delivered);
        if (run.kind == TaskKind::Batch || state.firstTokenReceived)
            return;
        state.firstTokenReceived = true;
        const PlannedRequest &planned = m_plan.online[static_cast<std::size_t>(state.index)];
        if (!isCounted(state.index))
            return;
        ++m_result.workspaces[static_cast<std::size_t>(planned.workspace)].served;
        const absl::Duration time = m_loop.now() + m_deployment.clientDelay - planned.at;
        m_result.firstToken.push_back(absl::ToDoubleSeconds(time));
    });
}

void BenchFleet::token(int /*engine*/, const EngineAttempt &run, absl::Duration gap)
{
    if (run.kind == TaskKind::Online && isMeasured(m_loop.now()))
        m_result.tokenGaps.push_back(absl::ToDoubleSeconds(gap));
    if (run.kind == TaskKind::Batch && isMeasured(m_loop.now()))
        ++m_result.batchTokens;
}

void BenchFleet::finished(int engine, const EngineAttempt &run)
{
    deliver(engine, run, [this, run](TaskState &state, BenchPolicy &policy) {
        if (run.kind == TaskKind::Batch)
            m_batch.item(state.index).finishedAt = m_loop.now();
        m_tasks.erase(run.task);
        policy.finished(m_loop.now(), run.task, run.attempt, run.delivered);
    });
}

void BenchFleet::cancelled(int engine, const EngineAttempt &run)
{
    const absl::Time freedAt = m_loop.now();
    deliver(engine, run, [this, run, freedAt](TaskState &state, BenchPolicy &policy) {
        const bool forOnline =
                !state.preemptedFor.empty() && state.preemptedFor.back() != absl::InfinitePast();
        if (forOnline && isMeasured(freedAt))
            m_result.preemptionDelays.push_back(
                    absl::ToDoubleSeconds(freedAt - state.preemptedFor.back()));
        state.delivered = run.delivered;
        const std::string handle = run.exportKv ? concat("kv-", run.task) : std::string();
        policy.preempted(m_loop.now(), run.task, run.attempt, run.delivered, handle);
    });
}

void BenchFleet::crashed(int engine, const std::vector<EngineAttempt> &lost)
{
    const bool byRequest = std::any_of(lost.begin(), lost.end(),
                                       [](const EngineAttempt &run) { return run.poison; });
    if (byRequest && !m_hanging[static_cast<std::size_t>(engine)])
        ++m_result.poisonCrashes;
    const bool hanging = m_hanging[static_cast<std::size_t>(engine)];
    for (const EngineAttempt &run : lost)
        fail(engine, run, AttemptFailure::Kind::Crashed,
             hanging ? silenceTimeout : absl::ZeroDuration());
}

void BenchFleet::refused(int engine, const EngineAttempt &run)
{
    const bool hanging = m_hanging[static_cast<std::size_t>(engine)];
    fail(engine, run, AttemptFailure::Kind::Refused,
         hanging ? connectTimeout : absl::ZeroDuration());
}

void BenchFleet::fail(int engine, const EngineAttempt &run, AttemptFailure::Kind kind,
                      absl::Duration delay)
{
    m_loop.after(delay, [this, engine, run, kind] {
        deliver(engine, run, [this, run, kind](TaskState &state, BenchPolicy &policy) {
            AttemptFailure failure;
            failure.kind = kind;
            failure.deliveredTokens = std::max(state.delivered, run.delivered);
            const bool ran = kind != AttemptFailure::Kind::Refused;
            failure.failure = ran ? mayHaveRun(ErrorCode::UpstreamFailed, "connection lost")
                                  : notRun(ErrorCode::UpstreamUnavailable, "no connection");
            policy.failed(m_loop.now(), run.task, run.attempt, failure);
        });
    });
}

void BenchFleet::cacheEvent(int engine, const CacheEvent &event)
{
    if (std::uniform_real_distribution<double>(0, 1)(m_random) < m_deployment.engine.cacheEventLoss)
        return;
    m_loop.after(m_deployment.engine.cacheEventDelay, [this, engine, event] {
        for (Entry &entry : m_entries) {
            if (entry.alive)
                entry.policy->cacheEvent(m_loop.now(), engineName(engine), event);
        }
    });
}

void BenchFleet::report(int index)
{
    m_loop.after(m_deployment.engine.reportInterval, [this, index] { report(index); });
    const BenchEngine &engine = *m_engines[static_cast<std::size_t>(index)];
    if (!engine.alive())
        return;
    sample(engine);
    const EngineLoad load = engine.load();
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        const absl::Duration age = m_deployment.engine.reportLag + linkDelay(i, index);
        m_loop.after(age, [this, i, index, load, age] {
            if (!m_entries[i].alive)
                return;
            EngineLoad aged = load;
            aged.age = age;
            m_entries[i].policy->loadReported(m_loop.now(), engineName(index), aged);
            decide(i);
        });
    }
    const auto tick =
            static_cast<int>(absl::ToUnixMillis(m_loop.now())
                             / absl::ToInt64Milliseconds(m_deployment.engine.reportInterval));
    if (tick % reportsPerProgress != 0)
        return;
    for (const EngineAttempt &run : engine.running()) {
        if (run.prefillLeft > 0)
            continue;
        const auto found = m_tasks.find(run.task);
        if (found == m_tasks.end() || !m_entries[static_cast<std::size_t>(run.entry)].alive)
            continue;
        found->second.delivered = run.delivered;
        m_entries[static_cast<std::size_t>(run.entry)].policy->progress(m_loop.now(), run.task,
                                                                        run.attempt, run.delivered);
    }
}

void BenchFleet::sample(const BenchEngine &engine)
{
    if (!isMeasured(m_loop.now()))
        return;
    const double seconds = absl::ToDoubleSeconds(m_deployment.engine.reportInterval);
    std::int64_t online = 0;
    std::int64_t batch = 0;
    for (const EngineAttempt &run : engine.running())
        ++(run.kind == TaskKind::Online ? online : batch);
    m_result.batchSlotSeconds += static_cast<double>(batch) * seconds;
    m_result.idleSlotSeconds +=
            static_cast<double>(m_deployment.engine.maxBatch - online) * seconds;
}

// Faults

void BenchFleet::loseUpstream(int engine, bool reset)
{
    const auto index = static_cast<std::size_t>(engine);
    m_hanging[index] = !reset;
    m_engines[index]->crash(absl::InfiniteDuration());
    m_loop.after(upstreamListDelay, [this, index] {
        m_listed[index] = false;
        updateLists();
    });
}

void BenchFleet::loseEntry(std::size_t index)
{
    Entry &entry = m_entries[index];
    entry.alive = false;
    std::vector<TaskState> lost;
    for (auto state = m_tasks.begin(); state != m_tasks.end();) {
        if (state->second.entry != index) {
            ++state;
            continue;
        }
        lost.push_back(state->second);
        state = m_tasks.erase(state);
    }
    std::sort(lost.begin(), lost.end(), [](const TaskState &left, const TaskState &right) {
        return left.task.id < right.task.id;
    });
    for (const TaskState &state : lost) {
        if (state.engine >= 0)
            m_engines[static_cast<std::size_t>(state.engine)]->cancel(state.task.id, state.attempt,
                                                                      false);
        if (state.task.kind == TaskKind::Batch)
            m_loop.after(batchLease, [this, item = state.index] { m_batch.returnItem(item); });
        else
            m_loop.after(callerResendDelay,
                         [this, request = state.index, attempts = state.callerAttempts] {
                             send(request, attempts + 1);
                         });
    }
}

void BenchFleet::loseDomain(int domain)
{
    std::vector<std::size_t> lost;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        if (m_entries[i].domain == domain)
            lost.push_back(i);
    }
    m_admission.loseEntries(lost, m_loop.now() + memberTimeout + ownerLease);
    for (std::size_t i = 0; i < m_engines.size(); ++i) {
        if (m_engineDomain[i] == domain)
            loseUpstream(static_cast<int>(i), false);
    }
    for (const std::size_t entry : lost)
        loseEntry(entry);
    m_loop.after(memberTimeout, [this] { updateLists(); });
}

void BenchFleet::updateLists()
{
    for (Entry &entry : m_entries) {
        if (!entry.alive)
            continue;
        entry.policy->setEntries(entry.name, entryNames());
        entry.policy->setEngines(m_loop.now(), engineList());
    }
}

absl::Duration BenchFleet::linkDelay(std::size_t entry, int engine) const
{
    const bool sameDomain =
            m_entries[entry].domain == m_engineDomain[static_cast<std::size_t>(engine)];
    return sameDomain ? sameDomainDelay : m_deployment.interDomainDelay;
}

absl::Duration BenchFleet::entryLinkDelay(std::size_t from, std::size_t to) const
{
    const bool sameDomain = m_entries[from].domain == m_entries[to].domain;
    return sameDomain ? sameDomainDelay : m_deployment.interDomainDelay;
}

bool BenchFleet::isMeasured(absl::Time time) const
{
    return time >= m_options.times.start() && time < m_options.times.end();
}

bool BenchFleet::isCounted(int request) const
{
    const PlannedRequest &planned = m_plan.online[static_cast<std::size_t>(request)];
    return !planned.poison && isMeasured(planned.at)
           && planned.at < m_options.times.end() - uncountedTime;
}

} // namespace rattanrill::policy::bench
