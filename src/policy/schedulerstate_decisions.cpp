#include "schedulerstate.h"

#include "between.h"

#include "rattanrill/base/concat.h"

#include <algorithm>
#include <cmath>

/// What the scheduler decides from its state.
namespace rattanrill::policy {

namespace {

/// A load report older than this no longer describes the engine: it is used only when no other
/// engine has a newer one.
constexpr absl::Duration reportLifetime = absl::Seconds(2);
/// Online works that an entry puts on an engine of unknown load.
constexpr std::int64_t unreportedLimit = 4;
/// Load above which work outside its contract is refused, so that it never displaces other work.
constexpr double outsideLoadLimit = 0.8;
/// Part of the running batch items that is leased ahead: about what ends until the next lease.
constexpr double leaseAheadShare = 0.1;
/// Engines of a model from which on online work has others to go to while batch prompts start.
constexpr std::size_t fewestForWindows = 3;
/// Cost in load of an engine that other entries prefer, by online tail weight.
constexpr double leastOthersCost = 0.03;
constexpr double mostOthersCost = 0.1;
/// Retry-After of an overload refusal.
constexpr absl::Duration overloadRetryAfter = absl::Seconds(1);

} // namespace

// Decisions

void Scheduler::State::decide(absl::Time now)
{
    nextDecision = absl::InfiniteFuture();
    wakeBackedOff(now);
    for (auto &[model, modelPool] : pools) {
        dispatchSuspects(now, modelPool);
        dispatchOnline(now, modelPool, modelPool.online);
        dispatchOnline(now, modelPool, modelPool.outside);
        shedOutside(modelPool);
        dispatchUrgent(now, modelPool);
        dispatchBatch(now, modelPool);
    }
    refuseLate(now);
}

void Scheduler::State::wakeBackedOff(absl::Time now)
{
    while (!backoffs.empty() && backoffs.begin()->first <= now) {
        TaskRecord &item = items.at(backoffs.begin()->second);
        backoffs.erase(backoffs.begin());
        enqueue(now, item);
    }
    if (!backoffs.empty())
        wakeAt(backoffs.begin()->first);
}

void Scheduler::State::dispatchSuspects(absl::Time now, ModelPool &modelPool)
{
    const std::set<std::pair<TaskKind, TaskId>> waiting = modelPool.suspects;
    for (const auto &[kind, id] : waiting) {
        TaskRecord &item = items.at(id);
        if (refuseHeld(now, item))
            continue;
        EngineRecord *record = suspectEngine(now, modelPool, item);
        if (record == nullptr || record->suspectsRunning > 0 || !canTake(now, *record))
            continue;
        makeRoom(now, modelPool, *record);
        start(now, item, *record);
    }
}

EngineRecord *Scheduler::State::suspectEngine(absl::Time now, const ModelPool &modelPool,
                                              const TaskRecord &item)
{
    EngineRecord *last = nullptr;
    for (const std::string &engineName : modelPool.suspectOrder) {
        EngineRecord *record = engine(engineName);
        if (!isUsable(now, *record))
            continue;
        if (!quarantine.hasCrashed(item.task.fingerprint, engineName))
            return record;
        // With no other engine, an innocent request runs again where it was beside the crash.
        last = record;
    }
    return last;
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
        if (refuseHeld(now, item))
            continue;
        EngineRecord *record = chooseOnlineEngine(now, modelPool, item);
        if (record == nullptr)
            break;
        if (!item.task.insideContract && expectedLoad(record->state, entries) > outsideLoadLimit)
            break;
        makeRoom(now, modelPool, *record);
        start(now, item, *record);
    }
    while (queue.size() > settings.onlineQueueSize) {
        TaskRecord &item = items.at(*queue.back());
        refuse(item, ErrorCode::Overloaded, "the queue of online requests is full");
    }
}

void Scheduler::State::shedOutside(ModelPool &modelPool)
{
    while (const std::optional<TaskId> next = modelPool.outside.front())
        refuse(items.at(*next), ErrorCode::Overloaded, "no capacity beyond the contract");
}

void Scheduler::State::refuseLate(absl::Time now)
{
    while (!onlineDeadlines.empty() && onlineDeadlines.begin()->first <= now) {
        TaskRecord &item = items.at(onlineDeadlines.begin()->second);
        refuse(item, ErrorCode::Overloaded, "no engine had room within the queue limit");
    }
    if (!onlineDeadlines.empty())
        wakeAt(onlineDeadlines.begin()->first);
}

void Scheduler::State::dispatchUrgent(absl::Time now, ModelPool &modelPool)
{
    std::set<Deadline> &latest = modelPool.latestStarts;
    while (!latest.empty() && latest.begin()->first <= now) {
        TaskRecord &item = items.at(latest.begin()->second);
        if (refuseHeld(now, item))
            continue;
        // An item that cannot be done in time any more keeps its ordinary place.
        if (now + remainingTime(item) > item.task.deadline) {
            latest.erase(latest.begin());
            continue;
        }
        EngineRecord *record = chooseOnlineEngine(now, modelPool, item);
        if (record == nullptr)
            return;
        makeRoom(now, modelPool, *record);
        start(now, item, *record);
    }
    if (!latest.empty())
        wakeAt(latest.begin()->first);
}

