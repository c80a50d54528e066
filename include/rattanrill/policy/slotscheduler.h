#pragma once

#include "rattanrill/policy/fairqueue.h"
#include "rattanrill/policy/requestlimit.h"
#include "rattanrill/policy/task.h"
#include "rattanrill/policy/upstreamhealth.h"

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

/// An upstream with its slots. A slot is the capacity to run one request.
struct SlotUpstream
{
    std::string id;
    std::string service;
    std::string address;
    std::string failureDomain;
    /// Number of requests that the upstream runs concurrently.
    std::int64_t slots = 1;
    /// A leaving upstream gets no new tasks.
    bool leaving = false;
    /// Version of the upstream's software.
    std::string version{};
};

/// A request that needs a slot at an upstream.
struct SlotTask
{
    /// Unique among all waiting and running tasks.
    std::string id;
    std::string service;
    std::string workspace;
    /// Failure domain of the process that will send the request.
    std::string failureDomain;
    /// Process that will send the request, whose links to the upstreams matter; empty when it is
    /// not known yet.
    std::string sender;
    TaskKind kind = TaskKind::Online;
    /// Priority of an online task; 0 is served first.
    int priority = 0;
    /// Expected cost in tokens, for fairness between workspaces.
    double expectedTokens = 1;
    /// Online: time at which the task is rejected when it has no slot. Batch: time by which the
    /// task must be completed; the earliest deadline goes first.
    absl::Time deadline = absl::InfiniteFuture();
    /// Batch: time for which the task held slots before. The output of that time is kept.
    absl::Duration priorRunTime;
    /// Longest Retry-After that the caller can use.
    absl::Duration maxRetryAfter = absl::InfiniteDuration();
    /// Ids of the upstreams that the request was sent to before, which it must not be sent to
    /// again.
    std::vector<std::string> excluded;
    /// Version of the upstreams that can continue the task's output; absent when any version can
    /// run it. An online task gets no slot at another version. A batch task does once no upstream
    /// of the version accepts tasks, and must then start again.
    std::optional<std::string> version{};
};

/// How a task left its slot, as far as this indicates the health of the upstream.
enum class ReleaseReason {
    Completed,
    /// The task was cancelled, which indicates nothing about the upstream.
    Cancelled,
    /// The upstream refused the request, broke off its response or did not respond.
    Failed,
    /// Nothing responds at the address, or another upstream does.
    Unreachable,
    /// A new connection was neither accepted nor refused in time. A broker of an earlier version
    /// does not know the name and treats it as Cancelled.
    Unanswered,
};

std::string_view name(ReleaseReason reason);
std::optional<ReleaseReason> releaseReasonFromName(std::string_view name);

/// The task may be sent to the upstream.
struct GrantSlot
{
    std::string task;
    std::string upstream;
    std::string address;
    /// Version of the upstream's software.
    std::string version;
};

/// No slot will be free in time. The scheduler has removed the task.
struct RejectSlot
{
    std::string task;
    absl::Duration retryAfter;
    /// No upstream of the task's version accepts tasks.
    bool isVersionGone = false;
};

/// The batch task must leave its slot at once. The scheduler has removed the task, and its owner
/// requests a slot again.
struct PreemptSlot
{
    std::string task;
};

/// The upstream gets no tasks until the ejection ends.
struct SlotEjection
{
    std::string upstream;
    /// The observer for whose tasks the ejection applies; empty when it applies to all tasks.
    std::string observer;
    /// Number of observers that have failed at the upstream since its last success.
    std::size_t failedObservers = 0;
    absl::Duration length;
    /// Number of tasks that hold slots there, including the one whose end caused the ejection.
    std::int64_t runningTasks = 0;
};

/// A decision that the caller of SlotScheduler carries out.
using SlotDecision = std::variant<GrantSlot, RejectSlot, PreemptSlot>;

/// Settings of SlotScheduler.
struct SlotSchedulerSettings
{
    OutlierSettings outlier;
    RequestLimitSettings requestLimit;
    /// Initial estimate of the time for which an online request holds a slot, corrected as requests
    /// complete.
    absl::Duration initialHoldTime = absl::Milliseconds(700);
    /// Shortest Retry-After of a task that is rejected because no slot is free in time.
    absl::Duration minRetryAfter = absl::Milliseconds(300);
    /// Fraction of the slots that become free which is assumed to be available to callers that
    /// retry.
    double retryShare = 0.5;
    /// Time for which a load report counts as evidence of requests at an upstream that did not get
    /// their slot from this scheduler.
    absl::Duration reportLifetime = absl::Seconds(1);
    /// Number of slots at each upstream that batch tasks leave free.
    std::int64_t onlineReserve = 0;
    /// Time after beginTakeover() for which requests of a process that no longer exists may still
    /// run at upstreams.
    absl::Duration takeoverGracePeriod = absl::Milliseconds(1500);
    /// Maximum number of requests that run at an upstream as probes, that is, were sent within
    /// takeoverGracePeriod and before the upstream's first load report.
    int maxProbes = 2;
};

