#include "itemrun.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/logduration.h"
#include "rattanrill/base/logger.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace rattanrill::jobs {

using policy::ReleaseReason;

namespace {

/// Delay after a failed attempt; doubles with each further failure up to maxBackoff.
constexpr absl::Duration minBackoff = absl::Milliseconds(100);
constexpr absl::Duration maxBackoff = absl::Seconds(2);
/// An attempt fails when its upstream sends no event for this long; the item then requests another
/// slot. Longer than the prefill time of a busy engine: batch items are not urgent, and each
/// further attempt computes the prompt again.
constexpr absl::Duration idleTimeout = absl::Milliseconds(1500);

/// Time after which an entry ends a call that it forwards and that was not cancelled.
constexpr absl::Duration maxForwardedTime = absl::Minutes(1);

constexpr int statusUnprocessable = 422;
constexpr int statusServerError = 500;

/// Returns the traits of \a item by which crashes of upstreams are attributed.
serving::CrashTraits traitsOf(const serving::ProtocolAdapter &protocol, const wire::JobRecord &job,
                              const wire::JobItem &item)
{
    const net::Request request = protocol.itemRequest(item, job.host, serving::UpstreamAttempt());
    const auto fields = outcomeOf([&] { return protocol.parseRequest(request); });
    return serving::crashTraits(job.workspace, request,
                                fields.ok() ? fields.value().sharedPromptParts
                                            : std::vector<std::string>());
}

} // namespace

ItemRun::ItemRun(const JobExecutorContext &context, std::shared_ptr<const wire::JobRecord> job,
                 const wire::JobItem &item, ResultCallback resultCallback,
                 FailureCallback failureCallback)
    : m_context(context)
    , m_job(std::move(job))
    , m_item(item)
    , m_resultCallback(std::move(resultCallback))
    , m_failureCallback(std::move(failureCallback))
    , m_traits(traitsOf(context.protocol, *m_job, item))
    , m_progressAt(context.clock.now())
{}

void ItemRun::resume(const wire::ItemFailures &failures)
{
    m_serverErrors = failures.serverErrors;
    m_storedServerErrors = failures.serverErrors;
}

void ItemRun::markFailuresStored(std::int64_t serverErrors)
{
    m_storedServerErrors = std::max(m_storedServerErrors, serverErrors);
    if (m_state == State::BackingOff && m_backoffTimer == 0)
        acquireSlot();
}

std::string ItemRun::taskId() const
{
    return concat("item/", m_job->id, "/", m_item.id);
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
    if (route() == nullptr)
        return finish(wire::ItemOutcome::DeadLettered,
                      "the configuration no longer contains the route of the job");
    updateAbandonTimer();
    if (m_state == State::Idle)
        acquireSlot();
    else
        updateRequest();
}

void ItemRun::updateAbandonTimer()
{
    const absl::Duration limit = route()->abandonAfter;
    if (limit == m_abandonAfter)
        return;
    m_abandonAfter = limit;
    cancelTimer(m_abandonTimer);
    if (limit <= absl::ZeroDuration())
        return;
    m_abandonTimer = m_context.loop.timers().subscribeOnce(
            std::max(limit - age(), absl::ZeroDuration()), [self = shared_from_this()] {
                self->m_abandonTimer = 0;
                self->abandon();
            });
}

absl::Duration ItemRun::age() const
{
    return m_context.clock.wallNow() - absl::FromUnixMillis(m_job->acceptedAtMs);
}

std::string_view ItemRun::giveUpReason() const
{
    if (m_isRefused)
        return "the upstream refused the item with status 422";
    if (m_serverErrors >= route()->maxAttempts)
        return "the number of attempts that failed with status 500 reached the route's maximum";
    return "";
}

bool ItemRun::endIfGivenUp()
{
    const std::string_view reason = giveUpReason();
    if (reason.empty())
        return false;
    finish(wire::ItemOutcome::DeadLettered, reason);
    return true;
}

