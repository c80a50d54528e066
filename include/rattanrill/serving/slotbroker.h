#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/base/timerservice.h"
#include "rattanrill/policy/forwarderselector.h"
#include "rattanrill/policy/leavingupstreams.h"
#include "rattanrill/policy/slotscheduler.h"
#include "rattanrill/policy/streamorigins.h"
#include "rattanrill/policy/tokenbucket.h"
#include "rattanrill/policy/versionhistory.h"
#include "rattanrill/serving/deployment.h"
#include "rattanrill/wire/fleetmessages.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::serving {

/// Settings of a SlotBroker.
struct SlotBrokerSettings
{
    policy::SlotSchedulerSettings scheduler;
    /// Number of requests by which a workspace may exceed its contract in any window of length
    /// rateWindow: rateToleranceFraction of what rate and burst allow in the window, plus
    /// rateToleranceRequests. A broker that replaces another one starts its rate buckets with half
    /// of this number (at most the burst), which is corrected by the reports of the entries; the
    /// other half is left for a second replacement in the same window.
    absl::Duration rateWindow = absl::Seconds(5);
    double rateToleranceFraction = 0;
    double rateToleranceRequests = 0;
    /// Fraction of a request's latency objective for which it may wait for a slot; the rest covers
    /// the transfer to the upstream and the time to its first event.
    double maxWaitFraction = 0.7;
    /// Upper bound of Retry-After, as a fraction of the time until the request's deadline.
    double maxRetryAfterFraction = 0.3;
    /// A request that has waited for a slot for this long receives the outcome Waiting; the
    /// requester then repeats it.
    absl::Duration maxResponseDelay = absl::Milliseconds(40);
    /// A stream may be resumed until this time after the longest timeout of the routes: the list of
    /// upstreams lags, and callers count from an earlier moment.
    absl::Duration resumptionMargin = absl::Seconds(3);
    /// A slot that its holder has not released is reclaimed this long after the request's deadline.
    absl::Duration reclaimDelay = absl::Seconds(2);
};

/// Where a report on an upstream comes from.
enum class ReportSource {
    /// A response that this process received.
    OwnResponse,
    /// A message of another process.
    OtherProcess,
};

/// Fractions (0 to 1) of the deployment's rates and slots that one broker grants.
struct CapacityShare
{
    /// Fraction of each workspace's rate and burst.
    double rateFraction = 1;
    /// Fraction of each upstream's slots, rounded up to whole slots, for the requests of this
    /// broker. All slots of the upstream limit them together with those of others.
    double slotFraction = 1;
    /// Fraction of the request limit that an upstream names.
    double limitFraction = 1;
    /// Fraction of the rate at which a cold upstream accepts requests; 0: cold upstreams get none.
    double warmUpFraction = 1;
};

/// Grants the slots of the upstreams and charges the requests to the workspaces' rates. One process
/// of the deployment grants all slots; an entry process that can't reach it uses a local broker for
/// its share of them. Used on the event loop only.
class SlotBroker
{
public:
    using ResponseCallback = std::function<void(const wire::SlotResponse &)>;

    /// Callbacks that notify a batch task of decisions on its slot.
    struct BatchHandlers
    {
        std::function<void(const policy::GrantSlot &grant)> granted;
        /// The task must stop using its slot at once; the broker has already removed the task.
        std::function<void()> preempted;
    };

    SlotBroker(TimerService &timers, const Clock &clock, SlotBrokerSettings settings);
    ~SlotBroker();
    SlotBroker(const SlotBroker &) = delete;
    SlotBroker &operator=(const SlotBroker &) = delete;

    /// Discards all granted slots and waiting requests; batch handlers are not called. Starts with
    /// unknown loads and with rate buckets that hold no more than the rate tolerance allows,
    /// because another process may just have granted all slots and the whole burst of each
    /// workspace.
    void reset();
    void setDeployment(std::shared_ptr<const DeploymentIndex> deployment);
    /// Sets the upstreams and the share of them and of the rates that this broker grants. \a
    /// readAt: time, not later than the actual one, at which the list was read from the platform.
    void setUpstreams(const std::vector<wire::FleetUpstream> &upstreams, const CapacityShare &share,
                      absl::Time readAt = absl::InfinitePast());
    /// Sets the failure domains whose upstreams get no new requests.
    void setEvacuatedDomains(const std::vector<std::string> &failureDomains);
    /// Notifies the broker that the list of upstreams was read again at \a readAt, without a
    /// change.
    void confirmUpstreams(absl::Time readAt);

