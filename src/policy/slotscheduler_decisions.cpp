#include "rattanrill/policy/slotscheduler.h"

#include <algorithm>
#include <iterator>
#include <utility>

/// Decisions of SlotScheduler: which waiting task gets a slot, is rejected or is preempted.
namespace rattanrill::policy {
namespace {

/// Number of slots granted to other batch tasks after which a late task gets one, so that late
/// tasks do not starve.
constexpr int grantsPerLateTask = 8;
/// Number of requests that an upstream of the own failure domain may have more than another one and
/// still be chosen for an online task.
constexpr std::int64_t maxNearerExtraRequests = 2;
/// Retry-After when no upstream of the service accepts tasks.
constexpr absl::Duration noUpstreamRetryAfter = absl::Seconds(1);

} // namespace

/// Returns the upstream with the fewest requests among those with a free slot, because each request
/// makes the decode steps of all others longer. An online task goes to an upstream of its own
/// failure domain that has a few requests more: the difference in speed is small, and its prompt
/// and its response don't cross the boundary of the domain.
SlotScheduler::Upstream *SlotScheduler::freeUpstream(absl::Time now, const Service &service,
                                                     const Item &item) const
{
    const std::int64_t farPenalty = item.task.kind == TaskKind::Online ? maxNearerExtraRequests : 0;
    Upstream *best = nullptr;
    std::int64_t bestCost = 0;
    bool isBestNear = false;
    for (Upstream *upstream : service.upstreams) {
        if (!accepts(now, service, *upstream, item) || !hasFreeSlot(now, *upstream, item.task))
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
    else if (item.task.kind != TaskKind::Online)
        ++service.grantsSinceLate;
    upstream.limit.take(now);
    item.isProbe = isLoadUnknown(now, upstream);
    upstream.probes += item.isProbe ? 1 : 0;
    item.upstream = &upstream;
    item.since = now;
    (item.task.kind == TaskKind::Online ? upstream.online : upstream.batch).insert(&item);
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

/// Whether the upstream has a slot, free or of a batch task, for an online task of some sender.
bool SlotScheduler::mayTakeOnline(absl::Time now, const Upstream &upstream) const
{
    if (upstream.info.leaving || upstream.health.isEjected(now) || !upstream.limit.allows(now))
        return false;
    return !upstream.batch.empty() || hasRoom(now, upstream, upstream.health.trafficShare(now), 0);
}

std::vector<const SlotScheduler::Upstream *>
SlotScheduler::openUpstreams(absl::Time now, const Service &service) const
{
    std::vector<const Upstream *> open;
    std::copy_if(service.upstreams.begin(), service.upstreams.end(), std::back_inserter(open),
                 [&](const Upstream *upstream) { return mayTakeOnline(now, *upstream); });
    return open;
}

/// Tasks that wait for upstreams of another version do not hold up those behind them. While no
/// upstream can take a task, the waiting ones are not searched: hundreds of them wait when many
/// upstreams pause, and each release and each request leads to a decision.
void SlotScheduler::decideBound(absl::Time now, Service &service)
{
    if (service.bound.empty())
        return;
    std::vector<const Upstream *> open = openUpstreams(now, service);
    const bool checksVersions = std::exchange(service.hasUncheckedVersions, false);
    if (open.empty() && !checksVersions)
        return;
    const auto waiting = service.bound;
    for (const auto &[priority, number] : waiting) {
        Item &item = *itemOf(number);
        if (checksVersions && isVersionGone(service, item)) {
            reject(now, service, item);
            continue;
        }
        const bool isAccepted = std::any_of(open.begin(), open.end(), [&](const auto *upstream) {
            return accepts(now, service, *upstream, item);
        });
        if (isAccepted && grantOnline(now, service, item))
            open = openUpstreams(now, service);
        if (open.empty() && !checksVersions)
            return;
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

/// Versions of which an upstream has a slot for a batch task of \a sender.
std::set<std::string> SlotScheduler::freeBatchVersions(absl::Time now, const Service &service,
                                                       const std::string &sender) const
{
    SlotTask task;
    task.kind = TaskKind::Batch;
    task.sender = sender;
    std::set<std::string> versions;
    for (const Upstream *upstream : service.upstreams) {
        const bool isAccepting = !upstream->info.leaving
                                 && !upstream->health.isEjectedFor(now, sender)
                                 && upstream->limit.allows(now);
        if (isAccepting && hasFreeSlot(now, *upstream, task))
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
    std::map<std::string, std::set<std::string>> freeVersionsBySender;
    const auto canStart = [&](const Item &item) {
        if (service.versions.size() <= 1 || !isBound(service, item.task))
            return true;
        const auto [free, isNew] = freeVersionsBySender.try_emplace(item.task.sender);
        if (isNew)
            free->second = freeBatchVersions(now, service, item.task.sender);
        return free->second.count(*item.task.version) != 0;
    };
    // Without a free slot no task can start. The search below is for free slots of other versions.
    if (service.versions.size() > 1 && freeBatchVersions(now, service, std::string()).empty())
        return nullptr;
    const auto firstOf = [&](const FairQueue &queue) {
        const auto number = queue.front([&](TaskId task) { return canStart(*itemOf(task)); });
        return number ? itemOf(*number) : nullptr;
    };
    Item *late = firstOf(service.late);
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
    Item *next = firstOf(service.batch);
    return next != nullptr ? next : late;
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

} // namespace rattanrill::policy
