#include "rattanrill/policy/slotscheduler.h"

#include "rattanrill/base/enumnames.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace rattanrill::policy {
namespace {

/// Weight of a new sample in the moving averages of the time for which a slot is held.
constexpr double sampleWeight = 0.05;
/// Number of slots granted to other batch tasks after which a late task gets one, so that late
/// tasks do not starve.
constexpr int grantsPerLateTask = 8;
/// Number of requests that an upstream of the own failure domain may have more than another one and
/// still be chosen for an online task.
constexpr std::int64_t maxNearerExtraRequests = 2;
/// Retry-After when no upstream of the service accepts tasks.
constexpr absl::Duration noUpstreamRetryAfter = absl::Seconds(1);

constexpr std::array<EnumName<ReleaseReason>, 4> releaseReasonNames = {{
        {ReleaseReason::Completed, "served"},
        {ReleaseReason::Cancelled, "abandoned"},
        {ReleaseReason::Failed, "failed"},
        {ReleaseReason::Unreachable, "gone"},
}};

bool isOnline(const SlotTask &task)
{
    return task.kind == TaskKind::Online;
}

} // namespace

std::string_view name(ReleaseReason reason)
{
    return nameOf(releaseReasonNames, reason);
}

std::optional<ReleaseReason> releaseReasonFromName(std::string_view name)
{
    return valueOf(releaseReasonNames, name);
}

SlotScheduler::SlotScheduler(SlotSchedulerSettings settings)
    : m_settings(settings)
{}

SlotScheduler::Service &SlotScheduler::service(const std::string &name)
{
    const auto [found, isNew] = m_services.try_emplace(name);
    if (isNew)
        found->second.meanHoldTime = m_settings.initialHoldTime;
    return found->second;
}

SlotScheduler::Item *SlotScheduler::itemOf(TaskId number)
{
    const auto found = m_itemsByNumber.find(number);
    return found == m_itemsByNumber.end() ? nullptr : found->second;
}

void SlotScheduler::setUpstreams(const std::vector<SlotUpstream> &upstreams)
{
    for (auto &[id, upstream] : m_upstreams)
        upstream->removed = true;
    for (auto &[name, service] : m_services) {
        service.upstreams.clear();
        service.versions.clear();
    }
    for (const SlotUpstream &info : upstreams) {
        std::unique_ptr<Upstream> &upstream = m_upstreams[info.id];
        if (upstream == nullptr) {
            upstream = std::make_unique<Upstream>();
            upstream->outlier = OutlierDetector(m_settings.outlier);
            upstream->limit = RequestLimit(m_settings.requestLimit);
        }
        upstream->info = info;
        upstream->removed = false;
        Service &upstreamService = service(info.service);
        upstreamService.upstreams.push_back(upstream.get());
        if (!info.leaving)
            upstreamService.versions.insert(info.version);
    }
    for (auto entry = m_upstreams.begin(); entry != m_upstreams.end();) {
        const bool isUnused = entry->second->removed && entry->second->occupiedSlots() == 0;
        entry = isUnused ? m_upstreams.erase(entry) : std::next(entry);
    }
}

void SlotScheduler::beginTakeover(absl::Time now)
{
    m_takeoverAt = now;
}

void SlotScheduler::request(absl::Time now, const SlotTask &task)
{
    if (contains(task.id))
        cancel(task.id);
    auto item = std::make_unique<Item>();
    item->task = task;
    item->number = m_nextNumber++;
    item->since = now;
    m_itemsByNumber[item->number] = item.get();
    enqueue(now, service(task.service), *item);
    m_items[task.id] = std::move(item);
}

void SlotScheduler::enqueue(absl::Time now, Service &service, Item &item)
{
    const SlotTask &task = item.task;
    if (isOnline(task) && task.version) {
        item.queue = Queue::Bound;
        service.bound.emplace(task.priority, item.number);
        m_onlineDeadlines.emplace(task.deadline, item.number);
        return;
    }
    if (isOnline(task)) {
        item.queue = Queue::Online;
        service.online[task.priority].push(task.workspace, item.number, now);
        m_onlineDeadlines.emplace(task.deadline, item.number);
        ++service.onlineWaiting;
        return;
    }
    ++service.batchWaiting;
    if (isLate(now, service, item))
        return enqueueLate(service, item);
    if (task.priorRunTime > absl::ZeroDuration()) {
        item.queue = Queue::Interrupted;
        service.interrupted.push_back(&item);
        return;
    }
    item.queue = Queue::Batch;
    service.batch.push(task.workspace, item.number, task.deadline);
}

