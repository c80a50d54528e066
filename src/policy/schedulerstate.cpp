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
    for (auto &[engineName, engineRecord] : engines)
        engineRecord->removed = true;
    for (auto &[model, modelPool] : pools)
        modelPool.engines.clear();
    for (const EngineInfo &info : list) {
        std::unique_ptr<EngineRecord> &engineRecord = engines[info.name];
        if (engineRecord == nullptr)
            engineRecord = std::make_unique<EngineRecord>(info, settings.router.outlier);
        engineRecord->state.setInfo(info);
        engineRecord->removed = false;
        pool(info.model).engines.push_back(engineRecord.get());
    }
    for (auto &[model, modelPool] : pools) {
        std::set<std::string> names;
        for (const EngineRecord *engineRecord : modelPool.engines)
            names.insert(engineRecord->state.info().name);
        modelPool.failures.retain(names);
    }
    assignAllEngines();
    for (auto engineRecord = engines.begin(); engineRecord != engines.end();) {
        const bool unused = engineRecord->second->removed && engineRecord->second->running.empty();
        engineRecord = unused ? engines.erase(engineRecord) : std::next(engineRecord);
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
    const auto found = taskRecords.find(task);
    return found == taskRecords.end() ? nullptr : &found->second;
}

TaskRecord *Scheduler::State::running(TaskId task, int attempt)
{
    TaskRecord *taskRecord = find(task);
    const bool isCurrent =
            taskRecord != nullptr && taskRecord->isRunning() && taskRecord->attempt == attempt;
    return isCurrent ? taskRecord : nullptr;
}

// Events

void Scheduler::State::enqueue(absl::Time now, TaskRecord &taskRecord)
{
    taskRecord.phase = TaskRecord::Phase::Waiting;
    taskRecord.waitingSince = now;
    // The crash may have been retracted or cleared while the task waited for its retry.
    if (quarantineStatus(now, taskRecord.task) == QuarantineStatus::Allowed)
        taskRecord.suspect = false;
    ModelPool &waitingPool = pool(taskRecord.task.model);
    if (taskRecord.isOnline()) {
        taskRecord.onlineDeadline = onlineDeadline(taskRecord);
        onlineDeadlines.insert({taskRecord.onlineDeadline, taskRecord.task.id});
    }
    if (taskRecord.suspect) {
        waitingPool.suspects.insert({taskRecord.task.kind, taskRecord.task.id});
        return;
    }
    if (taskRecord.isOnline()) {
        FairQueue &queue =
                taskRecord.task.insideContract ? waitingPool.online : waitingPool.outsideContract;
        queue.push(taskRecord.task.workspace, taskRecord.task.id, taskRecord.waitingSince);
        return;
    }
    using TieBreak = FairQueue::TieBreak;
    const TieBreak order = taskRecord.deliveredTokens > 0 ? TieBreak::Resumed : TieBreak::ByArrival;
    waitingPool.batch.push(taskRecord.task.workspace, taskRecord.task.id, taskRecord.task.deadline,
                           order);
    taskRecord.latestStart = latestStart(taskRecord);
    waitingPool.latestStarts.insert({taskRecord.latestStart, taskRecord.task.id});
}

void Scheduler::State::dequeue(TaskRecord &taskRecord)
{
    if (taskRecord.phase == TaskRecord::Phase::BackingOff) {
        backoffs.erase({taskRecord.retryAt, taskRecord.task.id});
        return;
    }
    ModelPool &waitingPool = pool(taskRecord.task.model);
    waitingPool.suspects.erase({taskRecord.task.kind, taskRecord.task.id});
    if (taskRecord.isOnline()) {
        onlineDeadlines.erase({taskRecord.onlineDeadline, taskRecord.task.id});
        waitingPool.online.remove(taskRecord.task.id);
        waitingPool.outsideContract.remove(taskRecord.task.id);
        return;
    }
    waitingPool.batch.remove(taskRecord.task.id);
    waitingPool.latestStarts.erase({taskRecord.latestStart, taskRecord.task.id});
}

