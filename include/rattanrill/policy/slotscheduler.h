#pragma once

#include "rattanrill/policy/failureshares.h"
#include "rattanrill/policy/fairqueue.h"
#include "rattanrill/policy/loadestimate.h"
#include "rattanrill/policy/placementexplanation.h"
#include "rattanrill/policy/requestlimit.h"
#include "rattanrill/policy/task.h"
#include "rattanrill/policy/upstreamhealth.h"
#include "rattanrill/policy/warmup.h"

#include "absl/time/time.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
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
    /// Number of requests that the upstream runs concurrently, from all senders.
    std::int64_t slots = 1;
    /// A leaving upstream gets no new tasks.
    bool leaving = false;
    /// Version of the upstream's software.
    std::string version{};
    /// Part of the slots that tasks of this scheduler may hold; absent: all.
    std::optional<std::int64_t> ownSlots{};

    /// Number of slots that tasks of this scheduler can hold at most.
    std::int64_t usableSlots() const { return std::min(slots, ownSlots.value_or(slots)); }
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
    /// The upstream, which may have run the request, responded with a server error. It can be
    /// reached. A broker of an earlier version does not know the name and treats it as Cancelled.
    ServerError,
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
    /// Number of observers that have failed at the upstream since its last success; 0 when it is
    /// ejected for server errors.
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
    /// Whether other schedulers grant slots of the same upstreams, so that this one knows the
    /// requests of the others from late reports only.
    bool sharesUpstreams = false;
    /// Identifies the process: those with different seeds choose different ones of equal upstreams.
    /// With 0, upstreams that have had no task go in the order of the list.
    std::uint64_t turnSeed = 0;
};

/// How the load of a service is spread over its upstreams that are not leaving.
struct ServiceLoad
{
    std::string service;
    /// Number of tasks that hold slots of this scheduler.
    std::int64_t running = 0;
    /// Tasks at the busiest upstream, as a multiple of the mean.
    double spread = 0;
    /// Highest pace of an upstream; 1 when none is reported.
    double highestPace = 1;
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
/// - Upstreams return cold in the middle of a burst: they get no more than their warm-up rate, and
///   the others get the rest.
/// - Streams of two versions are broken off while new ones fill all slots: a task that continues a
///   stream gets the next slot at its version, before any new task.
/// - Several schedulers each assign a part of the slots: the part limits their own tasks, and all
///   slots limit these together with the reported requests of the others.
/// - Some senders lose their links to all upstreams: what they report ejects no upstream for the
///   others.
/// - Upstreams slow down one after the other, or several schedulers assign their slots by late
///   reports: see LoadEstimate.
/// - Some upstreams respond with a server error at once and so attract most requests: they are
///   ejected by their share of errors; see FailureShares.
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
    /// Whether \a upstream gets no tasks of \a sender because of failures that may be caused by the
    /// link between them. Ejections for server errors are not included.
    bool isEjectedFor(absl::Time now, const std::string &upstream, const std::string &sender) const;
    /// Removes a task whose caller no longer needs a slot. Releases the slot that the task holds.
    void cancel(const std::string &task);
    /// Reports the number of requests at the upstream, from all senders.
    void loadReported(absl::Time now, const std::string &upstream, std::int64_t requests);
    /// Reports the time that work takes on the upstream, as a multiple of the usual time.
    void paceReported(absl::Time now, const std::string &upstream, double pace);
    /// Reports the limit, in requests per second, that a response of the upstream named, or that it
    /// named none. Returns true when this changes the limit.
    bool limitReported(absl::Time now, const std::string &upstream, std::optional<double> limit);
    /// Sets how the upstream warms up after its start.
    void setWarmUp(absl::Time now, const std::string &upstream, const WarmUpSettings &settings);
    /// Reports the time for which the platform's list, read at \a readAt, shows the upstream as
    /// cold.
    void coldListed(absl::Time now, const std::string &upstream, absl::Duration remaining,
                    absl::Time readAt);
    /// Reports the time for which a response of the upstream says that it remains cold. Returns
    /// true when this changes whether the upstream is cold.
    bool coldReported(absl::Time now, const std::string &upstream, absl::Duration remaining);
    /// Cold upstreams in the list, by id.
    std::vector<ColdUpstream> coldUpstreams(absl::Time now) const;
    /// Number of online tasks that were next to get a slot and waited because cold upstreams with
    /// free slots allowed no request.
    std::uint64_t warmUpWaits() const { return m_warmUpWaits; }
    /// Drops the requests that have accumulated under the limits and warm-up rates of all
    /// upstreams.
    void clearAccumulatedRequests(absl::Time now);
    /// The limit of the upstream in requests per second; absent when it has none.
    std::optional<double> requestLimit(absl::Time now, const std::string &upstream) const;
    /// Returns the decisions due at \a now, to be carried out in order.
    std::vector<SlotDecision> decide(absl::Time now);
    /// Explains the decision for \a task if it arrived now, behind the tasks already waiting.
    /// Precondition: decide() was called after the last change, and at \a now. Otherwise a task
    /// that waits may get the slot that the explanation names; its lastDecisionAge shows how far
    /// this can apply. Changes nothing, so that no later decision differs.
    PlacementExplanation explain(absl::Time now, const SlotTask &task) const;
    /// Latest time for the next call of decide() when no event occurs before. Does not take into
    /// account when ejections and takeoverGracePeriod end, so decide() must also be called at
    /// regular intervals.
    absl::Time nextDecision() const;

