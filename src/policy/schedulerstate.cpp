#include "schedulerstate.h"

#include "between.h"

#include "rattanrill/base/concat.h"

#include <algorithm>
#include <cmath>

namespace rattanrill::policy {

namespace {

/// Weight of a new sample in smoothed times.
constexpr double smoothing = 0.05;
/// Tokens past the point of a crash after which a request runs beside other suspects again. The
/// crash still counts against it until it has completed.
constexpr std::int64_t tokensPastCrash = 16;

absl::Duration smoothed(absl::Duration old, absl::Duration sample)
{
    return old + (sample - old) * smoothing;
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

} // namespace rattanrill::policy