void Scheduler::State::recordProgress(absl::Time now, TaskRecord &taskRecord,
                                      std::int64_t deliveredTokens)
{
    const std::int64_t tokens = deliveredTokens - taskRecord.deliveredTokens;
    if (tokens <= 0)
        return;
    if (taskRecord.prefillTokens > 0)
        recordFirstToken(now, taskRecord);
    else
        timePerToken = smoothed(timePerToken, (now - taskRecord.progressAt) / tokens);
    taskRecord.deliveredTokens = deliveredTokens;
    taskRecord.progressAt = now;
    if (deliveredTokens >= taskRecord.clearedAtTokens)
        clearSuspect(taskRecord);
}

void Scheduler::State::recordFirstToken(absl::Time now, TaskRecord &taskRecord)
{
    if (taskRecord.prefillTokens <= 0)
        return;
    EngineRecord *engineRecord = engine(taskRecord.engine);
    const absl::Duration time = now - taskRecord.startedAt;
    if (taskRecord.isOnline()) {
        const bool first = timeToFirstToken == absl::ZeroDuration();
        timeToFirstToken = first ? time : smoothed(timeToFirstToken, time);
    }
    if (engineRecord != nullptr) {
        engineRecord->state.firstToken(taskRecord.task.kind, taskRecord.prefillTokens);
        if (taskRecord.isOnline())
            engineRecord->state.outlier().firstToken(now, time, timeToFirstToken);
    }
    taskRecord.prefillTokens = 0;
    taskRecord.mayHaveRun = true;
    taskRecord.progressAt = now;
}

void Scheduler::State::endAttempt(absl::Time now, TaskRecord &taskRecord)
{
    --runningCount[index(taskRecord.task.kind)];
    FairQueue &queue = taskRecord.isOnline() ? pool(taskRecord.task.model).online
                                             : pool(taskRecord.task.model).batch;
    // start() charged the workspace for the prefill and for all output tokens up to maxTokens. The
    // output tokens that were not generated are refunded.
    const auto unused =
            static_cast<double>(std::max<std::int64_t>(taskRecord.remainingTokens(), 0));
    queue.charge(taskRecord.task.workspace, -std::min(taskRecord.chargedTokens, unused));
    taskRecord.chargedTokens = 0;
    EngineRecord *engineRecord = engine(taskRecord.engine);
    if (engineRecord == nullptr)
        return;
    // Without a first token, the prompt still counts towards the prefill of the engine.
    if (taskRecord.prefillTokens > 0)
        engineRecord->state.firstToken(taskRecord.task.kind, taskRecord.prefillTokens);
    taskRecord.prefillTokens = 0;
    engineRecord->state.taskEnded(now, taskRecord.task.kind, taskRecord.kvTokens);
    engineRecord->running.erase(taskRecord.task.id);
    if (taskRecord.suspect)
        --engineRecord->suspectsRunning;
    if (taskRecord.phase == TaskRecord::Phase::Preempting)
        --engineRecord->preempting;
}

void Scheduler::State::removeTask(TaskRecord &taskRecord)
{
    if (!taskRecord.isRunning())
        dequeue(taskRecord);
    taskRecords.erase(taskRecord.task.id);
}

/// Returns Suspect in place of Blocked for a batch task: it is owed, but runs isolated.
QuarantineStatus Scheduler::State::quarantineStatus(absl::Time now, const Task &task) const
{
    const QuarantineStatus status = quarantine.status(now, task.fingerprint);
    const bool isOwed = task.kind == TaskKind::Batch && status == QuarantineStatus::Blocked;
    return isOwed ? QuarantineStatus::Suspect : status;
}

