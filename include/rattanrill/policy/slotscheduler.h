#pragma once

#include "rattanrill/policy/fairqueue.h"
#include "rattanrill/policy/outlierdetector.h"
#include "rattanrill/policy/task.h"

#include "absl/time/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace rattanrill::policy {

/// An upstream with the number of requests that it runs at once.
struct SlotUpstream
{
    std::string id;
    std::string service;
    std::string address;
    std::string failureDomain;
    std::int64_t slots = 1;
    bool leaving = false;
};

/// A request that wants a place at an upstream.
struct SlotTask
{
    /// Unique among open works.
    std::string id;
    std::string service;
    std::string workspace;
    /// Of the process that will send it.
    std::string failureDomain;
    TaskKind kind = TaskKind::Online;
    /// 0 is served first.
    int priority = 0;
    /// Tokens that it is expected to cost, for fairness between workspaces.
    double tokens = 1;
    /// Online: refused without a place by then. Batch: due time, the earliest goes first.
    absl::Time deadline = absl::InfiniteFuture();
    /// Batch: time for which it held places before; what it has produced is kept.
    absl::Duration priorRunTime;
    /// Longest Retry-After that its caller can use.
    absl::Duration maxRetryAfter = absl::InfiniteDuration();
    /// Upstreams that it was sent to before.
    std::vector<std::string> excluded;
};

/// How a work left its place, as far as it says something of the upstream.
enum class ReleaseReason {
    Completed,
    /// The work was given up, which says nothing.
    Cancelled,
    /// The upstream refused, broke off or was silent.
    Failed,
    /// Nothing, or another upstream, answers at the address.
    Unreachable,
};

std::string_view name(ReleaseReason end);
std::optional<ReleaseReason> releaseReasonFromName(std::string_view name);

/// The work may be sent to the upstream.
struct GrantSlot
{
    std::string task;
    std::string upstream;
    std::string address;
};

/// No place will be free in time; the table has forgotten the work.
struct RejectSlot
{
    std::string task;
    absl::Duration retryAfter;
};

/// The batch work must leave its place at once; the table has forgotten it, and its owner asks
/// again.
struct PreemptSlot
{
    std::string task;
};

using SlotDecision = std::variant<GrantSlot, RejectSlot, PreemptSlot>;

struct SlotSchedulerSettings
{
    OutlierSettings outlier;
    /// Time that an online request holds a place, used until some have ended.
    absl::Duration expectedHold = absl::Milliseconds(700);
    /// Shortest Retry-After of a refusal for want of a place.
    absl::Duration minRetryAfter = absl::Milliseconds(300);
    /// Share of the places that are expected to be free for callers that return.
    double retryShare = 0.5;
    /// A report of requests at an upstream that this table did not place counts for this long.
    absl::Duration reportLifetime = absl::Seconds(1);
    /// Places at each upstream that batch work leaves free.
    std::int64_t onlineReserve = 0;
    /// For this long after begin(), requests of a process that is gone may still run somewhere.
    absl::Duration takeoverGracePeriod = absl::Milliseconds(1500);
    /// Requests that an upstream runs at once in that time before its first report.
    int probes = 2;
};

/// Who gets which place at the upstreams, of all requests of a deployment. Upstreams admit in order
/// of arrival and know no priorities, so work waits here and an upstream gets no more than it runs
/// at once.
///
/// Load patterns: a pulse of online requests above all places meets places that batch work fills
/// (batch yields at once, what has the least behind it first); pulse after pulse over a long batch
/// queue (interrupted items go on before new ones start, so that places finish items instead of
/// beginning them); more batch work than can be done in time (what is late anyway goes behind what
/// is not); online load above all places (refused at once when the wait would be too long, with
/// returns spread over the time in which places become free); one workspace's surge (order between
/// workspaces by tokens served); requests of a sender that is gone, which their upstreams still run
/// (places shrink by what upstreams report beyond the own work); a table that follows another one
/// (the places that are held are adopted, and upstreams are probed until they have reported). Apart
/// from input and output; not thread-safe.
class SlotScheduler
{
public:
    explicit SlotScheduler(SlotSchedulerSettings settings);

    /// Another table has given out places until now.
    void beginTakeover(absl::Time now);
    /// Replaces the list. Works on upstreams that left it keep their places until released.
    void setUpstreams(const std::vector<SlotUpstream> &upstreams);
    void request(absl::Time now, const SlotTask &task);
    /// The work holds a place that another table granted. Nothing changes when the upstream is not
    /// listed or the work is known.
    void adopt(absl::Time now, const SlotTask &task, const std::string &upstream);
    /// The work has left its place.
    void release(absl::Time now, const std::string &task, ReleaseReason end);
    /// The work's caller no longer wants a place; a held one is released.
    void cancel(const std::string &task);
    /// The upstream says that it has \a requests, from all senders.
    void loadReported(absl::Time now, const std::string &upstream, std::int64_t requests);
    /// Decisions due at \a now, to be carried out in order.
    std::vector<SlotDecision> decide(absl::Time now);
    /// Latest time for the next decide() when nothing else happens.
    absl::Time nextDecision() const;

