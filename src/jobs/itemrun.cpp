#include "itemrun.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/logger.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace rattanrill::jobs {

using policy::ReleaseReason;

namespace {

/// Wait after a try that broke off; doubled with each further one.
constexpr absl::Duration firstBackoff = absl::Milliseconds(100);
constexpr absl::Duration maxBackoff = absl::Seconds(2);
/// Silence of an upstream after which the item goes on elsewhere. Longer than a busy engine's
/// prefill, since an item has time and a further run costs its prompt again.
constexpr absl::Duration silenceLimit = absl::Milliseconds(1500);

constexpr int statusCannotBeDone = 422;

std::string taskId(const wire::JobRecord &job, const wire::JobItem &item)
{
    return concat("item/", job.id, "/", item.id);
}

} // namespace

ItemRun::ItemRun(const JobExecutorContext &context, std::shared_ptr<const wire::JobRecord> job,
                 const wire::JobItem &item, Done done)
    : m_context(context)
    , m_job(std::move(job))
    , m_item(item)
    , m_done(std::move(done))
{}

void ItemRun::resume(const wire::ItemProgress &progress)
{
    m_position = serving::StreamPosition(progress.lastEvent);
    m_output = progress.output;
    m_hasOutput = true;
    m_storedEvent = progress.lastEvent;
    m_storedLength = m_output.size();
    m_served = absl::Milliseconds(progress.servedMs);
}

std::optional<wire::ItemProgress> ItemRun::unstored() const
{
    const std::int64_t last = m_position.lastId().value_or(-1);
    if (last <= m_storedEvent)
        return std::nullopt;
    wire::ItemProgress step;
    step.job = m_job->id;
    step.item = m_item.id;
    step.after = m_storedEvent;
    step.lastEvent = last;
    step.servedMs = absl::ToInt64Milliseconds(served());
    // A line feed joins the events, also across two steps.
    const std::size_t begin = m_storedEvent < 0 ? 0 : m_storedLength + 1;
    step.output = m_output.substr(begin);
    return step;
}

void ItemRun::stored(std::int64_t lastEvent)
{
    const auto found = m_lengths.find(lastEvent);
    if (found == m_lengths.end())
        return;
    m_storedEvent = lastEvent;
    m_storedLength = found->second;
    m_lengths.erase(m_lengths.begin(), std::next(found));
}

const serving::Route *ItemRun::route() const
{
    return m_deployment ? m_deployment->routeNamed(m_job->route) : nullptr;
}

void ItemRun::setDeployment(std::shared_ptr<const serving::DeploymentIndex> deployment)
{
    m_deployment = std::move(deployment);
    if (m_state == State::Ended)
        return;
    const serving::Route *current = route();
    if (current == nullptr)
        return finish(wire::ItemOutcome::DeadLettered, "the route was removed");
    if (m_state != State::Idle)
        return;
    const absl::Duration age =
            m_context.clock.wallNow() - absl::FromUnixMillis(m_job->acceptedAtMs);
    if (current->abandonAfter > absl::ZeroDuration()) {
        m_abandonTimer = m_context.loop.timers().subscribeOnce(
                std::max(current->abandonAfter - age, absl::ZeroDuration()),
                [self = shared_from_this()] {
                    self->m_abandonTimer = 0;
                    self->abandon();
                });
    }
    askForPlace();
}

void ItemRun::askForPlace()
{
    const serving::Route &current = *route();
    const absl::Duration age =
            m_context.clock.wallNow() - absl::FromUnixMillis(m_job->acceptedAtMs);
    policy::SlotTask task;
    task.id = taskId(*m_job, m_item);
    task.service = serving::selectService(current, m_item.id);
    task.workspace = m_job->workspace;
    task.failureDomain = m_context.failureDomain;
    task.kind = policy::TaskKind::Batch;
    task.priority = current.priority;
    task.tokens = static_cast<double>(m_item.tokens);
    task.deadline = m_context.clock.now() + (current.completionObjective - age);
    task.priorRunTime = m_served;
    m_state = State::Waiting;
    serving::SlotBroker::BatchHandlers handlers;
    handlers.granted = [self = shared_from_this()](const std::string &upstream,
                                                   const std::string &address) {
        self->granted(upstream, address);
    };
    handlers.preempted = [self = shared_from_this()] { self->yielded(); };
    m_context.broker.acquireBatch(task, std::move(handlers));
}

