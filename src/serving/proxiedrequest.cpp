#include "proxiedrequest.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/enumnames.h"
#include "rattanrill/base/logger.h"

#include <algorithm>
#include <utility>

namespace rattanrill::serving {

using policy::ReleaseReason;

namespace {

/// Silence of an upstream after which a request that may run again is tried elsewhere: part of the
/// latency objective before the first event, part of the gap objective after it. The rest of the
/// objective is left for the next try.
constexpr double firstEventSilence = 0.6;
constexpr double gapSilence = 0.6;
/// The same for whole answers; work of several times the mean is usual there.
constexpr double wholeAnswerSilence = 2.5;
/// A caller that takes nothing while this much waits for it does not read.
constexpr std::size_t maxUnsentBytes = std::size_t(4) << 20;
/// Retry-After of a refusal whose cause may pass soon.
constexpr absl::Duration shortReturn = absl::Milliseconds(300);
/// Less than this is no use to an upstream.
constexpr absl::Duration minPatience = absl::Milliseconds(20);
/// An answer whose length no objective needs to wait for is refused beyond this.
constexpr std::size_t maxWholeAnswer = std::size_t(16) << 20;

std::int64_t millisecondsOr(absl::Time from, absl::Time to)
{
    return to == absl::InfiniteFuture() ? -1 : absl::ToInt64Milliseconds(to - from);
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
    , m_receivedAt(m_exchange->receivedAt())
    , m_deadline(m_receivedAt + std::min(m_request.caller.timeout, m_route.timeout))
    , m_service(selectService(m_route, m_request.caller.id))
    , m_position(m_request.caller.resumeAfter)
{}

std::string_view ProxiedRequest::name(Outcome outcome)
{
    static constexpr std::array<EnumName<Outcome>, 5> names = {{
            {Outcome::Answered, "answered"},
            {Outcome::Refused, "refused"},
            {Outcome::Failed, "failed"},
            {Outcome::CutOff, "cut_off"},
            {Outcome::CallerLeft, "caller_left"},
    }};
    return nameOf(names, outcome);
}

void ProxiedRequest::start()
{
    m_exchange->onClientDisconnected([self = shared_from_this()] { self->callerLeft(); });
    m_deadlineTimer = m_context.loop.timers().subscribeOnce(
            std::max(timeLeft(), absl::ZeroDuration()),
            [self = shared_from_this()] { self->deadlinePassed(); });
    askForPlace();
}

bool ProxiedRequest::mayRunAgain() const
{
    return m_route.kind == RouteKind::Idempotent
           || (m_route.kind == RouteKind::Streaming && m_route.resumable);
}

absl::Duration ProxiedRequest::timeLeft() const
{
    return m_deadline - m_context.clock.now();
}

void ProxiedRequest::askForPlace()
{
    wire::SlotRequest request;
    m_askedSlot = m_asked++ == 0 ? m_request.caller.id : concat(m_request.caller.id, "~", m_asked);
    request.requestId = m_askedSlot;
    request.instance = m_context.identity.instance;
    request.failureDomain = m_context.identity.failureDomain;
    request.service = m_service;
    request.workspace = m_request.workspace;
    request.priority = m_request.priority;
    request.chargesRate = !m_chargedRate;
    request.promptTokens = m_request.caller.promptTokens;
    request.outputTokens = m_request.caller.outputTokens;
    // A request that has run before is of use until its deadline; only a new one is refused early.
    const absl::Duration objective = m_mayHaveRun ? timeLeft() : m_route.latencyObjective;
    request.objectiveMs = std::max<std::int64_t>(absl::ToInt64Milliseconds(objective), 0);
    request.deadlineMs = std::max<std::int64_t>(absl::ToInt64Milliseconds(timeLeft()), 0);
    request.excluded = m_tried;
    m_asking = true;
    m_context.slotClient.acquire(
            request, [self = shared_from_this()](const auto &response, bool fromLocalShare) {
                self->placeAnswered(response, fromLocalShare);
            });
}

void ProxiedRequest::placeAnswered(const wire::SlotResponse &response, bool fromLocalShare)
{
    m_asking = false;
    const bool isGranted = response.verdict == wire::SlotOutcome::Granted;
    const bool isObsolete = m_ended || (m_isCalling && !m_isSilent);
    if (isObsolete) {
        if (isGranted)
            release(m_askedSlot, response.upstream, ReleaseReason::Cancelled);
        return;
    }
    m_fromLocalShare = m_fromLocalShare || fromLocalShare;
    if (isGranted) {
        if (m_isCalling)
            leaveSilentUpstream();
        m_chargedRate = true;
        m_heldSlot = m_askedSlot;
        m_placedAt = m_context.clock.now();
        return send(response.upstream, response.address);
    }
    // Nothing better is free, so the silent upstream may still answer.
    if (m_isCalling)
        return armSilenceTimer();
    const absl::Duration retryAfter = absl::Milliseconds(response.retryAfterMs);
    if (m_mayHaveRun || m_exchange->streamStarted())
        return fail(ErrorCode::UpstreamFailed, "no place for another try");
    if (response.verdict == wire::SlotOutcome::OverRate)
        return refuse(ErrorCode::RateLimited, "the workspace's rate is used up", retryAfter);
    refuse(ErrorCode::Overloaded, "no place will be free in time", retryAfter);
}

void ProxiedRequest::leaveSilentUpstream()
{
    log(LogLevel::Info, "try-failed",
        {{"requestId", m_request.caller.id},
         {"upstream", m_upstream},
         {"attempt", m_attempts},
         {"reason", "the upstream is silent"},
         {"lastEvent", m_position.lastId().value_or(-1)}});
    cancelCall();
    releaseSlot(ReleaseReason::Failed);
    if (m_exchange->streamStarted())
        ++m_resumes;
}

void ProxiedRequest::send(const std::string &upstream, const std::string &address)
{
    m_upstream = upstream;
    if (timeLeft() < minPatience) {
        releaseSlot(ReleaseReason::Cancelled);
        return refuseOrFail("no time left for an upstream");
    }
    ++m_attempts;
    m_tried.push_back(upstream);
    m_hasHead = false;
    m_isStream = false;
    m_isSilent = false;
    m_body.clear();
    m_splitter.reset();
    UpstreamAttempt attempt;
    attempt.expectedInstance = upstream;
    attempt.workspace = m_request.workspace;
    attempt.remainingTime = timeLeft();
    attempt.resumeAfter = m_position.lastId();
    net::CallHandlers handlers;
    handlers.head = [self = shared_from_this()](const net::ResponseHead &head) {
        return self->noteHead(head);
    };
    handlers.body = [self = shared_from_this()](std::string_view bytes) { self->noteBody(bytes); };
    handlers.onEnd = [self = shared_from_this()](net::CallStatus status) {
        self->callEnded(status);
    };
    m_isCalling = true;
    armSilenceTimer();
    m_call = m_context.upstreams.call(
            address,
            net::serialize(m_context.protocol.upstreamRequest(m_exchange->request(), attempt)),
            std::move(handlers));
}

bool ProxiedRequest::noteHead(const net::ResponseHead &head)
{
    const ResponseInfo facts = m_context.protocol.parseResponse(head);
    if (!facts.requestId.empty() && facts.requestId != m_request.caller.id) {
        log(LogLevel::Warning, "foreign-answer-dropped",
            {{"requestId", m_request.caller.id},
             {"foreignRequestId", facts.requestId},
             {"upstream", m_upstream}});
        return false;
    }
    m_head = head;
    m_facts = facts;
    m_hasHead = true;
    if (facts.outstandingRequests)
        m_context.slotClient.reportLoad({m_upstream, *facts.outstandingRequests});
    m_isStream = !facts.notRun && head.status >= 200 && head.status < 300
                 && m_route.kind == RouteKind::Streaming && m_context.protocol.isEventStream(head);
    return true;
}

void ProxiedRequest::noteBody(std::string_view bytes)
{
    if (m_ended)
        return;
    m_isSilent = false;
    if (m_isStream)
        return noteEvents(bytes);
    m_body.append(bytes);
    if (m_body.size() > maxWholeAnswer)
        attemptFailed("the answer is too long", ReleaseReason::Failed);
}

void ProxiedRequest::noteEvents(std::string_view bytes)
{
    std::vector<StreamEvent> events;
    m_splitter.feed(bytes, events);
    for (const StreamEvent &event : events) {
        if (m_ended || !deliver(event))
            return;
    }
    if (!events.empty())
        armSilenceTimer();
}

/// Returns false when the try has ended.
bool ProxiedRequest::deliver(const StreamEvent &event)
{
    switch (m_position.advance(event)) {
    case SequenceCheck::Repeated:
        return true;
    case SequenceCheck::Gap:
        attemptFailed("an event is missing", ReleaseReason::Failed);
        return false;
    case SequenceCheck::InOrder:
        break;
    }
    startAnswer();
    m_exchange->write(event.bytes);
    if (m_exchange->unsentBytes() > maxUnsentBytes) {
        callerLeft();
        return false;
    }
    return true;
}

/// The head of the first upstream stays, also when another one goes on with the stream.
void ProxiedRequest::startAnswer()
{
    if (m_exchange->streamStarted())
        return;
    m_firstByteAt = m_context.clock.now();
    net::ResponseHead head = m_head;
    net::removeConnectionHeaders(head.headers);
    m_exchange->startStream(std::move(head));
}

void ProxiedRequest::callEnded(net::CallStatus status)
{
    m_isCalling = false;
    if (m_ended)
        return;
    if (status == net::CallStatus::NotConnected)
        return attemptFailed("no connection to the upstream", ReleaseReason::Unreachable);
    const bool saysNotRun = status == net::CallStatus::Complete && m_hasHead && m_facts.notRun;
    if (!saysNotRun)
        m_mayHaveRun = true;
    if (status == net::CallStatus::Broken)
        return attemptFailed("the upstream broke off", ReleaseReason::Failed);
    if (saysNotRun)
        return attemptFailed("the upstream refused", m_facts.isInstanceMismatch
                                                             ? ReleaseReason::Unreachable
                                                             : ReleaseReason::Failed);
    answerComplete();
}

void ProxiedRequest::answerComplete()
{
    const bool isServerError = m_head.status >= 500;
    if (isServerError && mayRunAgain() && m_attempts < m_route.maxAttempts
        && timeLeft() > minPatience)
        return attemptFailed("the upstream failed", ReleaseReason::Completed);
    releaseSlot(ReleaseReason::Completed);
    if (m_isStream) {
        startAnswer();
        m_exchange->write(m_splitter.incompleteEvent());
        m_exchange->finish();
        return finish(Outcome::Answered, "");
    }
    if (m_exchange->streamStarted()) {
        m_exchange->abort();
        return finish(Outcome::CutOff, "the stream could not go on");
    }
    m_firstByteAt = m_context.clock.now();
    net::Response response;
    response.head = m_head;
    net::removeConnectionHeaders(response.head.headers);
    response.body = std::move(m_body);
    m_exchange->respond(std::move(response));
    finish(Outcome::Answered, "");
}

/// Goes on at another upstream when the request may still run there.
void ProxiedRequest::attemptFailed(std::string_view reason, ReleaseReason end)
{
    cancelCall();
    releaseSlot(end);
    log(LogLevel::Info, "try-failed",
        {{"requestId", m_request.caller.id},
         {"upstream", m_upstream},
         {"attempt", m_attempts},
         {"reason", reason},
         {"mayHaveRun", m_mayHaveRun},
         {"lastEvent", m_position.lastId().value_or(-1)}});
    const bool mayTry = (!m_mayHaveRun || mayRunAgain()) && m_attempts < m_route.maxAttempts
                        && timeLeft() > minPatience;
    if (!mayTry)
        return refuseOrFail(reason);
    if (m_exchange->streamStarted())
        ++m_resumes;
    // A silent upstream's successor may have been asked for already.
    if (!m_asking)
        askForPlace();
}

void ProxiedRequest::refuseOrFail(std::string_view reason)
{
    if (m_mayHaveRun || m_exchange->streamStarted())
        return fail(ErrorCode::UpstreamFailed, std::string(reason));
    refuse(ErrorCode::UpstreamUnavailable, std::string(reason), shortReturn);
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
        return finish(Outcome::CutOff, detail);
    }
    m_exchange->respond(
            m_context.protocol.errorResponse(mayHaveRun(code, detail), absl::ZeroDuration()));
    finish(Outcome::Failed, detail);
}

void ProxiedRequest::deadlinePassed()
{
    m_deadlineTimer = 0;
    if (m_isCalling)
        m_mayHaveRun = true;
    cancelCall();
    releaseSlot(ReleaseReason::Cancelled);
    if (m_mayHaveRun || m_exchange->streamStarted())
        return fail(ErrorCode::Timeout, "the deadline has passed");
    refuse(ErrorCode::Overloaded, "the deadline has passed", absl::ZeroDuration());
}

void ProxiedRequest::callerLeft()
{
    if (m_ended)
        return;
    cancelCall();
    releaseSlot(ReleaseReason::Cancelled);
    m_exchange->abort();
    finish(Outcome::CallerLeft, "the caller left");
}

void ProxiedRequest::armSilenceTimer()
{
    auto &timers = m_context.loop.timers();
    if (m_silenceTimer != 0)
        timers.unsubscribe(std::exchange(m_silenceTimer, 0));
    if (!mayRunAgain() || m_attempts >= m_route.maxAttempts)
        return;
    const bool isStreaming = m_route.kind == RouteKind::Streaming;
    absl::Duration limit =
            m_route.latencyObjective * (isStreaming ? firstEventSilence : wholeAnswerSilence);
    if (m_isStream && m_position.lastId() && m_route.interEventObjective > absl::ZeroDuration())
        limit = m_route.interEventObjective * gapSilence;
    m_silenceTimer = timers.subscribeOnce(limit, [self = shared_from_this()] {
        self->m_silenceTimer = 0;
        self->silenceExpired();
    });
}

void ProxiedRequest::silenceExpired()
{
    if (m_ended || !m_isCalling || m_asking)
        return;
    m_mayHaveRun = true;
    m_isSilent = true;
    askForPlace();
}

void ProxiedRequest::releaseSlot(ReleaseReason reason)
{
    if (!m_heldSlot.empty())
        release(std::exchange(m_heldSlot, std::string()), m_upstream, reason);
}

void ProxiedRequest::release(const std::string &slot, const std::string &upstream,
                             ReleaseReason reason)
{
    wire::SlotRelease release;
    release.instance = m_context.identity.instance;
    release.requestId = slot;
    release.upstream = upstream;
    release.end = std::string(policy::name(reason));
    m_context.slotClient.release(release);
}

void ProxiedRequest::cancelCall()
{
    if (std::exchange(m_isCalling, false))
        m_context.upstreams.cancel(m_call);
}

void ProxiedRequest::finish(Outcome outcome, std::string_view reason)
{
    m_ended = true;
    auto &timers = m_context.loop.timers();
    for (TimerService::TimerId *timer : {&m_deadlineTimer, &m_silenceTimer}) {
        if (*timer != 0)
            timers.unsubscribe(std::exchange(*timer, 0));
    }
    if (m_asking)
        release(m_askedSlot, "", ReleaseReason::Cancelled);
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
         {"status", m_hasHead ? m_head.status : 0},
         {"reason", reason},
         {"upstream", m_upstream},
         {"attempts", m_attempts},
         {"resumes", m_resumes},
         {"ownShare", m_fromLocalShare},
         {"placedMs", millisecondsOr(m_receivedAt, m_placedAt)},
         {"firstByteMs", millisecondsOr(m_receivedAt, m_firstByteAt)},
         {"totalMs", millisecondsOr(m_receivedAt, now)},
         {"patienceMs", absl::ToInt64Milliseconds(m_deadline - m_receivedAt)},
         {"configurationVersion", m_request.deployment->version()}});
}

} // namespace rattanrill::serving