void SlotScheduler::enqueueLate(Service &service, Item &item)
{
    item.queue = Queue::Late;
    const bool hasBegun = item.task.priorRunTime > absl::ZeroDuration();
    service.late.push(item.task.workspace, item.number, item.task.deadline,
                      hasBegun ? FairQueue::TieBreak::Resumed : FairQueue::TieBreak::ByArrival);
}

void SlotScheduler::adopt(absl::Time now, const SlotTask &task, const std::string &upstream)
{
    const auto found = m_upstreams.find(upstream);
    if (contains(task.id) || found == m_upstreams.end())
        return;
    auto item = std::make_unique<Item>();
    item->task = task;
    item->number = m_nextNumber++;
    item->since = now;
    item->upstream = found->second.get();
    item->upstream->limit.take(now);
    (isOnline(task) ? item->upstream->online : item->upstream->batch).insert(item.get());
    m_itemsByNumber[item->number] = item.get();
    m_items[task.id] = std::move(item);
}

void SlotScheduler::dequeue(Service &service, Item &item)
{
    switch (std::exchange(item.queue, Queue::None)) {
    case Queue::None:
        return;
    case Queue::Bound:
        service.bound.erase({item.task.priority, item.number});
        m_onlineDeadlines.erase({item.task.deadline, item.number});
        return;
    case Queue::Online:
        service.online[item.task.priority].remove(item.number);
        m_onlineDeadlines.erase({item.task.deadline, item.number});
        --service.onlineWaiting;
        return;
    case Queue::Batch:
        service.batch.remove(item.number);
        break;
    case Queue::Interrupted: {
        auto &interrupted = service.interrupted;
        interrupted.erase(std::find(interrupted.begin(), interrupted.end(), &item));
        break;
    }
    case Queue::Late:
        service.late.remove(item.number);
        break;
    }
    --service.batchWaiting;
}

void SlotScheduler::removeItem(Item &item)
{
    m_itemsByNumber.erase(item.number);
    // A copy of the id, because the item that is erased owns it.
    m_items.erase(std::string(item.task.id));
}

void SlotScheduler::releaseSlot(Item &item)
{
    Upstream &upstream = *item.upstream;
    upstream.online.erase(&item);
    upstream.batch.erase(&item);
    upstream.probes -= std::exchange(item.isProbe, false) ? 1 : 0;
    item.upstream = nullptr;
    // As in removeItem(), the upstream that is erased owns its id.
    if (upstream.removed && upstream.occupiedSlots() == 0)
        m_upstreams.erase(std::string(upstream.info.id));
}

/// Counts the end of a task for or against its upstream.
std::optional<SlotEjection> SlotScheduler::recordHealth(absl::Time now, Upstream &upstream,
                                                        ReleaseReason reason)
{
    const bool wasEjected = upstream.outlier.ejected(now);
    if (reason == ReleaseReason::Completed)
        upstream.outlier.succeeded(now);
    else if (reason == ReleaseReason::Unreachable
             || (reason == ReleaseReason::Failed && !isOvercommitted(now, upstream)))
        upstream.outlier.failed(now, reason == ReleaseReason::Unreachable);
    if (wasEjected || !upstream.outlier.ejected(now))
        return std::nullopt;
    return SlotEjection{upstream.info.id, upstream.outlier.ejectedUntil() - now,
                        upstream.occupiedSlots()};
}

std::optional<SlotEjection> SlotScheduler::release(absl::Time now, const std::string &task,
                                                   ReleaseReason reason)
{
    const auto found = m_items.find(task);
    if (found == m_items.end())
        return std::nullopt;
    Item &item = *found->second;
    if (item.upstream == nullptr) {
        cancel(task);
        return std::nullopt;
    }
    std::optional<SlotEjection> ejection = recordHealth(now, *item.upstream, reason);
    if (reason == ReleaseReason::Completed) {
        Service &taskService = service(item.task.service);
        absl::Duration &mean =
                isOnline(item.task) ? taskService.meanHoldTime : taskService.meanBatchHoldTime;
        const absl::Duration holdTime = item.task.priorRunTime + (now - item.since);
        mean = mean == absl::ZeroDuration() ? holdTime : mean + (holdTime - mean) * sampleWeight;
    }
    releaseSlot(item);
    removeItem(item);
    return ejection;
}

