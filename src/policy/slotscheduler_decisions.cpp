#include "rattanrill/policy/slotscheduler.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

/// Decisions of SlotScheduler: which waiting task gets a slot, is rejected or is preempted.
namespace rattanrill::policy {
namespace {

/// Number of slots granted to other batch tasks after which a late task gets one, so that late
/// tasks do not starve.
constexpr int grantsPerLateTask = 8;
/// Number of requests that an upstream of the own failure domain may have more than another one and
/// still be chosen for an online task.
constexpr double maxNearerExtraRequests = 2;
/// Number of requests that a warm upstream may have more than a cold one and still be chosen.
constexpr double maxWarmerExtraRequests = 2;
/// Retry-After when no upstream of the service accepts tasks.
constexpr absl::Duration noUpstreamRetryAfter = absl::Seconds(1);

} // namespace

/// Upstreams that have a free slot for the task and are not passed over.
std::vector<SlotScheduler::Upstream *>
SlotScheduler::freeUpstreams(absl::Time now, const Service &service, const Item &item) const
{
    std::vector<Upstream *> open;
    open.reserve(service.upstreams.size());
    for (Upstream *upstream : service.upstreams) {
        if (accepts(now, service, *upstream, item) && hasFreeSlot(now, *upstream, item.task))
            open.push_back(upstream);
    }
    removePassedOver(now, service.failures, open);
    return open;
}

/// What counts for the choice of each of \a upstreams, in their order.
std::vector<LoadCandidate>
SlotScheduler::loadCandidates(absl::Time now, const Service &service, const SlotTask &task,
                              const std::vector<Upstream *> &upstreams) const
{
    std::vector<LoadCandidate> candidates;
    candidates.reserve(upstreams.size());
    for (const Upstream *upstream : upstreams)
        candidates.push_back(candidateOf(now, service, *upstream, task));
    return candidates;
}

/// Random number for the choice of an upstream. Only schedulers that share upstreams draw one.
double SlotScheduler::choiceDraw(std::mt19937_64 &random) const
{
    return m_settings.sharesUpstreams ? std::uniform_real_distribution<double>()(random) : 0.0;
}

/// Returns the upstream where the task is expected to end first among those with a free slot. At
/// equal pace that is the one with the fewest requests, because each request makes the decode steps
/// of all others longer. An online task goes to an upstream of its own failure domain that has a
/// few requests more: the difference in speed is small, and its prompt and its response don't cross
/// the boundary of the domain. A warm upstream goes before a cold one in the same way, because the
/// cold one may get few requests. Equal upstreams take turns.
SlotScheduler::Upstream *SlotScheduler::freeUpstream(absl::Time now, const Service &service,
                                                     const Item &item)
{
    const std::vector<Upstream *> open = freeUpstreams(now, service, item);
    if (open.empty())
        return nullptr;
    return open[chooseCandidate(loadCandidates(now, service, item.task, open),
                                arrivalsElsewhere(now, service), choiceDraw(m_random))];
}

/// What counts for the choice of \a upstream for \a task.
LoadCandidate SlotScheduler::candidateOf(absl::Time now, const Service &service,
                                         const Upstream &upstream, const SlotTask &task) const
{
    LoadCandidate candidate;
    candidate.requests = expectedRequests(now, service, upstream);
    candidate.pace = upstream.load.pace(now);
    candidate.isNear = upstream.info.failureDomain == task.failureDomain;
    if (task.kind == TaskKind::Online && !candidate.isNear)
        candidate.penalty += maxNearerExtraRequests;
    if (upstream.warmUp.isCold(now))
        candidate.penalty += maxWarmerExtraRequests;
    candidate.turn = upstream.load.turn();
    candidate.hasSentEnough = m_settings.sharesUpstreams && upstream.load.hasSentEnough(now);
    return candidate;
}

/// Number of requests expected at the upstream from what this scheduler knows of it alone.
double SlotScheduler::expectedRequests(absl::Time now, const Service &service,
                                       const Upstream &upstream) const
{
    const auto own = static_cast<double>(upstream.occupiedSlots());
    if (m_settings.sharesUpstreams)
        return own + upstream.load.remainingRequests(now, service.meanHoldTime);
    return own + static_cast<double>(foreignRequests(now, upstream));
}

/// Requests that other schedulers are expected to have sent since the upstreams' last reports. No
/// scheduler sends any to those that are leaving.
double SlotScheduler::arrivalsElsewhere(absl::Time now, const Service &service) const
{
    if (!m_settings.sharesUpstreams)
        return 0;
    std::vector<const LoadEstimate *> loads;
    loads.reserve(service.upstreams.size());
    for (const Upstream *upstream : service.upstreams) {
        if (!upstream->info.leaving)
            loads.push_back(&upstream->load);
    }
    return expectedArrivals(loads, now, service.meanHoldTime);
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

/// Returns the batch task with the shortest run time, which is farthest from its end; of equal ones
/// the last that arrived. Requires that the upstream runs one.
SlotScheduler::Item &SlotScheduler::preemptibleTask(absl::Time now, const Upstream &upstream)
{
    const auto rank = [now](const Item *item) {
        const absl::Duration runTime = item->task.priorRunTime + (now - item->since);
        return std::pair(runTime, std::numeric_limits<TaskId>::max() - item->number);
    };
    const auto least = std::min_element(
            upstream.batch.begin(), upstream.batch.end(),
            [&](const Item *left, const Item *right) { return rank(left) < rank(right); });
    return **least;
}

void SlotScheduler::preemptOne(absl::Time now, Upstream &upstream)
{
    Item &item = preemptibleTask(now, upstream);
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
    recordSent(now, upstream);
    upstream.load.granted(++m_lastTurn);
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
        if (upstream == nullptr) {
            countWarmUpWait(now, service, item);
            return false;
        }
        preemptOne(now, *upstream);
    }
    grant(now, service, item, *upstream);
    return true;
}

/// Whether the upstream has a slot, free or of a batch task, for an online task of some sender.
bool SlotScheduler::mayTakeOnline(absl::Time now, const Upstream &upstream) const
{
    const bool isAccepting = !upstream.info.leaving && !upstream.health.isEjected(now)
                             && mayReceive(now, upstream, TaskKind::Online);
    if (!isAccepting)
        return false;
    const double share = std::min(upstream.health.trafficShare(now),
                                  upstream.failures->usableShare(now, upstream.info.id));
    return !upstream.batch.empty() || (hasRoom(now, upstream, share, 0) && mayProbe(now, upstream));
}

/// Whether a failing upstream of \a version may serve a task that excludes up to \a mostExcluded
/// upstreams: not if each sender can use more sound ones of the version.
bool SlotScheduler::isLastResort(absl::Time now, const Service &service, const std::string &version,
                                 std::size_t mostExcluded)
{
    const TaskScope allSenders{version, std::nullopt, {}};
    std::size_t sound = 0;
    for (const Upstream *upstream : service.upstreams) {
        sound += isSoundFor(now, *upstream, allSenders) ? 1 : 0;
        if (sound > mostExcluded)
            return false;
    }
    return true;
}

/// Upstreams that may take an online task of some sender that excludes up to \a mostExcluded
/// upstreams and needs a certain version.
std::vector<const SlotScheduler::Upstream *>
SlotScheduler::openUpstreams(absl::Time now, const Service &service, std::size_t mostExcluded) const
{
    std::vector<const Upstream *> open;
    std::copy_if(
            service.upstreams.begin(), service.upstreams.end(), std::back_inserter(open),
            [&](const Upstream *upstream) {
                return mayTakeOnline(now, *upstream)
                       && (!isFailing(now, *upstream)
                           || isLastResort(now, service, upstream->info.version, mostExcluded));
            });
    return open;
}

/// Whether one of the upstreams that may take an online task accepts \a item.
bool SlotScheduler::isAcceptedByAny(absl::Time now, const Service &service, const Item &item,
                                    const std::vector<const Upstream *> &open) const
{
    return std::any_of(open.begin(), open.end(), [&](const Upstream *upstream) {
        return accepts(now, service, *upstream, item);
    });
}

/// Tasks that wait for upstreams of another version do not hold up those behind them. While no
/// upstream can take a task, the waiting ones are not searched: hundreds of them wait when many
/// upstreams pause, and each release and each request leads to a decision.
void SlotScheduler::decideBound(absl::Time now, Service &service)
{
    if (service.bound.empty())
        return;
    const auto findOpen = [&] { return openUpstreams(now, service, service.mostExcludedByBound); };
    std::vector<const Upstream *> open = findOpen();
    const bool checksVersions = std::exchange(service.hasUncheckedVersions, false);
    const auto isSearchOver = [&] { return open.empty() && !checksVersions; };
    if (isSearchOver())
        return;
    const auto waiting = service.bound;
    for (const auto &[priority, number] : waiting) {
        Item &item = *itemOf(number);
        if (checksVersions && isVersionGone(service, item)) {
            reject(now, service, item);
            continue;
        }
        const bool isAccepted = isAcceptedByAny(now, service, item, open);
        if (isAccepted && grantOnline(now, service, item))
            open = findOpen();
        if (isSearchOver())
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
    moveLateTasks(now, service);
    while (Item *item = firstBatch(now, service)) {
        Upstream *upstream = freeUpstream(now, service, *item);
        if (upstream == nullptr)
            return;
        grant(now, service, *item, *upstream);
        moveLateTasks(now, service);
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

/// Versions of which an upstream has a slot for a batch task of \a sender; without one, of some
/// sender.
std::set<std::string>
SlotScheduler::freeBatchVersions(absl::Time now, const Service &service,
                                 const std::optional<std::string> &sender) const
{
    SlotTask task;
    task.kind = TaskKind::Batch;
    task.sender = sender.value_or(std::string());
    std::set<std::string> versions;
    for (const Upstream *upstream : service.upstreams) {
        const bool isAccepting =
                !upstream->info.leaving && !upstream->health.isEjectedFor(now, task.sender)
                && mayReceive(now, *upstream, TaskKind::Batch)
                && (!isFailing(now, *upstream)
                    || !hasSoundUpstream(now, service, {upstream->info.version, sender, {}}));
        if (isAccepting && hasFreeSlot(now, *upstream, task))
            versions.insert(upstream->info.version);
    }
    return versions;
}

/// Whether the batch task does not wait for a slot at its version. \a freeVersions keeps what was
/// found for other tasks.
bool SlotScheduler::canStartBatch(absl::Time now, const Service &service, const Item &item,
                                  FreeVersions &freeVersions) const
{
    if (service.versions.size() <= 1 || !isBound(service, item.task))
        return true;
    const auto [free, isNew] = freeVersions.try_emplace(item.task.sender);
    if (isNew)
        free->second = freeBatchVersions(now, service, item.task.sender);
    return free->second.count(*item.task.version) != 0;
}

/// Whether some batch task may get a free slot. Checked only with several versions, because
/// firstBatch() would otherwise search all tasks in vain for one whose version has a free slot.
bool SlotScheduler::mayStartAnyBatch(absl::Time now, const Service &service) const
{
    return service.versions.size() <= 1 || !freeBatchVersions(now, service, std::nullopt).empty();
}

/// Returns the interrupted task that is nearest to its end, else a task that has not started, else
/// a late one. After grantsPerLateTask grants to other batch tasks, a late task goes first. Passes
/// over tasks that wait for a slot at their version.
SlotScheduler::Item *SlotScheduler::firstBatch(absl::Time now, const Service &service) const
{
    FreeVersions freeVersions;
    const auto canStart = [&](const Item &item) {
        return canStartBatch(now, service, item, freeVersions);
    };
    if (!mayStartAnyBatch(now, service))
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

/// Expected time between the ends of two successive online requests when all slots are occupied,
/// counting only the slots that tasks of this scheduler can hold: those waiting here get no others.
/// A limit or a warm-up rate makes the slots beyond it unavailable, and an upstream that is slower
/// than usual frees its slots less often.
absl::Duration SlotScheduler::slotReleaseInterval(absl::Time now, const Service &service) const
{
    double slots = 0;
    for (const Upstream *upstream : service.upstreams) {
        if (upstream->info.leaving)
            continue;
        const double upstreamSlots =
                static_cast<double>(upstream->info.usableSlots()) / upstream->load.pace(now);
        const std::optional<double> limit = receivingRate(now, *upstream);
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
            slots += std::max<std::int64_t>(
                    upstream->info.usableSlots() - upstream->occupiedSlots(), 0);
    }
    return slots;
}

/// Expected time until the last of \a waiting online tasks without a version gets a slot.
absl::Duration SlotScheduler::expectedWait(absl::Time now, const Service &service,
                                           std::size_t waiting) const
{
    const std::int64_t ahead = static_cast<std::int64_t>(waiting) - withheldSlots(now, service);
    return slotReleaseInterval(now, service)
           * static_cast<double>(std::max<std::int64_t>(ahead, 0));
}

/// Returns a task that is not expected to get a slot before its deadline while \a waiting tasks
/// wait: the last one of the lowest priority whose last task is of this kind. \a online: the tasks
/// by priority; \a added: one of them that the scheduler doesn't have, or null.
std::optional<TaskId> SlotScheduler::lastUnservable(absl::Time now, const Service &service,
                                                    const std::map<int, FairQueue> &online,
                                                    std::size_t waiting, const Item *added) const
{
    const absl::Time servedAt = now + expectedWait(now, service, waiting);
    for (auto entry = online.rbegin(); entry != online.rend(); ++entry) {
        const std::optional<TaskId> last = entry->second.back();
        if (!last)
            continue;
        const bool isAdded = added != nullptr && added->number == *last;
        const Item &item = isAdded ? *added : *itemOf(*last);
        if (servedAt > item.task.deadline)
            return last;
    }
    return std::nullopt;
}

/// Rejects tasks that are not expected to get a slot before their deadline at once, rather than at
/// the deadline. The tasks of the workspace with the most service are rejected first.
void SlotScheduler::rejectUnservable(absl::Time now, Service &service)
{
    while (const std::optional<TaskId> last =
                   lastUnservable(now, service, service.online, service.onlineWaiting, nullptr))
        reject(now, service, *itemOf(*last));
}

void SlotScheduler::rejectExpired(absl::Time now)
{
    while (!m_onlineDeadlines.empty() && m_onlineDeadlines.begin()->first <= now) {
        Item &item = *itemOf(m_onlineDeadlines.begin()->second);
        reject(now, service(item.task.service), item);
    }
}

/// Retry-After of a task that is rejected now. The retries follow each other as slots become free:
/// \a lastRetryAt is the time of the last one, and is set to that of this one.
absl::Duration SlotScheduler::nextRetry(absl::Time now, const Service &service,
                                        const SlotTask &task, absl::Time &lastRetryAt) const
{
    const absl::Duration interval = slotReleaseInterval(now, service);
    if (interval == absl::InfiniteDuration())
        return noUpstreamRetryAfter;
    const absl::Time next = std::max(lastRetryAt, now + m_settings.minRetryAfter)
                            + interval / m_settings.retryShare;
    const absl::Duration wait = std::min(next - now, task.maxRetryAfter);
    lastRetryAt = now + wait;
    return wait;
}

void SlotScheduler::reject(absl::Time now, Service &service, Item &item)
{
    const absl::Duration wait = nextRetry(now, service, item.task, service.lastRetryAt);
    m_decisions.emplace_back(RejectSlot{item.task.id, wait, isVersionGone(service, item)});
    dequeue(service, item);
    removeItem(item);
}

std::vector<SlotDecision> SlotScheduler::decide(absl::Time now)
{
    m_decidedAt = now;
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
/// that its limit or its warm-up rate does not allow yet.
absl::Time SlotScheduler::nextAllowedRequest(absl::Time now) const
{
    absl::Time next = absl::InfiniteFuture();
    for (const auto &[name, service] : m_services) {
        if (service.bound.size() + service.onlineWaiting + service.batchWaiting == 0)
            continue;
        std::vector<TaskKind> kinds;
        if (service.bound.size() + service.onlineWaiting > 0)
            kinds.push_back(TaskKind::Online);
        // See decideBatch().
        if (service.batchWaiting > 0 && service.onlineWaiting == 0)
            kinds.push_back(TaskKind::Batch);
        for (const TaskKind kind : kinds) {
            for (const Upstream *upstream : service.upstreams) {
                if (!mayReceive(now, *upstream, kind))
                    next = std::min(next, nextReceivable(now, *upstream, kind));
            }
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
