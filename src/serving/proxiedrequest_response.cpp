#include "proxiedrequest.h"

#include "rattanrill/base/freememory.h"
#include "rattanrill/base/logger.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace rattanrill::serving {

using policy::ReleaseReason;

namespace {

/// A caller with more unsent response bytes than this does not read its response and is treated as
/// disconnected.
constexpr std::size_t maxUnsentBytes = std::size_t(4) << 20;
/// Maximum size of a response that is not a stream: its body is buffered until it is complete, so a
/// longer one fails the attempt.
constexpr std::size_t maxBufferedBodyBytes = std::size_t(16) << 20;
/// Fewer buffered bytes of a request are not counted against the limit of the process.
constexpr std::size_t minCountedBytes = std::size_t(32) << 10;

} // namespace

net::ResponseOwner ProxiedRequest::ownerOf(const Attempt &attempt,
                                           const net::ResponseHead &head) const
{
    const ResponseInfo info = m_context.protocol.parseResponse(head);
    const net::ResponseOwner owner = serving::ownerOf(info, m_request.caller.id);
    if (owner == net::ResponseOwner::AnotherRequest)
        log(LogLevel::Warning, "foreign-answer-dropped",
            {{"requestId", m_request.caller.id},
             {"foreignRequestId", info.requestId},
             {"upstream", attempt.upstream}});
    reportForeignAnnouncement(attempt, owner, info);
    return owner;
}

/// The announcement that an upstream leaves concerns the upstream and not the request, so it is
/// valid in a response to another request too.
void ProxiedRequest::reportForeignAnnouncement(const Attempt &attempt, net::ResponseOwner owner,
                                               const ResponseInfo &info) const
{
    if (owner == net::ResponseOwner::ThisRequest)
        return;
    if (const auto report = leavingReportOf(attempt.upstream, attempt.address, info))
        m_context.slotClient.reportLoad(*report);
}

void ProxiedRequest::headReceived(const AttemptPtr &attempt, const net::ResponseHead &head)
{
    const ResponseInfo info = m_context.protocol.parseResponse(head);
    attempt->head = head;
    attempt->info = info;
    attempt->hasHead = true;
    attempt->isForwarderSilent = false;
    recordReached(*attempt);
    // The attempt may end before the response is complete, when a bound is reached.
    m_mayHaveRun = m_mayHaveRun || !info.notRun;
    if (!info.isInstanceMismatch)
        m_context.slotClient.reportLoad(loadOf(attempt->upstream, attempt->address, info));
    attempt->isStream = !info.notRun && head.status >= 200 && head.status < 300
                        && m_route.kind == RouteKind::Streaming
                        && m_context.protocol.isEventStream(head);
}

void ProxiedRequest::bodyReceived(const AttemptPtr &attempt, std::string_view bytes)
{
    if (m_state == State::Ended)
        return;
    recordReached(*attempt);
    if (attempt == m_hedge)
        return hedgeBodyReceived(bytes);
    if (m_attempt->isStream)
        return forwardEvents(bytes);
    if (!bytes.empty() && !m_attempt->info.notRun && m_attempt->head.status < 500)
        responding();
    if (!bytes.empty() && !m_attempt->info.notRun && m_attempt->head.status < 300)
        responseBegun();
    if (m_attempt->body.size() + bytes.size() > maxBufferedBodyBytes)
        return attemptFailed("the response body exceeds the size limit", ReleaseReason::Failed);
    m_attempt->body.append(bytes);
    if (!bufferWithinLimits())
        giveUpBuffer();
}

/// The upstream of the current attempt responds, after all if it was silent. If a slot at another
/// one is still granted, slotResponseReceived() releases it.
void ProxiedRequest::responding()
{
    m_state = State::Running;
    if (m_hedge)
        endHedge("the other upstream responded first", ReleaseReason::Cancelled);
}

/// Returns false when this response has to be given up because the process buffers too much. What
/// the caller has not read is counted by its connection.
bool ProxiedRequest::bufferWithinLimits()
{
    const std::size_t bytes = m_attempt->body.size() + m_attempt->splitter.incompleteEvent().size()
                              + (m_hedge ? m_hedge->body.size() : 0);
    if (!m_bufferShare && bytes < minCountedBytes)
        return true;
    if (!m_bufferShare)
        m_bufferShare.emplace(m_context.buffers, [weak = weak_from_this(), &loop = m_context.loop,
                                                  attempt = m_attempt] {
            // The budget calls this while it handles another request, or this one writes.
            loop.post([weak, attempt] {
                const auto self = weak.lock();
                if (self && self->m_attempt == attempt && attempt->isCalling)
                    self->giveUpBuffer();
            });
        });
    return m_bufferShare->resize(bytes);
}

