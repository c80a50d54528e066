#include "schedulerstate.h"

#include "interpolate.h"

#include "rattanrill/base/concat.h"

#include <algorithm>
#include <cmath>

/// Decisions and estimates of Scheduler::State.
namespace rattanrill::policy {

namespace {

/// Age from which a load report is outdated. An engine with an outdated report is used only when no
/// engine with a newer report is available.
constexpr absl::Duration reportLifetime = absl::Seconds(2);
/// Maximum number of this entry's online tasks on an engine whose load is unknown.
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
        TaskRecord &item = items.at(backoffs.begin()->second);
        backoffs.erase(backoffs.begin());
        enqueue(now, item);
    }
    if (!backoffs.empty())
        scheduleDecision(backoffs.begin()->first);
}

void Scheduler::State::dispatchSuspects(absl::Time now, ModelPool &modelPool)
{
    const std::set<std::pair<TaskKind, TaskId>> waiting = modelPool.suspects;
    for (const auto &[kind, id] : waiting) {
        TaskRecord &item = items.at(id);
        if (rejectBlocked(now, item))
            continue;
        EngineRecord *record = chooseSuspectEngine(now, modelPool, item);
        if (record == nullptr || record->suspectsRunning > 0 || !hasCapacity(now, *record))
            continue;
        preemptIfFull(now, modelPool, *record);
        start(now, item, *record);
    }
}

EngineRecord *Scheduler::State::chooseSuspectEngine(absl::Time now, const ModelPool &modelPool,
                                                    const TaskRecord &item)
{
    EngineRecord *fallback = nullptr;
    for (const std::string &engineName : modelPool.suspectOrder) {
        EngineRecord *record = engine(engineName);
        if (!isUsable(now, *record))
            continue;
        if (!quarantine.hasCrashed(item.task.fingerprint, engineName))
            return record;
        // When no other engine is usable, the suspect, which may not have caused the crash, runs
        // again on an engine that crashed while it ran there.
        fallback = record;
    }
    return fallback;
}

bool Scheduler::State::isUsable(absl::Time now, const EngineRecord &record)
{
    const EngineState &state = record.state;
    return !state.info().leaving && !state.outlier().ejected(now)
           && now - state.reportedAt() < reportLifetime;
}

void Scheduler::State::dispatchOnline(absl::Time now, ModelPool &modelPool, FairQueue &queue)
{
    while (const std::optional<TaskId> next = queue.front()) {
        TaskRecord &item = items.at(*next);
        if (rejectBlocked(now, item))
            continue;
        EngineRecord *record = chooseOnlineEngine(now, modelPool, item);
        if (record == nullptr)
            break;
        if (!item.task.insideContract
            && expectedLoad(record->state, entries) > outsideContractLoadLimit)
            break;
        preemptIfFull(now, modelPool, *record);
        start(now, item, *record);
    }
    while (queue.size() > settings.maxOnlineQueueLength) {
        TaskRecord &item = items.at(*queue.back());
        reject(item, ErrorCode::Overloaded, "the queue of online requests is full");
    }
}

void Scheduler::State::rejectOutsideContract(ModelPool &modelPool)
{
    while (const std::optional<TaskId> next = modelPool.outsideContract.front())
        reject(items.at(*next), ErrorCode::Overloaded, "no capacity beyond the contract");
}

void Scheduler::State::rejectExpired(absl::Time now)
{
    while (!onlineDeadlines.empty() && onlineDeadlines.begin()->first <= now) {
        TaskRecord &item = items.at(onlineDeadlines.begin()->second);
        reject(item, ErrorCode::Overloaded, "no engine had a free slot within the queue limit");
    }
    if (!onlineDeadlines.empty())
        scheduleDecision(onlineDeadlines.begin()->first);
}

