#pragma once

#include "attempt.h"

#include "rattanrill/serving/eventstream.h"
#include "rattanrill/serving/proxyrequest.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::serving {

/// A caller's request that this entry process forwards to upstreams, one attempt after another.
///
/// When an upstream is silent, a request that may run again is also sent to another one, the hedge.
/// The attempt that responds first serves the request, and the other one is cancelled; so a running
/// call is not given up for an attempt that may be refused or break. When both stay silent and the
/// upstream of the first one can be reached, the hedge is cancelled.
class ProxiedRequest : public std::enable_shared_from_this<ProxiedRequest>
{
public:
    ProxiedRequest(const ServingContext &context, RoutedRequest request,
                   std::shared_ptr<net::Exchange> exchange);

    void start();

private:
    /// How the request ended, as reported in the log and the metrics.
    enum class Outcome {
        /// A complete response was sent.
        Completed,
        /// An error response states that the request did not run.
        Refused,
        /// An error response states that the request may have run.
        Failed,
        /// The response was aborted after a part of the stream had been sent.
        Aborted,
        /// The caller disconnected or stopped reading.
        CallerDisconnected,
    };

    enum class State {
        /// No upstream runs the request; a slot is requested.
        Waiting,
        /// An upstream runs the request.
        Running,
        /// An upstream runs the request but has not responded in time. It may still respond while
        /// another upstream is tried.
        Unresponsive,
        Ended,
    };

    /// What the events of a hedge would do to the stream.
    struct HedgeReplay
    {
        StreamPosition position;
        /// InOrder or the fault of the first event that shows whether they continue the stream;
        /// Repeated if there is none.
        SequenceCheck check;
        EventSplitter splitter;
    };

    static std::string_view name(Outcome outcome);

    void findStreamOrigin();
    bool hasStreamBegun() const;
    bool mayRunAgain() const;
    bool isCalling() const { return m_attempt->isCalling; }
    absl::Duration remainingTime() const;
    bool hasTimeForAttempt(absl::Duration wait = absl::ZeroDuration()) const;
    bool isBlocked();
    void rejectBlocked();
    void requestSlot();
    std::vector<std::string> avoidedUpstreams() const;
    void slotResponseReceived(const wire::SlotResponse &response, bool fromLocalShare);
    void slotGranted(const wire::SlotResponse &grant);
    UpstreamTarget targetOf(const wire::SlotResponse &grant) const;
    void send(const wire::SlotResponse &grant);
    AttemptPtr beginAttempt(const wire::SlotResponse &grant);
    net::RequestWriter requestWriter(const AttemptPtr &attempt, UpstreamAttempt message);
    net::CallHandlers callHandlers(const AttemptPtr &attempt);
    static ForwardingOptions forwardingOptions(const AttemptPtr &attempt,
                                               const CrashTraits &traits);
    net::ResponseOwner ownerOf(const Attempt &attempt, const net::ResponseHead &head) const;
    void reportForeignAnnouncement(const Attempt &attempt, net::ResponseOwner owner,
                                   const ResponseInfo &info) const;
    void headReceived(const AttemptPtr &attempt, const net::ResponseHead &head);
    void bodyReceived(const AttemptPtr &attempt, std::string_view bytes);
    void forwardEvents(std::string_view bytes);
    /// Reason of an attempt that ends because of the memory limit of this process.
    static constexpr std::string_view bufferLimitReason =
            "the process buffers too many bytes of responses";
    bool bufferWithinLimits();
    void giveUpBuffer();
    void clearBuffer();
    void responding();
    void responseBegun();
    bool deliver(const StreamEvent &event);
    void startResponse();
    bool completesStream() const;
    void callEnded(const AttemptPtr &attempt, net::CallStatus status);
    void rejectMalformed();
    void recordEnd(Attempt &attempt, net::CallStatus status);
    policy::ReleaseReason notSentReason(const Attempt &attempt, net::CallStatus status) const;
    void recordRun(const Attempt &attempt);
    void recordNotSent(Attempt &attempt);
    absl::Duration pauseAfter(const Attempt &attempt) const;
    static bool isBroken(const Attempt &attempt, net::CallStatus status);
    void recordBroken(const Attempt &attempt);
    void responseCompleted();
    void attemptFailed(std::string_view reason, policy::ReleaseReason releaseReason);
    void logFailedAttempt(const Attempt &attempt, std::string_view reason) const;
    void refuseOrFail(std::string_view reason);
    void refuse(ErrorCode code, const std::string &detail, absl::Duration retryAfter);
    void fail(ErrorCode code, const std::string &detail);
    void deadlinePassed();
    void callerDisconnected();
    void processEnding();
    void armResponseTimer();
    void armTimer(absl::Duration delay, void (ProxiedRequest::*expired)());
    void stopTimer(TimerService::TimerId &timer);
    void responseTimedOut();
    void requestHedge();
    void requestHedgeAgain();
    bool isLinkLost(const Attempt &attempt) const;
    void discount(Attempt &attempt);
    void recordReached(Attempt &attempt);
    void startHedge(const wire::SlotResponse &grant);
    void hedgeBodyReceived(std::string_view bytes);
    void hedgeEnded(net::CallStatus status);
    bool canHedgeServe() const;
    HedgeReplay replayHedge() const;
    bool completesHedge(const HedgeReplay &replay) const;
    void promoteHedge();
    void replaceByHedge();
    void endHedge(std::string_view reason, policy::ReleaseReason releaseReason);
    void hedgeTimedOut();
    void resolveSilence();
    void endAttempts();
    bool isLeaving(const std::string &upstream, const std::string &address) const;
    bool isOtherVersion(const wire::SlotResponse &response) const;
    void skipUpstream(const std::string &upstream, std::string_view reason);
    void refuseOrFail(const wire::SlotResponse &response);
    bool canRepeat(wire::SlotOutcome outcome) const;
    void requestSlotAfter(absl::Duration pause);
    bool canAwaitLinks() const;
    void awaitLinks();
    void linksChanged();
    void requestSlotAgain();
    void skipLeavingUpstream(const std::string &slotId, const std::string &upstream,
                             const std::string &address);
    void releaseSlot(Attempt &attempt, policy::ReleaseReason reason);
    wire::SlotRelease makeRelease(const std::string &slotId, const std::string &upstream,
                                  policy::ReleaseReason reason) const;
    void releaseUnused(const std::string &slotId, const std::string &upstream);
    void cancelCall(Attempt &attempt);
    void finish(Outcome outcome, std::string_view reason);