void Scheduler::State::dispatchBatch(absl::Time now, ModelPool &modelPool)
{
    if (modelPool.batch.empty() || !modelPool.online.empty())
        return;
    std::vector<std::pair<int, EngineRecord *>> roomy;
    for (EngineRecord *record : modelPool.engines) {
        const int room = batchCapacityOn(now, modelPool, *record);
        if (room > 0)
            roomy.emplace_back(room, record);
    }
    std::stable_sort(roomy.begin(), roomy.end(),
                     [](const auto &left, const auto &right) { return left.first > right.first; });
    for (const auto &[room, record] : roomy) {
        for (int i = 0; i < room && startBatchOn(now, modelPool, *record); ++i) {
        }
    }
}

bool Scheduler::State::startBatchOn(absl::Time now, ModelPool &modelPool, EngineRecord &record)
{
    while (const std::optional<TaskId> next = modelPool.batch.front()) {
        TaskRecord &item = items.at(*next);
        if (refuseHeld(now, item))
            continue;
        if (usesWindows(modelPool) && !prefillWindows.isOpen(now, record.windowGroup)) {
            wakeAt(prefillWindows.nextOpening(now, record.windowGroup));
            return false;
        }
        if (now < record.nextBatchStart) {
            wakeAt(record.nextBatchStart);
            return false;
        }
        const std::int64_t prefill = record.state.localPrefillTokens(TaskKind::Batch);
        if (prefill > 0 && prefill + item.contextTokens() > allowance.prefillLimit())
            return false;
        const std::int64_t tokens = item.kvHandle.empty() ? item.contextTokens() : 0;
        record.nextBatchStart = now + allowance.spacing(tokens, entries);
        start(now, item, record);
        return true;
    }
    return false;
}

EngineRecord *Scheduler::State::chooseOnlineEngine(absl::Time now, ModelPool &modelPool,
                                                   const TaskRecord &item)
{
    std::vector<EngineRecord *> records;
    std::vector<RouteCandidate> fresh;
    for (EngineRecord *record : modelPool.engines) {
        const bool recent = now - record->state.reportedAt() < reportLifetime;
        if (recent && canTake(now, *record)) {
            records.push_back(record);
            fresh.push_back(candidate(now, modelPool, *record));
        }
    }
    static const std::vector<std::string> none;
    int chosen = router.choose(now, item.task, fresh, item.excluded, prefixes, entries, random);
    if (chosen < 0)
        chosen = router.choose(now, item.task, fresh, none, prefixes, entries, random);
    if (chosen >= 0)
        return records[static_cast<std::size_t>(chosen)];
    records.clear();
    fresh.clear();
    for (EngineRecord *record : modelPool.engines) {
        const bool recent = now - record->state.reportedAt() < reportLifetime;
        const std::int64_t own = record->state.localTasks(TaskKind::Online);
        if (!recent && own < unreportedLimit) {
            records.push_back(record);
            fresh.push_back(candidate(now, modelPool, *record));
        }
    }
    chosen = router.choose(now, item.task, fresh, item.excluded, prefixes, entries, random);
    return chosen < 0 ? nullptr : records[static_cast<std::size_t>(chosen)];
}

RouteCandidate Scheduler::State::candidate(absl::Time now, const ModelPool &modelPool,
                                           const EngineRecord &record) const
{
    // Without batch work the windows are empty.
    const bool busy = runningCount[index(TaskKind::Batch)] > 0 && usesWindows(modelPool)
                      && prefillWindows.isBusy(now, record.windowGroup);
    const double others =
            record.preferred ? 0
                             : between(leastOthersCost, mostOthersCost, settings.onlineTailWeight);
    return RouteCandidate{&record.state, others + (busy ? settings.batchPrefillCost : 0)};
}

bool Scheduler::State::usesWindows(const ModelPool &modelPool)
{
    return modelPool.engines.size() >= fewestForWindows;
}

bool Scheduler::State::canTake(absl::Time now, const EngineRecord &record) const
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

void Scheduler::State::makeRoom(absl::Time now, ModelPool &modelPool, EngineRecord &record)
{
    const EngineState &state = record.state;
    const double requests = state.reportedRequests() - record.preempting + unseenOnline(modelPool);
    if (!state.hasReport() || requests + 1 <= static_cast<double>(state.maxBatch()))
        return;
    // One for each start: other entries make room for what they start themselves.
    if (TaskRecord *victim = victimOn(now, record))
        preempt(*victim);
}

