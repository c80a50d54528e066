#include "proxiedrequest.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/logger.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <string_view>
#include <utility>

namespace rattanrill::serving {

using policy::ReleaseReason;

namespace {

/// Time after which a request that waits for the links asks for a slot again although their state
/// has not changed, because another entry may forward it by then. As long as a period of the
/// attempts to connect.
constexpr absl::Duration linkWaitPeriod = absl::Milliseconds(250);

/// Longest time that a request which may be sent to another entry waits for the links. Longer than
/// an upstream usually pauses; the caller keeps the rest of its time for another entry.
constexpr absl::Duration maxLinkWait = absl::Milliseconds(1500);

/// Shortest time between the beginnings of attempts that can't be sent. Upstreams that have crashed
/// refuse connections at once.
constexpr absl::Duration unsentAttemptPeriod = absl::Milliseconds(50);

/// How a request is answered that gets no slot.
struct RejectionReason
{
    wire::SlotOutcome outcome;
    ErrorCode code;
    std::string_view detail;
};

constexpr std::array<RejectionReason, 4> rejectionReasons = {{
        {wire::SlotOutcome::NoSlot, ErrorCode::Overloaded, "no upstream slot will be free in time"},
        {wire::SlotOutcome::OverRate, ErrorCode::RateLimited,
         "the workspace has used up its request rate"},
        {wire::SlotOutcome::VersionUnknown, ErrorCode::UpstreamUnavailable,
         "the version that began the stream is not known"},
        {wire::SlotOutcome::VersionGone, ErrorCode::UpstreamUnavailable,
         "no upstream of the version that began the stream accepts requests"},
}};

const RejectionReason &reasonOf(wire::SlotOutcome outcome)
{
    const auto found = std::find_if(
            rejectionReasons.begin(), rejectionReasons.end(),
            [outcome](const RejectionReason &reason) { return reason.outcome == outcome; });
    return found == rejectionReasons.end() ? rejectionReasons.front() : *found;
}

bool contains(const std::vector<std::string> &upstreams, const std::string &upstream)
{
    return std::find(upstreams.begin(), upstreams.end(), upstream) != upstreams.end();
}

} // namespace

void ProxiedRequest::requestSlot()
{
    // A call that runs may still succeed, but is not repeated.
    if (isBlocked())
        return m_state == State::Unresponsive ? armResponseTimer() : rejectBlocked();
    wire::SlotRequest request;
    m_requestedSlotId = m_slotRequestCount++ == 0
                                ? m_request.caller.id
                                : concat(m_request.caller.id, "~", m_slotRequestCount);
    request.requestId = m_requestedSlotId;
    request.instance = m_context.identity.instance;
    request.failureDomain = m_context.identity.failureDomain;
    request.service = m_service;
    request.workspace = m_request.workspace;
    request.priority = m_request.priority;
    request.chargesRate = !m_chargedRate;
    request.promptTokens = m_request.caller.promptTokens;
    request.outputTokens = m_request.caller.outputTokens;
    // The response to a request that may have run is useful until the deadline; only a request that
    // has not run is refused early.
    const absl::Duration objective = m_mayHaveRun ? remainingTime() : m_route.latencyObjective;
    const std::vector<std::string> avoided = avoidedUpstreams();
    // A request that avoids upstreams does not wait for a slot, because it would hold up others
    // that wait for a slot there.
    if (avoided.empty())
        request.objectiveMs = std::max<std::int64_t>(absl::ToInt64Milliseconds(objective), 0);
    request.deadlineMs = std::max<std::int64_t>(absl::ToInt64Milliseconds(remainingTime()), 0);
    request.excluded = m_excludedUpstreams;
    request.excluded.insert(request.excluded.end(), avoided.begin(), avoided.end());
    request.stream = m_stream;
    request.resumed = hasStreamBegun();
    request.versionKnown = request.resumed && m_streamVersion.has_value();
    request.version = m_streamVersion.value_or("");
    request.needsForwarder = m_hasRequestedForwarder = m_context.upstreams.isCutOff();
    m_isSlotRequested = true;
    m_context.slotClient.acquire(
            request, [self = shared_from_this()](const auto &response, bool fromLocalShare) {
                self->slotResponseReceived(response, fromLocalShare);
            });
}

/// Upstreams that the request is not sent to as long as there are others.
std::vector<std::string> ProxiedRequest::avoidedUpstreams() const
{
    std::vector<std::string> avoided = m_unconnectedUpstreams;
    // Another entry may reach upstreams that are silent for this process.
    if (m_state != State::Unresponsive || m_context.upstreams.isCutOff())
        return avoided;
    const auto isExcluded = [this](const std::string &upstream) {
        return contains(m_excludedUpstreams, upstream)
               || contains(m_unconnectedUpstreams, upstream);
    };
    const std::vector<std::string> silent = m_context.upstreams.silentUpstreams();
    std::remove_copy_if(silent.begin(), silent.end(), std::back_inserter(avoided), isExcluded);
    return avoided;
}

void ProxiedRequest::slotResponseReceived(const wire::SlotResponse &response, bool fromLocalShare)
{
    m_isSlotRequested = false;
    const bool isGranted = response.verdict == wire::SlotOutcome::Granted;
    const bool isObsolete = m_state == State::Ended || m_state == State::Running;
    if (isObsolete) {
        if (isGranted)
            releaseUnused(m_requestedSlotId, response.upstream);
        return;
    }
    m_fromLocalShare = m_fromLocalShare || fromLocalShare;
    if (isGranted)
        return slotGranted(response);
    const bool isRepeated = canRepeat(response.verdict);
    m_unconnectedUpstreams.clear();
    // No other upstream has a free slot, so the unresponsive upstream gets more time.
    if (m_state == State::Unresponsive)
        return armResponseTimer();
    if (isRepeated)
        return requestSlotAfter(pauseAfter(*m_attempt));
    refuseOrFail(response);
}

/// Whether a slot request that got \a outcome may succeed without the exclusion of upstreams that
/// could not be connected to. On lost links they can't be connected to either.
bool ProxiedRequest::canRepeat(wire::SlotOutcome outcome) const
{
    const bool isExclusionDecisive =
            outcome == wire::SlotOutcome::NoSlot || outcome == wire::SlotOutcome::VersionGone;
    return isExclusionDecisive && !m_unconnectedUpstreams.empty()
           && m_context.upstreams.linkState() != policy::LinkState::Lost
           && hasTimeForAttempt(unsentAttemptPeriod);
}

/// Time after the end of \a attempt until the next one may begin. The first attempt that was not
/// sent is followed by another one at once.
absl::Duration ProxiedRequest::pauseAfter(const Attempt &attempt) const
{
    if (attempt.isSent || m_unsentAttempts < 2)
        return absl::ZeroDuration();
    return std::max(attempt.sentAt + unsentAttemptPeriod - m_context.clock.now(),
                    absl::ZeroDuration());
}

void ProxiedRequest::requestSlotAfter(absl::Duration pause)
{
    if (pause > absl::ZeroDuration())
        return armTimer(pause, &ProxiedRequest::requestSlotAgain);
    requestSlot();
}

void ProxiedRequest::slotGranted(const wire::SlotResponse &grant)
{
    m_chargedRate = true;
    if (isLeaving(grant.upstream, grant.address))
        return skipLeavingUpstream(m_requestedSlotId, grant.upstream, grant.address);
    if (isOtherVersion(grant)) {
        releaseUnused(m_requestedSlotId, grant.upstream);
        return skipUpstream(grant.upstream, "another version began the stream");
    }
    m_slotGrantedAt = m_context.clock.now();
    m_upstreamListAge = m_context.upstreamListAge();
    if (m_state == State::Unresponsive)
        return startHedge(grant);
    if (!isBlocked())
        return send(grant);
    releaseUnused(m_requestedSlotId, grant.upstream);
    rejectBlocked();
}

/// Ends the request because it gets no slot.
void ProxiedRequest::refuseOrFail(const wire::SlotResponse &response)
{
    const RejectionReason &reason = reasonOf(response.verdict);
    if (m_mayHaveRun || m_exchange->streamStarted())
        return fail(ErrorCode::UpstreamFailed, std::string(reason.detail));
    refuse(reason.code, std::string(reason.detail), absl::Milliseconds(response.retryAfterMs));
}

/// Whether the granted upstream cannot continue the stream. This happens when the stream began
/// while the slot was already requested.
bool ProxiedRequest::isOtherVersion(const wire::SlotResponse &response) const
{
    return hasStreamBegun() && m_streamVersion && *m_streamVersion != response.version;
}

bool ProxiedRequest::isLeaving(const std::string &upstream, const std::string &address) const
{
    return m_context.slotClient.isLeaving(upstream, address);
}

/// Releases a slot at an upstream that leaves, without sending the request, and requests another
/// one.
void ProxiedRequest::skipLeavingUpstream(const std::string &slotId, const std::string &upstream,
                                         const std::string &address)
{
    m_context.slotClient.repeatLeaving(upstream, address);
    releaseUnused(slotId, upstream);
    skipUpstream(upstream, "the upstream accepts no new requests, and the request was not sent");
}

/// Requests a slot at another upstream. Each call excludes one more upstream, so the number of
/// calls is bounded.
void ProxiedRequest::skipUpstream(const std::string &upstream, std::string_view reason)
{
    log(LogLevel::Info, "try-failed",
        {{"requestId", m_request.caller.id},
         {"upstream", upstream},
         {"attempt", m_attempts},
         {"reason", reason},
         {"mayHaveRun", m_mayHaveRun},
         {"lastEvent", m_position.lastId().value_or(-1)}});
    m_excludedUpstreams.push_back(upstream);
    // If the upstream was unresponsive, a slot at another one may already have been requested.
    if (!m_isSlotRequested)
        requestSlot();
}

/// Whether a request that can't be sent now may be sent later: its upstreams may have paused.
bool ProxiedRequest::canAwaitLinks() const
{
    const bool canGoElsewhere = !m_mayHaveRun && !m_exchange->streamStarted();
    const bool isWaitOver = canGoElsewhere && m_context.clock.now() >= m_linkWaitEnd;
    return m_context.upstreams.linkState() == policy::LinkState::Unanswered && !isWaitOver
           && hasTimeForAttempt(linkWaitPeriod);
}

/// Requests a slot again when the state of the links has changed, or after a period.
void ProxiedRequest::awaitLinks()
{
    m_state = State::Waiting;
    m_isWaitingForLinks = true;
    m_linkWaitEnd = std::min(m_linkWaitEnd, m_context.clock.now() + maxLinkWait);
    armTimer(linkWaitPeriod, &ProxiedRequest::linksChanged);
    if (std::exchange(m_isLinkChangeAwaited, true))
        return;
    m_context.upstreams.awaitLinkChange([weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self)
            return;
        self->m_isLinkChangeAwaited = false;
        self->linksChanged();
    });
}

