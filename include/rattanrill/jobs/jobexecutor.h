#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/base/metrics.h"
#include "rattanrill/fleet/groupreplica.h"
#include "rattanrill/net/eventloop.h"
#include "rattanrill/serving/bufferbudget.h"
#include "rattanrill/serving/crashguard.h"
#include "rattanrill/serving/deployment.h"
#include "rattanrill/serving/protocoladapter.h"
#include "rattanrill/serving/slotbroker.h"
#include "rattanrill/serving/upstreamcaller.h"
#include "rattanrill/wire/jobmessages.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::jobs {

/// Dependencies of the executor. All members outlive it.
struct JobExecutorContext
{
    net::EventLoop &loop;
    const Clock &clock;
    Metrics &metrics;
    const serving::ProtocolAdapter &protocol;
    serving::UpstreamCaller &upstreams;
    serving::SlotBroker &broker;
    serving::CrashGuard &crashGuard;
    fleet::GroupReplica &replica;
    std::string instance;
    std::string failureDomain;
    /// Age of the list of upstreams by which slots are granted, infinite if unknown; for log lines.
    std::function<absl::Duration()> upstreamListAge = [] { return absl::InfiniteDuration(); };
    /// Bytes of outputs that all items of the process hold together.
    std::shared_ptr<serving::BufferBudget> buffers = std::make_shared<serving::BufferBudget>();
    /// Time from its acceptance for which a job is kept, even if it has ended.
    absl::Duration jobRetention = absl::Minutes(10);
};

/// Numbers of items without a result, by what they do.
struct OpenItemCounts
{
    /// Items that wait for a slot, or for the first configuration.
    std::int64_t waiting = 0;
    std::int64_t running = 0;
    /// Items that wait after a failed attempt.
    std::int64_t backingOff = 0;
    /// Items of any of these states that wait because they crash upstreams.
    std::int64_t held = 0;
};

/// What an open item needs before it makes progress.
enum class ItemWait {
    /// The first configuration.
    Configuration,
    Slot,
    /// The next event of the response.
    Response,
    /// The end of the delay after a failed attempt.
    Backoff,
    /// The end of a block, because upstreams crashed under it.
    BlockEnd,
    /// That the store has the last failure.
    FailureStored,
};

std::string_view name(ItemWait wait);

/// An open item without progress.
struct StalledItem
{
    std::string job;
    std::string item;
    ItemWait waitsFor = ItemWait::Slot;
    /// Time since the last event, or since this executor got the item.
    absl::Duration stalledFor;
    int attempts = 0;
    /// The service, version and sender of the last request for a slot.
    std::string service;
    /// Empty if any version can run the item.
    std::string version;
    /// Empty if the request would be forwarded.
    std::string sender;
};

/// The open items without progress.
struct StalledItems
{
    std::int64_t count = 0;
    /// Those that have been without progress for the longest time.
    std::vector<StalledItem> longest;
};

/// Runs the items of open jobs on the leader of the store group. An item whose slot is preempted
/// resumes after its last event when it is granted another slot. Used on the event loop only.
class JobExecutor
{
public:
    explicit JobExecutor(const JobExecutorContext &context);
    ~JobExecutor();
    JobExecutor(const JobExecutor &) = delete;
    JobExecutor &operator=(const JobExecutor &) = delete;

    /// Sets the configuration by which items run. No item starts before the first call. Items of a
    /// route that the configuration does not contain are dead-lettered.
    void setDeployment(std::shared_ptr<const serving::DeploymentIndex> deployment);
    /// Sets the listener that is called with the id of a job after a result of the job was stored.
    void onResultStored(std::function<void(const std::string &job)> listener);
    /// Adds the items of an accepted job that are not contained yet, except those with a result and
    /// those of a job that was cancelled under this leadership. Returns their number.
    std::int64_t add(const wire::OpenJob &job);
    /// Adds a job that has just been accepted, also if an earlier one with its id was cancelled.
    void addAccepted(const wire::JobRecord &job);
    /// Whether the executor has items of \a job that have not ended, or results of it that are not
    /// stored yet.
    bool contains(const std::string &job) const;
    /// Whether the executor has items of \a job that have not ended.
    bool runs(const std::string &job) const;
    /// Numbers of items that have not ended or whose results are not stored yet, by job.
    std::map<std::string, std::int64_t> itemCounts() const;
    /// Stops the items of a job that was ended.
    void cancel(const std::string &job);
    /// Stops all items, because this replica no longer leads the store group.
    void stopAll();
    /// Number of items that have not ended yet.
    std::size_t openItemCount() const;
    OpenItemCounts openItemCounts() const;
    /// Items without progress for at least \a minStall. Describes at most \a maxDescribed of them.
    StalledItems stalledItems(absl::Duration minStall, std::size_t maxDescribed) const;

private:
    struct Impl;

    std::shared_ptr<Impl> m_impl;
};

} // namespace rattanrill::jobs