void SlotScheduler::cancel(const std::string &task)
{
    const auto found = m_items.find(task);
    if (found == m_items.end())
        return;
    Item &item = *found->second;
    if (item.upstream == nullptr)
        dequeue(service(item.task.service), item);
    else
        releaseSlot(item);
    removeItem(item);
}

void SlotScheduler::loadReported(absl::Time now, const std::string &upstream, std::int64_t requests)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return;
    auto &reports = found->second->reports;
    reports[0] = reports[1];
    reports[1] = {now, std::max<std::int64_t>(requests - found->second->occupiedSlots(), 0)};
}

bool SlotScheduler::limitReported(absl::Time now, const std::string &upstream,
                                  std::optional<double> limit)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end() || (!limit && !found->second->limit.limit(now)))
        return false;
    const std::optional<double> former = found->second->limit.limit(now);
    found->second->limit.report(now, limit);
    return former != limit;
}

void SlotScheduler::clearAccumulatedRequests(absl::Time now)
{
    for (auto &[id, upstream] : m_upstreams)
        upstream->limit.clearAccumulated(now);
}

std::optional<double> SlotScheduler::requestLimit(absl::Time now, const std::string &upstream) const
{
    const auto found = m_upstreams.find(upstream);
    return found == m_upstreams.end() ? std::nullopt : found->second->limit.limit(now);
}

/// Returns true when the granted slots and the requests of other senders together exceed the slots
/// of the upstream. A task that gets no response there may be queued behind those requests, so it
/// does not indicate a fault of the upstream.
bool SlotScheduler::isOvercommitted(absl::Time now, const Upstream &upstream) const
{
    return upstream.occupiedSlots() + foreignRequests(now, upstream) > upstream.info.slots;
}

bool SlotScheduler::isLoadUnknown(absl::Time now, const Upstream &upstream) const
{
    return now - m_takeoverAt < m_settings.takeoverGracePeriod
           && upstream.reports[1].at < m_takeoverAt;
}

std::int64_t SlotScheduler::foreignRequests(absl::Time now, const Upstream &upstream) const
{
    const auto &reports = upstream.reports;
    // Within the grace period, the first report since the takeover counts alone.
    const bool isFirst =
            reports[0].at < m_takeoverAt && now - m_takeoverAt < m_settings.takeoverGracePeriod;
    if (isFirst && reports[1].at >= m_takeoverAt)
        return reports[1].foreignRequests;
    if (now - reports[0].at > m_settings.reportLifetime)
        return 0;
    return std::min(reports[0].foreignRequests, reports[1].foreignRequests);
}

/// Whether the task needs an upstream of its version.
bool SlotScheduler::isBound(const Service &service, const SlotTask &task) const
{
    return task.version && (isOnline(task) || service.versions.count(*task.version) != 0);
}

bool SlotScheduler::isExcluded(const Upstream &upstream, const Item &item)
{
    const auto &excluded = item.task.excluded;
    return std::find(excluded.begin(), excluded.end(), upstream.info.id) != excluded.end();
}

/// Whether no upstream can continue the task's output, however long it waits.
bool SlotScheduler::isVersionGone(const Service &service, const Item &item) const
{
    if (!item.task.version)
        return false;
    return std::none_of(
            service.upstreams.begin(), service.upstreams.end(), [&item](const Upstream *upstream) {
                return !upstream->info.leaving && upstream->info.version == *item.task.version
                       && !isExcluded(*upstream, item);
            });
}

bool SlotScheduler::accepts(absl::Time now, const Service &service, const Upstream &upstream,
                            const Item &item) const
{
    if (upstream.info.leaving || upstream.removed)
        return false;
    if (isBound(service, item.task) && upstream.info.version != *item.task.version)
        return false;
    return !isExcluded(upstream, item) && !upstream.outlier.ejected(now)
           && upstream.limit.allows(now);
}

/// Whether a slot is free for a task of \a kind that the upstream accepts.
bool SlotScheduler::hasFreeSlot(absl::Time now, const Upstream &upstream, TaskKind kind) const
{
    const std::int64_t onlineReserve = kind == TaskKind::Online ? 0 : m_settings.onlineReserve;
    const double share = upstream.outlier.trafficShare(now);
    const auto capacity =
            static_cast<std::int64_t>(std::ceil(static_cast<double>(upstream.info.slots) * share));
    if (upstream.occupiedSlots() + foreignRequests(now, upstream) >= capacity - onlineReserve)
        return false;
    return !isLoadUnknown(now, upstream) || upstream.probes < m_settings.maxProbes;
}