void ItemRun::handleSlotGranted(const policy::GrantSlot &grant)
{
    m_upstream = grant.upstream;
    m_address = grant.address;
    // The configuration may have changed since the slot was requested.
    if (!giveUpReason().empty()) {
        releaseSlot(ReleaseReason::Cancelled);
        endIfGivenUp();
        return;
    }
    if (isBlocked()) {
        releaseSlot(ReleaseReason::Cancelled);
        return hold();
    }
    m_state = State::Running;
    m_grantedAt = m_context.clock.now();
    m_upstreamListAge = m_context.upstreamListAge();
    m_hasProgressed = false;
    m_hasHead = false;
    m_splitter.reset();
    const serving::UpstreamTarget target = chooseTarget(grant);
    if (!m_context.upstreams.canCall(target, m_item.id))
        return failAttempt("this process is cut off from the upstreams, and no entry forwards",
                           ReleaseReason::Cancelled);
    prepareOutput(grant.version);
    send(target);
}

/// Chooses the entry that forwards the call if this process is cut off from the upstreams.
serving::UpstreamTarget ItemRun::chooseTarget(const policy::GrantSlot &grant)
{
    serving::UpstreamTarget target{grant.upstream, grant.address, {}, maxForwardedTime};
    m_forwarder.clear();
    m_hasForwarderFailed = false;
    if (!m_context.upstreams.isCutOff())
        return target;
    const auto forwarder = m_context.broker.chooseForwarder(
            m_context.instance, m_context.failureDomain, grant.upstream);
    if (!forwarder)
        return target;
    m_forwarder = forwarder->instance;
    target.forwarderAddress = forwarder->address;
    return target;
}

void ItemRun::send(const serving::UpstreamTarget &target)
{
    m_position.beginAttempt();
    ++m_attempts;
    m_context.metrics.count("rattanrill_batch_attempts_total");
    serving::UpstreamAttempt attempt;
    attempt.expectedInstance = m_upstream;
    attempt.workspace = m_job->workspace;
    attempt.resumeAfter = m_position.lastId();
    restartIdleTimer();
    m_sentAt = m_context.clock.now();
    m_context.crashGuard.recordSent(m_traits.all());
    m_call = m_context.upstreams.call(
            target, requestWriter(attempt), callHandlers(), m_item.id,
            {m_traits, [self = shared_from_this()] { self->m_hasForwarderFailed = true; }});
    // An established connection may have been used although an entry would forward.
    if (!m_context.upstreams.isForwarded(m_call))
        releaseForwarder();
}

net::RequestWriter ItemRun::requestWriter(const serving::UpstreamAttempt &attempt)
{
    return [self = shared_from_this(), attempt] {
        return net::serialize(
                self->m_context.protocol.itemRequest(self->m_item, self->m_job->host, attempt));
    };
}

void ItemRun::releaseForwarder()
{
    if (!m_forwarder.empty())
        m_context.broker.releaseForwarder(std::exchange(m_forwarder, std::string()),
                                          m_hasForwarderFailed);
}

net::CallHandlers ItemRun::callHandlers()
{
    net::CallHandlers handlers;
    handlers.ownerOf = [self = shared_from_this()](const net::ResponseHead &head) {
        return self->ownerOf(head);
    };
    handlers.onHead = [self = shared_from_this()](const net::ResponseHead &head) {
        self->handleHead(head);
    };
    handlers.onBody = [self = shared_from_this()](std::string_view bytes) {
        self->handleBody(bytes);
    };
    handlers.onEnd = [self = shared_from_this()](net::CallStatus status) {
        self->handleCallEnd(status);
    };
    handlers.mayBeSent = [self = shared_from_this(), upstream = m_upstream, address = m_address] {
        return !self->m_context.broker.isLeaving(upstream, address);
    };
    return handlers;
}

/// Ends the call because an online request takes the slot. The item continues after its last event
/// when it is granted another slot.
void ItemRun::handleSlotPreempted()
{
    if (m_state != State::Running)
        return;
    ++m_preemptions;
    m_context.metrics.count("rattanrill_batch_yields_total");
    m_context.upstreams.cancel(m_call);
    releaseForwarder();
    m_context.crashGuard.recordCancelled(m_traits.all());
    cancelTimer(m_idleTimer);
    recordRunTime();
    acquireSlot();
}

net::ResponseOwner ItemRun::ownerOf(const net::ResponseHead &head) const
{
    const serving::ResponseInfo responseInfo = m_context.protocol.parseResponse(head);
    const net::ResponseOwner owner = serving::ownerOf(responseInfo, m_item.id);
    if (owner == net::ResponseOwner::AnotherRequest)
        log(LogLevel::Warning, "foreign-answer-dropped",
            {{"item", m_item.id},
             {"foreignRequestId", responseInfo.requestId},
             {"upstream", m_upstream}});
    reportForeignAnnouncement(owner, responseInfo);
    return owner;
}

