#include "taskdispatcher.h"

#include "ejectionreport.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/logger.h"

namespace rattanrill::entry {
namespace {

/// Interval of progress reports: the scheduler needs them every few hundred milliseconds, not for
/// every token.
constexpr absl::Duration progressInterval = absl::Milliseconds(100);
/// Maximum wait for the end of a preemption. Longer than an export call and a cancel call that both
/// time out.
constexpr absl::Duration preemptionTimeout = absl::Seconds(8);
/// Maximum wait for the record of a crash. Longer than a report to the directory that times out.
constexpr absl::Duration crashRecordTimeout = absl::Seconds(6);
constexpr std::string_view cancelledReason = "cancelled";

} // namespace

TaskDispatcher::TaskDispatcher(const policy::SchedulerSettings &settings, std::uint64_t seed,
                               Context context)
    : m_context(context)
    , m_scheduler(settings, seed)
{}

TaskDispatcher::~TaskDispatcher()
{
    stop();
}

policy::TaskId TaskDispatcher::submit(TaskSubmission submission)
{
    const auto task = std::make_shared<Task>();
    task->submission = std::move(submission);
    policy::TaskId id = 0;
    {
        absl::MutexLock lock(&m_mutex);
        id = m_nextId++;
        task->submission.task.id = id;
        m_tasks[id] = task;
        m_scheduler.arrived(m_context.clock.now(), task->submission.task);
    }
    runDecisions();
    return id;
}

void TaskDispatcher::cancel(policy::TaskId id)
{
    std::shared_ptr<EngineAttempt> running;
    {
        absl::MutexLock lock(&m_mutex);
        const auto task = m_tasks.find(id);
        if (task == m_tasks.end())
            return;
        task->second->cancelled = true;
        running = task->second->running;
        m_scheduler.cancelled(m_context.clock.now(), id);
        m_tasks.erase(task);
    }
    if (running && !m_context.callPool.post([running] { running->abandon(); }))
        running->abortSignal().abort();
    runDecisions();
}

void TaskDispatcher::updateScheduler(
        const std::function<void(policy::Scheduler &, absl::Time)> &event)
{
    {
        absl::MutexLock lock(&m_mutex);
        event(m_scheduler, m_context.clock.now());
    }
    runDecisions();
}

std::size_t TaskDispatcher::batchCapacity() const
{
    absl::MutexLock lock(&m_mutex);
    return m_scheduler.batchCapacity(m_context.clock.now());
}

std::size_t TaskDispatcher::running(policy::TaskKind kind) const
{
    absl::MutexLock lock(&m_mutex);
    return m_scheduler.running(kind);
}

std::size_t TaskDispatcher::waiting(policy::TaskKind kind) const
{
    absl::MutexLock lock(&m_mutex);
    return m_scheduler.waiting(kind);
}

void TaskDispatcher::stop()
{
    TimerService::TimerId timer = 0;
    {
        absl::MutexLock lock(&m_mutex);
        m_stopped = true;
        timer = m_timer;
    }
    if (timer != 0)
        m_context.timers.unsubscribe(timer);
}

// Decisions

void TaskDispatcher::runDecisions()
{
    std::vector<Action> actions;
    {
        absl::MutexLock lock(&m_mutex);
        if (m_stopped)
            return;
        actions = decide();
    }
    perform(actions);
    armTimer();
}

std::vector<TaskDispatcher::Action> TaskDispatcher::decide()
{
    std::vector<Action> actions;
    for (const policy::SchedulerDecision &decision : m_scheduler.decide(m_context.clock.now())) {
        Action action = std::visit([this](const auto &step)
                                           ABSL_NO_THREAD_SAFETY_ANALYSIS { return prepare(step); },
                                   decision);
        if (action)
            actions.push_back(std::move(action));
    }
    m_nextDecisionAt = m_scheduler.nextDecision();
    return actions;
}

void TaskDispatcher::perform(const std::vector<Action> &actions)
{
    for (const Action &action : actions)
        action();
}

void TaskDispatcher::armTimer()
{
    TimerService::TimerId old = 0;
    absl::Duration delay;
    {
        absl::MutexLock lock(&m_mutex);
        const absl::Time now = m_context.clock.now();
        const bool pending = m_timerDueAt > now && m_timerDueAt != absl::InfiniteFuture();
        if (m_stopped || m_nextDecisionAt == absl::InfiniteFuture()
            || (pending && m_timerDueAt <= m_nextDecisionAt))
            return;
        old = pending ? m_timer : 0;
        delay = std::max(m_nextDecisionAt - now, absl::ZeroDuration());
        m_timerDueAt = now + delay;
        // Safe under the lock, because the timer service never runs a callback within
        // subscribeOnce().
        m_timer = m_context.timers.subscribeOnce(delay, [this] { runDecisions(); });
    }
    if (old != 0)
        m_context.timers.unsubscribe(old);
}

TaskDispatcher::Action TaskDispatcher::prepare(const policy::StartTask &start)
{
    const auto found = m_tasks.find(start.task);
    if (found == m_tasks.end())
        return nullptr;
    const TaskPtr task = found->second;
    const EngineTable::Client client = m_context.engines.find(start.engine);
    const auto fail = [this, start, code = client ? ErrorCode::QueueFull : ErrorCode::NotFound] {
        policy::AttemptFailure failure;
        failure.kind = policy::AttemptFailure::Kind::Refused;
        failure.deliveredTokens = start.resumeAfter;
        failure.failure =
                notRun(code, concat("no attempt could start on engine \"", start.engine, "\""));
        updateScheduler([&](policy::Scheduler &scheduler, absl::Time now) {
            scheduler.failed(now, start.task, start.attempt, failure);
        });
    };
    if (!client)
        return fail;
    const auto engineAttempt = std::make_shared<EngineAttempt>(
            client, start, concat(task->submission.requestId, "-", start.attempt));
    task->running = engineAttempt;
    return [this, task, engineAttempt, fail] {
        if (!m_context.attemptPool.post(
                    [this, task, engineAttempt] { runAttempt(task, engineAttempt); }))
            fail();
    };
}

TaskDispatcher::Action TaskDispatcher::prepare(const policy::PreemptTask &preempt)
{
    const auto found = m_tasks.find(preempt.task);
    if (found == m_tasks.end() || !found->second->running)
        return nullptr;
    const std::shared_ptr<EngineAttempt> engineAttempt = found->second->running;
    if (engineAttempt->start().attempt != preempt.attempt)
        return nullptr;
    engineAttempt->markPreempting();
    return [this, engineAttempt, method = preempt.method] {
        m_context.metrics.count("rattanrill_preemptions_total",
                                {{"method", std::string(name(method))}});
        if (!m_context.callPool.post([engineAttempt, method] { engineAttempt->preempt(method); }))
            engineAttempt->abortSignal().abort();
    };
}

TaskDispatcher::Action TaskDispatcher::prepare(const policy::RejectTask &reject)
{
    const auto found = m_tasks.find(reject.task);
    if (found == m_tasks.end())
        return nullptr;
    const TaskPtr task = found->second;
    m_tasks.erase(found);
    const auto fail = [task, reject] {
        task->submission.listener->onFailed(reject.failure, reject.retryAfter);
    };
    // A caller that receives the failure may resend the request to another entry at once. The crash
    // must be recorded before that, and every entry must either have the quarantined request in its
    // view or have a view that is too old to serve it.
    const bool quarantinedNow = reject.failure.code == ErrorCode::RequestQuarantined
                                && reject.failure.effect == EffectState::MayHaveRun;
    const auto sendFailure = [this, fail, quarantinedNow] {
        if (quarantinedNow)
            m_context.timers.subscribeOnce(m_context.quarantineResponseDelay, fail);
        else
            fail();
    };
    const auto sendFailureAfterRecord = [this, task, sendFailure] {
        (void)m_crashRecords.await(task->submission.task.fingerprint, crashRecordTimeout);
        sendFailure();
    };
    return [this, task, sendFailure, sendFailureAfterRecord] {
        const bool pending = m_crashRecords.pending(task->submission.task.fingerprint);
        if (!pending || !m_context.attemptPool.post(sendFailureAfterRecord))
            sendFailure();
    };
}

TaskDispatcher::Action TaskDispatcher::prepare(const policy::RecordCrash &crash)
{
    m_crashRecords.beginReport(crash.fingerprint);
    return [this, crash] {
        m_context.metrics.count("rattanrill_upstream_crashes_total", {{"upstream", crash.engine}});
        log(LogLevel::Warning, "upstream-crashed",
            {{"upstream", crash.engine}, {"fingerprint", crash.fingerprint}});
        m_context.crashReporter.report(crash.fingerprint, crash.engine,
                                       [this, crash](const Outcome<bool> &quarantined) {
                                           m_crashRecords.endReport(crash.fingerprint, quarantined);
                                           if (quarantined.ok() && quarantined.value())
                                               log(LogLevel::Warning, "request-held",
                                                   {{"fingerprint", crash.fingerprint}});
                                       });
    };
}

// Attempts

void TaskDispatcher::runAttempt(const TaskPtr &task,
                                const std::shared_ptr<EngineAttempt> &engineAttempt)
{
    std::uint64_t delivered = static_cast<std::uint64_t>(engineAttempt->start().resumeAfter);
    const policy::Task &schedulerTask = task->submission.task;
    // Crashes under batch items are not recorded in the directory and do not quarantine them.
    const CrashRecords::State crash =
            schedulerTask.kind == policy::TaskKind::Batch
                    ? CrashRecords::State::Recorded
                    : m_crashRecords.await(schedulerTask.fingerprint, crashRecordTimeout);
    if (crash == CrashRecords::State::Recorded) {
        const Outcome<engine::StreamSummary> outcome = stream(task, *engineAttempt, delivered);
        endAttempt(task, *engineAttempt, delivered, outcome);
        return;
    }
    const bool quarantined = crash == CrashRecords::State::Quarantined;
    const Failure failure =
            mayHaveRun(quarantined ? ErrorCode::RequestQuarantined : ErrorCode::UpstreamFailed,
                       quarantined ? "the request crashed the upstreams that ran it"
                                   : "the upstream crashed, and its crash could not be recorded");
    // The kind Invalid, because the scheduler does not retry failures of this kind.
    endFailedAttempt(task, *engineAttempt, delivered, failure,
                     policy::AttemptFailure::Kind::Invalid);
}

Outcome<engine::StreamSummary>
TaskDispatcher::stream(const TaskPtr &task, EngineAttempt &engineAttempt, std::uint64_t &delivered)
{
    const TaskSubmission &submission = task->submission;
    if (task->cancelled || engineAttempt.preempting())
        return notRun(ErrorCode::ClientDisconnected,
                      "the task was cancelled or preempted before the attempt sent its request");
    // The engine may have left since the decision: an attempt waits up to crashRecordTimeout for
    // the record of a crash.
    if (!m_context.engines.acceptsRequests(engineAttempt.client()))
        return notRun(ErrorCode::UpstreamUnavailable,
                      concat("engine \"", engineAttempt.start().engine,
                             "\" left before the attempt sent its request"));
    engine::StreamRequest request;
    request.path = submission.path;
    request.body = submission.body;
    request.requestId = engineAttempt.requestId();
    request.deliveredTokens = delivered;
    request.kvHandle = engineAttempt.start().kvHandle;
    request.deadline = submission.deadline;
    updateScheduler([&](policy::Scheduler &scheduler, absl::Time now) {
        scheduler.started(now, submission.task.id, engineAttempt.start().attempt);
    });
    absl::Time reported = absl::InfinitePast();
    const auto onToken = [&](const engine::Token &token) {
        if (task->cancelled)
            return;
        delivered = token.index + 1;
        submission.listener->onToken(token);
        const absl::Time now = m_context.clock.now();
        if (now - reported < progressInterval)
            return;
        reportProgress(task, engineAttempt, delivered, reported == absl::InfinitePast());
        reported = now;
    };
    return engineAttempt.client().stream(request, engineAttempt.abortSignal(), onToken);
}

void TaskDispatcher::reportProgress(const TaskPtr &task, EngineAttempt &engineAttempt,
                                    std::uint64_t delivered, bool first)
{
    const policy::TaskId id = task->submission.task.id;
    const int attempt = engineAttempt.start().attempt;
    updateScheduler([&](policy::Scheduler &scheduler, absl::Time now) {
        if (first)
            scheduler.firstToken(now, id, attempt);
        scheduler.progress(now, id, attempt, static_cast<std::int64_t>(delivered));
    });
}

void TaskDispatcher::removeTask(const TaskPtr &task)
{
    task->running = nullptr;
    m_tasks.erase(task->submission.task.id);
}

void TaskDispatcher::endAttempt(const TaskPtr &task, EngineAttempt &engineAttempt,
                                std::uint64_t delivered,
                                const Outcome<engine::StreamSummary> &outcome)
{
    const bool ended = outcome.ok() && outcome.value().finishReason != cancelledReason;
    if (!ended && engineAttempt.preempting()) {
        endPreemptedAttempt(task, engineAttempt, delivered);
        return;
    }
    if (!ended) {
        const Failure failure = outcome.ok() ? mayHaveRun(ErrorCode::StreamBroken,
                                                          "the engine cancelled the stream")
                                             : outcome.failure();
        if (!task->cancelled)
            endFailedAttempt(task, engineAttempt, delivered, failure,
                             failureKindOf(engineAttempt, failure));
        return;
    }
    {
        absl::MutexLock lock(&m_mutex);
        if (task->cancelled)
            return;
        m_scheduler.finished(m_context.clock.now(), task->submission.task.id,
                             engineAttempt.start().attempt, static_cast<std::int64_t>(delivered));
        removeTask(task);
    }
    task->submission.listener->onFinished(outcome.value());
    runDecisions();
}

void TaskDispatcher::endPreemptedAttempt(const TaskPtr &task, EngineAttempt &engineAttempt,
                                         std::uint64_t delivered)
{
    const std::string handle = engineAttempt.awaitPreemption(preemptionTimeout);
    {
        absl::MutexLock lock(&m_mutex);
        if (task->cancelled)
            return;
        task->running = nullptr;
        m_scheduler.preempted(m_context.clock.now(), task->submission.task.id,
                              engineAttempt.start().attempt, static_cast<std::int64_t>(delivered),
                              handle);
    }
    runDecisions();
}

policy::AttemptFailure::Kind TaskDispatcher::failureKindOf(EngineAttempt &engineAttempt,
                                                           const Failure &failure) const
{
    using Kind = policy::AttemptFailure::Kind;
    if (failure.code == ErrorCode::InvalidRequest || failure.code == ErrorCode::Timeout)
        return Kind::Invalid;
    if (failure.effect == EffectState::NotRun)
        return Kind::Refused;
    if (failure.code != ErrorCode::StreamBroken)
        return Kind::Broken;
    const Outcome<Done> probe = engineAttempt.client().probe();
    if (probe.ok())
        return Kind::Broken;
    // A process that is exiting may still accept the probe's connection and then reset it, so every
    // failure of the probe but its timeout counts as a crash. An engine that pauses accepts the
    // connection and is silent.
    return probe.failure().code == ErrorCode::Timeout ? Kind::Silent : Kind::Crashed;
}

void TaskDispatcher::endFailedAttempt(const TaskPtr &task, EngineAttempt &engineAttempt,
                                      std::uint64_t delivered, const Failure &failure,
                                      policy::AttemptFailure::Kind kind)
{
    policy::AttemptFailure attemptFailure;
    attemptFailure.kind = kind;
    attemptFailure.deliveredTokens = static_cast<std::int64_t>(delivered);
    attemptFailure.failure = failure;
    m_context.metrics.count("rattanrill_upstream_failures_total",
                            {{"upstream", engineAttempt.start().engine},
                             {"code", std::string(name(failure.code))}});
    std::optional<policy::EngineEjection> ejection;
    {
        absl::MutexLock lock(&m_mutex);
        if (task->cancelled)
            return;
        task->running = nullptr;
        ejection = m_scheduler.failed(m_context.clock.now(), task->submission.task.id,
                                      engineAttempt.start().attempt, attemptFailure);
    }
    if (ejection)
        reportEjection(m_context.metrics, wire::UpstreamKind::Engine, *ejection);
    runDecisions();
}

} // namespace rattanrill::entry