void Scheduler::State::dispatchUrgent(absl::Time now, ModelPool &modelPool)
{
    std::set<TimedTask> &latest = modelPool.latestStarts;
    while (!latest.empty() && latest.begin()->first <= now) {
        TaskRecord &item = items.at(latest.begin()->second);
        if (rejectBlocked(now, item))
            continue;
        // An item that can no longer meet its deadline keeps its position in the batch queue.
        if (now + remainingTime(item) > item.task.deadline) {
            latest.erase(latest.begin());
            continue;
        }
        EngineRecord *record = chooseOnlineEngine(now, modelPool, item);
        if (record == nullptr)
            return;
        preemptIfFull(now, modelPool, *record);
        start(now, item, *record);
    }
    if (!latest.empty())
        scheduleDecision(latest.begin()->first);
}

void Scheduler::State::dispatchBatch(absl::Time now, ModelPool &modelPool)
{
    if (modelPool.batch.empty() || !modelPool.online.empty())
        return;
    std::vector<std::pair<int, EngineRecord *>> enginesWithCapacity;
    for (EngineRecord *record : modelPool.engines) {
        const int capacity = batchCapacityOn(now, modelPool, *record);
        if (capacity > 0)
            enginesWithCapacity.emplace_back(capacity, record);
    }
    std::stable_sort(enginesWithCapacity.begin(), enginesWithCapacity.end(),
                     [](const auto &left, const auto &right) { return left.first > right.first; });
    for (const auto &[capacity, record] : enginesWithCapacity) {
        for (int i = 0; i < capacity && startBatchOn(now, modelPool, *record); ++i) {
        }
    }
}

bool Scheduler::State::startBatchOn(absl::Time now, ModelPool &modelPool, EngineRecord &record)
{
    while (const std::optional<TaskId> next = modelPool.batch.front()) {
        TaskRecord &item = items.at(*next);
        if (rejectBlocked(now, item))
            continue;
        if (usesWindows(modelPool) && !prefillWindows.isOpen(now, record.windowGroup)) {
            scheduleDecision(prefillWindows.nextOpening(now, record.windowGroup));
            return false;
        }
        if (now < record.nextBatchStart) {
            scheduleDecision(record.nextBatchStart);
            return false;
        }
        const std::int64_t prefill = record.state.localPrefillTokens(TaskKind::Batch);
        if (prefill > 0 && prefill + item.contextTokens() > batchAllowance.prefillLimit())
            return false;
        const std::int64_t tokens = item.kvHandle.empty() ? item.contextTokens() : 0;
        record.nextBatchStart = now + batchAllowance.spacing(tokens, entries);
        start(now, item, record);
        return true;
    }
    return false;
}

EngineRecord *Scheduler::State::chooseOnlineEngine(absl::Time now, ModelPool &modelPool,
                                                   const TaskRecord &item)
{
    std::vector<EngineRecord *> records;
    std::vector<RouteCandidate> candidates;
    for (EngineRecord *record : modelPool.engines) {
        const bool recent = now - record->state.reportedAt() < reportLifetime;
        if (recent && hasCapacity(now, *record)) {
            records.push_back(record);
            candidates.push_back(candidate(now, modelPool, *record));
        }
    }
    static const std::vector<std::string> noExclusions;
    int chosen =
            router.choose(now, item.task, candidates, item.excluded, prefixes, entries, random);
    if (chosen < 0)
        chosen = router.choose(now, item.task, candidates, noExclusions, prefixes, entries, random);
    if (chosen >= 0)
        return records[static_cast<std::size_t>(chosen)];
    records.clear();
    candidates.clear();
    for (EngineRecord *record : modelPool.engines) {
        const bool recent = now - record->state.reportedAt() < reportLifetime;
        const std::int64_t localOnline = record->state.localTasks(TaskKind::Online);
        if (!recent && localOnline < maxTasksWithoutReport) {
            records.push_back(record);
            candidates.push_back(candidate(now, modelPool, *record));
        }
    }
    chosen = router.choose(now, item.task, candidates, item.excluded, prefixes, entries, random);
    return chosen < 0 ? nullptr : records[static_cast<std::size_t>(chosen)];
}

RouteCandidate Scheduler::State::candidate(absl::Time now, const ModelPool &modelPool,
                                           const EngineRecord &record) const
{
    // While this entry runs no batch tasks, the windows are not considered.
    const bool busy = runningCount[index(TaskKind::Batch)] > 0 && usesWindows(modelPool)
                      && prefillWindows.isBusy(now, record.windowGroup);
    const double nonPreferredCost = record.preferred
                                            ? 0
                                            : interpolate(minNonPreferredCost, maxNonPreferredCost,
                                                          settings.onlineTailWeight);
    return RouteCandidate{&record.state, nonPreferredCost + (busy ? settings.batchPrefillCost : 0)};
}