TaskRecord *Scheduler::State::victimOn(absl::Time now, const EngineRecord &record)
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
    const bool worthExport =
            item.prefillTokens == 0 && item.contextTokens() >= settings.kvExportTokens;
    const PreemptMethod method = worthExport ? PreemptMethod::ExportKv : PreemptMethod::Cancel;
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
    item.crashCounted = false;
    const bool import = !item.kvHandle.empty();
    item.prefillTokens = import ? 1 : std::max<std::int64_t>(item.contextTokens(), 1);
    item.kvTokens = item.contextTokens() + item.remainingTokens() / 2;
    item.charged = static_cast<double>(item.prefillTokens + item.remainingTokens());
    ModelPool &modelPool = pool(item.task.model);
    FairQueue &queue = item.isOnline() ? modelPool.online : modelPool.batch;
    queue.charge(item.task.workspace, item.charged);
    if (item.isOnline() && item.attempt == 1)
        retry.firstAttempt();
    record.state.taskStarted(now, item.task.kind, item.prefillTokens, item.kvTokens);
    record.running.insert(item.task.id);
    record.suspectsRunning += item.suspect ? 1 : 0;
    ++runningCount[index(item.task.kind)];
    prefixes.recordPrompt(now, item.engine, item.task.prefixHashes, item.task.promptTokens);
    decisions.emplace_back(StartTask{item.task.id, item.engine, item.attempt, item.deliveredTokens,
                                     item.kvHandle});
    item.kvHandle.clear();
}

void Scheduler::State::refuse(TaskRecord &item, ErrorCode code, std::string detail)
{
    const EffectState run = item.mayHaveRun ? EffectState::MayHaveRun : EffectState::NotRun;
    const bool overloaded = code == ErrorCode::Overloaded;
    if (overloaded && item.failures > 0)
        code = ErrorCode::UpstreamFailed;
    const absl::Duration retryAfter = overloaded ? overloadRetryAfter : absl::ZeroDuration();
    decisions.emplace_back(
            RejectTask{item.task.id, Failure{code, run, std::move(detail)}, retryAfter});
    forget(item);
}

bool Scheduler::State::refuseHeld(absl::Time now, TaskRecord &item)
{
    if (quarantine.status(now, item.task.fingerprint) != QuarantineStatus::Blocked)
        return false;
    refuse(item, ErrorCode::RequestQuarantined, "the request crashed the upstreams that ran it");
    return true;
}

// Estimates

absl::Duration Scheduler::State::remainingTime(const TaskRecord &item) const
{
    const double prefill =
            static_cast<double>(item.contextTokens()) / settings.prefillTokensPerSecond;
    const auto tokens = static_cast<double>(std::max<std::int64_t>(item.remainingTokens(), 1));
    return absl::Seconds(prefill) + tokenTime * tokens;
}

absl::Time Scheduler::State::latestStart(const TaskRecord &item) const
{
    return item.task.deadline - remainingTime(item) * settings.deadlineSafetyFactor;
}

absl::Time Scheduler::State::onlineDeadline(const TaskRecord &item) const
{
    const bool patient = item.suspect;
    const absl::Duration limit = patient ? settings.isolationLimit : settings.onlineQueueLimit;
    const absl::Time end = item.waitingSince + limit;
    return patient ? end : std::min(end, item.task.deadline);
}

double Scheduler::State::onlineRatePerEngine(absl::Time now, const ModelPool &modelPool) const
{
    const auto fleet = modelPool.onlineRate.perSecond(now) * static_cast<double>(entries);
    return fleet / static_cast<double>(std::max<std::size_t>(modelPool.engines.size(), 1));
}

double Scheduler::State::unseenOnline(const ModelPool &modelPool) const
{
    std::int64_t change = 0;
    for (const EngineRecord *record : modelPool.engines)
        change += record->state.localTaskChange(TaskKind::Online);
    const auto own = static_cast<double>(std::max<std::int64_t>(change, 0));
    const auto others = static_cast<double>(entries - 1);
    return own * others / static_cast<double>(std::max<std::size_t>(modelPool.engines.size(), 1));
}

int Scheduler::State::batchCapacityOn(absl::Time now, const ModelPool &modelPool,
                                      const EngineRecord &record) const
{
    const EngineState &state = record.state;
    if (!isUsable(now, record))
        return 0;
    const double rate = onlineRatePerEngine(now, modelPool);
    const int room = allowance.batchCapacity(record, rate, unseenOnline(modelPool), entries);
    const double share = state.outlier().trafficShare(now);
    return share < 1 ? static_cast<int>(room * share) : room;
}

std::size_t Scheduler::State::batchCapacity(absl::Time now, const ModelPool &modelPool) const
{
    if (!modelPool.online.empty())
        return 0;
    std::size_t room = 0;
    std::size_t running = 0;
    for (const EngineRecord *record : modelPool.engines) {
        room += static_cast<std::size_t>(std::max(batchCapacityOn(now, modelPool, *record), 0));
        running += static_cast<std::size_t>(record->state.localTasks(TaskKind::Batch));
    }
    room += static_cast<std::size_t>(std::ceil(static_cast<double>(running) * leaseAheadShare));
    const std::size_t waiting = modelPool.batch.size();
    return room > waiting ? room - waiting : 0;
}

} // namespace rattanrill::policy