/// Returns the upstream with the fewest requests among those with a free slot, because each request
/// makes the decode steps of all others longer. An online task goes to an upstream of its own
/// failure domain that has a few requests more: the difference in speed is small, and its prompt
/// and its response don't cross the boundary of the domain.
SlotScheduler::Upstream *SlotScheduler::freeUpstream(absl::Time now, const Service &service,
                                                     const Item &item) const
{
    const std::int64_t farPenalty = isOnline(item.task) ? maxNearerExtraRequests : 0;
    Upstream *best = nullptr;
    std::int64_t bestCost = 0;
    bool isBestNear = false;
    for (Upstream *upstream : service.upstreams) {
        if (!accepts(now, service, *upstream, item) || !hasFreeSlot(now, *upstream, item.task.kind))
            continue;
        const bool isNear = upstream->info.failureDomain == item.task.failureDomain;
        const std::int64_t cost = upstream->occupiedSlots() + foreignRequests(now, *upstream)
                                  + (isNear ? 0 : farPenalty);
        const bool isNearer = cost == bestCost && isNear && !isBestNear;
        if (best != nullptr && cost >= bestCost && !isNearer)
            continue;
        best = upstream;
        bestCost = cost;
        isBestNear = isNear;
    }
    return best;
}

/// Returns the upstream with the most batch tasks.
SlotScheduler::Upstream *SlotScheduler::preemptibleUpstream(absl::Time now, const Service &service,
                                                            const Item &item) const
{
    Upstream *best = nullptr;
    for (Upstream *upstream : service.upstreams) {
        if (!accepts(now, service, *upstream, item) || upstream->batch.empty())
            continue;
        if (best == nullptr || upstream->batch.size() > best->batch.size())
            best = upstream;
    }
    return best;
}

/// Preempts the batch task with the shortest run time, which is farthest from its end.
void SlotScheduler::preemptOne(absl::Time now, Upstream &upstream)
{
    const auto runTime = [now](const Item *item) {
        return item->task.priorRunTime + (now - item->since);
    };
    const auto least = std::min_element(
            upstream.batch.begin(), upstream.batch.end(),
            [&](const Item *left, const Item *right) { return runTime(left) < runTime(right); });
    Item &item = **least;
    m_decisions.emplace_back(PreemptSlot{item.task.id});
    releaseSlot(item);
    removeItem(item);
}

void SlotScheduler::grant(absl::Time now, Service &service, Item &item, Upstream &upstream)
{
    const Queue queue = item.queue;
    dequeue(service, item);
    // A task that resumes was charged when it first started.
    if (queue == Queue::Online || queue == Queue::Bound)
        service.online[item.task.priority].charge(item.task.workspace, item.task.expectedTokens);
    else if (item.task.priorRunTime == absl::ZeroDuration())
        (queue == Queue::Late ? service.late : service.batch)
                .charge(item.task.workspace, item.task.expectedTokens);
    if (queue == Queue::Late)
        service.grantsSinceLate = 0;
    else if (!isOnline(item.task))
        ++service.grantsSinceLate;
    upstream.limit.take(now);
    item.isProbe = isLoadUnknown(now, upstream);
    upstream.probes += item.isProbe ? 1 : 0;
    item.upstream = &upstream;
    item.since = now;
    (isOnline(item.task) ? upstream.online : upstream.batch).insert(&item);
    m_decisions.emplace_back(GrantSlot{item.task.id, upstream.info.id, upstream.info.address,
                                       upstream.info.version});
}

/// Grants a free slot, or one of a batch task, which is preempted. Returns false when there is
/// none.
bool SlotScheduler::grantOnline(absl::Time now, Service &service, Item &item)
{
    Upstream *upstream = freeUpstream(now, service, item);
    if (upstream == nullptr) {
        upstream = preemptibleUpstream(now, service, item);
        if (upstream == nullptr)
            return false;
        preemptOne(now, *upstream);
    }
    grant(now, service, item, *upstream);
    return true;
}

/// Tasks that wait for upstreams of another version do not hold up those behind them.
void SlotScheduler::decideBound(absl::Time now, Service &service)
{
    const auto waiting = service.bound;
    for (const auto &[priority, number] : waiting) {
        Item &item = *itemOf(number);
        if (isVersionGone(service, item))
            reject(now, service, item);
        else
            grantOnline(now, service, item);
    }
}

void SlotScheduler::decideOnline(absl::Time now, Service &service)
{
    for (auto &[priority, queue] : service.online) {
        while (const std::optional<TaskId> next = queue.front()) {
            if (!grantOnline(now, service, *itemOf(*next)))
                return;
        }
    }
}

