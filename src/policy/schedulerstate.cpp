#include "schedulerstate.h"

#include "between.h"

#include "rattanrill/base/concat.h"

#include <algorithm>
#include <cmath>

namespace rattanrill::policy {

namespace {

/// Weight of a new sample in smoothed times.
constexpr double smoothing = 0.05;
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
/// Tokens past the point of a crash after which a request runs beside other suspects again. The
/// crash still counts against it until it has completed.
constexpr std::int64_t tokensPastCrash = 16;
/// Retry-After of an overload refusal.
constexpr absl::Duration overloadRetryAfter = absl::Seconds(1);

absl::Duration smoothed(absl::Duration old, absl::Duration sample)
{
    return old + (sample - old) * smoothing;
}

std::size_t index(WorkKind kind)
{
    return static_cast<std::size_t>(kind);
}

} // namespace

Scheduler::State::State(SchedulerSettings schedulerSettings, std::uint64_t seed)
    : settings(std::move(schedulerSettings))
    , router(settings.router, settings.failureDomain)
    , allowance(settings)
    , prefillWindows(settings.onlineTailWeight)
    , retry(settings.retry)
    , quarantine(settings.quarantine)
    , random(seed)
    , tokenTime(settings.decodeStep)
{}

// Lists

void Scheduler::State::setEngines(const std::vector<EngineInfo> &list)
{
    for (auto &[engineName, record] : engines)
        record->removed = true;
    for (auto &[model, modelPool] : pools)
        modelPool.engines.clear();
    for (const EngineInfo &info : list) {
        std::unique_ptr<EngineRecord> &record = engines[info.name];
        if (record == nullptr)
            record = std::make_unique<EngineRecord>(info, settings.router.outlier);
        record->state.setInfo(info);
        record->removed = false;
        pool(info.model).engines.push_back(record.get());
    }
    assignAllEngines();
    for (auto record = engines.begin(); record != engines.end();) {
        const bool unused = record->second->removed && record->second->running.empty();
        record = unused ? engines.erase(record) : std::next(record);
    }
}

void Scheduler::State::assignAllEngines()
{
    for (auto &[model, modelPool] : pools)
        assignEngines(modelPool);
}

void Scheduler::State::assignEngines(ModelPool &modelPool)
{
    // All entries number the engines of a model in order of name.
    std::sort(modelPool.engines.begin(), modelPool.engines.end(),
              [](const EngineRecord *left, const EngineRecord *right) {
                  return left->state.info().name < right->state.info().name;
              });
    std::vector<std::string> names;
    for (std::size_t i = 0; i < modelPool.engines.size(); ++i) {
        modelPool.engines[i]->windowGroup = i % prefillWindows.groups();
        modelPool.engines[i]->preferred = false;
        names.push_back(modelPool.engines[i]->state.info().name);
    }
    for (const std::string &own : ownEngines.choose(names))
        engine(own)->preferred = true;
    modelPool.suspectOrder = ownEngines.suspectOrder(std::move(names));
}

void Scheduler::State::setWorkspaces(const std::vector<WorkspaceShare> &list)
{
    for (const WorkspaceShare &share : list) {
        workspaces[share.workspace] = share;
        for (auto &[model, modelPool] : pools) {
            modelPool.online.setWeight(share.workspace, share.onlineWeight);
            modelPool.outside.setWeight(share.workspace, share.onlineWeight);
            modelPool.batch.setWeight(share.workspace, share.batchWeight);
        }
    }
}

ModelPool &Scheduler::State::pool(const std::string &model)
{
    const auto found = pools.find(model);
    if (found != pools.end())
        return found->second;
    ModelPool &created = pools[model];
    for (const auto &[workspace, share] : workspaces) {
        created.online.setWeight(workspace, share.onlineWeight);
        created.outside.setWeight(workspace, share.onlineWeight);
        created.batch.setWeight(workspace, share.batchWeight);
    }
    return created;
}

EngineRecord *Scheduler::State::engine(const std::string &name)
{
    const auto found = engines.find(name);
    return found == engines.end() ? nullptr : found->second.get();
}

WorkItem *Scheduler::State::find(WorkId work)
{
    const auto found = items.find(work);
    return found == items.end() ? nullptr : &found->second;
}

WorkItem *Scheduler::State::running(WorkId work, int attempt)
{
    WorkItem *item = find(work);
    const bool current = item != nullptr && item->isRunning() && item->attempt == attempt;
    return current ? item : nullptr;
}

// Events

void Scheduler::State::enqueue(absl::Time now, WorkItem &item)
{
    item.phase = WorkItem::Phase::Waiting;
    item.waitingSince = now;
    // The crash may have been explained while the work backed off.
    if (quarantine.standing(now, item.work.fingerprint) == Standing::Clear)
        item.suspect = false;
    ModelPool &waitingPool = pool(item.work.model);
    if (item.isOnline()) {
        item.onlineDeadline = onlineDeadline(item);
        onlineDeadlines.insert({item.onlineDeadline, item.work.id});
    }
    if (item.suspect) {
        waitingPool.suspects.insert({item.work.kind, item.work.id});
        return;
    }
    if (item.isOnline()) {
        FairQueue &queue = item.work.insideContract ? waitingPool.online : waitingPool.outside;
        queue.push(item.work.workspace, item.work.id, item.waitingSince);
        return;
    }
    using Order = FairQueue::Order;
    const Order order = item.deliveredTokens > 0 ? Order::First : Order::ByArrival;
    waitingPool.batch.push(item.work.workspace, item.work.id, item.work.due, order);
    item.latestStart = latestStart(item);
    waitingPool.latestStarts.insert({item.latestStart, item.work.id});
}

void Scheduler::State::dequeue(WorkItem &item)
{
    if (item.phase == WorkItem::Phase::BackingOff) {
        backoffs.erase({item.notBefore, item.work.id});
        return;
    }
    ModelPool &waitingPool = pool(item.work.model);
    waitingPool.suspects.erase({item.work.kind, item.work.id});
    if (item.isOnline()) {
        onlineDeadlines.erase({item.onlineDeadline, item.work.id});
        waitingPool.online.remove(item.work.id);
        waitingPool.outside.remove(item.work.id);
        return;
    }
    waitingPool.batch.remove(item.work.id);
    waitingPool.latestStarts.erase({item.latestStart, item.work.id});
}

void Scheduler::State::noteProgress(absl::Time now, WorkItem &item, std::int64_t deliveredTokens)
{
    const std::int64_t tokens = deliveredTokens - item.deliveredTokens;
    if (tokens <= 0)
        return;
    if (item.prefillTokens > 0)
        noteFirstToken(now, item);
    else
        tokenTime = smoothed(tokenTime, (now - item.progressAt) / tokens);
    item.deliveredTokens = deliveredTokens;
    item.progressAt = now;
    if (deliveredTokens >= item.clearedAtTokens)
        clearSuspect(item);
}

void Scheduler::State::noteFirstToken(absl::Time now, WorkItem &item)
{
    if (item.prefillTokens <= 0)
        return;
    EngineRecord *record = engine(item.engine);
    const absl::Duration time = now - item.startedAt;
    if (item.isOnline()) {
        const bool first = firstTokenTime == absl::ZeroDuration();
        firstTokenTime = first ? time : smoothed(firstTokenTime, time);
    }
    if (record != nullptr) {
        record->state.firstToken(item.work.kind, item.prefillTokens);
        if (item.isOnline())
            record->state.outlier().firstToken(now, time, firstTokenTime);
    }
    item.prefillTokens = 0;
    item.mayHaveRun = true;
    item.progressAt = now;
}

void Scheduler::State::endTry(absl::Time now, WorkItem &item)
{
    --runningCount[index(item.work.kind)];
    FairQueue &queue = item.isOnline() ? pool(item.work.model).online : pool(item.work.model).batch;
    // The start charged for the longest answer; the rest is given back.
    const auto unused = static_cast<double>(std::max<std::int64_t>(item.remainingTokens(), 0));
    queue.charge(item.work.workspace, -std::min(item.charged, unused));
    item.charged = 0;
    EngineRecord *record = engine(item.engine);
    if (record == nullptr)
        return;
    if (item.prefillTokens > 0)
        record->state.firstToken(item.work.kind, item.prefillTokens);
    item.prefillTokens = 0;
    record->state.workEnded(now, item.work.kind, item.kvTokens);
    record->running.erase(item.work.id);
    if (item.suspect)
        --record->suspectsRunning;
    if (item.phase == WorkItem::Phase::Preempting)
        --record->preempting;
}

void Scheduler::State::forget(WorkItem &item)
{
    if (!item.isRunning())
        dequeue(item);
    items.erase(item.work.id);
}

void Scheduler::State::countCrash(absl::Time now, WorkItem &item)
{
    EngineRecord *record = engine(item.engine);
    if (item.crashCounted || record == nullptr)
        return;
    std::vector<std::string> fingerprints;
    for (const WorkId id : record->running) {
        WorkItem &beside = items.at(id);
        if (beside.crashCounted)
            continue;
        beside.crashCounted = true;
        // A request that passed the point of its first crash is not blamed for a second one while a
        // suspect that has not passed it ran beside it.
        const bool passed = !beside.suspect && quarantine.crashes(beside.work.fingerprint) > 0;
        if (!passed || record->suspectsRunning == 0)
            fingerprints.push_back(beside.work.fingerprint);
    }
    record->state.outlier().failed(now, true);
    prefixes.forgetEngine(item.engine);
    const EngineLoad &load = record->state.load();
    const bool alone = record->state.hasReport() && load.running + load.waiting <= 1;
    const std::vector<std::string> changed =
            quarantine.crashed(now, item.engine, fingerprints, alone);
    for (const std::string &fingerprint : changed)
        decisions.emplace_back(RecordCrash{fingerprint, item.engine});
    const std::string &domain = record->state.info().failureDomain;
    for (const Crash &crash : crashes.add({now, item.engine, domain, std::move(fingerprints)}))
        exonerate(now, crash);
}

void Scheduler::State::exonerate(absl::Time now, const Crash &crash)
{
    quarantine.exonerate(crash.upstream, crash.fingerprints);
    for (auto &[id, item] : items) {
        const bool affected = item.suspect && item.phase == WorkItem::Phase::Waiting
                              && quarantine.standing(now, item.work.fingerprint) == Standing::Clear;
        if (!affected)
            continue;
        dequeue(item);
        item.suspect = false;
        enqueue(now, item);
    }
}

void Scheduler::State::clearSuspect(WorkItem &item)
{
    if (!item.suspect)
        return;
    item.suspect = false;
    EngineRecord *record = engine(item.engine);
    if (record != nullptr && item.isRunning())
        --record->suspectsRunning;
}

void Scheduler::State::tryFailed(absl::Time now, WorkItem &item, const TryFailure &failure)
{
    noteProgress(now, item, failure.deliveredTokens);
    const bool crashed = failure.kind == TryFailure::Kind::Crashed;
    if (crashed)
        countCrash(now, item);
    EngineRecord *record = engine(item.engine);
    const bool blame = !crashed && failure.kind != TryFailure::Kind::Invalid
                       && failure.failure.code != ErrorCode::UpstreamBusy;
    if (record != nullptr && blame)
        record->state.outlier().failed(now, false);
    if (failure.kind != TryFailure::Kind::Refused)
        item.mayHaveRun = true;
    endTry(now, item);
    item.phase = WorkItem::Phase::BackingOff;
    item.notBefore = now;
    item.avoided.push_back(item.engine);
    const Standing standing = quarantine.standing(now, item.work.fingerprint);
    item.suspect = standing == Standing::Suspect;
    if (crashed)
        item.clearedAtTokens = item.deliveredTokens + tokensPastCrash;
    if (failure.kind == TryFailure::Kind::Invalid)
        refuse(item, failure.failure.code, failure.failure.detail);
    else if (standing == Standing::Held)
        refuse(item, ErrorCode::RequestHeld, "the request crashed the upstreams that ran it");
    else if (item.isOnline())
        retryOnline(now, item, failure);
    else
        retryBatch(now, item, failure);
}

void Scheduler::State::retryOnline(absl::Time now, WorkItem &item, const TryFailure &failure)
{
    const RunState run = item.mayHaveRun ? RunState::MayHaveRun : RunState::NotRun;
    ++item.failures;
    if (retry.mayRetry(item.failures, run, item.work.idempotent))
        backOff(now, item);
    else
        refuse(item, failure.failure.code, failure.failure.detail);
}

void Scheduler::State::retryBatch(absl::Time now, WorkItem &item, const TryFailure &failure)
{
    if (failure.kind != TryFailure::Kind::Refused)
        ++item.failures;
    if (item.failures < settings.batchTries)
        backOff(now, item);
    else
        refuse(item, ErrorCode::ItemFailed, failure.failure.detail);
}

void Scheduler::State::backOff(absl::Time now, WorkItem &item)
{
    item.notBefore = now + retry.backoff(std::max(item.failures, 1), random);
    backoffs.insert({item.notBefore, item.work.id});
}

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
        WorkItem &item = items.at(backoffs.begin()->second);
        backoffs.erase(backoffs.begin());
        enqueue(now, item);
    }
    if (!backoffs.empty())
        wakeAt(backoffs.begin()->first);
}