bool Scheduler::State::usesWindows(const ModelPool &modelPool)
{
    return modelPool.engines.size() >= minEnginesForWindows;
}

bool Scheduler::State::hasCapacity(absl::Time now, const EngineRecord &record) const
{
    const EngineState &state = record.state;
    if (state.info().leaving || state.outlier().ejected(now) || !state.hasReport())
        return false;
    const double requests = state.reportedRequests() - record.preempting;
    if (requests + 1 <= static_cast<double>(state.maxBatch()))
        return true;
    return std::any_of(record.running.begin(), record.running.end(),
                       [&](TaskId id) { return isPreemptible(now, items.at(id)); });
}

void Scheduler::State::preemptIfFull(absl::Time now, ModelPool &modelPool, EngineRecord &record)
{
    const EngineState &state = record.state;
    const double requests =
            state.reportedRequests() - record.preempting + unreportedOnline(modelPool);
    if (!state.hasReport() || requests + 1 <= static_cast<double>(state.maxBatch()))
        return;
    // One preemption for each start: other entries preempt tasks for their own starts.
    if (TaskRecord *victim = chooseVictim(now, record))
        preempt(*victim);
}

TaskRecord *Scheduler::State::chooseVictim(absl::Time now, const EngineRecord &record)
{
    TaskRecord *victim = nullptr;
    const auto costOf = [](const TaskRecord &item) {
        return std::make_pair(item.preemptions, item.contextTokens());
    };
    for (const TaskId id : record.running) {
        TaskRecord &item = items.at(id);
        if (!isPreemptible(now, item))
            continue;
        if (victim == nullptr || costOf(item) < costOf(*victim))
            victim = &item;
    }
    return victim;
}

bool Scheduler::State::isPreemptible(absl::Time now, const TaskRecord &item) const
{
    return !item.isOnline() && item.phase == TaskRecord::Phase::Running && !item.suspect
           && now < latestStart(item);
}

void Scheduler::State::preempt(TaskRecord &item)
{
    item.phase = TaskRecord::Phase::Preempting;
    EngineRecord *record = engine(item.engine);
    if (record != nullptr)
        ++record->preempting;
    const bool exportsKv =
            item.prefillTokens == 0 && item.contextTokens() >= settings.minKvExportTokens;
    const PreemptMethod method = exportsKv ? PreemptMethod::ExportKv : PreemptMethod::Cancel;
    decisions.emplace_back(PreemptTask{item.task.id, item.engine, item.attempt, method});
}

void Scheduler::State::start(absl::Time now, TaskRecord &item, EngineRecord &record)
{
    dequeue(item);
    item.phase = TaskRecord::Phase::Running;
    item.engine = record.state.info().name;
    ++item.attempt;
    item.startedAt = now;
    item.progressAt = now;
    item.crashRecorded = false;
    const bool importsKv = !item.kvHandle.empty();
    item.prefillTokens = importsKv ? 1 : std::max<std::int64_t>(item.contextTokens(), 1);
    item.kvTokens = item.contextTokens() + item.remainingTokens() / 2;
    item.chargedTokens = static_cast<double>(item.prefillTokens + item.remainingTokens());
    ModelPool &modelPool = pool(item.task.model);
    FairQueue &queue = item.isOnline() ? modelPool.online : modelPool.batch;
    queue.charge(item.task.workspace, item.chargedTokens);
    if (item.isOnline() && item.attempt == 1)
        retry.recordFirstAttempt();
    record.state.taskStarted(now, item.task.kind, item.prefillTokens, item.kvTokens);
    record.running.insert(item.task.id);
    record.suspectsRunning += item.suspect ? 1 : 0;
    ++runningCount[index(item.task.kind)];
    prefixes.recordPrompt(now, item.engine, item.task.prefixHashes, item.task.promptTokens);
    decisions.emplace_back(StartTask{item.task.id, item.engine, item.attempt, item.deliveredTokens,
                                     item.kvHandle});
    item.kvHandle.clear();
}

