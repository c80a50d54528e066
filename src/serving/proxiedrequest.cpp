#include "proxiedrequest.h"

#include "rattanrill/base/enumnames.h"
#include "rattanrill/base/logduration.h"
#include "rattanrill/base/logger.h"

#include "absl/strings/str_join.h"

#include <algorithm>
#include <array>
#include <utility>

namespace rattanrill::serving {

using policy::ReleaseReason;

namespace {

/// Time without a response after which a request that may run again is sent to another upstream, as
/// a fraction of the latency objective before the first event and of the inter-event objective
/// after it. The rest of the objective is left for the next attempt.
constexpr double firstEventTimeoutFraction = 0.6;
constexpr double interEventTimeoutFraction = 0.6;
/// The timeout of responses that are not streams, as a multiple of the latency objective. It
/// exceeds the objective because processing times of several times the mean are common there.
constexpr double completeResponseTimeoutFactor = 2.5;
/// Retry-After when no upstream has accepted the request. It is short because the cause may be
/// temporary.
constexpr absl::Duration unavailableRetryAfter = absl::Milliseconds(300);
/// Retry-After of a request that crashes upstreams. Blocks last much longer.
constexpr absl::Duration quarantineRetryAfter = absl::Minutes(1);
/// Time until the deadline below which an attempt is not worth starting.
constexpr absl::Duration minRemainingTime = absl::Milliseconds(20);

bool isTarget(const Route &route, const std::string &service)
{
    return std::any_of(route.targets.begin(), route.targets.end(),
                       [&service](const RouteTarget &target) {
                           return target.service == service && target.weight > 0;
                       });
}

} // namespace

void proxyRequest(const ServingContext &context, RoutedRequest request,
                  std::shared_ptr<net::Exchange> exchange)
{
    std::make_shared<ProxiedRequest>(context, std::move(request), std::move(exchange))->start();
}

ProxiedRequest::ProxiedRequest(const ServingContext &context, RoutedRequest request,
                               std::shared_ptr<net::Exchange> exchange)
    : m_context(context)
    , m_request(std::move(request))
    , m_route(*m_request.route)
    , m_exchange(std::move(exchange))
    , m_traits(crashTraits(m_request.workspace, m_exchange->request(),
                           m_request.caller.sharedPromptParts))
    , m_receivedAt(m_exchange->receivedAt())
    , m_deadline(m_receivedAt + std::min(m_request.caller.timeout, m_route.timeout))
    , m_service(selectService(m_route, m_request.caller.id))
    , m_position(m_request.caller.resumeAfter)
{
    if (m_route.kind == RouteKind::Streaming && m_route.resumable)
        findStreamOrigin();
}

/// A stream that the caller resumes continues at the service and version that began it.
void ProxiedRequest::findStreamOrigin()
{
    m_stream = m_request.caller.id;
    if (!m_request.caller.resumeAfter || m_request.caller.resumedAttempt.empty())
        return;
    m_stream = m_request.caller.resumedAttempt;
    m_service = selectService(m_route, m_stream);
    const auto origin = m_context.slotClient.streamOrigin(m_stream);
    if (!origin)
        return;
    // The configuration may route the stream to other services now. Then no upstream can continue
    // it, which the broker finds out.
    if (isTarget(m_route, origin->service))
        m_service = origin->service;
    if (m_service == origin->service)
        m_streamVersion = origin->version;
}

bool ProxiedRequest::hasStreamBegun() const
{
    return !m_stream.empty() && m_position.lastId().has_value();
}

std::string_view ProxiedRequest::name(Outcome outcome)
{
    static constexpr std::array<EnumName<Outcome>, 5> names = {{
            {Outcome::Completed, "answered"},
            {Outcome::Refused, "refused"},
            {Outcome::Failed, "failed"},
            {Outcome::Aborted, "cut_off"},
            {Outcome::CallerDisconnected, "caller_left"},
    }};
    return nameOf(names, outcome);
}

void ProxiedRequest::start()
{
    m_exchange->onClientDisconnected([self = shared_from_this()] { self->callerDisconnected(); });
    m_exchange->onServerEnding([self = shared_from_this()] { self->processEnding(); });
    m_deadlineTimer = m_context.loop.timers().subscribeOnce(
            std::max(remainingTime(), absl::ZeroDuration()),
            [self = shared_from_this()] { self->deadlinePassed(); });
    requestSlot();
}

bool ProxiedRequest::mayRunAgain() const
{
    return m_route.kind == RouteKind::Idempotent
           || (m_route.kind == RouteKind::Streaming && m_route.resumable
               && m_position.isResumable());
}

absl::Duration ProxiedRequest::remainingTime() const
{
    return m_deadline - m_context.clock.now();
}

/// Whether an attempt that begins after \a wait is worth starting.
bool ProxiedRequest::hasTimeForAttempt(absl::Duration wait) const
{
    return remainingTime() - wait > minRemainingTime;
}

/// Whether the request crashes upstreams and must not be sent.
bool ProxiedRequest::isBlocked()
{
    return m_context.crashGuard.isBlocked(m_traits.all());
}

void ProxiedRequest::rejectBlocked()
{
    endAttempts();
    m_context.metrics.count("rattanrill_prompt_rejections_total");
    static constexpr const char *reason =
            "the request or parts of its prompt crash the upstreams that run it";
    if (m_mayHaveRun || m_exchange->streamStarted())
        fail(ErrorCode::RequestQuarantined, reason);
    else
        refuse(ErrorCode::RequestQuarantined, reason, quarantineRetryAfter);
}

UpstreamTarget ProxiedRequest::targetOf(const wire::SlotResponse &grant) const
{
    return {grant.upstream, grant.address, grant.forwarderAddress, remainingTime()};
}

void ProxiedRequest::send(const wire::SlotResponse &grant)
{
    if (!hasTimeForAttempt()) {
        releaseUnused(m_requestedSlotId, grant.upstream);
        return refuseOrFail("too little time is left for an attempt before the deadline");
    }
    if (!m_context.upstreams.canCall(targetOf(grant), m_request.caller.id)) {
        releaseUnused(m_requestedSlotId, grant.upstream);
        // The links were lost after the slot was requested.
        if (!m_hasRequestedForwarder)
            return requestSlot();
        if (canAwaitLinks())
            return awaitLinks();
        return refuseOrFail("this entry is cut off from the upstreams, and no other one forwards");
    }
    if (hasStreamBegun())
        m_streamVersion = grant.version;
    m_position.beginAttempt();
    m_state = State::Running;
    m_attempt = beginAttempt(grant);
    armResponseTimer();
}

/// Sends the request to the upstream of \a grant.
AttemptPtr ProxiedRequest::beginAttempt(const wire::SlotResponse &grant)
{
    ++m_attempts;
    m_excludedUpstreams.push_back(grant.upstream);
    auto attempt = std::make_shared<Attempt>();
    attempt->upstream = grant.upstream;
    attempt->address = grant.address;
    attempt->version = grant.version;
    attempt->slotId = m_requestedSlotId;
    attempt->sentAt = m_context.clock.now();
    attempt->isCalling = true;
    UpstreamAttempt message;
    message.expectedInstance = grant.upstream;
    message.workspace = m_request.workspace;
    message.resumeAfter = m_position.lastId();
    m_context.crashGuard.recordSent(m_traits.all());
    attempt->call = m_context.upstreams.call(
            targetOf(grant), requestWriter(attempt, std::move(message)), callHandlers(attempt),
            m_request.caller.id, forwardingOptions(attempt, m_traits));
    if (m_context.upstreams.isForwarded(attempt->call))
        attempt->forwarder = grant.forwarder;
    return attempt;
}

/// The remaining time is that of the moment at which the request is written.
net::RequestWriter ProxiedRequest::requestWriter(const AttemptPtr &attempt, UpstreamAttempt message)
{
    return [self = shared_from_this(), attempt, message = std::move(message)]() mutable {
        attempt->isSent = true;
        message.remainingTime = self->remainingTime();
        return net::serialize(
                self->m_context.protocol.upstreamRequest(self->m_exchange->request(), message));
    };
}

net::CallHandlers ProxiedRequest::callHandlers(const AttemptPtr &attempt)
{
    net::CallHandlers handlers;
    handlers.ownerOf = [self = shared_from_this(), attempt](const net::ResponseHead &head) {
        return self->ownerOf(*attempt, head);
    };
    handlers.onHead = [self = shared_from_this(), attempt](const net::ResponseHead &head) {
        self->headReceived(attempt, head);
    };
    handlers.onBody = [self = shared_from_this(), attempt](std::string_view bytes) {
        self->bodyReceived(attempt, bytes);
    };
    handlers.onEnd = [self = shared_from_this(), attempt](net::CallStatus status) {
        self->callEnded(attempt, status);
    };
    handlers.mayBeSent = [self = shared_from_this(), attempt] {
        return !self->isLeaving(attempt->upstream, attempt->address);
    };
    return handlers;
}

ForwardingOptions ProxiedRequest::forwardingOptions(const AttemptPtr &attempt,
                                                    const CrashTraits &traits)
{
    return {traits, [attempt] { attempt->hasForwarderFailed = true; }};
}

/// Ends the current attempt. The request goes on with the hedge, or is sent to another upstream if
/// it may run there.
void ProxiedRequest::attemptFailed(std::string_view reason, ReleaseReason releaseReason)
{
    cancelCall(*m_attempt);
    releaseSlot(*m_attempt, releaseReason);
    logFailedAttempt(*m_attempt, reason);
    clearBuffer();
    if (m_hedge)
        return replaceByHedge();
    m_state = State::Waiting;
    const bool canRetry = (!m_mayHaveRun || mayRunAgain()) && m_attempts < m_route.maxAttempts
                          && hasTimeForAttempt();
    if (!canRetry)
        return refuseOrFail(reason);
    if (m_exchange->streamStarted())
        ++m_resumes;
    // If the upstream was unresponsive, a slot at another one may already have been requested.
    if (!m_isSlotRequested)
        requestSlotAfter(pauseAfter(*m_attempt));
}

void ProxiedRequest::logFailedAttempt(const Attempt &attempt, std::string_view reason) const
{
    log(LogLevel::Info, "try-failed",
        {{"requestId", m_request.caller.id},
         {"upstream", attempt.upstream},
         {"upstreamVersion", attempt.version},
         {"forwarder", attempt.forwarder},
         {"attempt", m_attempts},
         {"reason", reason},
         {"mayHaveRun", m_mayHaveRun},
         {"hasBegun", attempt.hasBegun},
         {"attemptMs", absl::ToInt64Milliseconds(m_context.clock.now() - attempt.sentAt)},
         {"promptParts", absl::StrJoin(m_request.caller.sharedPromptParts, ",")},
         {"fingerprint", m_traits.fingerprint},
         {"requestLimit", attempt.info.requestLimit.value_or(0)},
         {"lastEvent", m_position.lastId().value_or(-1)}});
}

void ProxiedRequest::refuseOrFail(std::string_view reason)
{
    if (m_mayHaveRun || m_exchange->streamStarted())
        return fail(ErrorCode::UpstreamFailed, std::string(reason));
    refuse(ErrorCode::UpstreamUnavailable, std::string(reason), unavailableRetryAfter);
}

void ProxiedRequest::refuse(ErrorCode code, const std::string &detail, absl::Duration retryAfter)
{
    m_exchange->respond(m_context.protocol.errorResponse(notRun(code, detail), retryAfter));
    finish(Outcome::Refused, detail);
}

void ProxiedRequest::fail(ErrorCode code, const std::string &detail)
{
    if (m_exchange->streamStarted()) {
        m_exchange->abort();
        return finish(Outcome::Aborted, detail);
    }
    m_exchange->respond(
            m_context.protocol.errorResponse(mayHaveRun(code, detail), absl::ZeroDuration()));
    finish(Outcome::Failed, detail);
}

void ProxiedRequest::deadlinePassed()
{
    m_deadlineTimer = 0;
    endAttempts();
    if (m_mayHaveRun || m_exchange->streamStarted())
        return fail(ErrorCode::Timeout, "the deadline has passed");
    refuse(ErrorCode::Overloaded, "the deadline has passed", unavailableRetryAfter);
}

void ProxiedRequest::callerDisconnected()
{
    if (m_state == State::Ended)
        return;
    endAttempts();
    m_exchange->abort();
    finish(Outcome::CallerDisconnected, "the caller disconnected or stopped reading");
}

void ProxiedRequest::processEnding()
{
    endAttempts();
    refuseOrFail("the process ends before the response is complete");
}

void ProxiedRequest::armTimer(absl::Duration delay, void (ProxiedRequest::*expired)())
{
    stopTimer(m_responseTimer);
    m_responseTimer =
            m_context.loop.timers().subscribeOnce(delay, [self = shared_from_this(), expired] {
                self->m_responseTimer = 0;
                ((*self).*expired)();
            });
}

void ProxiedRequest::stopTimer(TimerService::TimerId &timer)
{
    if (timer != 0)
        m_context.loop.timers().unsubscribe(std::exchange(timer, 0));
}

void ProxiedRequest::armResponseTimer()
{
    stopTimer(m_responseTimer);
    if (!mayRunAgain())
        return;
    const bool isStreaming = m_route.kind == RouteKind::Streaming;
    absl::Duration responseTimeout =
            m_route.latencyObjective
            * (isStreaming ? firstEventTimeoutFraction : completeResponseTimeoutFactor);
    if (m_attempt->isStream && m_position.lastId()
        && m_route.interEventObjective > absl::ZeroDuration())
        responseTimeout = m_route.interEventObjective * interEventTimeoutFraction;
    armTimer(responseTimeout, &ProxiedRequest::responseTimedOut);
}

void ProxiedRequest::cancelCall(Attempt &attempt)
{
    if (!std::exchange(attempt.isCalling, false))
        return;
    recordRun(attempt);
    if (!attempt.isSent)
        recordNotSent(attempt);
    m_context.upstreams.cancel(attempt.call);
    m_context.crashGuard.recordCancelled(m_traits.all());
}

/// Ends all attempts because of the request and not of an upstream.
void ProxiedRequest::endAttempts()
{
    for (const AttemptPtr &attempt : {m_attempt, std::exchange(m_hedge, nullptr)}) {
        if (!attempt)
            continue;
        cancelCall(*attempt);
        releaseSlot(*attempt, ReleaseReason::Cancelled);
    }
}

void ProxiedRequest::finish(Outcome outcome, std::string_view reason)
{
    m_state = State::Ended;
    clearBuffer();
    stopTimer(m_deadlineTimer);
    stopTimer(m_responseTimer);
    if (m_isSlotRequested)
        releaseUnused(m_requestedSlotId, "");
    endAttempts();
    const absl::Time now = m_context.clock.now();
    const std::string kind(serving::name(m_route.kind));
    m_context.metrics.count("rattanrill_requests_total",
                            {{"kind", kind}, {"outcome", std::string(name(outcome))}});
    m_context.metrics.observe("rattanrill_request_duration_seconds", {{"kind", kind}},
                              absl::ToDoubleSeconds(now - m_receivedAt));
    log(LogLevel::Info, "request-ended",
        {{"requestId", m_request.caller.id},
         {"route", m_route.name},
         {"workspace", m_request.workspace},
         {"outcome", name(outcome)},
         {"status", m_attempt->hasHead ? m_attempt->head.status : 0},
         {"promptParts", absl::StrJoin(m_request.caller.sharedPromptParts, ",")},
         {"fingerprint", m_traits.fingerprint},
         {"requestLimit", m_attempt->info.requestLimit.value_or(0)},
         {"reason", reason},
         {"upstream", m_attempt->upstream},
         {"upstreamVersion", m_attempt->version},
         {"forwarder", m_attempt->forwarder},
         {"stream", m_stream},
         {"streamVersion", m_streamVersion.value_or("")},
         {"attempts", m_attempts},
         {"hedges", m_hedges},
         {"resumes", m_resumes},
         {"ownShare", m_fromLocalShare},
         {"upstreamListAgeMs", loggedMilliseconds(m_upstreamListAge)},
         {"placedMs", loggedMilliseconds(m_slotGrantedAt - m_receivedAt)},
         {"firstByteMs", loggedMilliseconds(m_firstByteAt - m_receivedAt)},
         {"totalMs", loggedMilliseconds(now - m_receivedAt)},
         {"patienceMs", absl::ToInt64Milliseconds(m_deadline - m_receivedAt)},
         {"sinceStopMs", m_context.shutdown.elapsedMs(now)},
         {"stopLeftMs", m_context.shutdown.remainingMs(now)},
         {"configurationVersion", m_request.deployment->version()}});
}

} // namespace rattanrill::serving