/// Assigns the slots of all upstreams to the requests of a deployment. Upstreams admit requests in
/// order of arrival and have no priorities, so tasks wait here and an upstream gets only as many
/// requests as it runs concurrently.
///
/// The class is designed for these load patterns:
///
/// - A burst of online requests exceeds all slots while batch tasks fill them: batch tasks are
///   preempted at once, those with the least run time first.
/// - Bursts follow each other while the batch queue is long: interrupted items resume before new
///   ones start, so that slots complete items instead of starting them.
/// - More batch tasks exist than can be completed in time: tasks that miss their deadline in any
///   case go behind those that do not.
/// - The online load exceeds all slots: tasks whose wait would be too long are rejected at once,
///   with their retries spread over the time in which slots become free.
/// - One workspace sends a surge: workspaces are ordered by tokens served.
/// - Upstreams still run requests of a sender that no longer exists: the available slots are
///   reduced by the requests that upstreams report beyond those of this scheduler.
/// - An upstream accepts fewer requests than its slots could run: it gets no more than its limit,
///   and the others get the rest.
/// - Streams of two versions are broken off while new ones fill all slots: a task that continues a
///   stream gets the next slot at its version, before any new task.
/// - Some senders lose their links to all upstreams: what they report ejects no upstream for the
///   others.
/// - This scheduler takes over from another one: held slots are adopted, and upstreams get only a
///   few requests as probes until they have reported their load.
///
/// Performs no input or output. Not thread-safe.
class SlotScheduler
{
public:
    explicit SlotScheduler(SlotSchedulerSettings settings);

    /// Begins the takeover from another scheduler, which may have granted slots until \a now.
    void beginTakeover(absl::Time now);
    /// Replaces the list of upstreams. Tasks on upstreams that left the list keep their slots until
    /// they are released.
    void setUpstreams(const std::vector<SlotUpstream> &upstreams);
    /// Adds a task that waits for a slot. Replaces a task with the same id, as if it were
    /// cancelled.
    void request(absl::Time now, const SlotTask &task);
    /// Adds a task that holds a slot granted by another scheduler. Does nothing when the upstream
    /// is not listed or a task with the same id exists.
    void adopt(absl::Time now, const SlotTask &task, const std::string &upstream);
    /// Reports that the task has left its slot. Cancels the task when it still waits. Returns the
    /// ejection of the task's upstream when it begins with this release. \a observer: the process
    /// that exchanged bytes with the upstream; the task's sender when it is empty.
    std::optional<SlotEjection> release(absl::Time now, const std::string &task,
                                        ReleaseReason reason, const std::string &observer = {});
    /// Discards all that \a observer has reported on the health of upstreams, because it is cut off
    /// from all of them.
    void discardReports(absl::Time now, const std::string &observer);
    /// Whether \a upstream gets no tasks of \a sender because of failures.
    bool isEjectedFor(absl::Time now, const std::string &upstream, const std::string &sender) const;
    /// Removes a task whose caller no longer needs a slot. Releases the slot that the task holds.
    void cancel(const std::string &task);
    /// Reports the number of requests at the upstream, from all senders.
    void loadReported(absl::Time now, const std::string &upstream, std::int64_t requests);
    /// Reports the limit, in requests per second, that a response of the upstream named, or that it
    /// named none. Returns true when this changes the limit.
    bool limitReported(absl::Time now, const std::string &upstream, std::optional<double> limit);
    /// Drops the requests that have accumulated under the limits of all upstreams.
    void clearAccumulatedRequests(absl::Time now);
    /// The limit of the upstream in requests per second; absent when it has none.
    std::optional<double> requestLimit(absl::Time now, const std::string &upstream) const;
    /// Returns the decisions due at \a now, to be carried out in order.
    std::vector<SlotDecision> decide(absl::Time now);
    /// Latest time for the next call of decide() when no event occurs before. Does not take into
    /// account when ejections and takeoverGracePeriod end, so decide() must also be called at
    /// regular intervals.
    absl::Time nextDecision() const;

    std::size_t waiting(const std::string &service, TaskKind kind) const;
    std::size_t running(const std::string &service, TaskKind kind) const;
    /// Number of slots of all upstreams of a service that accept new tasks.
    std::int64_t slotCount(const std::string &service) const;
    bool contains(const std::string &task) const { return m_items.count(task) != 0; }

private:
    struct Upstream;

    enum class Queue {
        None,
        Online,
        /// Online tasks that need an upstream of a certain version.
        Bound,
        Batch,
        /// Batch tasks that were preempted.
        Interrupted,
        /// Batch tasks that cannot be completed before their deadline.
        Late,
    };

    /// A task that waits in a queue or holds a slot.
    struct Item
    {
        SlotTask task;
        TaskId number = 0;
        Queue queue = Queue::None;
        /// Whether the task is counted in the probes of its upstream.
        bool isProbe = false;
        /// Null while waiting.
        Upstream *upstream = nullptr;
        /// Time of arrival or, for a task with a slot, time at which the slot was granted.
        absl::Time since;
    };