void ItemRun::granted(const std::string &upstream, const std::string &address)
{
    m_state = State::Running;
    m_upstream = upstream;
    m_grantedAt = m_context.clock.now();
    m_hasProgressed = false;
    m_hasHead = false;
    m_splitter.reset();
    ++m_runs;
    serving::UpstreamAttempt attempt;
    attempt.expectedInstance = upstream;
    attempt.workspace = m_job->workspace;
    attempt.resumeAfter = m_position.lastId();
    net::CallHandlers handlers;
    handlers.head = [self = shared_from_this()](const net::ResponseHead &head) {
        return self->noteHead(head);
    };
    handlers.body = [self = shared_from_this()](std::string_view bytes) { self->noteBody(bytes); };
    handlers.onEnd = [self = shared_from_this()](net::CallStatus status) {
        self->callEnded(status);
    };
    armSilenceTimer();
    m_call = m_context.upstreams.call(
            address, net::serialize(m_context.protocol.itemRequest(m_item, m_job->host, attempt)),
            std::move(handlers));
}

/// Makes room for an online request; goes on after its last event later.
void ItemRun::yielded()
{
    if (m_state != State::Running)
        return;
    ++m_yields;
    m_context.metrics.count("rattanrill_batch_yields_total");
    m_context.upstreams.cancel(m_call);
    cancelTimer(m_silenceTimer);
    stopServing();
    askForPlace();
}

bool ItemRun::noteHead(const net::ResponseHead &head)
{
    const serving::ResponseInfo facts = m_context.protocol.parseResponse(head);
    if (!facts.requestId.empty() && facts.requestId != m_item.id) {
        log(LogLevel::Warning, "foreign-answer-dropped",
            {{"item", m_item.id}, {"foreignRequestId", facts.requestId}, {"upstream", m_upstream}});
        return false;
    }
    m_head = head;
    m_facts = facts;
    m_hasHead = true;
    if (facts.outstandingRequests)
        m_context.broker.updateLoad({m_upstream, *facts.outstandingRequests});
    return true;
}

void ItemRun::noteBody(std::string_view bytes)
{
    const bool isSuccess = m_head.status >= 200 && m_head.status < 300 && !m_facts.notRun;
    if (m_state != State::Running || !isSuccess)
        return;
    std::vector<serving::StreamEvent> events;
    m_splitter.feed(bytes, events);
    for (const serving::StreamEvent &event : events) {
        const serving::SequenceCheck verdict = m_position.advance(event);
        if (verdict == serving::SequenceCheck::Gap)
            return attemptFailed("an event is missing", ReleaseReason::Failed);
        if (verdict == serving::SequenceCheck::Repeated)
            continue;
        if (m_hasOutput)
            m_output += '\n';
        m_output += event.data;
        m_hasOutput = true;
        m_hasProgressed = true;
        m_brokenTries = 0;
        if (event.id)
            m_lengths[*event.id] = m_output.size();
    }
    armSilenceTimer();
}

void ItemRun::callEnded(net::CallStatus status)
{
    if (m_state != State::Running)
        return;
    if (status == net::CallStatus::NotConnected)
        return attemptFailed(net::name(status), ReleaseReason::Unreachable);
    if (status == net::CallStatus::Broken)
        return attemptFailed(net::name(status), ReleaseReason::Failed);
    if (m_facts.notRun)
        return attemptFailed("the upstream refused", m_facts.isInstanceMismatch
                                                             ? ReleaseReason::Unreachable
                                                             : ReleaseReason::Failed);
    if (m_head.status == statusCannotBeDone) {
        leaveUpstream(ReleaseReason::Completed);
        return finish(wire::ItemOutcome::DeadLettered, "the upstream cannot do the item");
    }
    if (m_head.status >= 200 && m_head.status < 300)
        return completed();
    if (m_head.status == 500)
        ++m_serverErrors;
    if (m_serverErrors >= route()->maxAttempts) {
        leaveUpstream(ReleaseReason::Completed);
        return finish(wire::ItemOutcome::DeadLettered, "the item failed at every try");
    }
    attemptFailed(concat("status ", m_head.status), ReleaseReason::Completed);
}

