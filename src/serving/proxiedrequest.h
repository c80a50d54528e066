#pragma once

#include "rattanrill/serving/eventstream.h"
#include "rattanrill/serving/proxyrequest.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::serving {

/// A caller's request that this entry process forwards to upstreams, one attempt after another.
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
        /// An upstream runs the request but has not responded in time. It may still respond while a
        /// slot at another upstream is requested.
        Unresponsive,
        Ended,
    };

    /// One attempt at an upstream.
    struct Attempt
    {
        std::string upstream;
        std::string address;
        /// Version of the upstream's software.
        std::string version;
        UpstreamCaller::CallId call = 0;
        /// Instance of the entry that forwards the call; empty when this process sends it.
        std::string forwarder;
        /// Whether the forwarder is the reason why the call ended.
        bool hasForwarderFailed = false;
        /// Whether no response came in time from the forwarder, which may be the reason itself.
        bool isForwarderSilent = false;
        absl::Time sentAt;
        /// The next three are valid once the head of the response has arrived.
        bool hasHead = false;
        net::ResponseHead head;
        ResponseInfo info;
        bool isStream = false;
        /// Whether an event or a part of the body arrived, that is, the upstream began to write the
        /// response.
        bool hasBegun = false;
        /// Body of a response that is not a stream.
        std::string body;
        EventSplitter splitter;
    };

    static std::string_view name(Outcome outcome);

    void findStreamOrigin();
    bool hasStreamBegun() const;
    bool mayRunAgain() const;
    bool isCalling() const;
    absl::Duration remainingTime() const;
    bool hasTimeForAttempt() const;
    bool rejectBlocked();
    void requestSlot();
    void slotResponseReceived(const wire::SlotResponse &response, bool fromLocalShare);
    void send(const wire::SlotResponse &grant);
    net::CallHandlers callHandlers(const wire::SlotResponse &grant);
    ForwardingOptions forwardingOptions();
    net::ResponseOwner ownerOf(const net::ResponseHead &head) const;
    void reportForeignAnnouncement(net::ResponseOwner owner, const ResponseInfo &info) const;
    void headReceived(const net::ResponseHead &head);
    void bodyReceived(std::string_view bytes);
    void forwardEvents(std::string_view bytes);
    bool bufferWithinLimits();
    void giveUpBuffer();
    void clearBuffer();
    void responseBegun();
    bool deliver(const StreamEvent &event);
    void startResponse();
    bool completesStream() const;
    void callEnded(net::CallStatus status);
    void attemptBroken();
    void responseCompleted();
    void attemptFailed(std::string_view reason, policy::ReleaseReason releaseReason);
    void logFailedAttempt(std::string_view reason) const;
    void refuseOrFail(std::string_view reason);
    void refuse(ErrorCode code, const std::string &detail, absl::Duration retryAfter);
    void fail(ErrorCode code, const std::string &detail);
    void deadlinePassed();
    void callerDisconnected();
    void processEnding();
    void armResponseTimer();
    void responseTimedOut();
    void abandonUnresponsiveUpstream();
    bool isLeaving(const std::string &upstream, const std::string &address) const;
    bool isOtherVersion(const wire::SlotResponse &response) const;
    void skipUpstream(const std::string &upstream, std::string_view reason);
    void refuseOrFail(const wire::SlotResponse &response);
    void skipLeavingUpstream(const std::string &slotId, const std::string &upstream,
                             const std::string &address);
    void releaseSlot(policy::ReleaseReason reason);
    void release(const std::string &slotId, const std::string &upstream,
                 policy::ReleaseReason reason);
    void cancelCall();
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
    /// Request ids of the slot that is held (empty when none is) and of the last slot request. Each
    /// slot request has an id of its own.
    std::string m_heldSlotId;
    std::string m_requestedSlotId;
    int m_slotRequestCount = 0;
    /// The current attempt or, while there is none, the last one.
    Attempt m_attempt;

    // All attempts.
    int m_attempts = 0;
    bool m_mayHaveRun = false;
    bool m_chargedRate = false;
    bool m_fromLocalShare = false;
    /// Upstreams that the request was sent to before or that leave.
    std::vector<std::string> m_excludedUpstreams;
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
    /// Bytes of the current attempt and of unsent events; empty while there are few.
    std::optional<BufferShare> m_bufferShare;
    TimerService::TimerId m_deadlineTimer = 0;
    TimerService::TimerId m_responseTimer = 0;
};

} // namespace rattanrill::serving