    /// Requests a slot. \a callback receives the outcome Waiting when the requester must repeat the
    /// request with SlotRequest::again set.
    void acquire(const wire::SlotRequest &request, ResponseCallback callback);
    void release(const wire::SlotRelease &release);
    /// Origin of a stream that a process of the deployment has begun; nullopt when it is not known.
    std::optional<policy::StreamOrigin> streamOrigin(const std::string &stream) const;
    void recordStream(const std::string &stream, const policy::StreamOrigin &origin);
    /// Records of streams since \a since, at most the newest 4,096.
    std::vector<policy::StreamRecord> streamsSince(absl::Time since) const;
    /// Adopts slots that a process obtained from a previous broker or from its local share, what is
    /// left of its shares of the rate buckets, and the origins of its streams.
    void adoptHeldSlots(const wire::HeldSlots &held);
    /// Charges requests that another broker granted and that this one did not know of.
    void chargeRates(const std::vector<wire::RateCharge> &charges);
    /// Whether the rate of \a workspace is limited.
    bool hasRateLimit(const std::string &workspace) const { return bucket(workspace) != nullptr; }
    /// Names of the workspaces whose rate is limited.
    std::vector<std::string> limitedWorkspaces() const;
    /// Level of the rate bucket of \a workspace, which must have a limit, in requests.
    double rateLevel(const std::string &workspace) const;
    /// Level with which that bucket would start now.
    double initialRateLevel(const std::string &workspace) const;
    /// Sets the level of that bucket.
    void setRateLevel(const std::string &workspace, double level);
    /// The fractions of the rates and slots that this broker grants.
    const CapacityShare &share() const { return m_share; }
    void reportLoad(const wire::UpstreamLoad &load,
                    ReportSource source = ReportSource::OwnResponse);
    /// Whether no request may be sent to the upstream \a id at \a address. Its failure domain is
    /// evacuated; or it announced that it leaves, whatever the list of upstreams shows, which stays
    /// in effect after reset(); or the list has shown it as draining for a short time, in which a
    /// slot may have been granted before that was known.
    bool isLeaving(const std::string &id, const std::string &address) const;
    /// Time of the last announcement of \a upstream; InfinitePast when it is not leaving.
    absl::Time announcedLeavingAt(const std::string &upstream) const;
    /// Sets the listener that is called with the address of an upstream that begins to leave.
    void onUpstreamLeaving(std::function<void(const std::string &address)> listener);
    /// Drops the requests that have accumulated under the limits of the upstreams, because another
    /// broker may have granted them.
    void clearAccumulatedRequests();
    /// Number of upstreams that are cold, as of the last second.
    std::size_t coldUpstreamCount() const { return m_cold.size(); }
    /// See SlotScheduler::warmUpWaits().
    std::uint64_t warmUpWaits() const { return m_scheduler.warmUpWaits(); }
    /// Number of ejections that began with a release for \a reason, of one upstream for all senders
    /// or for one of them.
    std::uint64_t ejectionCount(policy::ReleaseReason reason) const;
    /// See SlotScheduler::ejectedUpstreamCount().
    std::size_t ejectedUpstreamCount() const
    {
        return m_scheduler.ejectedUpstreamCount(m_clock.now());
    }
    /// See SlotScheduler::serviceLoads().
    std::vector<policy::ServiceLoad> serviceLoads() const
    {
        return m_scheduler.serviceLoads(m_clock.now());
    }
    /// Whether the last response of \a upstream named a limit.
    bool hasRequestLimit(const std::string &upstream) const;
    /// Sets the live entries. Reclaims the slots of other processes. An entry may forward the calls
    /// of processes that are cut off from the upstreams.
    void setLiveEntries(std::vector<policy::Forwarder> entries);
    /// Chooses the entry that forwards a call of \a sender to \a upstream, until
    /// releaseForwarder().
    std::optional<policy::Forwarder> chooseForwarder(const std::string &sender,
                                                     const std::string &failureDomain,
                                                     const std::string &upstream);
    /// Ends a call that \a instance forwarded. \a hasFailed: it did not take the call, or lost a
    /// part of the response.
    void releaseForwarder(const std::string &instance, bool hasFailed);
    /// Records whether \a instance is cut off from the upstreams. What it has reported on the
    /// health of upstreams is discarded then.
    void recordLinks(const std::string &instance, bool isCutOff);

    void acquireBatch(const policy::SlotTask &task, BatchHandlers handlers);
    /// \a observer: the process that exchanged bytes with the upstream; see
    /// SlotScheduler::release().
    void releaseBatch(const std::string &task, policy::ReleaseReason reason,
                      const std::string &observer = {});
    void cancelBatch(const std::string &task);

    /// Explains where \a request would be routed if it arrived now. Changes nothing. A request that
    /// resumes a stream must have its version. With \a kind Batch, the request is a batch item: it
    /// is charged to no rate, and its result is due request.deadlineMs after its arrival.
    policy::PlacementExplanation explain(const wire::SlotRequest &request,
                                         policy::TaskKind kind = policy::TaskKind::Online) const;

    const policy::SlotScheduler &scheduler() const { return m_scheduler; }

private:
    struct OnlineRequest
    {
        std::string instance;
        std::string workspace;
        /// Empty for a request that cannot be resumed.
        std::string stream;
        std::string service;
        std::string failureDomain;
        bool chargesRate = false;
        bool needsForwarder = false;
        bool isGranted = false;
        /// Instance that forwards the call; empty when none does.
        std::string forwarder;
        absl::Time requestedAt;
        absl::Time expires;
        /// Null while no request is pending, between an outcome Waiting and the repeated request.
        ResponseCallback callback;
        /// Decision that was made while no request was pending; returned to the repeated request.
        std::optional<wire::SlotResponse> pendingResponse;
        TimerService::TimerId waitTimer = 0;
    };