void SlotScheduler::decideBatch(absl::Time now, Service &service)
{
    if (service.onlineWaiting > 0)
        return;
    while (Item *item = nextBatch(now, service)) {
        Upstream *upstream = freeUpstream(now, service, *item);
        if (upstream == nullptr)
            return;
        grant(now, service, *item, *upstream);
    }
}

bool SlotScheduler::isLate(absl::Time now, const Service &service, const Item &item) const
{
    const absl::Duration remaining =
            std::max(service.meanBatchHoldTime - item.task.priorRunTime, absl::ZeroDuration());
    return now + remaining > item.task.deadline;
}

/// Moves tasks that can no longer meet their deadline to the late queue. Checks all interrupted
/// tasks, and the batch queue up to the first task that can still meet its deadline.
void SlotScheduler::moveLateTasks(absl::Time now, Service &service)
{
    const auto late =
            std::stable_partition(service.interrupted.begin(), service.interrupted.end(),
                                  [&](const Item *item) { return !isLate(now, service, *item); });
    for (auto item = late; item != service.interrupted.end(); ++item)
        enqueueLate(service, **item);
    service.interrupted.erase(late, service.interrupted.end());
    while (const std::optional<TaskId> next = service.batch.front()) {
        Item &item = *itemOf(*next);
        if (!isLate(now, service, item))
            return;
        service.batch.remove(item.number);
        enqueueLate(service, item);
    }
}

/// Versions of which an upstream has a slot for a batch task. Filled only if there are several
/// versions in service.
std::set<std::string> SlotScheduler::freeBatchVersions(absl::Time now, const Service &service) const
{
    std::set<std::string> versions;
    if (service.versions.size() <= 1)
        return versions;
    for (const Upstream *upstream : service.upstreams) {
        const bool isAccepting = !upstream->info.leaving && !upstream->outlier.ejected(now)
                                 && upstream->limit.allows(now);
        if (isAccepting && hasFreeSlot(now, *upstream, TaskKind::Batch))
            versions.insert(upstream->info.version);
    }
    return versions;
}

/// Returns the interrupted task that is nearest to its end, else a task that has not started, else
/// a late one. After grantsPerLateTask grants to other batch tasks, a late task goes first. Passes
/// over tasks that wait for a slot at their version.
SlotScheduler::Item *SlotScheduler::nextBatch(absl::Time now, Service &service)
{
    moveLateTasks(now, service);
    const std::set<std::string> freeVersions = freeBatchVersions(now, service);
    const auto canStart = [&](const Item &item) {
        return service.versions.size() <= 1 || !isBound(service, item.task)
               || freeVersions.count(*item.task.version) != 0;
    };
    const std::optional<TaskId> lateNumber = service.late.front();
    Item *late = lateNumber ? itemOf(*lateNumber) : nullptr;
    if (late != nullptr && !canStart(*late))
        late = nullptr;
    if (late != nullptr && service.grantsSinceLate >= grantsPerLateTask)
        return late;
    Item *interrupted = nullptr;
    for (Item *item : service.interrupted) {
        const bool isNearer =
                interrupted == nullptr || interrupted->task.priorRunTime < item->task.priorRunTime;
        if (isNearer && canStart(*item))
            interrupted = item;
    }
    if (interrupted != nullptr)
        return interrupted;
    if (const std::optional<TaskId> next = service.batch.front())
        return itemOf(*next);
    return late;
}

/// Expected time between the ends of two successive online requests when all slots are occupied. A
/// limit makes the slots beyond it unavailable.
absl::Duration SlotScheduler::slotReleaseInterval(absl::Time now, const Service &service) const
{
    double slots = 0;
    for (const Upstream *upstream : service.upstreams) {
        if (upstream->info.leaving)
            continue;
        const auto upstreamSlots = static_cast<double>(upstream->info.slots);
        const std::optional<double> limit = upstream->limit.limit(now);
        slots += limit ? std::min(upstreamSlots,
                                  *limit * absl::ToDoubleSeconds(service.meanHoldTime))
                       : upstreamSlots;
    }
    return slots == 0 ? absl::InfiniteDuration() : service.meanHoldTime / slots;
}