void ItemRun::completed()
{
    if (!m_splitter.incompleteEvent().empty())
        return attemptFailed("the answer ends inside an event", ReleaseReason::Failed);
    leaveUpstream(ReleaseReason::Completed);
    finish(wire::ItemOutcome::Completed, "");
}

void ItemRun::attemptFailed(std::string_view reason, ReleaseReason end)
{
    m_context.upstreams.cancel(m_call);
    leaveUpstream(end);
    log(LogLevel::Info, "item-try-failed",
        {{"job", m_job->id},
         {"item", m_item.id},
         {"upstream", m_upstream},
         {"reason", reason},
         {"lastEvent", m_position.lastId().value_or(-1)},
         {"serverErrors", m_serverErrors},
         {"run", m_runs}});
    const int doublings = std::min(m_brokenTries++, 5);
    const absl::Duration delay = std::min(firstBackoff * (1 << doublings), maxBackoff);
    m_state = State::BackingOff;
    m_backoffTimer = m_context.loop.timers().subscribeOnce(delay, [self = shared_from_this()] {
        self->m_backoffTimer = 0;
        if (self->m_state == State::BackingOff)
            self->askForPlace();
    });
}

absl::Duration ItemRun::served() const
{
    const bool isServed = m_state == State::Running && m_hasProgressed;
    return m_served + (isServed ? m_context.clock.now() - m_grantedAt : absl::ZeroDuration());
}

void ItemRun::stopServing()
{
    m_served = served();
    m_hasProgressed = false;
}

void ItemRun::leaveUpstream(ReleaseReason reason)
{
    cancelTimer(m_silenceTimer);
    stopServing();
    m_state = State::BackingOff;
    m_context.broker.releaseBatch(taskId(*m_job, m_item), reason);
}

void ItemRun::abandon()
{
    if (m_state == State::Ended)
        return;
    if (m_state == State::Running)
        m_context.upstreams.cancel(m_call);
    m_context.broker.cancelBatch(taskId(*m_job, m_item));
    finish(wire::ItemOutcome::DeadLettered, "the item was not done in time");
}

void ItemRun::armSilenceTimer()
{
    cancelTimer(m_silenceTimer);
    m_silenceTimer =
            m_context.loop.timers().subscribeOnce(silenceLimit, [self = shared_from_this()] {
                self->m_silenceTimer = 0;
                if (self->m_state == State::Running)
                    self->attemptFailed("the upstream is silent", ReleaseReason::Failed);
            });
}

void ItemRun::cancelTimer(TimerService::TimerId &timer)
{
    if (timer != 0)
        m_context.loop.timers().unsubscribe(std::exchange(timer, 0));
}

void ItemRun::finish(wire::ItemOutcome outcome, std::string_view reason)
{
    const auto self = shared_from_this();
    stop();
    m_context.metrics.count("rattanrill_batch_items_total",
                            {{"outcome", std::string(wire::name(outcome))}});
    log(LogLevel::Info, "item-ended",
        {{"job", m_job->id},
         {"item", m_item.id},
         {"workspace", m_job->workspace},
         {"outcome", wire::name(outcome)},
         {"reason", reason},
         {"runs", m_runs},
         {"yields", m_yields},
         {"ageMs", absl::ToInt64Milliseconds(m_context.clock.wallNow()
                                             - absl::FromUnixMillis(m_job->acceptedAtMs))}});
    wire::ItemResult result;
    result.id = m_item.id;
    result.outcome = outcome;
    if (outcome == wire::ItemOutcome::Completed)
        result.output = std::move(m_output);
    const Done done = std::exchange(m_done, nullptr);
    done(std::move(result));
}

void ItemRun::stop()
{
    if (m_state == State::Ended)
        return;
    if (m_state == State::Running)
        m_context.upstreams.cancel(m_call);
    m_context.broker.cancelBatch(taskId(*m_job, m_item));
    m_state = State::Ended;
    for (TimerService::TimerId *timer : {&m_abandonTimer, &m_backoffTimer, &m_silenceTimer})
        cancelTimer(*timer);
}

} // namespace rattanrill::jobs
