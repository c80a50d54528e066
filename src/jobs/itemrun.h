#pragma once

#include "rattanrill/jobs/jobexecutor.h"
#include "rattanrill/serving/eventstream.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace rattanrill::jobs {

/// Runs one item of a job until it has a result, if necessary on several upstreams in succession.
class ItemRun : public std::enable_shared_from_this<ItemRun>
{
public:
    enum class State {
        /// No configuration has been set yet.
        Idle,
        /// Waits for a slot.
        Waiting,
        Running,
        BackingOff,
        Ended,
    };

    /// Receives the result; called at most once.
    using ResultCallback = std::function<void(wire::JobItemResult result)>;
    /// Receives the number of attempts that failed with status 500, to be stored.
    using FailureCallback = std::function<void(const wire::ItemFailures &failures)>;

    ItemRun(const JobExecutorContext &context, std::shared_ptr<const wire::JobRecord> job,
            const wire::JobItem &item, ResultCallback resultCallback,
            FailureCallback failureCallback = nullptr);

    /// Continues after \a progress instead of starting at the first event. Must be
    /// called before setDeployment().
    void resume(const wire::ItemProgress &progress);
    /// Continues the stored count of failed attempts. Must be called before setDeployment().
    void resume(const wire::ItemFailures &failures);
    /// Returns the output produced since the last call of markStored(); empty when it contains no
    /// complete event.
    std::optional<wire::ItemProgress> unstoredProgress() const;
    /// Records that the store has the output up to \a lastEvent.
    void markStored(std::int64_t lastEvent);
    /// Records that the store has this number of failed attempts. Without it, the item is not sent
    /// again after a failure.
    void markFailuresStored(std::int64_t serverErrors);
    /// Sets the configuration by which the item runs. The first call requests a slot, later ones
    /// update the request of an item that waits. The item is dead-lettered when the configuration
    /// does not contain the job's route.
    void setDeployment(std::shared_ptr<const serving::DeploymentIndex> deployment);
    /// Requests a slot again if the item waits for one and what it needs has changed since it
    /// requested it.
    void updateRequest();
    /// Ends the run without a result.
    void stop();

    State state() const { return m_state; }
    /// Whether the item waits because it crashes upstreams.
    bool isHeld() const { return m_heldSince.has_value(); }
    /// Time since the last event, or since the construction.
    absl::Duration stalledFor() const { return m_context.clock.now() - m_progressAt; }
    StalledItem stall() const;

private:
    /// What a request for a slot says of the item, apart from its identity and its history.
    struct SlotNeeds
    {
        std::string service;
        /// See requestSender().
        std::string sender;
        /// Version that can continue the output; absent when any version can run the item.
        std::optional<std::string> version;
        int priority = 0;
        /// Time from the job's acceptance to the deadline of its items.
        absl::Duration completionObjective;

        friend bool operator==(const SlotNeeds &left, const SlotNeeds &right)
        {
            return std::tie(left.service, left.sender, left.version, left.priority,
                            left.completionObjective)
                   == std::tie(right.service, right.sender, right.version, right.priority,
                               right.completionObjective);
        }
    };

    /// Id of the item's requests for slots.
    std::string taskId() const;
    const serving::Route *route() const;
    SlotNeeds slotNeeds() const;
    std::string chooseService() const;
    /// Starts the timer of the route's time limit again if the limit has changed.
    void updateAbandonTimer();
    /// Whether the item has gone without progress for so long that it no longer waits for upstreams
    /// that may be unreachable.
    bool isStalled() const;
    bool needsVersion(const std::string &service) const;
    /// The process whose links to the upstreams matter for a slot. Empty while this one is cut off
    /// from them: the links of the entry that forwards the call matter then, which is chosen with
    /// the grant.
    std::string requestSender() const;
    /// Time since the job was accepted.
    absl::Duration age() const;
    ItemWait waitsFor() const;
    /// Requests a slot, once all failed attempts are stored. Replaces an earlier request if the
    /// item waits for a slot already.
    void acquireSlot();
    /// Reason for which the item must not be sent again; empty if it may be.
    std::string_view giveUpReason() const;
    /// Dead-letters the item if it must not be sent again. Returns whether it did.
    bool endIfGivenUp();
    /// Counts a status by which the route limits the attempts.
    void recordStatus(int status);
    /// Whether the item must not be sent now because it crashes upstreams.
    bool isBlocked() const;
    /// Waits before the next request for a slot, because the item crashes upstreams.
    void hold();
    /// Ends the wait of hold().
    void endHold();
    void retryAfter(absl::Duration delay);
    void attemptBroken(std::string_view reason);
    void handleSlotGranted(const policy::GrantSlot &grant);
    serving::UpstreamTarget chooseTarget(const policy::GrantSlot &grant);
    void send(const serving::UpstreamTarget &target);
    net::RequestWriter requestWriter(const serving::UpstreamAttempt &attempt);
    net::CallHandlers callHandlers();
    /// Discards the output that the next attempt does not continue.
    void prepareOutput(const std::string &version);
    void handleSlotPreempted();
    net::ResponseOwner ownerOf(const net::ResponseHead &head) const;
    void reportForeignAnnouncement(net::ResponseOwner owner,
                                   const serving::ResponseInfo &info) const;
    void handleHead(const net::ResponseHead &head);
    void handleBody(std::string_view bytes);
    bool acceptEvent(const serving::StreamEvent &event);
    void appendEvent(const serving::StreamEvent &event);
    void handleCallEnd(net::CallStatus status);
    /// Ends the current attempt and requests another slot after a backoff.
    void failAttempt(std::string_view reason, policy::ReleaseReason releaseReason);
    /// Releases a slot at an upstream that leaves, to which the item was not sent, and requests
    /// another one.
    void skipLeavingUpstream();
    void handleSuccess();
    void discardOutput();
    bool bufferWithinLimits();
    void giveUpBuffer();
    void discardUnnumberedOutput();
    void finish(wire::ItemOutcome outcome, std::string_view reason);
    /// Dead-letters the item when the time limit of its route (serving::Route::abandonAfter)
    /// expires.
    void abandon();
    void restartIdleTimer();
    void endIdleAttempt();
    void releaseSlot(policy::ReleaseReason reason);
    void releaseForwarder();
    /// Total time for which the item has run in slots, including the current one.
    absl::Duration runTime() const;
    /// Adds the run time in the current slot to the total. A slot in which no event was received
    /// does not count.
    void recordRunTime();
    void cancelTimer(TimerService::TimerId &timer);

