#include "schedulerstate.h"

#include "interpolate.h"

#include "rattanrill/base/concat.h"

#include <algorithm>
#include <cmath>

namespace rattanrill::policy {

namespace {

/// Weight of a new sample in the smoothed times.
constexpr double sampleWeight = 0.05;
/// A suspect may run alongside other suspects again once it has delivered this many tokens more
/// than before the crash. The crash still counts against it until it has completed.
constexpr std::int64_t tokensPastCrash = 16;

absl::Duration smoothed(absl::Duration old, absl::Duration sample)
{
    return old + (sample - old) * sampleWeight;
}

} // namespace

Scheduler::State::State(SchedulerSettings schedulerSettings, std::uint64_t seed)
    : settings(std::move(schedulerSettings))
    , router(settings.router, settings.failureDomain)
    , batchAllowance(settings)
    , prefillWindows(settings.onlineTailWeight)
    , retry(settings.retry)
    , quarantine(settings.quarantine)
    , random(seed)
    , timePerToken(settings.initialDecodeStep)
{}

// Engines, workspaces and tasks

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
    // Sorted by name, so that all entries assign the same numbers to the engines of a model.
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
    for (const std::string &engineName : engineAssignment.preferredEngines(names))
        engine(engineName)->preferred = true;
    modelPool.suspectOrder = engineAssignment.suspectOrder(std::move(names));
}

void Scheduler::State::setWorkspaces(const std::vector<WorkspaceWeights> &list)
{
    for (const WorkspaceWeights &weights : list) {
        workspaces[weights.workspace] = weights;
        for (auto &[model, modelPool] : pools) {
            modelPool.online.setWeight(weights.workspace, weights.onlineWeight);
            modelPool.outsideContract.setWeight(weights.workspace, weights.onlineWeight);
            modelPool.batch.setWeight(weights.workspace, weights.batchWeight);
        }
    }
}

ModelPool &Scheduler::State::pool(const std::string &model)
{
    const auto found = pools.find(model);
    if (found != pools.end())
        return found->second;
    ModelPool &created = pools[model];
    for (const auto &[workspace, weights] : workspaces) {
        created.online.setWeight(workspace, weights.onlineWeight);
        created.outsideContract.setWeight(workspace, weights.onlineWeight);
        created.batch.setWeight(workspace, weights.batchWeight);
    }
    return created;
}

EngineRecord *Scheduler::State::engine(const std::string &name)
{
    const auto found = engines.find(name);
    return found == engines.end() ? nullptr : found->second.get();
}

TaskRecord *Scheduler::State::find(TaskId task)
{
    const auto found = items.find(task);
    return found == items.end() ? nullptr : &found->second;
}

TaskRecord *Scheduler::State::running(TaskId task, int attempt)
{
    TaskRecord *item = find(task);
    const bool isCurrent = item != nullptr && item->isRunning() && item->attempt == attempt;
    return isCurrent ? item : nullptr;
}

// Events

void Scheduler::State::enqueue(absl::Time now, TaskRecord &item)
{
    item.phase = TaskRecord::Phase::Waiting;
    item.waitingSince = now;
    // The crash may have been retracted or cleared while the task waited for its retry.
    if (quarantine.status(now, item.task.fingerprint) == QuarantineStatus::Allowed)
        item.suspect = false;
    ModelPool &waitingPool = pool(item.task.model);
    if (item.isOnline()) {
        item.onlineDeadline = onlineDeadline(item);
        onlineDeadlines.insert({item.onlineDeadline, item.task.id});
    }
    if (item.suspect) {
        waitingPool.suspects.insert({item.task.kind, item.task.id});
        return;
    }
    if (item.isOnline()) {
        FairQueue &queue =
                item.task.insideContract ? waitingPool.online : waitingPool.outsideContract;
        queue.push(item.task.workspace, item.task.id, item.waitingSince);
        return;
    }
    using TieBreak = FairQueue::TieBreak;
    const TieBreak order = item.deliveredTokens > 0 ? TieBreak::Resumed : TieBreak::ByArrival;
    waitingPool.batch.push(item.task.workspace, item.task.id, item.task.deadline, order);
    item.latestStart = latestStart(item);
    waitingPool.latestStarts.insert({item.latestStart, item.task.id});
}

