#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/base/timerservice.h"
#include "rattanrill/policy/slotscheduler.h"
#include "rattanrill/policy/tokenbucket.h"
#include "rattanrill/serving/deployment.h"
#include "rattanrill/wire/fleetmessages.h"

#include "absl/time/time.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rattanrill::serving {

struct SlotBrokerSettings
{
    policy::SlotSchedulerSettings table;
    /// What the contracts' count may exceed in a window, as the deployment allows: a share of rate
    /// and burst, and requests beside. A broker that follows another one starts with as much, half
    /// of it for a second change in the same window.
    absl::Duration rateWindow = absl::Seconds(5);
    double rateToleranceFraction = 0;
    double rateToleranceRequests = 0;
    /// Share of a request's latency objective for which it may wait for a place; the rest is for
    /// the way to the upstream and its first event.
    double waitShare = 0.7;
    /// Retry-After is at most this share of the time that the caller has left.
    double maxRetryAfterFraction = 0.3;
    /// A request that waits for a place is told so after this long, and asks again.
    absl::Duration waitSlice = absl::Milliseconds(40);
    /// A place is taken back this long after its request's deadline, when its holder is silent.
    absl::Duration releaseSlack = absl::Seconds(2);
};

/// What a broker gives out.
struct CapacityShare
{
    /// Part of each workspace's rate.
    double rateFraction = 1;
    /// Part of each upstream's places.
    double slotFraction = 1;
};

/// Gives out the places at the upstreams and charges the workspaces' rates. One process of the
/// deployment gives out all of them; an entry that can't reach it uses a broker of its own over its
/// share. Used on the event loop only.
class SlotBroker
{
public:
    using ResponseCallback = std::function<void(const wire::SlotResponse &)>;

    /// How batch work learns of its place.
    struct BatchHandlers
    {
        std::function<void(const std::string &upstream, const std::string &address)> granted;
        /// The work must leave its place at once; the broker has forgotten it.
        std::function<void()> preempted;
    };

    SlotBroker(TimerService &timers, const Clock &clock, SlotBrokerSettings settings);
    ~SlotBroker();
    SlotBroker(const SlotBroker &) = delete;
    SlotBroker &operator=(const SlotBroker &) = delete;

    /// Forgets all places and starts with empty rate buckets and unknown loads: another process may
    /// have given out everything just now.
    void reset();
    void setDeployment(std::shared_ptr<const DeploymentIndex> deployment);
    /// What this broker gives out.
    void setUpstreams(const std::vector<wire::FleetUpstream> &upstreams,
                      const CapacityShare &share);

    /// The answer says Waiting when the request has to ask again.
    void acquire(const wire::SlotRequest &request, ResponseCallback answer);
    void release(const wire::SlotRelease &release);
    /// Places that a process got from a former broker or from its own share.
    void restoreHeldSlots(const wire::HeldSlots &held);
    void updateLoad(const wire::UpstreamLoad &load);
    /// Takes back the places of processes that are not in \a instances.
    void setLiveInstances(const std::vector<std::string> &instances);

    void acquireBatch(const policy::SlotTask &task, BatchHandlers handlers);
    void releaseBatch(const std::string &task, policy::ReleaseReason end);
    void cancelBatch(const std::string &task);

    const policy::SlotScheduler &table() const { return m_table; }

private:
    struct Online
    {
        std::string instance;
        std::string workspace;
        bool chargesRate = false;
        bool isGranted = false;
        absl::Time expires;
        /// Null between two questions of the asker.
        ResponseCallback answer;
        /// What was decided between two questions.
        std::optional<wire::SlotResponse> decided;
        TimerService::TimerId sliceTimer = 0;
    };

    policy::TokenBucket *bucket(const std::string &workspace);
    policy::RateContract contractOf(const Workspace &workspace) const;
    void decide();
    void carryOut(const policy::GrantSlot &decision);
    void carryOut(const policy::RejectSlot &decision);
    void carryOut(const policy::PreemptSlot &decision);
    void refuseRate(const std::string &id, absl::Duration wait);
    void give(const std::string &id, const wire::SlotResponse &response);
    void startSlice(const std::string &id);
    void forget(const std::string &id);
    policy::TokenBucket freshBucket(const policy::RateContract &contract) const;
    void armTimer();
    void sweep();

    TimerService &m_timers;
    const Clock &m_clock;
    const SlotBrokerSettings m_settings;
    policy::SlotScheduler m_table;
    std::shared_ptr<const DeploymentIndex> m_deployment;
    CapacityShare m_share;
    std::map<std::string, policy::TokenBucket> m_buckets;
    /// By work id.
    std::map<std::string, Online> m_online;
    std::map<std::string, BatchHandlers> m_batch;
    TimerService::TimerId m_decisionTimer = 0;
    TimerService::TimerId m_sweepTimer = 0;
    bool m_deciding = false;
};

} // namespace rattanrill::serving