void Scheduler::State::recordCrash(absl::Time now, TaskRecord &taskRecord)
{
    EngineRecord *engineRecord = engine(taskRecord.engine);
    if (taskRecord.crashRecorded || engineRecord == nullptr)
        return;
    std::vector<std::string> online;
    std::vector<std::string> batch;
    for (const TaskId id : engineRecord->running) {
        TaskRecord &other = taskRecords.at(id);
        if (other.crashRecorded)
            continue;
        other.crashRecorded = true;
        // A crash does not count against a request that has got past the point of its earlier crash
        // (see tokensPastCrash) if a suspect that has not got past its own ran on the same engine.
        const bool passedCrash =
                !other.suspect && quarantine.crashCount(other.task.fingerprint) > 0;
        if (!passedCrash || engineRecord->suspectsRunning == 0)
            (other.isOnline() ? online : batch).push_back(other.task.fingerprint);
    }
    engineRecord->state.outlier().failed(now, true);
    prefixes.removeEngine(taskRecord.engine);
    const EngineLoad &load = engineRecord->state.load();
    const bool alone = engineRecord->state.hasReport() && load.running + load.waiting <= 1;
    quarantine.crashedUnderBatchItems(now, taskRecord.engine, batch);
    const std::vector<std::string> changed =
            quarantine.crashed(now, taskRecord.engine, online, alone && batch.empty());
    for (const std::string &fingerprint : changed)
        decisions.emplace_back(RecordCrash{fingerprint, taskRecord.engine});
    std::vector<std::string> fingerprints = std::move(online);
    fingerprints.insert(fingerprints.end(), batch.begin(), batch.end());
    const std::string &domain = engineRecord->state.info().failureDomain;
    for (const Crash &crash :
         crashHistory.add({now, taskRecord.engine, domain, std::move(fingerprints)}))
        retractCrash(now, crash);
}

void Scheduler::State::retractCrash(absl::Time now, const Crash &crash)
{
    quarantine.retractCrash(crash.upstream, crash.fingerprints);
    for (auto &[id, taskRecord] : taskRecords) {
        const bool affected =
                taskRecord.suspect && taskRecord.phase == TaskRecord::Phase::Waiting
                && quarantineStatus(now, taskRecord.task) == QuarantineStatus::Allowed;
        if (!affected)
            continue;
        dequeue(taskRecord);
        taskRecord.suspect = false;
        enqueue(now, taskRecord);
    }
}

void Scheduler::State::clearSuspect(TaskRecord &taskRecord)
{
    if (!taskRecord.suspect)
        return;
    taskRecord.suspect = false;
    EngineRecord *engineRecord = engine(taskRecord.engine);
    if (engineRecord != nullptr && taskRecord.isRunning())
        --engineRecord->suspectsRunning;
}

void Scheduler::State::recordSuccess(absl::Time now, EngineRecord &engineRecord,
                                     const std::string &workspace)
{
    engineRecord.state.outlier().succeeded(now);
    const EngineInfo &info = engineRecord.state.info();
    if (!engineRecord.removed)
        pool(info.model).failures.succeeded(now, info.name, workspace);
}

std::optional<EngineEjection> Scheduler::State::recordServerError(absl::Time now,
                                                                  const EngineRecord &engineRecord,
                                                                  const std::string &workspace)
{
    if (engineRecord.removed)
        return std::nullopt;
    const EngineInfo &info = engineRecord.state.info();
    ModelPool &modelPool = pool(info.model);
    std::vector<std::string> candidates;
    for (const EngineRecord *candidate : modelPool.engines) {
        if (isAvailable(now, *candidate))
            candidates.push_back(candidate->state.info().name);
    }
    FailureShares &failures = modelPool.failures;
    if (!failures.failed(now, info.name, workspace, candidates))
        return std::nullopt;
    return EngineEjection{info.name, info.model, failures.ejectedUntil(info.name) - now,
                          static_cast<std::int64_t>(engineRecord.running.size())};
}