void ProxiedRequest::linksChanged()
{
    if (std::exchange(m_isWaitingForLinks, false))
        requestSlotAgain();
}

void ProxiedRequest::requestSlotAgain()
{
    stopTimer(m_responseTimer);
    if (m_state == State::Waiting && !m_isSlotRequested)
        requestSlot();
}

void ProxiedRequest::releaseSlot(Attempt &attempt, ReleaseReason reason)
{
    if (attempt.slotId.empty())
        return;
    wire::SlotRelease release =
            makeRelease(std::exchange(attempt.slotId, std::string()), attempt.upstream, reason);
    if (!attempt.forwarder.empty()) {
        release.forwarder = attempt.forwarder;
        release.forwarderFailed = attempt.hasForwarderFailed;
        release.isWitness = !attempt.hasForwarderFailed && !attempt.isForwarderSilent;
    }
    m_context.slotClient.release(release);
}

wire::SlotRelease ProxiedRequest::makeRelease(const std::string &slotId,
                                              const std::string &upstream,
                                              ReleaseReason reason) const
{
    wire::SlotRelease release;
    release.instance = m_context.identity.instance;
    release.requestId = slotId;
    release.upstream = upstream;
    release.end = std::string(policy::name(reason));
    if (hasStreamBegun() && m_streamVersion) {
        release.stream = m_stream;
        release.service = m_service;
        release.version = *m_streamVersion;
    }
    release.isCutOff = m_context.upstreams.isCutOff();
    release.isWitness = m_context.upstreams.isWitness(reason);
    return release;
}

/// Releases a slot at which no attempt began.
void ProxiedRequest::releaseUnused(const std::string &slotId, const std::string &upstream)
{
    m_context.slotClient.release(makeRelease(slotId, upstream, ReleaseReason::Cancelled));
}

} // namespace rattanrill::serving