    /// A resumption of which the version is not recorded.
    struct AwaitingRead
    {
        wire::SlotRequest request;
        absl::Time arrivedAt;
        /// It is rejected at this time.
        absl::Time until;
    };

    void applyUpstreams();
    bool limitsWarmUps() const;
    void applyWarmUp();
    policy::WarmUpSettings warmUpOf(const std::string &service) const;
    void reportCold(const wire::UpstreamLoad &load);
    void updateCold();
    void logWarmUp(std::string_view event, const policy::ColdUpstream &upstream) const;
    bool endLeaving(absl::Time readAt);
    bool recordLeaving(const wire::UpstreamLoad &load, ReportSource source);
    policy::TokenBucket *bucket(const std::string &workspace);
    const policy::TokenBucket *bucket(const std::string &workspace) const;
    std::optional<absl::Duration> tokenWait(absl::Time now, const wire::SlotRequest &request) const;
    policy::RateContract contractOf(const Workspace &workspace) const;
    bool isFromFormerBroker(const wire::RateCharge &charge) const;
    void addShare(const wire::RateCharge &charge);
    void refundRate(const std::string &id);
    void releaseSlot(const std::string &task, policy::ReleaseReason reason,
                     const std::string &observer);
    void decide();
    void applyDecision(const policy::GrantSlot &decision);
    void applyDecision(const policy::RejectSlot &decision);
    void applyDecision(const policy::PreemptSlot &decision);
    void rejectOverRate(const std::string &id, absl::Duration wait);
    void reject(const std::string &id, wire::SlotOutcome outcome, absl::Duration retryAfter);
    absl::Duration resumptionWindow() const;
    std::optional<policy::StreamOrigin> recordedOrigin(const wire::SlotRequest &request) const;
    std::optional<policy::StreamOrigin> onlyOrigin(const wire::SlotRequest &request) const;
    void awaitRead(const std::string &id, const wire::SlotRequest &request);
    void resumeAfterRead();
    policy::SlotTask taskOf(absl::Time now, const std::string &id, const wire::SlotRequest &request,
                            const std::optional<policy::StreamOrigin> &origin) const;
    void schedule(const std::string &id, const wire::SlotRequest &request,
                  const std::optional<policy::StreamOrigin> &origin);
    void respond(const std::string &id, wire::SlotResponse response);
    void startWaitTimer(const std::string &id);
    void removeRequest(const std::string &id);
    policy::TokenBucket initialBucket(const policy::RateContract &contract) const;
    void armTimer();
    void sweep();
    void logLoads() const;
    void recordDraining(const std::vector<wire::FleetUpstream> &upstreams);
    bool isNewlyDraining(const std::string &id, const std::string &address) const;

    TimerService &m_timers;
    const Clock &m_clock;
    const SlotBrokerSettings m_settings;
    policy::SlotScheduler m_scheduler;
    /// The list of upstreams, as the platform shows it.
    std::vector<policy::SlotUpstream> m_upstreams;
    std::set<std::string> m_evacuatedDomains;
    /// Ids of the upstreams in these domains.
    std::set<std::string> m_evacuatedUpstreams;
    /// Time in milliseconds for which the list shows its upstreams as cold, by id.
    std::map<std::string, std::int64_t> m_listedCold;
    absl::Time m_listReadAt = absl::InfinitePast();
    /// Whether the configuration limits the requests to cold upstreams of some service.
    bool m_limitsWarmUps = false;
    /// Upstreams that were cold when this was last checked, by id.
    std::map<std::string, policy::ColdUpstream> m_cold;
    policy::LeavingUpstreams m_leaving;
    struct DrainingUpstream
    {
        std::string address;
        /// When this process received the first list that shows it as draining.
        absl::Time since;
    };
    /// Upstreams that the list shows as draining, by id.
    std::map<std::string, DrainingUpstream> m_draining;
    /// Unlike the slots, these stay when another process becomes the broker.
    policy::StreamOrigins m_streamOrigins{policy::StreamOriginSettings()};
    policy::VersionHistory m_versions;
    std::function<void(const std::string &)> m_leavingListener;
    std::shared_ptr<const DeploymentIndex> m_deployment;
    CapacityShare m_share;
    std::map<std::string, policy::TokenBucket> m_buckets;
    /// Time of the last reset().
    absl::Time m_resetAt = absl::InfinitePast();
    /// Instances that have reported held slots since then.
    std::set<std::string> m_reporters;
    policy::ForwarderSelector m_forwarders{m_settings.scheduler.turnSeed};
    /// By task id.
    std::map<std::string, OnlineRequest> m_online;
    /// By task id; a subset of m_online.
    std::map<std::string, AwaitingRead> m_awaitingRead;
    std::map<std::string, BatchHandlers> m_batch;
    std::map<policy::ReleaseReason, std::uint64_t> m_ejectionCounts;
    TimerService::TimerId m_decisionTimer = 0;
    TimerService::TimerId m_sweepTimer = 0;
    bool m_deciding = false;
};

} // namespace rattanrill::serving