    const ServingContext &m_context;
    const RoutedRequest m_request;
    const Route &m_route;
    std::shared_ptr<net::Exchange> m_exchange;
    /// Traits by which crashes of upstreams are attributed.
    const CrashTraits m_traits;
    const absl::Time m_receivedAt;
    absl::Time m_deadline;
    std::string m_service;
    State m_state = State::Waiting;

    /// True while a slot request has no decision yet. It may continue while the upstream responds
    /// after all; slotResponseReceived() then releases the slot.
    bool m_isSlotRequested = false;
    /// Whether the last slot request named the need of a forwarder.
    bool m_hasRequestedForwarder = false;
    /// Whether linksChanged() will be called.
    bool m_isLinkChangeAwaited = false;
    /// Whether a further slot is requested when the links change or the response timer expires.
    bool m_isWaitingForLinks = false;
    /// When a request that has not run gives up waiting for the links.
    absl::Time m_linkWaitEnd = absl::InfiniteFuture();
    /// Id of the last slot request. Each slot request has an id of its own.
    std::string m_requestedSlotId;
    int m_slotRequestCount = 0;
    /// The current attempt or, while there is none, the last one.
    AttemptPtr m_attempt = std::make_shared<Attempt>();
    /// A further attempt while the upstream of the current one is silent; null when there is none.
    AttemptPtr m_hedge;

    // All attempts.
    int m_attempts = 0;
    /// Attempts that began as hedges.
    int m_hedges = 0;
    bool m_mayHaveRun = false;
    bool m_chargedRate = false;
    bool m_fromLocalShare = false;
    /// Attempts that ended before their request was sent.
    int m_unsentAttempts = 0;
    /// Upstreams that the request was sent to before or that leave.
    std::vector<std::string> m_excludedUpstreams;
    /// Upstreams that could not be connected to. They are tried again after all others.
    std::vector<std::string> m_unconnectedUpstreams;
    StreamPosition m_position;
    /// Id by which the origin of the stream is recorded; empty for a request that cannot be
    /// resumed.
    std::string m_stream;
    /// Version that began the stream, once it is known.
    std::optional<std::string> m_streamVersion;
    int m_resumes = 0;
    absl::Time m_slotGrantedAt = absl::InfiniteFuture();
    /// Age of the process's list of upstreams at the last grant.
    absl::Duration m_upstreamListAge = absl::InfiniteDuration();
    absl::Time m_firstByteAt = absl::InfiniteFuture();
    /// Bytes of the current attempt and of the hedge; empty while there are few.
    std::optional<BufferShare> m_bufferShare;
    TimerService::TimerId m_deadlineTimer = 0;
    /// Limits the time without a response of the current attempt or, if there is a hedge, of that.
    /// While no attempt runs, the time until a further slot is requested.
    TimerService::TimerId m_responseTimer = 0;
};

} // namespace rattanrill::serving