/// Ends the attempt, which frees its buffer. The lack of memory indicates nothing about the
/// upstream.
void ProxiedRequest::giveUpBuffer()
{
    if (m_state == State::Ended)
        return;
    attemptFailed(bufferLimitReason, ReleaseReason::Cancelled);
}

void ProxiedRequest::clearBuffer()
{
    freeMemory(m_attempt->body);
    // An assignment alone would keep the memory of the incomplete event.
    const EventSplitter freed = std::exchange(m_attempt->splitter, EventSplitter());
    m_bufferShare.reset();
}

void ProxiedRequest::forwardEvents(std::string_view bytes)
{
    std::vector<StreamEvent> events;
    m_attempt->splitter.feed(bytes, events);
    // The events are counted by the connection from here on.
    if (m_bufferShare)
        m_bufferShare->resize(0);
    bool hasContent = false;
    for (const StreamEvent &event : events) {
        if (m_state == State::Ended || !deliver(event))
            return;
        hasContent = hasContent || event.hasContent();
    }
    if (hasContent)
        responseBegun();
    if (m_attempt->splitter.isEventTooLong())
        return attemptFailed("an event exceeds the size limit", ReleaseReason::Failed);
    if (!bufferWithinLimits())
        return giveUpBuffer();
    if (!hasContent)
        return;
    // Bytes that contain no event are no response.
    responding();
    armResponseTimer();
}

void ProxiedRequest::responseBegun()
{
    if (!std::exchange(m_attempt->hasBegun, true))
        m_context.crashGuard.recordSound(m_traits.promptParts);
}

/// Returns false when the attempt or the request has ended.
bool ProxiedRequest::deliver(const StreamEvent &event)
{
    switch (m_position.advance(event)) {
    case SequenceCheck::Repeated:
        return true;
    case SequenceCheck::Gap:
        attemptFailed("an event is missing from the stream", ReleaseReason::Failed);
        return false;
    case SequenceCheck::Unnumbered:
        attemptFailed("an event of the resumed stream has no id", ReleaseReason::Completed);
        return false;
    case SequenceCheck::InOrder:
        break;
    }
    if (event.hasContent()) {
        m_streamVersion = m_attempt->version;
        // The hedge continues the stream after an earlier event, perhaps at another version.
        responding();
    }
    startResponse();
    m_exchange->write(event.bytes);
    if (m_exchange->unsentBytes() > maxUnsentBytes) {
        callerDisconnected();
        return false;
    }
    return true;
}

/// Sends the response head once: the first upstream's head remains in effect when another upstream
/// resumes the stream.
void ProxiedRequest::startResponse()
{
    if (m_exchange->streamStarted())
        return;
    m_firstByteAt = m_context.clock.now();
    net::ResponseHead head = m_attempt->head;
    net::removeHopByHopHeaders(head.headers);
    m_exchange->startStream(std::move(head));
}

void ProxiedRequest::callEnded(const AttemptPtr &attempt, net::CallStatus status)
{
    if (m_state == State::Ended)
        return;
    recordEnd(*attempt, status);
    if (status == net::CallStatus::Malformed)
        return rejectMalformed();
    if (attempt == m_hedge)
        return hedgeEnded(status);
    const bool isNotSentToLeaving =
            net::isNotSent(status) && isLeaving(m_attempt->upstream, m_attempt->address);
    if (isNotSentToLeaving && !m_hedge) {
        m_state = State::Waiting;
        return skipLeavingUpstream(std::exchange(m_attempt->slotId, std::string()),
                                   m_attempt->upstream, m_attempt->address);
    }
    if (net::isNotSent(status))
        return attemptFailed("the connection to the upstream could not be established",
                             isNotSentToLeaving ? ReleaseReason::Cancelled
                                                : notSentReason(*m_attempt, status));
    if (isBroken(*m_attempt, status)) {
        recordBroken(*m_attempt);
        return attemptFailed(
                "the connection to the upstream broke before the response was complete",
                ReleaseReason::Failed);
    }
    if (m_attempt->hasHead && m_attempt->info.notRun)
        return attemptFailed("the upstream refused the request", refusalReason(m_attempt->info));
    responseCompleted();
}