    std::size_t waiting(const std::string &service, TaskKind kind) const;
    std::size_t running(const std::string &service, TaskKind kind) const;
    /// Number of slots of all upstreams of a service that accept new tasks, for all senders.
    std::int64_t slotCount(const std::string &service) const;
    /// Whether an upstream of the service, and of \a version if it is present, accepts new tasks
    /// and is not ejected for \a sender. All its slots may be taken.
    bool hasUsableUpstream(absl::Time now, const std::string &service, const std::string &sender,
                           const std::optional<std::string> &version) const;
    /// Number of listed upstreams that get no tasks of any sender because of failures or server
    /// errors. Leaving ones are not counted.
    std::size_t ejectedUpstreamCount(absl::Time now) const;
    /// Load of each service that runs tasks.
    std::vector<ServiceLoad> serviceLoads(absl::Time now) const;
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
        /// Whether the task is counted in warmUpWaits().
        bool isWarmUpWait = false;
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
        WarmUp warmUp;
        LoadEstimate load;
        /// Shares of server errors of its service.
        FailureShares *failures = nullptr;
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
        FailureShares failures;
        /// Versions of the upstreams that are not leaving.
        std::set<std::string> versions;
        /// Waiting online tasks with a version, by priority and order of arrival.
        std::set<std::pair<int, TaskId>> bound;
        /// Largest number of upstreams that a bound task excluded since none waited.
        std::size_t mostExcludedByBound = 0;
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
    bool isUnused(const Upstream &upstream) const;
    Item *itemOf(TaskId number) const;
    void enqueue(absl::Time now, Service &service, Item &item);
    void enqueueLate(Service &service, Item &item);
    bool isLate(absl::Time now, const Service &service, const Item &item) const;
    void moveLateTasks(absl::Time now, Service &service);
    /// Versions of which an upstream has a slot for a batch task, by sender.
    using FreeVersions = std::map<std::string, std::set<std::string>>;
    bool canStartBatch(absl::Time now, const Service &service, const Item &item,
                       FreeVersions &freeVersions) const;
    bool mayStartAnyBatch(absl::Time now, const Service &service) const;
    Item *firstBatch(absl::Time now, const Service &service) const;
    bool isOvercommitted(absl::Time now, const Upstream &upstream) const;
    std::int64_t withheldSlots(absl::Time now, const Service &service) const;
    bool isLoadUnknown(absl::Time now, const Upstream &upstream) const;
    std::vector<Upstream *> freeUpstreams(absl::Time now, const Service &service,
                                          const Item &item) const;
    std::vector<LoadCandidate> loadCandidates(absl::Time now, const Service &service,
                                              const SlotTask &task,
                                              const std::vector<Upstream *> &upstreams) const;
    double choiceDraw(std::mt19937_64 &random) const;
    Upstream *freeUpstream(absl::Time now, const Service &service, const Item &item);
    LoadCandidate candidateOf(absl::Time now, const Service &service, const Upstream &upstream,
                              const SlotTask &task) const;
    double expectedRequests(absl::Time now, const Service &service, const Upstream &upstream) const;
    double arrivalsElsewhere(absl::Time now, const Service &service) const;
    Upstream *preemptibleUpstream(absl::Time now, const Service &service, const Item &item) const;
    std::int64_t foreignRequests(absl::Time now, const Upstream &upstream) const;
    std::optional<ExclusionReason> exclusionBeforeErrorsAndRates(absl::Time now,
                                                                 const Service &service,
                                                                 const Upstream &upstream,
                                                                 const Item &item) const;
    std::optional<ExclusionReason> exclusionReason(absl::Time now, const Service &service,
                                                   const Upstream &upstream,
                                                   const Item &item) const;
    bool accepts(absl::Time now, const Service &service, const Upstream &upstream,
                 const Item &item) const;
    static bool isFailing(absl::Time now, const Upstream &upstream);
    static void removePassedOver(absl::Time now, const FailureShares &failures,
                                 std::vector<Upstream *> &open);
    /// The tasks for which an upstream is sought. Absent fields stand for any version and for all
    /// senders, each of which must be able to use the upstream.
    struct TaskScope
    {
        std::optional<std::string> version;
        std::optional<std::string> sender;
        std::vector<std::string> excluded;
    };
    static bool isSoundFor(absl::Time now, const Upstream &upstream, const TaskScope &scope);
    static bool hasSoundUpstream(absl::Time now, const Service &service, const TaskScope &scope);
    bool isBound(const Service &service, const SlotTask &task) const;
    static bool isExcluded(const Upstream &upstream, const std::vector<std::string> &excluded);
    bool isVersionGone(const Service &service, const Item &item) const;
    static bool mayReceive(absl::Time now, const Upstream &upstream, TaskKind kind);
    static absl::Time nextReceivable(absl::Time now, const Upstream &upstream, TaskKind kind);
    static void recordSent(absl::Time now, Upstream &upstream);
    static std::optional<double> receivingRate(absl::Time now, const Upstream &upstream);
    void countWarmUpWait(absl::Time now, const Service &service, Item &item);
    bool hasFreeSlot(absl::Time now, const Upstream &upstream, const SlotTask &task) const;
    bool hasRoom(absl::Time now, const Upstream &upstream, double share,
                 std::int64_t reserve) const;
    bool hasRoomFor(absl::Time now, const Upstream &upstream, const SlotTask &task) const;
    bool mayProbe(absl::Time now, const Upstream &upstream) const;
    std::set<std::string> freeBatchVersions(absl::Time now, const Service &service,
                                            const std::optional<std::string> &sender) const;
    bool mayTakeOnline(absl::Time now, const Upstream &upstream) const;
    static bool isLastResort(absl::Time now, const Service &service, const std::string &version,
                             std::size_t mostExcluded);
    std::vector<const Upstream *> openUpstreams(absl::Time now, const Service &service,
                                                std::size_t mostExcluded) const;
    bool isAcceptedByAny(absl::Time now, const Service &service, const Item &item,
                         const std::vector<const Upstream *> &open) const;
    void decideBound(absl::Time now, Service &service);
    bool grantOnline(absl::Time now, Service &service, Item &item);
    void decideOnline(absl::Time now, Service &service);
    void decideBatch(absl::Time now, Service &service);
    absl::Duration expectedWait(absl::Time now, const Service &service, std::size_t waiting) const;
    std::optional<TaskId> lastUnservable(absl::Time now, const Service &service,
                                         const std::map<int, FairQueue> &online,
                                         std::size_t waiting, const Item *added) const;
    void rejectUnservable(absl::Time now, Service &service);
    void rejectExpired(absl::Time now);
    absl::Duration nextRetry(absl::Time now, const Service &service, const SlotTask &task,
                             absl::Time &lastRetryAt) const;
    void reject(absl::Time now, Service &service, Item &item);
    static Item &preemptibleTask(absl::Time now, const Upstream &upstream);
    void preemptOne(absl::Time now, Upstream &upstream);
    void grant(absl::Time now, Service &service, Item &item, Upstream &upstream);
    void dequeue(Service &service, Item &item);
    std::optional<SlotEjection> recordHealth(absl::Time now, Upstream &upstream,
                                             ReleaseReason reason, const std::string &observer);
    std::optional<SlotEjection> recordServerError(absl::Time now, const Upstream &upstream,
                                                  const std::string &workspace);
    void releaseSlot(Item &item);
    void removeItem(Item &item);
    absl::Duration slotReleaseInterval(absl::Time now, const Service &service) const;
    absl::Time nextAllowedRequest(absl::Time now) const;
    UpstreamExplanation explainUpstream(absl::Time now, const Service &service,
                                        const Upstream &upstream, const Item &item) const;
    SelectionRule selectionRule(absl::Time now, const Service &service, const SlotTask &task,
                                const std::vector<Upstream *> &open,
                                const std::vector<LoadCandidate> &candidates,
                                std::size_t chosen) const;
    bool explainFreeSlot(absl::Time now, const Service &service, const Item &item,
                         const std::vector<Upstream *> &open,
                         PlacementExplanation &explanation) const;
    bool explainOnlineSlot(absl::Time now, const Service &service, const Item &item,
                           const std::vector<Upstream *> &open,
                           PlacementExplanation &explanation) const;
    void explainWait(absl::Time now, const Service &service, const Item &item,
                     const std::vector<Upstream *> &open, std::map<int, FairQueue> online,
                     PlacementExplanation &explanation) const;
    void explainOnline(absl::Time now, const Service &service, const Item &item,
                       const std::vector<Upstream *> &open,
                       PlacementExplanation &explanation) const;
    void explainBound(absl::Time now, const Service &service, const Item &item,
                      const std::vector<Upstream *> &open, PlacementExplanation &explanation) const;
    void explainBatch(absl::Time now, const Service &service, const Item &item,
                      const std::vector<Upstream *> &open, PlacementExplanation &explanation) const;

    const SlotSchedulerSettings m_settings;
    std::map<std::string, std::unique_ptr<Upstream>> m_upstreams;
    std::map<std::string, Service> m_services;
    std::map<std::string, std::unique_ptr<Item>> m_items;
    std::map<TaskId, Item *> m_itemsByNumber;
    /// Waiting online tasks by deadline.
    std::set<std::pair<absl::Time, TaskId>> m_onlineDeadlines;
    absl::Time m_takeoverAt = absl::InfinitePast();
    /// Time of the last call of decide().
    absl::Time m_decidedAt = absl::InfinitePast();
    /// Time from which a limited upstream may get a waiting task, as of the last decision.
    absl::Time m_nextAllowedRequestAt = absl::InfiniteFuture();
    std::uint64_t m_warmUpWaits = 0;
    TaskId m_nextNumber = 1;
    std::int64_t m_lastTurn = 0;
    std::mt19937_64 m_random;
    std::vector<SlotDecision> m_decisions;
};

} // namespace rattanrill::policy
