#include "rattanrill/policy/scheduler.h"

#include "schedulerstate.h"

#include "rattanrill/base/enumnames.h"

namespace rattanrill::policy {

namespace {

constexpr std::array<EnumName<PreemptMethod>, 2> methodNames{{
        {PreemptMethod::Cancel, "cancel"},
        {PreemptMethod::ExportKv, "export_kv"},
}};

} // namespace

std::string_view name(PreemptMethod method)
{
    return nameOf(methodNames, method);
}

bool AttemptFailure::isServerError() const
{
    // UpstreamBusy (503) without the statement that the request did not run is no refusal; see
    // Kind.
    return kind == Kind::Broken
           && (failure.code == ErrorCode::UpstreamFailed
               || failure.code == ErrorCode::UpstreamBusy);
}

Scheduler::Scheduler(SchedulerSettings settings, std::uint64_t seed)
    : m_state(std::make_unique<State>(std::move(settings), seed))
{}

Scheduler::~Scheduler() = default;

void Scheduler::setEngines(absl::Time /*now*/, const std::vector<EngineInfo> &engines)
{
    m_state->setEngines(engines);
}

void Scheduler::setWorkspaces(const std::vector<WorkspaceWeights> &workspaces)
{
    m_state->setWorkspaces(workspaces);
}

void Scheduler::setEntries(const std::string &self, const std::vector<std::string> &instances)
{
    m_state->entries = std::max<std::size_t>(instances.size(), 1);
    m_state->engineAssignment.setEntries(self, instances);
    m_state->assignAllEngines();
}

void Scheduler::setClockOffset(absl::Duration offset)
{
    m_state->prefillWindows.setClockOffset(offset);
}

void Scheduler::applyCrashRecord(absl::Time now, const std::string &fingerprint,
                                 const std::vector<std::string> &crashedUpstreams, bool blocked)
{
    m_state->quarantine.applyRecord(now, fingerprint, crashedUpstreams, blocked);
}

void Scheduler::loadReported(absl::Time now, const std::string &engine, const EngineLoad &load)
{
    EngineRecord *engineRecord = m_state->engine(engine);
    if (engineRecord == nullptr)
        return;
    engineRecord->state.loadReported(now, load);
    engineRecord->roundingOffset = std::uniform_real_distribution<double>(0, 1)(m_state->random);
}

void Scheduler::cacheEventsReported(absl::Time now, const std::string &engine,
                                    const std::vector<CacheEvent> &events)
{
    m_state->prefixes.apply(now, engine, events);
}

void Scheduler::arrived(absl::Time now, const Task &task)
{
    TaskRecord &taskRecord = m_state->taskRecords[task.id];
    taskRecord.task = task;
    taskRecord.deliveredTokens = task.deliveredTokens;
    taskRecord.kvHandle = task.kvHandle;
    taskRecord.suspect = m_state->quarantineStatus(now, task) == QuarantineStatus::Suspect;
    if (taskRecord.isOnline())
        m_state->pool(task.model).onlineRate.arrived(now);
    m_state->enqueue(now, taskRecord);
}

void Scheduler::cancelled(absl::Time now, TaskId task)
{
    TaskRecord *taskRecord = m_state->find(task);
    if (taskRecord == nullptr)
        return;
    if (taskRecord->isRunning())
        m_state->endAttempt(now, *taskRecord);
    m_state->removeTask(*taskRecord);
}

void Scheduler::started(absl::Time now, TaskId task, int attempt)
{
    TaskRecord *taskRecord = m_state->running(task, attempt);
    if (taskRecord != nullptr)
        taskRecord->progressAt = now;
}

void Scheduler::firstToken(absl::Time now, TaskId task, int attempt)
{
    TaskRecord *taskRecord = m_state->running(task, attempt);
    if (taskRecord != nullptr)
        m_state->recordFirstToken(now, *taskRecord);
}

void Scheduler::progress(absl::Time now, TaskId task, int attempt, std::int64_t deliveredTokens)
{
    TaskRecord *taskRecord = m_state->running(task, attempt);
    if (taskRecord != nullptr)
        m_state->recordProgress(now, *taskRecord, deliveredTokens);
}

void Scheduler::finished(absl::Time now, TaskId task, int attempt, std::int64_t deliveredTokens)
{
    TaskRecord *taskRecord = m_state->running(task, attempt);
    if (taskRecord == nullptr)
        return;
    m_state->recordProgress(now, *taskRecord, deliveredTokens);
    m_state->quarantine.succeeded(taskRecord->task.fingerprint);
    EngineRecord *engineRecord = m_state->engine(taskRecord->engine);
    if (engineRecord != nullptr)
        m_state->recordSuccess(now, *engineRecord, taskRecord->task.workspace);
    m_state->endAttempt(now, *taskRecord);
    m_state->removeTask(*taskRecord);
}

std::optional<EngineEjection> Scheduler::failed(absl::Time now, TaskId task, int attempt,
                                                const AttemptFailure &failure)
{
    TaskRecord *taskRecord = m_state->running(task, attempt);
    if (taskRecord == nullptr)
        return std::nullopt;
    return m_state->attemptFailed(now, *taskRecord, failure);
}

void Scheduler::preempted(absl::Time now, TaskId task, int attempt, std::int64_t deliveredTokens,
                          const std::string &kvHandle)
{
    TaskRecord *taskRecord = m_state->running(task, attempt);
    if (taskRecord == nullptr)
        return;
    m_state->recordProgress(now, *taskRecord, deliveredTokens);
    m_state->endAttempt(now, *taskRecord);
    taskRecord->kvHandle = kvHandle;
    ++taskRecord->preemptions;
    m_state->enqueue(now, *taskRecord);
}

std::vector<SchedulerDecision> Scheduler::decide(absl::Time now)
{
    m_state->decide(now);
    return std::move(m_state->decisions);
}

absl::Time Scheduler::nextDecision() const
{
    return m_state->nextDecision;
}

std::size_t Scheduler::batchCapacity(absl::Time now) const
{
    std::size_t capacity = 0;
    for (const auto &[model, pool] : m_state->pools)
        capacity += m_state->batchCapacity(now, pool);
    return capacity;
}

std::size_t Scheduler::batchCapacity(absl::Time now, std::string_view model) const
{
    const auto pool = m_state->pools.find(model);
    return pool == m_state->pools.end() ? 0 : m_state->batchCapacity(now, pool->second);
}

std::size_t Scheduler::waiting(TaskKind kind) const
{
    std::size_t count = 0;
    for (const auto &[id, taskRecord] : m_state->taskRecords) {
        if (taskRecord.task.kind == kind && !taskRecord.isRunning())
            ++count;
    }
    return count;
}

std::size_t Scheduler::running(TaskKind kind) const
{
    return m_state->runningCount[static_cast<std::size_t>(kind)];
}

const EngineState *Scheduler::engine(std::string_view name) const
{
    const auto found = m_state->engines.find(name);
    return found == m_state->engines.end() ? nullptr : &found->second->state;
}

} // namespace rattanrill::policy
