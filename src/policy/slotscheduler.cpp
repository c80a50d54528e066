#include "rattanrill/policy/slotscheduler.h"

#include "rattanrill/base/enumnames.h"
#include "rattanrill/policy/passoverrule.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace rattanrill::policy {
namespace {

/// Weight of a new sample in the moving averages of the time for which a slot is held.
constexpr double sampleWeight = 0.05;

constexpr std::array<EnumName<ReleaseReason>, 6> releaseReasonNames = {{
        {ReleaseReason::Completed, "served"},
        {ReleaseReason::Cancelled, "abandoned"},
        {ReleaseReason::Failed, "failed"},
        {ReleaseReason::Unreachable, "gone"},
        {ReleaseReason::Unanswered, "unanswered"},
        {ReleaseReason::ServerError, "server_error"},
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
    , m_random(settings.turnSeed)
{}

SlotScheduler::Service &SlotScheduler::service(const std::string &name)
{
    const auto [found, isNew] = m_services.try_emplace(name);
    if (isNew)
        found->second.meanHoldTime = m_settings.initialHoldTime;
    return found->second;
}

SlotScheduler::Item *SlotScheduler::itemOf(TaskId number) const
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
    std::map<std::string, std::set<std::string>> idsOfServices;
    for (const SlotUpstream &info : upstreams) {
        idsOfServices[info.service].insert(info.id);
        std::unique_ptr<Upstream> &upstream = m_upstreams[info.id];
        if (upstream == nullptr) {
            upstream = std::make_unique<Upstream>();
            upstream->health = UpstreamHealth(m_settings.outlier);
            upstream->limit = RequestLimit(m_settings.requestLimit);
            upstream->load.setTurn(initialTurn(info.id, m_settings.turnSeed));
        }
        upstream->info = info;
        upstream->removed = false;
        Service &upstreamService = service(info.service);
        upstreamService.upstreams.push_back(upstream.get());
        upstream->failures = &upstreamService.failures;
        if (!info.leaving)
            upstreamService.versions.insert(info.version);
    }
    for (auto &[name, service] : m_services)
        service.failures.retain(idsOfServices[name]);
    for (auto entry = m_upstreams.begin(); entry != m_upstreams.end();) {
        entry = isUnused(*entry->second) ? m_upstreams.erase(entry) : std::next(entry);
    }
}

/// Whether nothing needs to be known of the upstream any more. An upstream that is missing in one
/// list may be back in the next one, and still be cold.
bool SlotScheduler::isUnused(const Upstream &upstream) const
{
    return upstream.removed && upstream.occupiedSlots() == 0
           && !upstream.warmUp.isCold(m_decidedAt);
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
        service.mostExcludedByBound = std::max(service.mostExcludedByBound, task.excluded.size());
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
    recordSent(now, *item->upstream);
    item->upstream->load.granted(++m_lastTurn);
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
        if (service.bound.empty())
            service.mostExcludedByBound = 0;
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
    if (isUnused(upstream))
        m_upstreams.erase(std::string(upstream.info.id));
}

/// Counts the end of a task for or against its upstream.
std::optional<SlotEjection> SlotScheduler::recordHealth(absl::Time now, Upstream &upstream,
                                                        ReleaseReason reason,
                                                        const std::string &observer)
{
    UpstreamHealth &health = upstream.health;
    if (reason == ReleaseReason::Unreachable)
        upstream.warmUp.suspect(now, observer);
    const bool wasEjected = health.isEjected(now);
    const auto isEjectedForObserver = [&] { return health.trafficShare(now, observer) == 0; };
    const bool wasEjectedForObserver = isEjectedForObserver();
    if (reason == ReleaseReason::Completed || reason == ReleaseReason::ServerError)
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
    // It may have been restarted meanwhile.
    if (reason == ReleaseReason::Unanswered)
        upstream.warmUp.suspect(now, observer);
    return SlotEjection{upstream.info.id, isNewForAll ? std::string() : observer,
                        health.failedObservers(), health.ejectedUntil(observer) - now,
                        upstream.occupiedSlots()};
}

/// Judges the upstream by its share of server errors.
std::optional<SlotEjection> SlotScheduler::recordServerError(absl::Time now,
                                                             const Upstream &upstream,
                                                             const std::string &workspace)
{
    if (upstream.removed)
        return std::nullopt;
    std::vector<std::string> candidates;
    for (const Upstream *candidate : m_services.at(upstream.info.service).upstreams) {
        // A cold one may get too few requests to be compared with.
        const bool isComparable = candidate == &upstream || !candidate->warmUp.isCold(now);
        if (isComparable && !candidate->info.leaving && !candidate->health.isEjected(now))
            candidates.push_back(candidate->info.id);
    }
    if (!upstream.failures->failed(now, upstream.info.id, workspace, candidates))
        return std::nullopt;
    return SlotEjection{upstream.info.id, std::string(), 0,
                        upstream.failures->ejectedUntil(upstream.info.id) - now,
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
    if (reason == ReleaseReason::ServerError)
        ejection = recordServerError(now, *item.upstream, item.task.workspace);
    if (reason == ReleaseReason::Completed) {
        if (!item.upstream->removed)
            item.upstream->failures->succeeded(now, item.upstream->info.id, item.task.workspace);
        Service &taskService = service(item.task.service);
        absl::Duration &mean =
                isOnline(item.task) ? taskService.meanHoldTime : taskService.meanBatchHoldTime;
        // At the usual pace, because slotReleaseInterval() takes the pace into account.
        const double pace = isOnline(item.task) ? item.upstream->load.pace(now) : 1;
        const absl::Duration holdTime = item.task.priorRunTime + (now - item.since) / pace;
        mean = mean == absl::ZeroDuration() ? holdTime : mean + (holdTime - mean) * sampleWeight;
    }
    releaseSlot(item);
    removeItem(item);
    return ejection;
}

void SlotScheduler::discardReports(absl::Time now, const std::string &observer)
{
    for (auto &[id, upstream] : m_upstreams) {
        upstream->health.discard(now, observer);
        upstream->warmUp.discard(now, observer);
    }
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
    found->second->load.loadReported(now, requests, found->second->occupiedSlots());
}

void SlotScheduler::paceReported(absl::Time now, const std::string &upstream, double pace)
{
    const auto found = m_upstreams.find(upstream);
    if (found != m_upstreams.end())
        found->second->load.paceReported(now, pace);
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
    for (auto &[id, upstream] : m_upstreams) {
        upstream->limit.clearAccumulated(now);
        upstream->warmUp.clearAccumulated(now);
    }
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

bool SlotScheduler::isExcluded(const Upstream &upstream, const std::vector<std::string> &excluded)
{
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
                       && !isExcluded(*upstream, item.task.excluded);
            });
}

/// The reason why the upstream gets no request of the item, whatever its server errors and rates
/// are; absent if there is none.
std::optional<ExclusionReason>
SlotScheduler::exclusionBeforeErrorsAndRates(absl::Time now, const Service &service,
                                             const Upstream &upstream, const Item &item) const
{
    if (upstream.info.leaving || upstream.removed)
        return ExclusionReason::Leaving;
    if (isBound(service, item.task) && upstream.info.version != *item.task.version)
        return ExclusionReason::OtherVersion;
    if (isExcluded(upstream, item.task.excluded))
        return ExclusionReason::Excluded;
    if (upstream.health.trafficShare(now, item.task.sender) <= 0)
        return ExclusionReason::Ejected;
    return std::nullopt;
}

/// The reason why the upstream doesn't accept the item, whatever slots are free; absent if it
/// accepts it.
std::optional<ExclusionReason> SlotScheduler::exclusionReason(absl::Time now,
                                                              const Service &service,
                                                              const Upstream &upstream,
                                                              const Item &item) const
{
    const std::string &sender = item.task.sender;
    const auto isOpen = [&](const Upstream &candidate) {
        return !exclusionBeforeErrorsAndRates(now, service, candidate, item)
               && !isFailing(now, candidate) && mayReceive(now, candidate, item.task.kind);
    };
    const auto isAvoided = [&](const Upstream &candidate) {
        return candidate.health.isEjectedFor(now, sender);
    };
    const auto &others = service.upstreams;
    if (const auto reason = exclusionBeforeErrorsAndRates(now, service, upstream, item))
        return reason;
    // An upstream that responds with server errors may still serve a task that has no other.
    const bool isUpstreamFailing = isFailing(now, upstream);
    if (isUpstreamFailing) {
        const auto version = isBound(service, item.task) ? item.task.version : std::nullopt;
        if (hasSoundUpstream(now, service, {version, sender, item.task.excluded}))
            return ExclusionReason::Failing;
    }
    if (!mayReceive(now, upstream, item.task.kind))
        return upstream.limit.allows(now) ? ExclusionReason::Cold : ExclusionReason::Limited;
    // An upstream that answered no connection may end its pause at any time, so it is used when all
    // others are avoided, too.
    const bool hasOpenOther =
            !isUpstreamFailing && isAvoided(upstream)
            && std::any_of(others.begin(), others.end(), [&](const Upstream *other) {
                   return isOpen(*other) && !isAvoided(*other);
               });
    return hasOpenOther ? std::optional(ExclusionReason::Ejected) : std::nullopt;
}

bool SlotScheduler::accepts(absl::Time now, const Service &service, const Upstream &upstream,
                            const Item &item) const
{
    return !exclusionReason(now, service, upstream, item);
}

/// Whether the upstream is ejected because of its share of server errors.
bool SlotScheduler::isFailing(absl::Time now, const Upstream &upstream)
{
    return upstream.failures->isEjected(now, upstream.info.id);
}

/// Leaves out upstreams that are passed over because of server errors, as long as others are open.
void SlotScheduler::removePassedOver(absl::Time now, const FailureShares &failures,
                                     std::vector<Upstream *> &open)
{
    const auto nameOf = [](const Upstream *upstream) -> const std::string & {
        return upstream->info.id;
    };
    const auto isIdle = [now](const Upstream *upstream) {
        return upstream->occupiedSlots() == 0 && !upstream->warmUp.isCold(now);
    };
    policy::removePassedOver(now, failures, open, nameOf, isIdle);
}

/// Whether the upstream, which is not failing, serves the tasks of \a scope when a slot is free.
/// One whose rate is used up for now does; one with the rate 0 gets no requests at all.
bool SlotScheduler::isSoundFor(absl::Time now, const Upstream &upstream, const TaskScope &scope)
{
    const SlotUpstream &info = upstream.info;
    const bool isOtherVersion = scope.version && info.version != *scope.version;
    if (info.leaving || upstream.removed || isOtherVersion || isExcluded(upstream, scope.excluded))
        return false;
    const bool isEjected = scope.sender ? upstream.health.trafficShare(now, *scope.sender) <= 0
                                        : upstream.health.isEjectedForAny(now);
    return !isEjected && !isFailing(now, upstream) && receivingRate(now, upstream).value_or(1) > 0;
}

bool SlotScheduler::hasSoundUpstream(absl::Time now, const Service &service, const TaskScope &scope)
{
    return std::any_of(service.upstreams.begin(), service.upstreams.end(),
                       [&](const Upstream *upstream) { return isSoundFor(now, *upstream, scope); });
}

/// Whether a slot is free for \a task, which the upstream accepts.
bool SlotScheduler::hasFreeSlot(absl::Time now, const Upstream &upstream,
                                const SlotTask &task) const
{
    return hasRoomFor(now, upstream, task) && mayProbe(now, upstream);
}

/// Whether the slots allow \a task, which the upstream accepts, though its load may be unknown.
bool SlotScheduler::hasRoomFor(absl::Time now, const Upstream &upstream, const SlotTask &task) const
{
    const std::int64_t onlineReserve = isOnline(task) ? 0 : m_settings.onlineReserve;
    const double share = std::min(upstream.health.trafficShare(now, task.sender),
                                  upstream.failures->usableShare(now, upstream.info.id));
    return hasRoom(now, upstream, share, onlineReserve);
}

/// Whether a slot is free within \a share (0 to 1) of the upstream's slots, less \a reserve slots.
/// This scheduler's part of the slots limits its own tasks, and all slots limit them together with
/// the requests of other senders.
bool SlotScheduler::hasRoom(absl::Time now, const Upstream &upstream, double share,
                            std::int64_t reserve) const
{
    const auto isFull = [&](std::int64_t requests, std::int64_t slots) {
        const auto capacity =
                static_cast<std::int64_t>(std::ceil(static_cast<double>(slots) * share));
        return requests >= capacity - reserve;
    };
    const std::int64_t own = upstream.occupiedSlots();
    return !isFull(own, upstream.info.usableSlots())
           && !isFull(own + foreignRequests(now, upstream), upstream.info.slots);
}

/// Whether the upstream may get a further request before its first load report since a takeover, or
/// needs no probes.
bool SlotScheduler::mayProbe(absl::Time now, const Upstream &upstream) const
{
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

bool SlotScheduler::hasUsableUpstream(absl::Time now, const std::string &service,
                                      const std::string &sender,
                                      const std::optional<std::string> &version) const
{
    const auto found = m_services.find(service);
    if (found == m_services.end())
        return false;
    const auto &upstreams = found->second.upstreams;
    return std::any_of(upstreams.begin(), upstreams.end(), [&](const Upstream *upstream) {
        return !upstream->info.leaving && (!version || upstream->info.version == *version)
               && upstream->health.trafficShare(now, sender) > 0;
    });
}

std::size_t SlotScheduler::ejectedUpstreamCount(absl::Time now) const
{
    std::size_t count = 0;
    for (const auto &[id, upstream] : m_upstreams) {
        if (upstream->removed || upstream->info.leaving)
            continue;
        const bool isEjected = upstream->health.isEjected(now) || isFailing(now, *upstream);
        count += isEjected ? 1 : 0;
    }
    return count;
}

std::vector<ServiceLoad> SlotScheduler::serviceLoads(absl::Time now) const
{
    std::vector<ServiceLoad> loads;
    for (const auto &[name, service] : m_services) {
        ServiceLoad load;
        load.service = name;
        std::int64_t busiest = 0;
        std::int64_t accepting = 0;
        for (const Upstream *upstream : service.upstreams) {
            if (upstream->info.leaving)
                continue;
            ++accepting;
            load.running += upstream->occupiedSlots();
            busiest = std::max(busiest, upstream->occupiedSlots());
            load.highestPace = std::max(load.highestPace, upstream->load.pace(now));
        }
        if (load.running == 0)
            continue;
        const double mean = static_cast<double>(load.running) / static_cast<double>(accepting);
        load.spread = static_cast<double>(busiest) / mean;
        loads.push_back(std::move(load));
    }
    return loads;
}

} // namespace rattanrill::policy