std::optional<EngineEjection> Scheduler::State::attemptFailed(absl::Time now,
                                                              TaskRecord &taskRecord,
                                                              const AttemptFailure &failure)
{
    recordProgress(now, taskRecord, failure.deliveredTokens);
    const bool crashed = failure.kind == AttemptFailure::Kind::Crashed;
    if (crashed)
        recordCrash(now, taskRecord);
    EngineRecord *engineRecord = engine(taskRecord.engine);
    const bool isEngineFailure = !crashed && failure.kind != AttemptFailure::Kind::Invalid
                                 && failure.failure.code != ErrorCode::UpstreamBusy;
    std::optional<EngineEjection> ejection;
    if (engineRecord != nullptr && failure.isServerError())
        ejection = recordServerError(now, *engineRecord, taskRecord.task.workspace);
    // Further attempts would wait as long, so a silent engine is ejected at once.
    if (engineRecord != nullptr && isEngineFailure)
        engineRecord->state.outlier().failed(now, failure.kind == AttemptFailure::Kind::Silent);
    if (failure.kind != AttemptFailure::Kind::Refused)
        taskRecord.mayHaveRun = true;
    endAttempt(now, taskRecord);
    // Set before reject() is called: the task is in no queue, and in this phase dequeue() does not
    // look for it there.
    taskRecord.phase = TaskRecord::Phase::BackingOff;
    taskRecord.retryAt = now;
    taskRecord.excluded.push_back(taskRecord.engine);
    const QuarantineStatus status = quarantineStatus(now, taskRecord.task);
    taskRecord.suspect = status == QuarantineStatus::Suspect;
    if (crashed)
        taskRecord.clearedAtTokens = taskRecord.deliveredTokens + tokensPastCrash;
    if (failure.kind == AttemptFailure::Kind::Invalid)
        reject(taskRecord, failure.failure.code, failure.failure.detail);
    else if (status == QuarantineStatus::Blocked)
        reject(taskRecord, ErrorCode::RequestQuarantined,
               "the request crashed the upstreams that ran it");
    else if (taskRecord.isOnline())
        retryOnline(now, taskRecord, failure);
    else
        retryBatch(now, taskRecord, failure);
    return ejection;
}

void Scheduler::State::retryOnline(absl::Time now, TaskRecord &taskRecord,
                                   const AttemptFailure &failure)
{
    const EffectState effect =
            taskRecord.mayHaveRun ? EffectState::MayHaveRun : EffectState::NotRun;
    ++taskRecord.failures;
    if (retry.tryAcquireRetry(taskRecord.failures, effect, taskRecord.task.idempotent))
        backOff(now, taskRecord);
    else
        reject(taskRecord, failure.failure.code, failure.failure.detail);
}

void Scheduler::State::retryBatch(absl::Time now, TaskRecord &taskRecord,
                                  const AttemptFailure &failure)
{
    // The crash or silence of an engine is not a fault of the item, so only the other failures
    // count towards its last attempt.
    const bool isCrash = failure.kind == AttemptFailure::Kind::Crashed
                         || failure.kind == AttemptFailure::Kind::Silent;
    taskRecord.crashes += isCrash ? 1 : 0;
    if (!isCrash && failure.kind != AttemptFailure::Kind::Refused)
        ++taskRecord.failures;
    if (taskRecord.failures < settings.maxBatchAttempts)
        backOff(now, taskRecord);
    else
        reject(taskRecord, ErrorCode::ItemFailed, failure.failure.detail);
}

void Scheduler::State::backOff(absl::Time now, TaskRecord &taskRecord)
{
    const int failedAttempts = taskRecord.failures + taskRecord.crashes;
    taskRecord.retryAt = now + retry.backoff(std::max(failedAttempts, 1), random);
    backoffs.insert({taskRecord.retryAt, taskRecord.task.id});
}

} // namespace rattanrill::policy