/// Number of slots that are withheld until their upstreams have reported their load. Most of them
/// are usually free, so rejectUnservable() expects them to serve that many waiting tasks at once.
std::int64_t SlotScheduler::withheldSlots(absl::Time now, const Service &service) const
{
    std::int64_t slots = 0;
    for (const Upstream *upstream : service.upstreams) {
        if (!upstream->info.leaving && isLoadUnknown(now, *upstream))
            slots += std::max<std::int64_t>(upstream->info.slots - upstream->occupiedSlots(), 0);
    }
    return slots;
}

/// Rejects tasks that are not expected to get a slot before their deadline at once, rather than at
/// the deadline. The tasks of the workspace with the most service are rejected first.
void SlotScheduler::rejectUnservable(absl::Time now, Service &service)
{
    for (auto entry = service.online.rbegin(); entry != service.online.rend(); ++entry) {
        FairQueue &queue = entry->second;
        while (const std::optional<TaskId> last = queue.back()) {
            Item &item = *itemOf(*last);
            const std::int64_t ahead =
                    static_cast<std::int64_t>(service.onlineWaiting) - withheldSlots(now, service);
            const absl::Duration wait = slotReleaseInterval(now, service)
                                        * static_cast<double>(std::max<std::int64_t>(ahead, 0));
            if (now + wait <= item.task.deadline)
                break;
            reject(now, service, item);
        }
    }
}

void SlotScheduler::rejectExpired(absl::Time now)
{
    while (!m_onlineDeadlines.empty() && m_onlineDeadlines.begin()->first <= now) {
        Item &item = *itemOf(m_onlineDeadlines.begin()->second);
        reject(now, service(item.task.service), item);
    }
}

void SlotScheduler::reject(absl::Time now, Service &service, Item &item)
{
    absl::Duration wait = noUpstreamRetryAfter;
    const absl::Duration interval = slotReleaseInterval(now, service);
    if (interval != absl::InfiniteDuration()) {
        const absl::Time next = std::max(service.lastRetryAt, now + m_settings.minRetryAfter)
                                + interval / m_settings.retryShare;
        wait = std::min(next - now, item.task.maxRetryAfter);
        service.lastRetryAt = now + wait;
    }
    m_decisions.emplace_back(RejectSlot{item.task.id, wait, isVersionGone(service, item)});
    dequeue(service, item);
    removeItem(item);
}

std::vector<SlotDecision> SlotScheduler::decide(absl::Time now)
{
    for (auto &[name, service] : m_services) {
        decideBound(now, service);
        decideOnline(now, service);
        if (service.onlineWaiting > 0)
            rejectUnservable(now, service);
    }
    rejectExpired(now);
    for (auto &[name, service] : m_services)
        decideBatch(now, service);
    m_nextAllowedRequestAt = nextAllowedRequest(now);
    return std::exchange(m_decisions, {});
}

/// Returns the earliest time at which an upstream of a service with waiting tasks may get a request
/// that its limit does not allow yet.
absl::Time SlotScheduler::nextAllowedRequest(absl::Time now) const
{
    absl::Time next = absl::InfiniteFuture();
    for (const auto &[name, service] : m_services) {
        if (service.bound.size() + service.onlineWaiting + service.batchWaiting == 0)
            continue;
        for (const Upstream *upstream : service.upstreams) {
            if (!upstream->limit.allows(now))
                next = std::min(next, upstream->limit.nextAllowed(now));
        }
    }
    return next;
}

absl::Time SlotScheduler::nextDecision() const
{
    const absl::Time firstDeadline =
            m_onlineDeadlines.empty() ? absl::InfiniteFuture() : m_onlineDeadlines.begin()->first;
    return std::min(firstDeadline, m_nextAllowedRequestAt);
}

std::size_t SlotScheduler::waiting(const std::string &service, TaskKind kind) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return 0;
    const Service &waitingService = found->second;
    return kind == TaskKind::Online ? waitingService.onlineWaiting + waitingService.bound.size()
                                    : waitingService.batchWaiting;
}

std::size_t SlotScheduler::running(const std::string &service, TaskKind kind) const
{
    std::size_t count = 0;
    for (const auto &[id, upstream] : m_upstreams) {
        if (upstream->info.service == service)
            count += kind == TaskKind::Online ? upstream->online.size() : upstream->batch.size();
    }
    return count;
}

std::int64_t SlotScheduler::slotCount(const std::string &service) const
{
    std::int64_t slots = 0;
    for (const auto &[id, upstream] : m_upstreams) {
        if (upstream->info.service == service && !upstream->info.leaving && !upstream->removed)
            slots += upstream->info.slots;
    }
    return slots;
}

} // namespace rattanrill::policy