/// No upstream can be sent the request, so it has not run.
void ProxiedRequest::rejectMalformed()
{
    endAttempts();
    constexpr const char *detail = "the request can't be passed on as HTTP";
    if (m_mayHaveRun || m_exchange->streamStarted())
        return fail(ErrorCode::UpstreamFailed, detail);
    refuse(ErrorCode::InvalidRequest, detail, absl::ZeroDuration());
}

void ProxiedRequest::recordEnd(Attempt &attempt, net::CallStatus status)
{
    attempt.isCalling = false;
    if (net::isNotSent(status))
        return recordNotSent(attempt);
    // The refusal of an upstream counts when it is complete.
    const bool isRefused =
            status == net::CallStatus::Complete && attempt.hasHead && attempt.info.notRun;
    m_mayHaveRun = m_mayHaveRun || !isRefused;
}

policy::ReleaseReason ProxiedRequest::notSentReason(const Attempt &attempt,
                                                    net::CallStatus status) const
{
    const bool isCutOff = attempt.forwarder.empty() && m_context.upstreams.isCutOff();
    return serving::notSentReason(status, isCutOff);
}

/// Records that the request may have run at the upstream of \a attempt, whose call has not ended by
/// itself.
void ProxiedRequest::recordRun(const Attempt &attempt)
{
    const bool isRefused = attempt.hasHead && attempt.info.notRun;
    m_mayHaveRun = m_mayHaveRun || (attempt.isSent && !isRefused);
}

/// Takes back the count of an attempt that ended before its request was sent.
void ProxiedRequest::recordNotSent(Attempt &attempt)
{
    attempt.isSent = false;
    ++m_unsentAttempts;
    discount(attempt);
    if (isLeaving(attempt.upstream, attempt.address))
        return;
    const auto excluded =
            std::find(m_excludedUpstreams.rbegin(), m_excludedUpstreams.rend(), attempt.upstream);
    if (excluded != m_excludedUpstreams.rend())
        m_excludedUpstreams.erase(std::next(excluded).base());
    // If the forwarder did not take the call, this upstream has not been tried.
    if (!attempt.hasForwarderFailed)
        m_unconnectedUpstreams.push_back(attempt.upstream);
}

bool ProxiedRequest::isBroken(const Attempt &attempt, net::CallStatus status)
{
    return status == net::CallStatus::Broken
           || (attempt.isStream && isBrokenOff(attempt.head, attempt.splitter, attempt.hasBegun));
}

void ProxiedRequest::recordBroken(const Attempt &attempt)
{
    // The entry that forwards a call reports the crash itself.
    if (attempt.forwarder.empty())
        m_context.crashGuard.recordBroken(m_context.upstreams,
                                          {m_request.caller.id, attempt.upstream, attempt.address,
                                           m_traits.suspects(attempt.hasBegun), attempt.sentAt});
}

/// Whether the end of the complete response is the end of the stream. A caller that resumes its
/// stream after the last event gets a response without events.
bool ProxiedRequest::completesStream() const
{
    const bool isFirstAndEmpty = !m_exchange->streamStarted() && !m_attempt->hasBegun;
    return m_attempt->isStream && (m_position.hasReachedLast() || isFirstAndEmpty);
}

void ProxiedRequest::responseCompleted()
{
    // Whatever the status is, the upstream did not crash.
    m_context.crashGuard.recordSound(m_traits.suspects(m_attempt->hasBegun));
    const ReleaseReason reason = responseReason(m_attempt->head.status);
    const bool isServerError = reason == ReleaseReason::ServerError;
    const bool canRetry = mayRunAgain() && m_attempts < m_route.maxAttempts && hasTimeForAttempt();
    if (isServerError && (m_hedge || canRetry))
        return attemptFailed("the upstream responded with a server error", reason);
    // A caller may send a request again that it reads as not run.
    if (m_attempt->info.promisesNotRun && !mayRunAgain())
        return attemptFailed("the upstream's status promises without proof that it did not run",
                             reason);
    if ((m_attempt->isStream || m_exchange->streamStarted()) && !completesStream())
        return attemptFailed("the response does not continue the stream", reason);
    releaseSlot(*m_attempt, reason);
    // What is sent from here on is counted by the connection.
    m_bufferShare.reset();
    if (m_attempt->isStream) {
        startResponse();
        m_exchange->finish();
        return finish(Outcome::Completed, "");
    }
    m_firstByteAt = m_context.clock.now();
    net::Response response;
    response.head = m_attempt->head;
    net::removeHopByHopHeaders(response.head.headers);
    response.body = std::move(m_attempt->body);
    m_exchange->respond(std::move(response));
    finish(Outcome::Completed, "");
}

} // namespace rattanrill::serving