/// The announcement that an upstream leaves concerns the upstream and not the request, so it is
/// valid in a response to another request too.
void ItemRun::reportForeignAnnouncement(net::ResponseOwner owner,
                                        const serving::ResponseInfo &info) const
{
    if (owner == net::ResponseOwner::ThisRequest)
        return;
    if (const auto report = serving::leavingReportOf(m_upstream, m_address, info))
        m_context.broker.reportLoad(*report);
}

void ItemRun::handleHead(const net::ResponseHead &head)
{
    m_head = head;
    m_responseInfo = m_context.protocol.parseResponse(head);
    m_hasHead = true;
    m_isStream = !m_responseInfo.notRun && head.status >= 200 && head.status < 300
                 && m_context.protocol.isEventStream(head);
    if (!m_responseInfo.isInstanceMismatch)
        m_context.broker.reportLoad(serving::loadOf(m_upstream, m_address, m_responseInfo));
    if (!m_responseInfo.notRun)
        recordStatus(head.status);
}

/// The status counts as soon as it has arrived: an upstream whose response breaks off or does not
/// end would otherwise get the item again without limit.
void ItemRun::recordStatus(int status)
{
    if (status == statusUnprocessable)
        m_isRefused = true;
    if (status == statusServerError)
        m_failureCallback({m_job->id, m_item.id, ++m_serverErrors});
}

void ItemRun::handleCallEnd(net::CallStatus status)
{
    if (m_state != State::Running)
        return;
    if (status == net::CallStatus::Malformed) {
        releaseSlot(ReleaseReason::Cancelled);
        return finish(wire::ItemOutcome::DeadLettered,
                      "the item can't be written as an HTTP request");
    }
    if (net::isNotSent(status) && m_context.broker.isLeaving(m_upstream, m_address))
        return skipLeavingUpstream();
    if (net::isNotSent(status))
        return failAttempt(net::name(status),
                           serving::notSentReason(
                                   status, m_forwarder.empty() && m_context.upstreams.isCutOff()));
    if (status == net::CallStatus::Broken)
        return attemptBroken(net::name(status));
    if (m_responseInfo.notRun)
        return failAttempt("the upstream reported that the request did not run",
                           serving::refusalReason(m_responseInfo));
    if (m_isStream && serving::isBrokenOff(m_head, m_splitter, m_position.hasReceivedEvent()))
        return attemptBroken("the response was broken off");
    m_context.crashGuard.recordSound(m_traits.suspects(m_hasProgressed));
    if (m_head.status >= 200 && m_head.status < 300)
        return handleSuccess();
    const ReleaseReason reason = serving::responseReason(m_head.status);
    if (!giveUpReason().empty()) {
        releaseSlot(reason);
        endIfGivenUp();
        return;
    }
    failAttempt(concat("the upstream responded with status ", m_head.status), reason);
}

void ItemRun::handleSuccess()
{
    if (!m_isStream)
        return failAttempt("the response is no event stream", ReleaseReason::Completed);
    if (!m_position.hasReceivedEvent() || !m_position.hasReachedLast()) {
        m_restarts = true;
        return failAttempt("the response does not continue the stream", ReleaseReason::Completed);
    }
    releaseSlot(ReleaseReason::Completed);
    finish(wire::ItemOutcome::Completed, "");
}

void ItemRun::failAttempt(std::string_view reason, ReleaseReason releaseReason)
{
    m_context.upstreams.cancel(m_call);
    releaseSlot(releaseReason);
    log(LogLevel::Info, "item-try-failed",
        {{"job", m_job->id},
         {"item", m_item.id},
         {"upstream", m_upstream},
         {"reason", reason},
         {"lastEvent", m_position.lastId().value_or(-1)},
         {"serverErrors", m_serverErrors},
         {"upstreamListAgeMs", loggedMilliseconds(m_upstreamListAge)},
         {"run", m_attempts}});
    // After 5 doublings the delay exceeds maxBackoff. The limit keeps the shift within int.
    const int doublings = std::min(m_consecutiveFailures++, 5);
    retryAfter(std::min(minBackoff * (1 << doublings), maxBackoff));
}