    std::size_t waiting(const std::string &service, TaskKind kind) const;
    std::size_t runningCount(const std::string &service, TaskKind kind) const;
    /// Places of all upstreams of a service that take new work.
    std::int64_t slotCount(const std::string &service) const;
    bool contains(const std::string &task) const { return m_items.count(task) != 0; }

private:
    struct Upstream;

    enum class Queue {
        None,
        Online,
        Batch,
        /// Batch work that has lost its place.
        Interrupted,
        /// Batch work that can't be done in time.
        Late,
    };

    struct Item
    {
        SlotTask task;
        TaskId number = 0;
        Queue queue = Queue::None;
        /// Counted in the probes of its upstream.
        bool isProbe = false;
        /// Null while waiting.
        Upstream *upstream = nullptr;
        /// When it came or, with a place, when it got it.
        absl::Time since;
    };

    struct Upstream
    {
        SlotUpstream info;
        OutlierDetector outlier{OutlierSettings()};
        bool removed = false;
        std::set<Item *> online;
        std::set<Item *> batch;
        /// Requests that are not of this table, by the last two reports. A report may still count
        /// work that has just left, so the lower one holds.
        struct Report
        {
            absl::Time at = absl::InfinitePast();
            std::int64_t foreign = 0;
        };
        std::array<Report, 2> reports;
        /// Requests of this table that it got before its first report since begin(), and still
        /// runs.
        int probes = 0;

        std::int64_t held() const
        {
            return static_cast<std::int64_t>(online.size() + batch.size());
        }
    };

    struct Service
    {
        std::vector<Upstream *> upstreams;
        /// Online work by priority.
        std::map<int, FairQueue> online;
        FairQueue batch;
        std::vector<Item *> interrupted;
        FairQueue late;
        /// Batch works that got a place since the last one of the late queue.
        int grantsSinceLate = 0;
        std::size_t onlineWaiting = 0;
        std::size_t batchWaiting = 0;
        absl::Duration meanHold;
        /// Time that a batch work holds places from its start to its end; zero until one has ended.
        absl::Duration meanBatchHold;
        /// When the last refused caller was asked to return.
        absl::Time lastRetryAt = absl::InfinitePast();
    };

    Service &service(const std::string &name);
    Item *itemOf(TaskId number);
    void enqueue(absl::Time now, Service &service, Item &item);
    void enqueueLate(Service &service, Item &item);
    bool isLate(absl::Time now, const Service &service, const Item &item) const;
    void moveLate(absl::Time now, Service &service);
    Item *nextBatch(absl::Time now, Service &service);
    bool isOverfull(absl::Time now, const Upstream &upstream) const;
    std::int64_t unprobedSlots(absl::Time now, const Service &service) const;
    bool isLoadUnknown(absl::Time now, const Upstream &upstream) const;
    Upstream *freeUpstream(absl::Time now, const Service &service, const Item &item) const;
    Upstream *yieldingUpstream(absl::Time now, const Service &service, const Item &item) const;
    std::int64_t foreign(absl::Time now, const Upstream &upstream) const;
    bool takes(absl::Time now, const Upstream &upstream, const Item &item) const;
    void decideOnline(absl::Time now, Service &service);
    void decideBatch(absl::Time now, Service &service);
    void refuseHopeless(absl::Time now, Service &service);
    void refuseOverdue(absl::Time now);
    void refuse(absl::Time now, Service &service, Item &item);
    void yieldOne(absl::Time now, Upstream &upstream);
    void grant(absl::Time now, Service &service, Item &item, Upstream &upstream);
    void dequeue(Service &service, Item &item);
    void leaveSlot(Item &item);
    void forget(Item &item);
    absl::Duration spacing(const Service &service) const;

    const SlotSchedulerSettings m_settings;
    std::map<std::string, std::unique_ptr<Upstream>> m_upstreams;
    std::map<std::string, Service> m_services;
    std::map<std::string, std::unique_ptr<Item>> m_items;
    std::map<TaskId, Item *> m_numbers;
    /// Online works that wait, by due time.
    std::set<std::pair<absl::Time, TaskId>> m_onlineDue;
    absl::Time m_takeoverAt = absl::InfinitePast();
    TaskId m_nextNumber = 1;
    std::vector<SlotDecision> m_decisions;
};

} // namespace rattanrill::policy
