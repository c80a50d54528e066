#include "workdispatcher.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/logger.h"

namespace rattanrill::entry {
namespace {

/// The scheduler wants progress every few hundred milliseconds, not for every token.
constexpr absl::Duration progressInterval = absl::Milliseconds(100);
/// Longer than an export and a cancel that both time out.
constexpr absl::Duration preemptionLimit = absl::Seconds(8);
/// Longer than a report to the directory that times out.
constexpr absl::Duration crashRecordLimit = absl::Seconds(6);
constexpr std::string_view cancelledReason = "cancelled";

} // namespace

WorkDispatcher::WorkDispatcher(const policy::SchedulerSettings &settings, std::uint64_t seed,
                               Parts parts)
    : m_parts(parts)
    , m_scheduler(settings, seed)
{}

WorkDispatcher::~WorkDispatcher()
{
    stop();
}

policy::TaskId WorkDispatcher::submit(WorkOrder order)
{
    const auto task = std::make_shared<Task>();
    task->order = std::move(order);
    policy::TaskId id = 0;
    {
        absl::MutexLock lock(&m_mutex);
        id = m_nextId++;
        task->order.task.id = id;
        m_tasks[id] = task;
        m_scheduler.arrived(m_parts.clock.now(), task->order.task);
    }
    pump();
    return id;
}

void WorkDispatcher::withdraw(policy::TaskId id)
{
    std::shared_ptr<EngineTry> running;
    {
        absl::MutexLock lock(&m_mutex);
        const auto task = m_tasks.find(id);
        if (task == m_tasks.end())
            return;
        task->second->withdrawn = true;
        running = task->second->running;
        m_scheduler.cancelled(m_parts.clock.now(), id);
        m_tasks.erase(task);
    }
    if (running && !m_parts.calls.post([running] { running->giveUp(); }))
        running->cancellation().abort();
    pump();
}

void WorkDispatcher::inform(const std::function<void(policy::Scheduler &, absl::Time)> &event)
{
    {
        absl::MutexLock lock(&m_mutex);
        event(m_scheduler, m_parts.clock.now());
    }
    pump();
}

std::size_t WorkDispatcher::batchCapacity() const
{
    absl::MutexLock lock(&m_mutex);
    return m_scheduler.batchCapacity(m_parts.clock.now());
}

std::size_t WorkDispatcher::running(policy::TaskKind kind) const
{
    absl::MutexLock lock(&m_mutex);
    return m_scheduler.running(kind);
}

std::size_t WorkDispatcher::waiting(policy::TaskKind kind) const
{
    absl::MutexLock lock(&m_mutex);
    return m_scheduler.waiting(kind);
}

void WorkDispatcher::stop()
{
    TimerService::TimerId timer = 0;
    {
        absl::MutexLock lock(&m_mutex);
        m_stopped = true;
        timer = m_timer;
    }
    if (timer != 0)
        m_parts.timers.unsubscribe(timer);
}

// Decisions

void WorkDispatcher::pump()
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

std::vector<WorkDispatcher::Action> WorkDispatcher::decide()
{
    std::vector<Action> actions;
    for (const policy::SchedulerDecision &decision : m_scheduler.decide(m_parts.clock.now())) {
        Action action = std::visit([this](const auto &step)
                                           ABSL_NO_THREAD_SAFETY_ANALYSIS { return prepare(step); },
                                   decision);
        if (action)
            actions.push_back(std::move(action));
    }
    m_wanted = m_scheduler.nextDecision();
    return actions;
}

void WorkDispatcher::perform(const std::vector<Action> &actions)
{
    for (const Action &action : actions)
        action();
}

void WorkDispatcher::armTimer()
{
    TimerService::TimerId old = 0;
    absl::Duration delay;
    {
        absl::MutexLock lock(&m_mutex);
        const absl::Time now = m_parts.clock.now();
        const bool pending = m_armed > now && m_armed != absl::InfiniteFuture();
        if (m_stopped || m_wanted == absl::InfiniteFuture() || (pending && m_armed <= m_wanted))
            return;
        old = pending ? m_timer : 0;
        delay = std::max(m_wanted - now, absl::ZeroDuration());
        m_armed = now + delay;
        // The timer service never calls back while it takes a subscription.
        m_timer = m_parts.timers.subscribeOnce(delay, [this] { pump(); });
    }
    if (old != 0)
        m_parts.timers.unsubscribe(old);
}

WorkDispatcher::Action WorkDispatcher::prepare(const policy::StartTask &start)
{
    const auto found = m_tasks.find(start.task);
    if (found == m_tasks.end())
        return nullptr;
    const TaskPointer task = found->second;
    const EngineTable::Client client = m_parts.engines.find(start.engine);
    const auto fail = [this, start, code = client ? ErrorCode::QueueFull : ErrorCode::NotFound] {
        policy::AttemptFailure failure;
        failure.kind = policy::AttemptFailure::Kind::Refused;
        failure.deliveredTokens = start.resumeAfter;
        failure.failure =
                notRun(code, concat("no try could start on engine \"", start.engine, "\""));
        inform([&](policy::Scheduler &scheduler, absl::Time now) {
            scheduler.failed(now, start.task, start.attempt, failure);
        });
    };
    if (!client)
        return fail;
    const auto engineTry = std::make_shared<EngineTry>(
            client, start, concat(task->order.requestId, "-", start.attempt));
    task->running = engineTry;
    return [this, task, engineTry, fail] {
        if (!m_parts.tries.post([this, task, engineTry] { runTry(task, engineTry); }))
            fail();
    };
}

WorkDispatcher::Action WorkDispatcher::prepare(const policy::PreemptTask &preempt)
{
    const auto found = m_tasks.find(preempt.task);
    if (found == m_tasks.end() || !found->second->running)
        return nullptr;
    const std::shared_ptr<EngineTry> engineTry = found->second->running;
    if (engineTry->start().attempt != preempt.attempt)
        return nullptr;
    engineTry->markPreempting();
    return [this, engineTry, method = preempt.method] {
        m_parts.metrics.count("rattanrill_preemptions_total",
                              {{"method", std::string(name(method))}});
        if (!m_parts.calls.post([engineTry, method] { engineTry->preempt(method); }))
            engineTry->cancellation().abort();
    };
}

WorkDispatcher::Action WorkDispatcher::prepare(const policy::RejectTask &refuse)
{
    const auto found = m_tasks.find(refuse.task);
    if (found == m_tasks.end())
        return nullptr;
    const TaskPointer task = found->second;
    m_tasks.erase(found);
    const auto fail = [task, refuse] {
        task->order.listener->onFailed(refuse.failure, refuse.retryAfter);
    };
    // A caller who is told of the failure may send the request again to another entry at once; the
    // record must be there first, and every entry must know of a held request or have a view too
    // old to serve it.
    const bool heldNow = refuse.failure.code == ErrorCode::RequestQuarantined
                         && refuse.failure.run == EffectState::MayHaveRun;
    const auto answer = [this, fail, heldNow] {
        if (heldNow)
            m_parts.timers.subscribeOnce(m_parts.heldAnswerDelay, fail);
        else
            fail();
    };
    const auto answerAfterRecord = [this, task, answer] {
        (void)m_crashRecords.await(task->order.task.fingerprint, crashRecordLimit);
        answer();
    };
    return [this, task, answer, answerAfterRecord] {
        const bool pending = m_crashRecords.pending(task->order.task.fingerprint);
        if (!pending || !m_parts.tries.post(answerAfterRecord))
            answer();
    };
}

WorkDispatcher::Action WorkDispatcher::prepare(const policy::RecordCrash &crash)
{
    m_crashRecords.begin(crash.fingerprint);
    return [this, crash] {
        m_parts.metrics.count("rattanrill_upstream_crashes_total", {{"upstream", crash.engine}});
        log(LogLevel::Warning, "upstream-crashed",
            {{"upstream", crash.engine}, {"fingerprint", crash.fingerprint}});
        m_parts.crashes.report(crash.fingerprint, crash.engine,
                               [this, crash](const Outcome<bool> &held) {
                                   m_crashRecords.end(crash.fingerprint, held);
                                   if (held.ok() && held.value())
                                       log(LogLevel::Warning, "request-held",
                                           {{"fingerprint", crash.fingerprint}});
                               });
    };
}

// Tries

void WorkDispatcher::runTry(const TaskPointer &task, const std::shared_ptr<EngineTry> &engineTry)
{
    std::uint64_t delivered = static_cast<std::uint64_t>(engineTry->start().resumeAfter);
    const std::string &fingerprint = task->order.task.fingerprint;
    const CrashRecords::State crash = m_crashRecords.await(fingerprint, crashRecordLimit);
    if (crash == CrashRecords::State::Recorded) {
        const Outcome<engine::StreamSummary> outcome = stream(task, *engineTry, delivered);
        settle(task, *engineTry, delivered, outcome);
        return;
    }
    const bool held = crash == CrashRecords::State::Held;
    const Failure failure =
            mayHaveRun(held ? ErrorCode::RequestQuarantined : ErrorCode::UpstreamFailed,
                       held ? "the request crashed the upstreams that ran it"
                            : "the upstream crashed, and its crash could not be recorded");
    settleFailed(task, *engineTry, delivered, failure, policy::AttemptFailure::Kind::Invalid);
}

Outcome<engine::StreamSummary> WorkDispatcher::stream(const TaskPointer &task, EngineTry &engineTry,
                                                      std::uint64_t &delivered)
{
    const WorkOrder &order = task->order;
    if (task->withdrawn || engineTry.preempting())
        return notRun(ErrorCode::ClientDisconnected, "the try ended before it was sent");
    engine::StreamRequest request;
    request.path = order.path;
    request.body = order.body;
    request.requestId = engineTry.requestId();
    request.deliveredTokens = delivered;
    request.kvHandle = engineTry.start().kvHandle;
    request.deadline = order.deadline;
    inform([&](policy::Scheduler &scheduler, absl::Time now) {
        scheduler.started(now, order.task.id, engineTry.start().attempt);
    });
    absl::Time reported = absl::InfinitePast();
    const auto onToken = [&](const engine::Token &token) {
        if (task->withdrawn)
            return;
        delivered = token.index + 1;
        order.listener->onToken(token);
        const absl::Time now = m_parts.clock.now();
        if (now - reported < progressInterval)
            return;
        noteToken(task, engineTry, delivered, reported == absl::InfinitePast());
        reported = now;
    };
    return engineTry.client().stream(request, engineTry.cancellation(), onToken);
}

void WorkDispatcher::noteToken(const TaskPointer &task, EngineTry &engineTry,
                               std::uint64_t delivered, bool first)
{
    const policy::TaskId id = task->order.task.id;
    const int attempt = engineTry.start().attempt;
    inform([&](policy::Scheduler &scheduler, absl::Time now) {
        if (first)
            scheduler.firstToken(now, id, attempt);
        scheduler.progress(now, id, attempt, static_cast<std::int64_t>(delivered));
    });
}

void WorkDispatcher::endTask(const TaskPointer &task)
{
    task->running = nullptr;
    m_tasks.erase(task->order.task.id);
}

void WorkDispatcher::settle(const TaskPointer &task, EngineTry &engineTry, std::uint64_t delivered,
                            const Outcome<engine::StreamSummary> &outcome)
{
    const bool ended = outcome.ok() && outcome.value().finishReason != cancelledReason;
    if (!ended && engineTry.preempting()) {
        settlePreempted(task, engineTry, delivered);
        return;
    }
    if (!ended) {
        const Failure failure = outcome.ok() ? mayHaveRun(ErrorCode::StreamBroken,
                                                          "the engine cancelled the stream")
                                             : outcome.failure();
        if (!task->withdrawn)
            settleFailed(task, engineTry, delivered, failure, kindOf(engineTry, failure));
        return;
    }
    {
        absl::MutexLock lock(&m_mutex);
        if (task->withdrawn)
            return;
        m_scheduler.finished(m_parts.clock.now(), task->order.task.id, engineTry.start().attempt,
                             static_cast<std::int64_t>(delivered));
        endTask(task);
    }
    task->order.listener->onFinished(outcome.value());
    pump();
}

void WorkDispatcher::settlePreempted(const TaskPointer &task, EngineTry &engineTry,
                                     std::uint64_t delivered)
{
    const std::string handle = engineTry.awaitPreemption(preemptionLimit);
    {
        absl::MutexLock lock(&m_mutex);
        if (task->withdrawn)
            return;
        task->running = nullptr;
        m_scheduler.preempted(m_parts.clock.now(), task->order.task.id, engineTry.start().attempt,
                              static_cast<std::int64_t>(delivered), handle);
    }
    pump();
}

policy::AttemptFailure::Kind WorkDispatcher::kindOf(EngineTry &engineTry,
                                                    const Failure &failure) const
{
    using Kind = policy::AttemptFailure::Kind;
    if (failure.code == ErrorCode::InvalidRequest || failure.code == ErrorCode::Timeout)
        return Kind::Invalid;
    if (failure.run == EffectState::NotRun)
        return Kind::Refused;
    if (failure.code != ErrorCode::StreamBroken)
        return Kind::Broken;
    // A process that is exiting may still accept the probe's connection and then reset it, so every
    // failure of the probe counts as a crash.
    const Outcome<Done> probe = engineTry.client().probe();
    return probe.ok() ? Kind::Broken : Kind::Crashed;
}

void WorkDispatcher::settleFailed(const TaskPointer &task, EngineTry &engineTry,
                                  std::uint64_t delivered, const Failure &failure,
                                  policy::AttemptFailure::Kind kind)
{
    policy::AttemptFailure tryFailure;
    tryFailure.kind = kind;
    tryFailure.deliveredTokens = static_cast<std::int64_t>(delivered);
    tryFailure.failure = failure;
    m_parts.metrics.count(
            "rattanrill_upstream_failures_total",
            {{"upstream", engineTry.start().engine}, {"code", std::string(name(failure.code))}});
    {
        absl::MutexLock lock(&m_mutex);
        if (task->withdrawn)
            return;
        task->running = nullptr;
        m_scheduler.failed(m_parts.clock.now(), task->order.task.id, engineTry.start().attempt,
                           tryFailure);
    }
    pump();
}

} // namespace rattanrill::entry