void ItemRun::attemptBroken(std::string_view reason)
{
    // The entry that forwards a call reports the crash itself.
    if (m_forwarder.empty())
        m_context.crashGuard.recordBroken(
                m_context.upstreams,
                {m_item.id, m_upstream, m_address, m_traits.suspects(m_hasProgressed), m_sentAt});
    failAttempt(reason, ReleaseReason::Failed);
}

void ItemRun::skipLeavingUpstream()
{
    releaseSlot(ReleaseReason::Cancelled);
    log(LogLevel::Info, "item-try-failed",
        {{"job", m_job->id},
         {"item", m_item.id},
         {"upstream", m_upstream},
         {"reason", "the upstream accepts no new requests, and the item was not sent"},
         {"lastEvent", m_position.lastId().value_or(-1)},
         {"serverErrors", m_serverErrors},
         {"run", m_attempts}});
    acquireSlot();
}

absl::Duration ItemRun::runTime() const
{
    const bool countsCurrentSlot = m_state == State::Running && m_hasProgressed;
    return m_priorRunTime
           + (countsCurrentSlot ? m_context.clock.now() - m_grantedAt : absl::ZeroDuration());
}

void ItemRun::recordRunTime()
{
    m_priorRunTime = runTime();
    m_hasProgressed = false;
}

void ItemRun::releaseSlot(ReleaseReason reason)
{
    cancelTimer(m_idleTimer);
    recordRunTime();
    m_state = State::BackingOff;
    m_context.broker.recordLinks(m_context.instance, m_context.upstreams.isCutOff());
    const bool isWitness =
            m_forwarder.empty() ? m_context.upstreams.isWitness(reason) : !m_hasForwarderFailed;
    const std::string observer = m_forwarder.empty() ? m_context.instance : m_forwarder;
    releaseForwarder();
    m_context.broker.releaseBatch(taskId(), isWitness ? reason : ReleaseReason::Cancelled,
                                  observer);
}

void ItemRun::abandon()
{
    if (m_state == State::Ended)
        return;
    if (m_state == State::Running)
        m_context.upstreams.cancel(m_call);
    m_context.broker.cancelBatch(taskId());
    finish(wire::ItemOutcome::DeadLettered,
           "the item was not completed within the route's time limit");
}

void ItemRun::restartIdleTimer()
{
    cancelTimer(m_idleTimer);
    m_idleTimer = m_context.loop.timers().subscribeOnce(idleTimeout, [self = shared_from_this()] {
        self->m_idleTimer = 0;
        // An event may have arrived while this process was busy; its handler then runs first.
        self->m_context.loop.post([self] { self->endIdleAttempt(); });
    });
}

/// Ends the attempt unless an event has arrived since the idle timer expired.
void ItemRun::endIdleAttempt()
{
    if (m_state != State::Running || m_idleTimer != 0)
        return;
    if (m_forwarder.empty())
        m_context.upstreams.probeSilent(m_upstream);
    failAttempt("the upstream sent no event within the idle timeout", ReleaseReason::Failed);
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
    m_context.metrics.count("rattanrill_batch_results_total");
    log(LogLevel::Info, "item-ended",
        {{"job", m_job->id},
         {"item", m_item.id},
         {"workspace", m_job->workspace},
         {"outcome", wire::name(outcome)},
         {"reason", reason},
         {"runs", m_attempts},
         {"yields", m_preemptions},
         {"upstream", m_upstream},
         {"upstreamListAgeMs", loggedMilliseconds(m_upstreamListAge)},
         {"ageMs", absl::ToInt64Milliseconds(m_context.clock.wallNow()
                                             - absl::FromUnixMillis(m_job->acceptedAtMs))}});
    wire::JobItemResult result;
    result.id = m_item.id;
    result.outcome = outcome;
    if (outcome == wire::ItemOutcome::Completed)
        result.output = std::move(m_output);
    const ResultCallback resultCallback = std::exchange(m_resultCallback, nullptr);
    resultCallback(std::move(result));
}

void ItemRun::stop()
{
    if (m_state == State::Ended)
        return;
    if (m_state == State::Running)
        m_context.upstreams.cancel(m_call);
    releaseForwarder();
    m_context.broker.cancelBatch(taskId());
    m_state = State::Ended;
    m_bufferShare.reset();
    for (TimerService::TimerId *timer :
         {&m_abandonTimer, &m_backoffTimer, &m_idleTimer, &m_trialTimer})
        cancelTimer(*timer);
}

} // namespace rattanrill::jobs
