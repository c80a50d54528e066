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

constexpr std::array<EnumName<ReleaseReason>, 5> releaseReasonNames = {{
        {ReleaseReason::Completed, "served"},
        {ReleaseReason::Cancelled, "abandoned"},
        {ReleaseReason::Failed, "failed"},
        {ReleaseReason::Unreachable, "gone"},
        {ReleaseReason::Unanswered, "unanswered"},
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
        service.hasUncheckedVersions = true;
    }
    for (const SlotUpstream &info : upstreams) {
        std::unique_ptr<Upstream> &upstream = m_upstreams[info.id];
        if (upstream == nullptr) {
            upstream = std::make_unique<Upstream>();
            upstream->health = UpstreamHealth(m_settings.outlier);
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
        service.hasUncheckedVersions = true;
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
                                                        ReleaseReason reason,
                                                        const std::string &observer)
{
    UpstreamHealth &health = upstream.health;
    const bool wasEjected = health.isEjected(now);
    const auto isEjectedForObserver = [&] { return health.trafficShare(now, observer) == 0; };
    const bool wasEjectedForObserver = isEjectedForObserver();
    if (reason == ReleaseReason::Completed)
        health.succeeded(now, observer);
    else if (reason == ReleaseReason::Unanswered)
        health.unanswered(now, observer);
    else if (reason == ReleaseReason::Unreachable
             || (reason == ReleaseReason::Failed && !isOvercommitted(now, upstream)))
        health.failed(now, observer, reason == ReleaseReason::Unreachable);
    const bool isNewForAll = !wasEjected && health.isEjected(now);
    const bool isNew = isNewForAll || (!wasEjectedForObserver && isEjectedForObserver());
    if (!isNew)
        return std::nullopt;
    return SlotEjection{upstream.info.id, isNewForAll ? std::string() : observer,
                        health.failedObservers(), health.ejectedUntil(observer) - now,
                        upstream.occupiedSlots()};
}

std::optional<SlotEjection> SlotScheduler::release(absl::Time now, const std::string &task,
                                                   ReleaseReason reason,
                                                   const std::string &observer)
{
    const auto found = m_items.find(task);
    if (found == m_items.end())
        return std::nullopt;
    Item &item = *found->second;
    if (item.upstream == nullptr) {
        cancel(task);
        return std::nullopt;
    }
    std::optional<SlotEjection> ejection = recordHealth(
            now, *item.upstream, reason, observer.empty() ? item.task.sender : observer);
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

void SlotScheduler::discardReports(absl::Time now, const std::string &observer)
{
    for (auto &[id, upstream] : m_upstreams)
        upstream->health.discard(now, observer);
}

bool SlotScheduler::isEjectedFor(absl::Time now, const std::string &upstream,
                                 const std::string &sender) const
{
    const auto found = m_upstreams.find(upstream);
    return found != m_upstreams.end() && found->second->health.isEjectedFor(now, sender);
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
    const std::string &sender = item.task.sender;
    const auto isOpen = [&](const Upstream &candidate) {
        if (candidate.info.leaving || candidate.removed)
            return false;
        if (isBound(service, item.task) && candidate.info.version != *item.task.version)
            return false;
        return !isExcluded(candidate, item) && candidate.health.trafficShare(now, sender) > 0
               && candidate.limit.allows(now);
    };
    const auto isAvoided = [&](const Upstream &candidate) {
        return candidate.health.isEjectedFor(now, sender);
    };
    if (!isOpen(upstream))
        return false;
    // An upstream that answered no connection may end its pause at any time, so it is used when all
    // others are avoided, too.
    return !isAvoided(upstream)
           || std::none_of(
                   service.upstreams.begin(), service.upstreams.end(),
                   [&](const Upstream *other) { return isOpen(*other) && !isAvoided(*other); });
}

/// Whether a slot is free for \a task, which the upstream accepts.
bool SlotScheduler::hasFreeSlot(absl::Time now, const Upstream &upstream,
                                const SlotTask &task) const
{
    const std::int64_t onlineReserve = isOnline(task) ? 0 : m_settings.onlineReserve;
    return hasRoom(now, upstream, upstream.health.trafficShare(now, task.sender), onlineReserve);
}

/// Whether a slot is free within \a share (0 to 1) of the upstream's slots, less \a reserve slots.
bool SlotScheduler::hasRoom(absl::Time now, const Upstream &upstream, double share,
                            std::int64_t reserve) const
{
    const auto capacity =
            static_cast<std::int64_t>(std::ceil(static_cast<double>(upstream.info.slots) * share));
    if (upstream.occupiedSlots() + foreignRequests(now, upstream) >= capacity - reserve)
        return false;
    return !isLoadUnknown(now, upstream) || upstream.probes < m_settings.maxProbes;
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