    struct Upstream
    {
        SlotUpstream info;
        UpstreamHealth health{OutlierSettings()};
        RequestLimit limit{RequestLimitSettings()};
        bool removed = false;
        std::set<Item *> online;
        std::set<Item *> batch;
        /// Requests without a slot from this scheduler, as of the last two load reports. A report
        /// may still count tasks that have just ended, so the lower of the two is used.
        struct Report
        {
            absl::Time at = absl::InfinitePast();
            std::int64_t foreignRequests = 0;
        };
        std::array<Report, 2> reports;
        /// Requests from this scheduler that the upstream got before its first load report since
        /// beginTakeover() and still runs.
        int probes = 0;

        std::int64_t occupiedSlots() const
        {
            return static_cast<std::int64_t>(online.size() + batch.size());
        }
    };

    struct Service
    {
        std::vector<Upstream *> upstreams;
        /// Versions of the upstreams that are not leaving.
        std::set<std::string> versions;
        /// Waiting online tasks with a version, by priority and order of arrival.
        std::set<std::pair<int, TaskId>> bound;
        /// Whether a bound task or the list of upstreams is new since it was last checked which
        /// tasks' versions are gone.
        bool hasUncheckedVersions = false;
        /// Waiting online tasks by priority.
        std::map<int, FairQueue> online;
        FairQueue batch;
        std::vector<Item *> interrupted;
        FairQueue late;
        /// Number of batch tasks that got a slot since the last task of the late queue did.
        int grantsSinceLate = 0;
        std::size_t onlineWaiting = 0;
        std::size_t batchWaiting = 0;
        /// Mean time for which an online task holds its slot.
        absl::Duration meanHoldTime;
        /// Mean time for which a batch task holds slots from its start to its end; zero until one
        /// has completed.
        absl::Duration meanBatchHoldTime;
        /// Time at which the last rejected caller may retry.
        absl::Time lastRetryAt = absl::InfinitePast();
    };

    Service &service(const std::string &name);
    Item *itemOf(TaskId number);
    void enqueue(absl::Time now, Service &service, Item &item);
    void enqueueLate(Service &service, Item &item);
    bool isLate(absl::Time now, const Service &service, const Item &item) const;
    void moveLateTasks(absl::Time now, Service &service);
    Item *nextBatch(absl::Time now, Service &service);
    bool isOvercommitted(absl::Time now, const Upstream &upstream) const;
    std::int64_t withheldSlots(absl::Time now, const Service &service) const;
    bool isLoadUnknown(absl::Time now, const Upstream &upstream) const;
    Upstream *freeUpstream(absl::Time now, const Service &service, const Item &item) const;
    Upstream *preemptibleUpstream(absl::Time now, const Service &service, const Item &item) const;
    std::int64_t foreignRequests(absl::Time now, const Upstream &upstream) const;
    bool accepts(absl::Time now, const Service &service, const Upstream &upstream,
                 const Item &item) const;
    bool isBound(const Service &service, const SlotTask &task) const;
    static bool isExcluded(const Upstream &upstream, const Item &item);
    bool isVersionGone(const Service &service, const Item &item) const;
    bool hasFreeSlot(absl::Time now, const Upstream &upstream, const SlotTask &task) const;
    bool hasRoom(absl::Time now, const Upstream &upstream, double share,
                 std::int64_t reserve) const;
    std::set<std::string> freeBatchVersions(absl::Time now, const Service &service,
                                            const std::string &sender) const;
    bool mayTakeOnline(absl::Time now, const Upstream &upstream) const;
    std::vector<const Upstream *> openUpstreams(absl::Time now, const Service &service) const;
    void decideBound(absl::Time now, Service &service);
    bool grantOnline(absl::Time now, Service &service, Item &item);
    void decideOnline(absl::Time now, Service &service);
    void decideBatch(absl::Time now, Service &service);
    void rejectUnservable(absl::Time now, Service &service);
    void rejectExpired(absl::Time now);
    void reject(absl::Time now, Service &service, Item &item);
    void preemptOne(absl::Time now, Upstream &upstream);
    void grant(absl::Time now, Service &service, Item &item, Upstream &upstream);
    void dequeue(Service &service, Item &item);
    std::optional<SlotEjection> recordHealth(absl::Time now, Upstream &upstream,
                                             ReleaseReason reason, const std::string &observer);
    void releaseSlot(Item &item);
    void removeItem(Item &item);
    absl::Duration slotReleaseInterval(absl::Time now, const Service &service) const;
    absl::Time nextAllowedRequest(absl::Time now) const;

    const SlotSchedulerSettings m_settings;
    std::map<std::string, std::unique_ptr<Upstream>> m_upstreams;
    std::map<std::string, Service> m_services;
    std::map<std::string, std::unique_ptr<Item>> m_items;
    std::map<TaskId, Item *> m_itemsByNumber;
    /// Waiting online tasks by deadline.
    std::set<std::pair<absl::Time, TaskId>> m_onlineDeadlines;
    absl::Time m_takeoverAt = absl::InfinitePast();
    /// Time from which a limited upstream may get a waiting task, as of the last decision.
    absl::Time m_nextAllowedRequestAt = absl::InfiniteFuture();
    TaskId m_nextNumber = 1;
    std::vector<SlotDecision> m_decisions;
};

} // namespace rattanrill::policy