void Scheduler::State::dispatchSuspects(absl::Time now, ModelPool &modelPool)
{
    const std::set<std::pair<WorkKind, WorkId>> waiting = modelPool.suspects;
    for (const auto &[kind, id] : waiting) {
        WorkItem &item = items.at(id);
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
                                              const WorkItem &item)
{
    EngineRecord *last = nullptr;
    for (const std::string &engineName : modelPool.suspectOrder) {
        EngineRecord *record = engine(engineName);
        if (!isUsable(now, *record))
            continue;
        if (!quarantine.hasCrashed(item.work.fingerprint, engineName))
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
    while (const std::optional<WorkId> next = queue.front()) {
        WorkItem &item = items.at(*next);
        if (refuseHeld(now, item))
            continue;
        EngineRecord *record = chooseOnlineEngine(now, modelPool, item);
        if (record == nullptr)
            break;
        if (!item.work.insideContract && expectedLoad(record->state, entries) > outsideLoadLimit)
            break;
        makeRoom(now, modelPool, *record);
        start(now, item, *record);
    }
    while (queue.size() > settings.onlineQueueSize) {
        WorkItem &item = items.at(*queue.back());
        refuse(item, ErrorCode::Overloaded, "the queue of online requests is full");
    }
}

void Scheduler::State::shedOutside(ModelPool &modelPool)
{
    while (const std::optional<WorkId> next = modelPool.outside.front())
        refuse(items.at(*next), ErrorCode::Overloaded, "no capacity beyond the contract");
}

void Scheduler::State::refuseLate(absl::Time now)
{
    while (!onlineDeadlines.empty() && onlineDeadlines.begin()->first <= now) {
        WorkItem &item = items.at(onlineDeadlines.begin()->second);
        refuse(item, ErrorCode::Overloaded, "no engine had room within the queue limit");
    }
    if (!onlineDeadlines.empty())
        wakeAt(onlineDeadlines.begin()->first);
}

void Scheduler::State::dispatchUrgent(absl::Time now, ModelPool &modelPool)
{
    std::set<Deadline> &latest = modelPool.latestStarts;
    while (!latest.empty() && latest.begin()->first <= now) {
        WorkItem &item = items.at(latest.begin()->second);
        if (refuseHeld(now, item))
            continue;
        // An item that cannot be done in time any more keeps its ordinary place.
        if (now + remainingTime(item) > item.work.due) {
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
        const int room = batchRoomOn(now, modelPool, *record);
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
    while (const std::optional<WorkId> next = modelPool.batch.front()) {
        WorkItem &item = items.at(*next);
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
        const std::int64_t prefill = record.state.ownPrefill(WorkKind::Batch);
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
                                                   const WorkItem &item)
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
    int chosen = router.choose(now, item.work, fresh, item.avoided, prefixes, entries, random);
    if (chosen < 0)
        chosen = router.choose(now, item.work, fresh, none, prefixes, entries, random);
    if (chosen >= 0)
        return records[static_cast<std::size_t>(chosen)];
    records.clear();
    fresh.clear();
    for (EngineRecord *record : modelPool.engines) {
        const bool recent = now - record->state.reportedAt() < reportLifetime;
        const std::int64_t own = record->state.own(WorkKind::Online);
        if (!recent && own < unreportedLimit) {
            records.push_back(record);
            fresh.push_back(candidate(now, modelPool, *record));
        }
    }
    chosen = router.choose(now, item.work, fresh, item.avoided, prefixes, entries, random);
    return chosen < 0 ? nullptr : records[static_cast<std::size_t>(chosen)];
}

RouteCandidate Scheduler::State::candidate(absl::Time now, const ModelPool &modelPool,
                                           const EngineRecord &record) const
{
    // Without batch work the windows are empty.
    const bool busy = runningCount[index(WorkKind::Batch)] > 0 && usesWindows(modelPool)
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
    const double requests = state.requestsSeen() - record.preempting;
    if (requests + 1 <= static_cast<double>(state.maxBatch()))
        return true;
    return std::any_of(record.running.begin(), record.running.end(),
                       [&](WorkId id) { return isPreemptible(now, items.at(id)); });
}

void Scheduler::State::makeRoom(absl::Time now, ModelPool &modelPool, EngineRecord &record)
{
    const EngineState &state = record.state;
    const double requests = state.requestsSeen() - record.preempting + unseenOnline(modelPool);
    if (!state.hasReport() || requests + 1 <= static_cast<double>(state.maxBatch()))
        return;
    // One for each start: other entries make room for what they start themselves.
    if (WorkItem *victim = victimOn(now, record))
        preempt(*victim);
}

WorkItem *Scheduler::State::victimOn(absl::Time now, const EngineRecord &record)
{
    WorkItem *victim = nullptr;
    const auto costOf = [](const WorkItem &item) {
        return std::make_pair(item.preemptions, item.contextTokens());
    };
    for (const WorkId id : record.running) {
        WorkItem &item = items.at(id);
        if (!isPreemptible(now, item))
            continue;
        if (victim == nullptr || costOf(item) < costOf(*victim))
            victim = &item;
    }
    return victim;
}

bool Scheduler::State::isPreemptible(absl::Time now, const WorkItem &item) const
{
    return !item.isOnline() && item.phase == WorkItem::Phase::Running && !item.suspect
           && now < latestStart(item);
}

void Scheduler::State::preempt(WorkItem &item)
{
    item.phase = WorkItem::Phase::Preempting;
    EngineRecord *record = engine(item.engine);
    if (record != nullptr)
        ++record->preempting;
    const bool worthExport =
            item.prefillTokens == 0 && item.contextTokens() >= settings.kvExportTokens;
    const PreemptMethod method = worthExport ? PreemptMethod::ExportKv : PreemptMethod::Cancel;
    decisions.emplace_back(PreemptWork{item.work.id, item.engine, item.attempt, method});
}

void Scheduler::State::start(absl::Time now, WorkItem &item, EngineRecord &record)
{
    dequeue(item);
    item.phase = WorkItem::Phase::Running;
    item.engine = record.state.info().name;
    ++item.attempt;
    item.startedAt = now;
    item.progressAt = now;
    item.crashCounted = false;
    const bool import = !item.kvHandle.empty();
    item.prefillTokens = import ? 1 : std::max<std::int64_t>(item.contextTokens(), 1);
    item.kvTokens = item.contextTokens() + item.remainingTokens() / 2;
    item.charged = static_cast<double>(item.prefillTokens + item.remainingTokens());
    ModelPool &modelPool = pool(item.work.model);
    FairQueue &queue = item.isOnline() ? modelPool.online : modelPool.batch;
    queue.charge(item.work.workspace, item.charged);
    if (item.isOnline() && item.attempt == 1)
        retry.firstTry();
    record.state.workStarted(now, item.work.kind, item.prefillTokens, item.kvTokens);
    record.running.insert(item.work.id);
    record.suspectsRunning += item.suspect ? 1 : 0;
    ++runningCount[index(item.work.kind)];
    prefixes.sent(now, item.engine, item.work.prefixHashes, item.work.promptTokens);
    decisions.emplace_back(StartWork{item.work.id, item.engine, item.attempt, item.deliveredTokens,
                                     item.kvHandle});
    item.kvHandle.clear();
}

void Scheduler::State::refuse(WorkItem &item, ErrorCode code, std::string detail)
{
    const RunState run = item.mayHaveRun ? RunState::MayHaveRun : RunState::NotRun;
    const bool overloaded = code == ErrorCode::Overloaded;
    if (overloaded && item.failures > 0)
        code = ErrorCode::UpstreamFailed;
    const absl::Duration retryAfter = overloaded ? overloadRetryAfter : absl::ZeroDuration();
    decisions.emplace_back(
            RefuseWork{item.work.id, Failure{code, run, std::move(detail)}, retryAfter});
    forget(item);
}

bool Scheduler::State::refuseHeld(absl::Time now, WorkItem &item)
{
    if (quarantine.standing(now, item.work.fingerprint) != Standing::Held)
        return false;
    refuse(item, ErrorCode::RequestHeld, "the request crashed the upstreams that ran it");
    return true;
}

// Estimates

absl::Duration Scheduler::State::remainingTime(const WorkItem &item) const
{
    const double prefill =
            static_cast<double>(item.contextTokens()) / settings.prefillTokensPerSecond;
    const auto tokens = static_cast<double>(std::max<std::int64_t>(item.remainingTokens(), 1));
    return absl::Seconds(prefill) + tokenTime * tokens;
}

absl::Time Scheduler::State::latestStart(const WorkItem &item) const
{
    return item.work.due - remainingTime(item) * settings.dueSafetyFactor;
}

absl::Time Scheduler::State::onlineDeadline(const WorkItem &item) const
{
    const bool patient = item.suspect;
    const absl::Duration limit = patient ? settings.isolationLimit : settings.onlineQueueLimit;
    const absl::Time end = item.waitingSince + limit;
    return patient ? end : std::min(end, item.work.due);
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
        change += record->state.ownChange(WorkKind::Online);
    const auto own = static_cast<double>(std::max<std::int64_t>(change, 0));
    const auto others = static_cast<double>(entries - 1);
    return own * others / static_cast<double>(std::max<std::size_t>(modelPool.engines.size(), 1));
}

int Scheduler::State::batchRoomOn(absl::Time now, const ModelPool &modelPool,
                                  const EngineRecord &record) const
{
    const EngineState &state = record.state;
    if (!isUsable(now, record))
        return 0;
    const double rate = onlineRatePerEngine(now, modelPool);
    const int room = allowance.room(record, rate, unseenOnline(modelPool), entries);
    const double share = state.outlier().share(now);
    return share < 1 ? static_cast<int>(room * share) : room;
}

std::size_t Scheduler::State::batchRoom(absl::Time now, const ModelPool &modelPool) const
{
    if (!modelPool.online.empty())
        return 0;
    std::size_t room = 0;
    std::size_t running = 0;
    for (const EngineRecord *record : modelPool.engines) {
        room += static_cast<std::size_t>(std::max(batchRoomOn(now, modelPool, *record), 0));
        running += static_cast<std::size_t>(record->state.own(WorkKind::Batch));
    }
    room += static_cast<std::size_t>(std::ceil(static_cast<double>(running) * leaseAheadShare));
    const std::size_t waiting = modelPool.batch.size();
    return room > waiting ? room - waiting : 0;
}

} // namespace rattanrill::policy