void Scheduler::State::reject(TaskRecord &item, ErrorCode code, std::string detail)
{
    const EffectState run = item.mayHaveRun ? EffectState::MayHaveRun : EffectState::NotRun;
    const bool overloaded = code == ErrorCode::Overloaded;
    if (overloaded && item.failures > 0)
        code = ErrorCode::UpstreamFailed;
    const absl::Duration retryAfter = overloaded ? overloadRetryAfter : absl::ZeroDuration();
    decisions.emplace_back(
            RejectTask{item.task.id, Failure{code, run, std::move(detail)}, retryAfter});
    removeTask(item);
}

bool Scheduler::State::rejectBlocked(absl::Time now, TaskRecord &item)
{
    if (quarantine.status(now, item.task.fingerprint) != QuarantineStatus::Blocked)
        return false;
    reject(item, ErrorCode::RequestQuarantined, "the request crashed the upstreams that ran it");
    return true;
}

// Estimates

absl::Duration Scheduler::State::remainingTime(const TaskRecord &item) const
{
    const double prefill =
            static_cast<double>(item.contextTokens()) / settings.prefillTokensPerSecond;
    const auto tokens = static_cast<double>(std::max<std::int64_t>(item.remainingTokens(), 1));
    return absl::Seconds(prefill) + timePerToken * tokens;
}

absl::Time Scheduler::State::latestStart(const TaskRecord &item) const
{
    return item.task.deadline - remainingTime(item) * settings.deadlineSafetyFactor;
}

absl::Time Scheduler::State::onlineDeadline(const TaskRecord &item) const
{
    const bool needsIsolation = item.suspect;
    const absl::Duration limit =
            needsIsolation ? settings.maxIsolationWait : settings.maxOnlineQueueTime;
    const absl::Time end = item.waitingSince + limit;
    return needsIsolation ? end : std::min(end, item.task.deadline);
}

double Scheduler::State::onlineRatePerEngine(absl::Time now, const ModelPool &modelPool) const
{
    const auto fleetRate = modelPool.onlineRate.perSecond(now) * static_cast<double>(entries);
    return fleetRate / static_cast<double>(std::max<std::size_t>(modelPool.engines.size(), 1));
}

double Scheduler::State::unreportedOnline(const ModelPool &modelPool) const
{
    std::int64_t change = 0;
    for (const EngineRecord *record : modelPool.engines)
        change += record->state.localTaskChange(TaskKind::Online);
    const auto localChange = static_cast<double>(std::max<std::int64_t>(change, 0));
    const auto otherEntries = static_cast<double>(entries - 1);
    return localChange * otherEntries
           / static_cast<double>(std::max<std::size_t>(modelPool.engines.size(), 1));
}

int Scheduler::State::batchCapacityOn(absl::Time now, const ModelPool &modelPool,
                                      const EngineRecord &record) const
{
    const EngineState &state = record.state;
    if (!isUsable(now, record))
        return 0;
    const double rate = onlineRatePerEngine(now, modelPool);
    const int capacity =
            batchAllowance.batchCapacity(record, rate, unreportedOnline(modelPool), entries);
    const double share = state.outlier().trafficShare(now);
    return share < 1 ? static_cast<int>(capacity * share) : capacity;
}

std::size_t Scheduler::State::batchCapacity(absl::Time now, const ModelPool &modelPool) const
{
    if (!modelPool.online.empty())
        return 0;
    std::size_t capacity = 0;
    std::size_t running = 0;
    for (const EngineRecord *record : modelPool.engines) {
        capacity += static_cast<std::size_t>(std::max(batchCapacityOn(now, modelPool, *record), 0));
        running += static_cast<std::size_t>(record->state.localTasks(TaskKind::Batch));
    }
    capacity += static_cast<std::size_t>(std::ceil(static_cast<double>(running) * leaseAheadShare));
    const std::size_t waiting = modelPool.batch.size();
    return capacity > waiting ? capacity - waiting : 0;
}

} // namespace rattanrill::policy
