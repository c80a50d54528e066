#pragma once

#include "rattanrill/serving/eventstream.h"
#include "rattanrill/serving/proxyrequest.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::serving {

/// One request on its way through this entry.
class ProxiedRequest : public std::enable_shared_from_this<ProxiedRequest>
{
public:
    ProxiedRequest(const ServingContext &context, RoutedRequest request,
                   std::shared_ptr<net::Exchange> exchange);

    void start();

private:
    /// How the request ended, for the log line and the metrics.
    enum class Outcome {
        Answered,
        Refused,
        Failed,
        CutOff,
        CallerLeft,
    };

    static std::string_view name(Outcome outcome);

    bool mayRunAgain() const;
    absl::Duration timeLeft() const;
    void askForPlace();
    void placeAnswered(const wire::SlotResponse &response, bool fromLocalShare);
    void send(const std::string &upstream, const std::string &address);
    bool noteHead(const net::ResponseHead &head);
    void noteBody(std::string_view bytes);
    void noteEvents(std::string_view bytes);
    bool deliver(const StreamEvent &event);
    void startAnswer();
    void callEnded(net::CallStatus status);
    void answerComplete();
    void attemptFailed(std::string_view reason, policy::ReleaseReason end);
    void refuseOrFail(std::string_view reason);
    void refuse(ErrorCode code, const std::string &detail, absl::Duration retryAfter);
    void fail(ErrorCode code, const std::string &detail);
    void deadlinePassed();
    void callerLeft();
    void armSilenceTimer();
    void silenceExpired();
    void leaveSilentUpstream();
    void releaseSlot(policy::ReleaseReason reason);
    void release(const std::string &slot, const std::string &upstream,
                 policy::ReleaseReason reason);
    void cancelCall();
    void finish(Outcome outcome, std::string_view reason);

    const ServingContext &m_context;
    const RoutedRequest m_request;
    const Route &m_route;
    std::shared_ptr<net::Exchange> m_exchange;
    const absl::Time m_receivedAt;
    absl::Time m_deadline;
    std::string m_service;
    bool m_ended = false;

    // The current try.
    bool m_asking = false;
    /// Broker's name of the place that this request holds, and of the one that it asks for.
    std::string m_heldSlot;
    std::string m_askedSlot;
    int m_asked = 0;
    /// Nothing came for long; another upstream is looked for while this one may still answer.
    bool m_isSilent = false;
    bool m_isCalling = false;
    net::ConnectionPool::CallId m_call = 0;
    std::string m_upstream;
    net::ResponseHead m_head;
    ResponseInfo m_facts;
    bool m_hasHead = false;
    bool m_isStream = false;
    std::string m_body;
    EventSplitter m_splitter;

    // Over all tries.
    int m_attempts = 0;
    bool m_mayHaveRun = false;
    bool m_chargedRate = false;
    bool m_fromLocalShare = false;
    std::vector<std::string> m_tried;
    StreamPosition m_position;
    int m_resumes = 0;
    absl::Time m_placedAt = absl::InfiniteFuture();
    absl::Time m_firstByteAt = absl::InfiniteFuture();
    TimerService::TimerId m_deadlineTimer = 0;
    TimerService::TimerId m_silenceTimer = 0;
};

} // namespace rattanrill::serving