void Scheduler::State::dequeue(TaskRecord &item)
{
    if (item.phase == TaskRecord::Phase::BackingOff) {
        backoffs.erase({item.retryAt, item.task.id});
        return;
    }
    ModelPool &waitingPool = pool(item.task.model);
    waitingPool.suspects.erase({item.task.kind, item.task.id});
    if (item.isOnline()) {
        onlineDeadlines.erase({item.onlineDeadline, item.task.id});
        waitingPool.online.remove(item.task.id);
        waitingPool.outsideContract.remove(item.task.id);
        return;
    }
    waitingPool.batch.remove(item.task.id);
    waitingPool.latestStarts.erase({item.latestStart, item.task.id});
}

void Scheduler::State::recordProgress(absl::Time now, TaskRecord &item,
                                      std::int64_t deliveredTokens)
{
    const std::int64_t tokens = deliveredTokens - item.deliveredTokens;
    if (tokens <= 0)
        return;
    if (item.prefillTokens > 0)
        recordFirstToken(now, item);
    else
        timePerToken = smoothed(timePerToken, (now - item.progressAt) / tokens);
    item.deliveredTokens = deliveredTokens;
    item.progressAt = now;
    if (deliveredTokens >= item.clearedAtTokens)
        clearSuspect(item);
}

void Scheduler::State::recordFirstToken(absl::Time now, TaskRecord &item)
{
    if (item.prefillTokens <= 0)
        return;
    EngineRecord *record = engine(item.engine);
    const absl::Duration time = now - item.startedAt;
    if (item.isOnline()) {
        const bool first = timeToFirstToken == absl::ZeroDuration();
        timeToFirstToken = first ? time : smoothed(timeToFirstToken, time);
    }
    if (record != nullptr) {
        record->state.firstToken(item.task.kind, item.prefillTokens);
        if (item.isOnline())
            record->state.outlier().firstToken(now, time, timeToFirstToken);
    }
    item.prefillTokens = 0;
    item.mayHaveRun = true;
    item.progressAt = now;
}

void Scheduler::State::endAttempt(absl::Time now, TaskRecord &item)
{
    --runningCount[index(item.task.kind)];
    FairQueue &queue = item.isOnline() ? pool(item.task.model).online : pool(item.task.model).batch;
    // The start charged the workspace for maxTokens. The tokens not generated are refunded.
    const auto unused = static_cast<double>(std::max<std::int64_t>(item.remainingTokens(), 0));
    queue.charge(item.task.workspace, -std::min(item.chargedTokens, unused));
    item.chargedTokens = 0;
    EngineRecord *record = engine(item.engine);
    if (record == nullptr)
        return;
    if (item.prefillTokens > 0)
        record->state.firstToken(item.task.kind, item.prefillTokens);
    item.prefillTokens = 0;
    record->state.taskEnded(now, item.task.kind, item.kvTokens);
    record->running.erase(item.task.id);
    if (item.suspect)
        --record->suspectsRunning;
    if (item.phase == TaskRecord::Phase::Preempting)
        --record->preempting;
}

void Scheduler::State::removeTask(TaskRecord &item)
{
    if (!item.isRunning())
        dequeue(item);
    items.erase(item.task.id);
}

