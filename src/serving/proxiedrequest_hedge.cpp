#include "proxiedrequest.h"

#include "rattanrill/base/logger.h"

#include <utility>
#include <vector>

namespace rattanrill::serving {

using policy::ReleaseReason;

namespace {

/// Longest time that two upstreams which can be reached run the same request. Long enough for the
/// first event of an upstream with a free slot.
constexpr absl::Duration maxHedgeTime = absl::Milliseconds(250);

} // namespace

void ProxiedRequest::responseTimedOut()
{
    if (!isCalling() || m_hedge)
        return;
    recordRun(*m_attempt);
    m_state = State::Unresponsive;
    if (!m_attempt->forwarder.empty()) {
        m_attempt->isForwarderSilent = true;
        return requestHedge();
    }
    // The slot request states whether this process is cut off, which the silence alone doesn't
    // show.
    m_context.upstreams.probeSilent(
            m_attempt->upstream, [self = shared_from_this(), attempt = m_attempt] {
                attempt->isReachable = self->m_context.upstreams.isReachable(attempt->upstream);
                self->requestHedge();
            });
}

void ProxiedRequest::requestHedge()
{
    if (m_state != State::Unresponsive || m_isSlotRequested || m_hedge)
        return;
    if (isLinkLost(*m_attempt))
        discount(*m_attempt);
    if (m_attempts < m_route.maxAttempts)
        return requestSlot();
    armResponseTimer();
}

void ProxiedRequest::requestHedgeAgain()
{
    // The first upstream may have responded meanwhile.
    if (m_state != State::Unresponsive)
        return armResponseTimer();
    requestHedge();
}

/// Whether \a attempt waits for a response on links that are known to be lost.
bool ProxiedRequest::isLinkLost(const Attempt &attempt) const
{
    return attempt.forwarder.empty() && m_context.upstreams.isLost(attempt.upstream);
}

/// Takes back the count of an attempt that did not reach its upstream.
void ProxiedRequest::discount(Attempt &attempt)
{
    if (!std::exchange(attempt.isDiscounted, true))
        --m_attempts;
}

/// Counts an attempt again that has reached its upstream after all.
void ProxiedRequest::recordReached(Attempt &attempt)
{
    if (std::exchange(attempt.isDiscounted, false))
        ++m_attempts;
}

void ProxiedRequest::startHedge(const wire::SlotResponse &grant)
{
    const bool canCall = m_context.upstreams.canCall(targetOf(grant), m_request.caller.id);
    const bool mayBegin = mayRunAgain() && hasTimeForAttempt() && !isBlocked();
    if (!canCall || !mayBegin) {
        releaseUnused(m_requestedSlotId, grant.upstream);
        // The links were lost after the slot was requested.
        const bool needsForwarder = !canCall && !m_hasRequestedForwarder;
        return mayBegin && needsForwarder ? requestSlot() : armResponseTimer();
    }
    ++m_hedges;
    m_context.metrics.count("rattanrill_hedges_total");
    m_hedge = beginAttempt(grant);
    armTimer(maxHedgeTime, &ProxiedRequest::hedgeTimedOut);
}

void ProxiedRequest::hedgeBodyReceived(std::string_view bytes)
{
    if (!canHedgeServe())
        return;
    m_hedge->body.append(bytes);
    if (!m_hedge->isStream)
        return promoteHedge();
    switch (replayHedge().check) {
    case SequenceCheck::InOrder:
        return promoteHedge();
    case SequenceCheck::Gap:
    case SequenceCheck::Unnumbered:
        endHedge("the response does not continue the stream", ReleaseReason::Completed);
        return requestHedge();
    case SequenceCheck::Repeated:
        break;
    }
    if (m_hedge->body.size() > EventSplitter::maxEventBytes)
        endHedge("the response exceeds the size limit", ReleaseReason::Failed);
    else if (!bufferWithinLimits())
        endHedge(bufferLimitReason, ReleaseReason::Cancelled);
    else
        return;
    requestHedge();
}

/// Whether the response of the hedge may serve the request.
bool ProxiedRequest::canHedgeServe() const
{
    const Attempt &hedge = *m_hedge;
    return hedge.hasHead && !hedge.info.notRun && !hedge.info.promisesNotRun
           && hedge.head.status < 500 && (hedge.isStream || !m_exchange->streamStarted());
}

/// Passes the events of the hedge to a copy of the position, up to the first one that shows whether
/// they continue the stream.
ProxiedRequest::HedgeReplay ProxiedRequest::replayHedge() const
{
    HedgeReplay replay{m_position, SequenceCheck::Repeated, {}};
    replay.position.beginAttempt();
    std::vector<StreamEvent> events;
    replay.splitter.feed(m_hedge->body, events);
    for (const StreamEvent &event : events) {
        if (event.hasContent())
            replay.check = replay.position.advance(event);
        if (replay.check != SequenceCheck::Repeated)
            break;
    }
    return replay;
}

/// Whether the end of the hedge's complete response is the end of the request: a stream without
/// further events ends the one that has begun only if it repeats the last delivered event.
bool ProxiedRequest::completesHedge(const HedgeReplay &replay) const
{
    if (!m_hedge->isStream || (m_hedge->body.empty() && !m_exchange->streamStarted()))
        return true;
    return replay.check == SequenceCheck::Repeated && replay.position.hasReceivedEvent()
           && replay.position.hasReachedLast();
}

/// The hedge responds first, so the current attempt is given up.
void ProxiedRequest::promoteHedge()
{
    m_context.metrics.count("rattanrill_hedge_responses_total");
    attemptFailed("the upstream did not respond in time", ReleaseReason::Failed);
}

/// Makes the hedge the current attempt, after the former one has ended.
void ProxiedRequest::replaceByHedge()
{
    m_attempt = std::exchange(m_hedge, nullptr);
    m_state = State::Running;
    if (m_exchange->streamStarted())
        ++m_resumes;
    if (hasStreamBegun())
        m_streamVersion = m_attempt->version;
    m_position.beginAttempt();
    armResponseTimer();
    const std::string received = std::exchange(m_attempt->body, std::string());
    if (!received.empty())
        bodyReceived(m_attempt, received);
}

void ProxiedRequest::hedgeEnded(net::CallStatus status)
{
    const AttemptPtr hedge = m_hedge;
    const HedgeReplay replay = replayHedge();
    // Its events are split only when they serve the request.
    hedge->splitter = replay.splitter;
    if (net::isNotSent(status)) {
        const bool leaves = isLeaving(hedge->upstream, hedge->address);
        if (leaves)
            m_context.slotClient.repeatLeaving(hedge->upstream, hedge->address);
        endHedge("the connection to the upstream could not be established",
                 leaves ? ReleaseReason::Cancelled : notSentReason(*hedge, status));
    } else if (isBroken(*hedge, status)) {
        recordBroken(*hedge);
        endHedge("the connection to the upstream broke before the response was complete",
                 ReleaseReason::Failed);
    } else if (hedge->info.notRun) {
        endHedge("the upstream refused the request", refusalReason(hedge->info));
    } else if (canHedgeServe() && completesHedge(replay)) {
        hedge->splitter.reset();
        promoteHedge();
        if (m_attempt == hedge)
            callEnded(hedge, status);
        return;
    } else {
        m_context.crashGuard.recordSound(m_traits.suspects(hedge->hasBegun));
        endHedge("the response can't serve the request", responseReason(hedge->head.status));
    }
    const absl::Duration pause = pauseAfter(*hedge);
    if (pause > absl::ZeroDuration())
        return armTimer(pause, &ProxiedRequest::requestHedgeAgain);
    requestHedge();
}

void ProxiedRequest::endHedge(std::string_view reason, ReleaseReason releaseReason)
{
    const AttemptPtr hedge = std::exchange(m_hedge, nullptr);
    logFailedAttempt(*hedge, reason);
    cancelCall(*hedge);
    releaseSlot(*hedge, releaseReason);
    armResponseTimer();
}

/// The response may have arrived while this process was busy; its handler then runs first.
void ProxiedRequest::hedgeTimedOut()
{
    m_context.loop.post([self = shared_from_this(), hedge = m_hedge] {
        if (hedge && self->m_hedge == hedge)
            self->resolveSilence();
    });
}

/// Two attempts are silent. If the upstream of the hedge has accepted it, the first attempt ends,
/// whose upstream shows no sign of work. Otherwise, if both upstreams may be working, the hedge
/// ends: the first attempt has done more of the work, and the upstream of the hedge may still
/// refuse it. Otherwise both go on, because it is not known which of them will respond.
void ProxiedRequest::resolveSilence()
{
    if (canHedgeServe())
        return promoteHedge();
    // On lost links, a hedge reaches its upstream only by way of another entry.
    const bool isLost = m_context.upstreams.linkState() == policy::LinkState::Lost
                        && !m_context.upstreams.canReceive();
    if (isLost && m_hedge->forwarder.empty()) {
        discount(*m_hedge);
        endHedge("the links to the upstreams are lost", ReleaseReason::Cancelled);
        return requestHedge();
    }
    const bool isReachable = !m_attempt->forwarder.empty() || m_attempt->isReachable;
    if (!isReachable)
        return armTimer(maxHedgeTime, &ProxiedRequest::hedgeTimedOut);
    endHedge("the upstream did not respond in time, like the one before", ReleaseReason::Cancelled);
}

} // namespace rattanrill::serving