    const JobExecutorContext &m_context;
    const std::shared_ptr<const wire::JobRecord> m_job;
    const wire::JobItem &m_item;
    ResultCallback m_resultCallback;
    FailureCallback m_failureCallback;
    /// Traits by which crashes of upstreams are attributed.
    const serving::CrashTraits m_traits;
    std::shared_ptr<const serving::DeploymentIndex> m_deployment;
    State m_state = State::Idle;

    /// Time of the construction or of the last event.
    absl::Time m_progressAt;
    /// What the last request for a slot said.
    SlotNeeds m_requested;

    std::string m_upstream;
    std::string m_address;
    serving::UpstreamCaller::CallId m_call = 0;
    /// Instance of the entry that forwards the call; empty when this process sends it.
    std::string m_forwarder;
    bool m_hasForwarderFailed = false;
    net::ResponseHead m_head;
    serving::ResponseInfo m_responseInfo;
    bool m_hasHead = false;
    /// Whether the current response is a successful stream.
    bool m_isStream = false;
    serving::EventSplitter m_splitter;
    /// Bytes of the output and of an incomplete event; empty while there are few.
    std::optional<serving::BufferShare> m_bufferShare;
    serving::StreamPosition m_position{std::nullopt};
    std::string m_output;
    /// Version of the upstreams that wrote the output.
    std::string m_outputVersion;
    /// Whether \a m_output contains an event, which may be empty.
    bool m_hasOutput = false;
    /// Length in bytes of the output up to the last event with an id. Another attempt repeats the
    /// events after it.
    std::size_t m_numberedOutputLength = 0;
    /// Whether the next attempt runs the item from its first event, because an attempt that resumed
    /// it did not continue it.
    bool m_restarts = false;
    /// Whether the output is that of a run from the first event, which no stored event belongs to.
    bool m_hasRestarted = false;
    /// Last event whose data the store has; -1 for none.
    std::int64_t m_storedEvent = -1;
    /// Length in bytes of the output up to m_storedEvent.
    std::size_t m_storedOutputLength = 0;
    /// Length in bytes of the output up to each event that is not stored, by event id.
    std::map<std::int64_t, std::size_t> m_unstoredOutputLengths;
    /// Run time in earlier slots. The run time in the current slot is counted from m_grantedAt once
    /// an event was received.
    absl::Duration m_priorRunTime;
    absl::Time m_grantedAt;
    /// Age of the list of upstreams at the last grant.
    absl::Duration m_upstreamListAge = absl::InfiniteDuration();
    /// Whether an event was received in the current slot.
    bool m_hasProgressed = false;
    absl::Time m_sentAt;
    /// Number of attempts that failed with status 500, also under former leaders.
    std::int64_t m_serverErrors = 0;
    /// Whether an upstream refused the item with status 422.
    bool m_isRefused = false;
    /// The part of m_serverErrors that the store has.
    std::int64_t m_storedServerErrors = 0;
    int m_consecutiveFailures = 0;
    /// Begin of the wait of hold().
    std::optional<absl::Time> m_heldSince;
    int m_preemptions = 0;
    int m_attempts = 0;
    /// The time limit for which m_abandonTimer was started.
    absl::Duration m_abandonAfter;
    TimerService::TimerId m_abandonTimer = 0;
    TimerService::TimerId m_backoffTimer = 0;
    /// Runs from the first time that the item was held.
    TimerService::TimerId m_trialTimer = 0;
    TimerService::TimerId m_idleTimer = 0;
};

} // namespace rattanrill::jobs