void Scheduler::State::recordCrash(absl::Time now, TaskRecord &item)
{
    EngineRecord *record = engine(item.engine);
    if (item.crashRecorded || record == nullptr)
        return;
    std::vector<std::string> fingerprints;
    for (const TaskId id : record->running) {
        TaskRecord &other = items.at(id);
        if (other.crashRecorded)
            continue;
        other.crashRecorded = true;
        // A request that got past the point of its first crash is not blamed for a second crash
        // when a suspect that has not got past that point ran on the same engine.
        const bool passedCrash =
                !other.suspect && quarantine.crashCount(other.task.fingerprint) > 0;
        if (!passedCrash || record->suspectsRunning == 0)
            fingerprints.push_back(other.task.fingerprint);
    }
    record->state.outlier().failed(now, true);
    prefixes.removeEngine(item.engine);
    const EngineLoad &load = record->state.load();
    const bool alone = record->state.hasReport() && load.running + load.waiting <= 1;
    const std::vector<std::string> changed =
            quarantine.crashed(now, item.engine, fingerprints, alone);
    for (const std::string &fingerprint : changed)
        decisions.emplace_back(RecordCrash{fingerprint, item.engine});
    const std::string &domain = record->state.info().failureDomain;
    for (const Crash &crash : crashHistory.add({now, item.engine, domain, std::move(fingerprints)}))
        retractCrash(now, crash);
}

void Scheduler::State::retractCrash(absl::Time now, const Crash &crash)
{
    quarantine.retractCrash(crash.upstream, crash.fingerprints);
    for (auto &[id, item] : items) {
        const bool affected =
                item.suspect && item.phase == TaskRecord::Phase::Waiting
                && quarantine.status(now, item.task.fingerprint) == QuarantineStatus::Allowed;
        if (!affected)
            continue;
        dequeue(item);
        item.suspect = false;
        enqueue(now, item);
    }
}

void Scheduler::State::clearSuspect(TaskRecord &item)
{
    if (!item.suspect)
        return;
    item.suspect = false;
    EngineRecord *record = engine(item.engine);
    if (record != nullptr && item.isRunning())
        --record->suspectsRunning;
}

void Scheduler::State::attemptFailed(absl::Time now, TaskRecord &item,
                                     const AttemptFailure &failure)
{
    recordProgress(now, item, failure.deliveredTokens);
    const bool crashed = failure.kind == AttemptFailure::Kind::Crashed;
    if (crashed)
        recordCrash(now, item);
    EngineRecord *record = engine(item.engine);
    const bool isEngineFailure = !crashed && failure.kind != AttemptFailure::Kind::Invalid
                                 && failure.failure.code != ErrorCode::UpstreamBusy;
    if (record != nullptr && isEngineFailure)
        record->state.outlier().failed(now, false);
    if (failure.kind != AttemptFailure::Kind::Refused)
        item.mayHaveRun = true;
    endAttempt(now, item);
    item.phase = TaskRecord::Phase::BackingOff;
    item.retryAt = now;
    item.excluded.push_back(item.engine);
    const QuarantineStatus status = quarantine.status(now, item.task.fingerprint);
    item.suspect = status == QuarantineStatus::Suspect;
    if (crashed)
        item.clearedAtTokens = item.deliveredTokens + tokensPastCrash;
    if (failure.kind == AttemptFailure::Kind::Invalid)
        reject(item, failure.failure.code, failure.failure.detail);
    else if (status == QuarantineStatus::Blocked)
        reject(item, ErrorCode::RequestQuarantined,
               "the request crashed the upstreams that ran it");
    else if (item.isOnline())
        retryOnline(now, item, failure);
    else
        retryBatch(now, item, failure);
}

void Scheduler::State::retryOnline(absl::Time now, TaskRecord &item, const AttemptFailure &failure)
{
    const EffectState run = item.mayHaveRun ? EffectState::MayHaveRun : EffectState::NotRun;
    ++item.failures;
    if (retry.tryAcquireRetry(item.failures, run, item.task.idempotent))
        backOff(now, item);
    else
        reject(item, failure.failure.code, failure.failure.detail);
}

void Scheduler::State::retryBatch(absl::Time now, TaskRecord &item, const AttemptFailure &failure)
{
    if (failure.kind != AttemptFailure::Kind::Refused)
        ++item.failures;
    if (item.failures < settings.maxBatchAttempts)
        backOff(now, item);
    else
        reject(item, ErrorCode::ItemFailed, failure.failure.detail);
}

void Scheduler::State::backOff(absl::Time now, TaskRecord &item)
{
    item.retryAt = now + retry.backoff(std::max(item.failures, 1), random);
    backoffs.insert({item.retryAt, item.task.id});
}

} // namespace rattanrill::policy
