#include "schedulerstate.h"

#include "interpolate.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/policy/passoverrule.h"

#include <algorithm>
#include <cmath>

/// Decisions and estimates of Scheduler::State.
namespace rattanrill::policy {

namespace {

/// Age from which a load report is outdated. An engine with an outdated report is used only when no
/// engine with a newer report is available.
constexpr absl::Duration reportLifetime = absl::Seconds(2);
/// Maximum number of this entry's online tasks on an engine whose load report is missing or
/// outdated.
constexpr std::int64_t maxTasksWithoutReport = 4;
/// Load above which an engine gets no tasks outside their contract, so that they never displace
/// other tasks.
constexpr double outsideContractLoadLimit = 0.8;
/// Share of the running batch items that is leased in advance: about the share that ends before the
/// next lease.
constexpr double leaseAheadShare = 0.1;
/// Number of engines of a model from which prefill windows are used. With fewer, online tasks have
/// no other engine to use while batch prompts start.
constexpr std::size_t minEnginesForWindows = 3;
/// Cost, in units of load, of an engine that this entry does not prefer: the minimum applies at an
/// online tail weight of 0, the maximum at 1.
constexpr double minNonPreferredCost = 0.03;
constexpr double maxNonPreferredCost = 0.1;
/// Retry-After of a task that is rejected because of overload.
constexpr absl::Duration overloadRetryAfter = absl::Seconds(1);

bool isExcluded(const std::vector<std::string> &excluded, const EngineRecord &engineRecord)
{
    const std::string &engine = engineRecord.state.info().name;
    return std::find(excluded.begin(), excluded.end(), engine) != excluded.end();
}

/// Whether the engine can start another request. \a unreported: estimated number of requests that
/// other entries have sent to it since its last report.
bool hasFreeSlot(const EngineRecord &engineRecord, double unreported = 0)
{
    const EngineState &state = engineRecord.state;
    const double requests = state.reportedRequests() - engineRecord.preempting + unreported;
    return requests + 1 <= static_cast<double>(state.maxBatch());
}

} // namespace

// Decisions

void Scheduler::State::decide(absl::Time now)
{
    nextDecision = absl::InfiniteFuture();
    enqueueBackedOff(now);
    for (auto &[model, modelPool] : pools) {
        dispatchSuspects(now, modelPool);
        dispatchOnline(now, modelPool, modelPool.online);
        dispatchOnline(now, modelPool, modelPool.outsideContract);
        rejectOutsideContract(modelPool);
        dispatchUrgent(now, modelPool);
        dispatchBatch(now, modelPool);
    }
    rejectExpired(now);
}

void Scheduler::State::enqueueBackedOff(absl::Time now)
{
    while (!backoffs.empty() && backoffs.begin()->first <= now) {
        TaskRecord &taskRecord = taskRecords.at(backoffs.begin()->second);
        backoffs.erase(backoffs.begin());
        enqueue(now, taskRecord);
    }
    if (!backoffs.empty())
        scheduleDecision(backoffs.begin()->first);
}

void Scheduler::State::dispatchSuspects(absl::Time now, ModelPool &modelPool)
{
    const std::set<std::pair<TaskKind, TaskId>> waiting = modelPool.suspects;
    for (const auto &[kind, id] : waiting) {
        TaskRecord &taskRecord = taskRecords.at(id);
        if (rejectBlocked(now, taskRecord))
            continue;
        EngineRecord *engineRecord = chooseSuspectEngine(now, modelPool, taskRecord);
        if (engineRecord == nullptr || engineRecord->suspectsRunning > 0
            || !hasCapacity(now, *engineRecord))
            continue;
        preemptIfFull(now, modelPool, *engineRecord);
        start(now, taskRecord, *engineRecord);
    }
}

EngineRecord *Scheduler::State::chooseSuspectEngine(absl::Time now, const ModelPool &modelPool,
                                                    const TaskRecord &taskRecord)
{
    EngineRecord *ejected = nullptr;
    EngineRecord *crashed = nullptr;
    for (const std::string &engineName : modelPool.suspectOrder) {
        EngineRecord *engineRecord = engine(engineName);
        if (!isAvailable(now, *engineRecord))
            continue;
        const bool hasCrashed = quarantine.hasCrashed(taskRecord.task.fingerprint, engineName);
        const bool isEjected = modelPool.failures.isEjected(now, engineName);
        if (!hasCrashed && !isEjected)
            return engineRecord;
        if (!hasCrashed && ejected == nullptr)
            ejected = engineRecord;
        if (hasCrashed && isUsable(now, modelPool, *engineRecord))
            crashed = engineRecord;
    }
    // When no other engine is available, the suspect, which may not have caused the crash, runs
    // again on an engine that crashed while it ran there.
    return ejected != nullptr ? ejected : crashed;
}

bool Scheduler::State::isAvailable(absl::Time now, const EngineRecord &engineRecord)
{
    const EngineState &state = engineRecord.state;
    return !state.info().leaving && !state.outlier().ejected(now)
           && now - state.reportedAt() < reportLifetime;
}

bool Scheduler::State::isWithheld(absl::Time now, const ModelPool &modelPool,
                                  const std::vector<std::string> &excluded,
                                  const EngineRecord &engineRecord)
{
    const auto isEjected = [&](const EngineRecord &candidate) {
        return modelPool.failures.isEjected(now, candidate.state.info().name);
    };
    const auto isAlternative = [&](const EngineRecord *other) {
        return isAvailable(now, *other) && !isEjected(*other) && !isExcluded(excluded, *other);
    };
    return isEjected(engineRecord)
           && std::any_of(modelPool.engines.begin(), modelPool.engines.end(), isAlternative);
}

bool Scheduler::State::isUsable(absl::Time now, const ModelPool &modelPool,
                                const EngineRecord &engineRecord)
{
    return isAvailable(now, engineRecord) && !isWithheld(now, modelPool, {}, engineRecord);
}

void Scheduler::State::removePassedOver(absl::Time now, const ModelPool &modelPool,
                                        const TaskRecord &taskRecord,
                                        const std::vector<std::string> &excluded,
                                        std::vector<EngineRecord *> &open) const
{
    const auto nameOf = [](const EngineRecord *engineRecord) -> const std::string & {
        return engineRecord->state.info().name;
    };
    const auto isAlternative = [&](const EngineRecord *engineRecord) {
        return hasFreeSlot(*engineRecord) && isWithinLoadLimit(taskRecord, *engineRecord)
               && !isExcluded(excluded, *engineRecord);
    };
    const auto isIdle = [](const EngineRecord *engineRecord) {
        return engineRecord->state.reportedRequests() == 0;
    };
    policy::removePassedOver(now, modelPool.failures, open, nameOf, isAlternative, isIdle);
}

bool Scheduler::State::isWithinLoadLimit(const TaskRecord &taskRecord,
                                         const EngineRecord &engineRecord) const
{
    return taskRecord.task.insideContract
           || expectedLoad(engineRecord.state, entries) <= outsideContractLoadLimit;
}

void Scheduler::State::dispatchOnline(absl::Time now, ModelPool &modelPool, FairQueue &queue)
{
    while (const std::optional<TaskId> next = queue.front()) {
        TaskRecord &taskRecord = taskRecords.at(*next);
        if (rejectBlocked(now, taskRecord))
            continue;
        EngineRecord *engineRecord = chooseOnlineEngine(now, modelPool, taskRecord);
        if (engineRecord == nullptr || !isWithinLoadLimit(taskRecord, *engineRecord))
            break;
        preemptIfFull(now, modelPool, *engineRecord);
        start(now, taskRecord, *engineRecord);
    }
    while (queue.size() > settings.maxOnlineQueueLength) {
        TaskRecord &taskRecord = taskRecords.at(*queue.back());
        reject(taskRecord, ErrorCode::Overloaded, "the queue of online requests is full");
    }
}

void Scheduler::State::rejectOutsideContract(ModelPool &modelPool)
{
    while (const std::optional<TaskId> next = modelPool.outsideContract.front())
        reject(taskRecords.at(*next), ErrorCode::Overloaded, "no capacity beyond the contract");
}

void Scheduler::State::rejectExpired(absl::Time now)
{
    while (!onlineDeadlines.empty() && onlineDeadlines.begin()->first <= now) {
        TaskRecord &taskRecord = taskRecords.at(onlineDeadlines.begin()->second);
        reject(taskRecord, ErrorCode::Overloaded,
               "no engine had a free slot within the queue limit");
    }
    if (!onlineDeadlines.empty())
        scheduleDecision(onlineDeadlines.begin()->first);
}

void Scheduler::State::dispatchUrgent(absl::Time now, ModelPool &modelPool)
{
    std::set<TimedTask> &latest = modelPool.latestStarts;
    while (!latest.empty() && latest.begin()->first <= now) {
        TaskRecord &taskRecord = taskRecords.at(latest.begin()->second);
        if (rejectBlocked(now, taskRecord))
            continue;
        // An item that can no longer meet its deadline keeps its position in the batch queue.
        if (now + remainingTime(taskRecord) > taskRecord.task.deadline) {
            latest.erase(latest.begin());
            continue;
        }
        EngineRecord *engineRecord = chooseOnlineEngine(now, modelPool, taskRecord);
        if (engineRecord == nullptr)
            return;
        preemptIfFull(now, modelPool, *engineRecord);
        start(now, taskRecord, *engineRecord);
    }
    if (!latest.empty())
        scheduleDecision(latest.begin()->first);
}

void Scheduler::State::dispatchBatch(absl::Time now, ModelPool &modelPool)
{
    if (modelPool.batch.empty() || !modelPool.online.empty())
        return;
    std::vector<BatchCapacity> open = enginesForBatch(now, modelPool);
    std::stable_sort(open.begin(), open.end(),
                     [](const BatchCapacity &left, const BatchCapacity &right) {
                         return left.tasks > right.tasks;
                     });
    for (const BatchCapacity &capacity : open) {
        for (int i = 0; i < capacity.tasks && startBatchOn(now, modelPool, *capacity.engine); ++i) {
        }
    }
}

std::vector<BatchCapacity> Scheduler::State::enginesForBatch(absl::Time now,
                                                             const ModelPool &modelPool) const
{
    std::vector<BatchCapacity> open;
    for (EngineRecord *engineRecord : modelPool.engines) {
        const int tasks = batchCapacityOn(now, modelPool, *engineRecord);
        if (tasks > 0)
            open.push_back(BatchCapacity{engineRecord, tasks});
    }
    const auto nameOf = [](const BatchCapacity &capacity) -> const std::string & {
        return capacity.engine->state.info().name;
    };
    const auto isIdle = [](const BatchCapacity &capacity) {
        return capacity.engine->state.reportedRequests() == 0;
    };
    policy::removePassedOver(now, modelPool.failures, open, nameOf, isIdle);
    return open;
}

bool Scheduler::State::startBatchOn(absl::Time now, ModelPool &modelPool,
                                    EngineRecord &engineRecord)
{
    while (const std::optional<TaskId> next = modelPool.batch.front()) {
        TaskRecord &taskRecord = taskRecords.at(*next);
        if (rejectBlocked(now, taskRecord))
            continue;
        if (usesWindows(modelPool) && !prefillWindows.isOpen(now, engineRecord.windowGroup)) {
            scheduleDecision(prefillWindows.nextOpening(now, engineRecord.windowGroup));
            return false;
        }
        if (now < engineRecord.nextBatchStart) {
            scheduleDecision(engineRecord.nextBatchStart);
            return false;
        }
        const std::int64_t prefill = engineRecord.state.localPrefillTokens(TaskKind::Batch);
        if (prefill > 0 && prefill + taskRecord.contextTokens() > batchAllowance.prefillLimit())
            return false;
        const std::int64_t tokens = taskRecord.kvHandle.empty() ? taskRecord.contextTokens() : 0;
        engineRecord.nextBatchStart = now + batchAllowance.startInterval(tokens, entries);
        start(now, taskRecord, engineRecord);
        return true;
    }
    return false;
}

EngineRecord *Scheduler::State::chooseOnlineEngine(absl::Time now, const ModelPool &modelPool,
                                                   const TaskRecord &taskRecord)
{
    EngineRecord *chosen = chooseReportedEngine(now, modelPool, taskRecord, taskRecord.excluded);
    if (chosen == nullptr && !taskRecord.excluded.empty())
        chosen = chooseReportedEngine(now, modelPool, taskRecord, {});
    return chosen != nullptr ? chosen : chooseUnreportedEngine(now, modelPool, taskRecord);
}

EngineRecord *Scheduler::State::chooseReportedEngine(absl::Time now, const ModelPool &modelPool,
                                                     const TaskRecord &taskRecord,
                                                     const std::vector<std::string> &excluded)
{
    std::vector<EngineRecord *> records;
    for (EngineRecord *engineRecord : modelPool.engines) {
        const bool recent = now - engineRecord->state.reportedAt() < reportLifetime;
        if (recent && hasCapacity(now, *engineRecord)
            && !isWithheld(now, modelPool, excluded, *engineRecord))
            records.push_back(engineRecord);
    }
    removePassedOver(now, modelPool, taskRecord, excluded, records);
    return route(now, modelPool, taskRecord, excluded, records);
}

EngineRecord *Scheduler::State::chooseUnreportedEngine(absl::Time now, const ModelPool &modelPool,
                                                       const TaskRecord &taskRecord)
{
    const std::vector<std::string> &excluded = taskRecord.excluded;
    std::vector<EngineRecord *> records;
    for (EngineRecord *engineRecord : modelPool.engines) {
        const bool recent = now - engineRecord->state.reportedAt() < reportLifetime;
        const std::int64_t localOnline = engineRecord->state.localTasks(TaskKind::Online);
        if (!recent && localOnline < maxTasksWithoutReport
            && !isWithheld(now, modelPool, excluded, *engineRecord))
            records.push_back(engineRecord);
    }
    return route(now, modelPool, taskRecord, excluded, records);
}

EngineRecord *Scheduler::State::route(absl::Time now, const ModelPool &modelPool,
                                      const TaskRecord &taskRecord,
                                      const std::vector<std::string> &excluded,
                                      const std::vector<EngineRecord *> &records)
{
    std::vector<RouteCandidate> candidates;
    candidates.reserve(records.size());
    for (const EngineRecord *engineRecord : records)
        candidates.push_back(candidate(now, modelPool, *engineRecord));
    const int chosen =
            router.choose(now, taskRecord.task, candidates, excluded, prefixes, entries, random);
    return chosen < 0 ? nullptr : records[static_cast<std::size_t>(chosen)];
}

RouteCandidate Scheduler::State::candidate(absl::Time now, const ModelPool &modelPool,
                                           const EngineRecord &engineRecord) const
{
    // While this entry runs no batch tasks, the windows are not considered.
    const bool busy = runningCount[index(TaskKind::Batch)] > 0 && usesWindows(modelPool)
                      && prefillWindows.isBusy(now, engineRecord.windowGroup);
    const double nonPreferredCost = engineRecord.preferred
                                            ? 0
                                            : interpolate(minNonPreferredCost, maxNonPreferredCost,
                                                          settings.onlineTailWeight);
    return RouteCandidate{&engineRecord.state,
                          nonPreferredCost + (busy ? settings.batchPrefillCost : 0),
                          modelPool.failures.usableShare(now, engineRecord.state.info().name)};
}

bool Scheduler::State::usesWindows(const ModelPool &modelPool)
{
    return modelPool.engines.size() >= minEnginesForWindows;
}

bool Scheduler::State::hasCapacity(absl::Time now, const EngineRecord &engineRecord) const
{
    const EngineState &state = engineRecord.state;
    if (state.info().leaving || state.outlier().ejected(now) || !state.hasReport())
        return false;
    if (hasFreeSlot(engineRecord))
        return true;
    return std::any_of(engineRecord.running.begin(), engineRecord.running.end(),
                       [&](TaskId id) { return isPreemptible(now, taskRecords.at(id)); });
}

void Scheduler::State::preemptIfFull(absl::Time now, ModelPool &modelPool,
                                     EngineRecord &engineRecord)
{
    if (!engineRecord.state.hasReport() || hasFreeSlot(engineRecord, unreportedOnline(modelPool)))
        return;
    // One preemption for each start: other entries preempt tasks for their own starts.
    if (TaskRecord *victim = chooseVictim(now, engineRecord))
        preempt(*victim);
}

TaskRecord *Scheduler::State::chooseVictim(absl::Time now, const EngineRecord &engineRecord)
{
    TaskRecord *victim = nullptr;
    const auto costOf = [](const TaskRecord &taskRecord) {
        return std::make_pair(taskRecord.preemptions, taskRecord.contextTokens());
    };
    for (const TaskId id : engineRecord.running) {
        TaskRecord &taskRecord = taskRecords.at(id);
        if (!isPreemptible(now, taskRecord))
            continue;
        if (victim == nullptr || costOf(taskRecord) < costOf(*victim))
            victim = &taskRecord;
    }
    return victim;
}

bool Scheduler::State::isPreemptible(absl::Time now, const TaskRecord &taskRecord) const
{
    return !taskRecord.isOnline() && taskRecord.phase == TaskRecord::Phase::Running
           && !taskRecord.suspect && now < latestStart(taskRecord);
}

void Scheduler::State::preempt(TaskRecord &taskRecord)
{
    taskRecord.phase = TaskRecord::Phase::Preempting;
    EngineRecord *engineRecord = engine(taskRecord.engine);
    if (engineRecord != nullptr)
        ++engineRecord->preempting;
    const bool exportsKv = taskRecord.prefillTokens == 0
                           && taskRecord.contextTokens() >= settings.minKvExportTokens;
    const PreemptMethod method = exportsKv ? PreemptMethod::ExportKv : PreemptMethod::Cancel;
    decisions.emplace_back(
            PreemptTask{taskRecord.task.id, taskRecord.engine, taskRecord.attempt, method});
}

void Scheduler::State::start(absl::Time now, TaskRecord &taskRecord, EngineRecord &engineRecord)
{
    dequeue(taskRecord);
    taskRecord.phase = TaskRecord::Phase::Running;
    taskRecord.engine = engineRecord.state.info().name;
    ++taskRecord.attempt;
    taskRecord.startedAt = now;
    taskRecord.progressAt = now;
    taskRecord.crashRecorded = false;
    const bool importsKv = !taskRecord.kvHandle.empty();
    // At least 1, also when no prefill is needed, because 0 means that the first token has arrived.
    taskRecord.prefillTokens =
            importsKv ? 1 : std::max<std::int64_t>(taskRecord.contextTokens(), 1);
    // The context grows by one token at a time, so half of the remaining tokens is the mean growth
    // of a task that generates all of them.
    taskRecord.kvTokens = taskRecord.contextTokens() + taskRecord.remainingTokens() / 2;
    taskRecord.chargedTokens =
            static_cast<double>(taskRecord.prefillTokens + taskRecord.remainingTokens());
    ModelPool &modelPool = pool(taskRecord.task.model);
    FairQueue &queue = taskRecord.isOnline() ? modelPool.online : modelPool.batch;
    queue.charge(taskRecord.task.workspace, taskRecord.chargedTokens);
    if (taskRecord.isOnline() && taskRecord.attempt == 1)
        retry.recordFirstAttempt();
    engineRecord.state.taskStarted(now, taskRecord.task.kind, taskRecord.prefillTokens,
                                   taskRecord.kvTokens);
    engineRecord.running.insert(taskRecord.task.id);
    engineRecord.suspectsRunning += taskRecord.suspect ? 1 : 0;
    ++runningCount[index(taskRecord.task.kind)];
    prefixes.recordPrompt(now, taskRecord.engine, taskRecord.task.prefixHashes,
                          taskRecord.task.promptTokens);
    decisions.emplace_back(StartTask{taskRecord.task.id, taskRecord.engine, taskRecord.attempt,
                                     taskRecord.deliveredTokens, taskRecord.kvHandle});
    taskRecord.kvHandle.clear();
}

void Scheduler::State::reject(TaskRecord &taskRecord, ErrorCode code, std::string detail)
{
    const EffectState effect =
            taskRecord.mayHaveRun ? EffectState::MayHaveRun : EffectState::NotRun;
    const bool overloaded = code == ErrorCode::Overloaded;
    // A task that waited for a retry reports the failure of its earlier attempts, not the overload.
    if (overloaded && taskRecord.failures > 0)
        code = ErrorCode::UpstreamFailed;
    const absl::Duration retryAfter = overloaded ? overloadRetryAfter : absl::ZeroDuration();
    decisions.emplace_back(
            RejectTask{taskRecord.task.id, Failure{code, effect, std::move(detail)}, retryAfter});
    removeTask(taskRecord);
}

bool Scheduler::State::rejectBlocked(absl::Time now, TaskRecord &taskRecord)
{
    if (quarantineStatus(now, taskRecord.task) != QuarantineStatus::Blocked)
        return false;
    reject(taskRecord, ErrorCode::RequestQuarantined,
           "the request crashed the upstreams that ran it");
    return true;
}

// Estimates

absl::Duration Scheduler::State::remainingTime(const TaskRecord &taskRecord) const
{
    const double prefill =
            static_cast<double>(taskRecord.contextTokens()) / settings.prefillTokensPerSecond;
    const auto tokens =
            static_cast<double>(std::max<std::int64_t>(taskRecord.remainingTokens(), 1));
    return absl::Seconds(prefill) + timePerToken * tokens;
}

absl::Time Scheduler::State::latestStart(const TaskRecord &taskRecord) const
{
    return taskRecord.task.deadline - remainingTime(taskRecord) * settings.deadlineSafetyFactor;
}

absl::Time Scheduler::State::onlineDeadline(const TaskRecord &taskRecord) const
{
    const bool needsIsolation = taskRecord.suspect;
    const absl::Duration limit =
            needsIsolation ? settings.maxIsolationWait : settings.maxOnlineQueueTime;
    const absl::Time end = taskRecord.waitingSince + limit;
    return needsIsolation ? end : std::min(end, taskRecord.task.deadline);
}

double Scheduler::State::onlineRatePerEngine(absl::Time now, const ModelPool &modelPool) const
{
    const auto fleetRate = modelPool.onlineRate.perSecond(now) * static_cast<double>(entries);
    return fleetRate / static_cast<double>(std::max<std::size_t>(modelPool.engines.size(), 1));
}

double Scheduler::State::unreportedOnline(const ModelPool &modelPool) const
{
    std::int64_t change = 0;
    for (const EngineRecord *engineRecord : modelPool.engines)
        change += engineRecord->state.localTaskChange(TaskKind::Online);
    const auto localChange = static_cast<double>(std::max<std::int64_t>(change, 0));
    const auto otherEntries = static_cast<double>(entries - 1);
    return localChange * otherEntries
           / static_cast<double>(std::max<std::size_t>(modelPool.engines.size(), 1));
}

int Scheduler::State::batchCapacityOn(absl::Time now, const ModelPool &modelPool,
                                      const EngineRecord &engineRecord) const
{
    const EngineState &state = engineRecord.state;
    if (!isUsable(now, modelPool, engineRecord))
        return 0;
    const double rate = onlineRatePerEngine(now, modelPool);
    const int capacity =
            batchAllowance.batchCapacity(engineRecord, rate, unreportedOnline(modelPool), entries);
    const double share = std::min(state.outlier().trafficShare(now),
                                  modelPool.failures.usableShare(now, state.info().name));
    return share < 1 ? static_cast<int>(capacity * share) : capacity;
}

std::size_t Scheduler::State::batchCapacity(absl::Time now, const ModelPool &modelPool) const
{
    if (!modelPool.online.empty())
        return 0;
    std::size_t capacity = 0;
    std::size_t running = 0;
    for (const BatchCapacity &open : enginesForBatch(now, modelPool))
        capacity += static_cast<std::size_t>(open.tasks);
    for (const EngineRecord *engineRecord : modelPool.engines)
        running += static_cast<std::size_t>(engineRecord->state.localTasks(TaskKind::Batch));
    capacity += static_cast<std::size_t>(std::ceil(static_cast<double>(running) * leaseAheadShare));
    const std::size_t waiting = modelPool.batch.size();
    return capacity > waiting ? capacity - waiting : 0;
}

} // namespace rattanrill::policy
