#include "rattanrill/policy/slotscheduler.h"

#include <algorithm>
#include <utility>

/// Explanations of the decisions of SlotScheduler. They ask the functions that decide.
namespace rattanrill::policy {
namespace {

/// The task whose turn comes first; \a online: the waiting online tasks by priority.
std::optional<TaskId> firstOnline(const std::map<int, FairQueue> &online)
{
    for (const auto &[priority, queue] : online) {
        if (const std::optional<TaskId> first = queue.front())
            return first;
    }
    return std::nullopt;
}

void setRejected(PlacementExplanation &explanation, absl::Duration retryAfter)
{
    explanation.outcome = PlacementOutcome::Rejected;
    explanation.wait = retryAfter;
}

} // namespace

PlacementExplanation SlotScheduler::explain(absl::Time now, const SlotTask &task) const
{
    static const Service unknownService{};
    const auto found = m_services.find(task.service);
    const Service &service = found == m_services.end() ? unknownService : found->second;
    Item item;
    item.task = task;
    item.number = m_nextNumber;
    item.since = now;
    PlacementExplanation explanation;
    explanation.waitingTasks = waiting(task.service, task.kind);
    if (m_decidedAt != absl::InfinitePast())
        explanation.lastDecisionAge = now - m_decidedAt;
    const std::vector<Upstream *> open = freeUpstreams(now, service, item);
    // The open upstreams have the order of all.
    auto nextOpen = open.begin();
    for (const Upstream *upstream : service.upstreams) {
        UpstreamExplanation explained = explainUpstream(now, service, *upstream, item);
        if (nextOpen != open.end() && *nextOpen == upstream)
            ++nextOpen;
        else if (!explained.reason)
            explained.reason = ExclusionReason::PassedOver;
        explanation.upstreams.push_back(std::move(explained));
    }
    if (task.kind == TaskKind::Batch)
        explainBatch(now, service, item, open, explanation);
    else if (task.version)
        explainBound(now, service, item, open, explanation);
    else
        explainOnline(now, service, item, open, explanation);
    return explanation;
}

UpstreamExplanation SlotScheduler::explainUpstream(absl::Time now, const Service &service,
                                                   const Upstream &upstream, const Item &item) const
{
    UpstreamExplanation explanation;
    explanation.id = upstream.info.id;
    explanation.failureDomain = upstream.info.failureDomain;
    explanation.version = upstream.info.version;
    explanation.slots = upstream.info.slots;
    explanation.requests = upstream.occupiedSlots();
    explanation.requestsOfOthers = foreignRequests(now, upstream);
    // reports[1] is the latest report.
    const absl::Time reportedAt = upstream.reports[1].at;
    if (reportedAt != absl::InfinitePast())
        explanation.loadReportAge = now - reportedAt;
    explanation.pace = upstream.load.pace(now);
    explanation.cost = expectedCost(candidateOf(now, service, upstream, item.task));
    if (upstream.warmUp.isCold(now))
        explanation.coldRemaining = upstream.warmUp.coldUntil() - now;
    explanation.reason = exclusionReason(now, service, upstream, item);
    // The two conditions of hasFreeSlot().
    if (!explanation.reason && !hasRoomFor(now, upstream, item.task))
        explanation.reason = ExclusionReason::NoFreeSlot;
    else if (!explanation.reason && !mayProbe(now, upstream))
        explanation.reason = ExclusionReason::LoadUnknown;
    if (explanation.reason == ExclusionReason::Ejected)
        explanation.reasonRemaining = upstream.health.ejectedUntil(item.task.sender) - now;
    if (explanation.reason == ExclusionReason::Failing)
        explanation.reasonRemaining = upstream.failures->ejectedUntil(upstream.info.id) - now;
    return explanation;
}

/// What selected the candidate with the index \a chosen. \a open: the upstreams of the candidates.
SelectionRule SlotScheduler::selectionRule(absl::Time now, const Service &service,
                                           const SlotTask &task,
                                           const std::vector<Upstream *> &open,
                                           const std::vector<LoadCandidate> &candidates,
                                           std::size_t chosen) const
{
    if (candidates.size() == 1)
        return SelectionRule::OnlyCandidate;
    const LoadCandidate &best = candidates[chosen];
    const double cost = expectedCost(best);
    const auto costsNoMoreIfNear = [&](const Upstream *other) {
        if (other->info.failureDomain == task.failureDomain)
            return false;
        SlotTask nearTask = task;
        nearTask.failureDomain = other->info.failureDomain;
        return expectedCost(candidateOf(now, service, *other, nearTask)) <= cost;
    };
    if (best.isNear && std::any_of(open.begin(), open.end(), costsNoMoreIfNear))
        return SelectionRule::OwnFailureDomain;
    const auto isEqual = [&](const LoadCandidate &other) {
        return &other != &best && other.hasSentEnough == best.hasSentEnough
               && expectedCost(other) == cost && other.isNear == best.isNear;
    };
    return std::any_of(candidates.begin(), candidates.end(), isEqual) ? SelectionRule::NextTurn
                                                                      : SelectionRule::LeastCost;
}

/// Explains which free slot the task gets, at one of the upstreams \a open. Returns false when
/// there is none.
bool SlotScheduler::explainFreeSlot(absl::Time now, const Service &service, const Item &item,
                                    const std::vector<Upstream *> &open,
                                    PlacementExplanation &explanation) const
{
    if (open.empty())
        return false;
    const std::vector<LoadCandidate> candidates = loadCandidates(now, service, item.task, open);
    // The next decision draws the same number.
    std::mt19937_64 random = m_random;
    const std::size_t chosen =
            chooseCandidate(candidates, arrivalsElsewhere(now, service), choiceDraw(random));
    explanation.outcome = PlacementOutcome::Granted;
    explanation.upstream = open[chosen]->info.id;
    explanation.rule = selectionRule(now, service, item.task, open, candidates, chosen);
    return true;
}

/// Explains which free slot, or slot of a batch task, the online task gets. Returns false when
/// there is none.
bool SlotScheduler::explainOnlineSlot(absl::Time now, const Service &service, const Item &item,
                                      const std::vector<Upstream *> &open,
                                      PlacementExplanation &explanation) const
{
    if (explainFreeSlot(now, service, item, open, explanation))
        return true;
    const Upstream *upstream = preemptibleUpstream(now, service, item);
    if (upstream == nullptr)
        return false;
    explanation.outcome = PlacementOutcome::Preempts;
    explanation.upstream = upstream->info.id;
    explanation.preemptedTask = preemptibleTask(now, *upstream).task.id;
    return true;
}

/// Explains whether the online task, which gets no slot now, waits or is rejected, after the tasks
/// that are rejected before it. \a online: the waiting tasks by priority, including this one.
void SlotScheduler::explainWait(absl::Time now, const Service &service, const Item &item,
                                const std::vector<Upstream *> &open,
                                std::map<int, FairQueue> online,
                                PlacementExplanation &explanation) const
{
    absl::Time lastRetryAt = service.lastRetryAt;
    std::size_t waiting = service.onlineWaiting + 1;
    while (const std::optional<TaskId> last =
                   lastUnservable(now, service, online, waiting, &item)) {
        const bool isItem = *last == item.number;
        const SlotTask &task = isItem ? item.task : itemOf(*last)->task;
        const absl::Duration retryAfter = nextRetry(now, service, task, lastRetryAt);
        if (isItem)
            return setRejected(explanation, retryAfter);
        online.at(task.priority).remove(*last);
        --waiting;
    }
    // The broker decides again after rejections: the task may have waited behind one of these.
    const bool isNext = waiting <= service.onlineWaiting && firstOnline(online) == item.number;
    if (isNext && explainOnlineSlot(now, service, item, open, explanation))
        return;
    if (item.task.deadline <= now)
        return setRejected(explanation, nextRetry(now, service, item.task, lastRetryAt));
    const absl::Duration wait = expectedWait(now, service, waiting);
    if (wait != absl::InfiniteDuration())
        explanation.wait = wait;
}

void SlotScheduler::explainOnline(absl::Time now, const Service &service, const Item &item,
                                  const std::vector<Upstream *> &open,
                                  PlacementExplanation &explanation) const
{
    std::map<int, FairQueue> online = service.online;
    online[item.task.priority].push(item.task.workspace, item.number, now);
    const bool isNext = firstOnline(online) == item.number;
    if (isNext && explainOnlineSlot(now, service, item, open, explanation))
        return;
    explainWait(now, service, item, open, std::move(online), explanation);
}

/// Explains the decision for an online task that needs an upstream of a certain version.
void SlotScheduler::explainBound(absl::Time now, const Service &service, const Item &item,
                                 const std::vector<Upstream *> &open,
                                 PlacementExplanation &explanation) const
{
    explanation.isVersionGone = isVersionGone(service, item);
    const bool isAccepted =
            !explanation.isVersionGone
            && isAcceptedByAny(now, service, item,
                               openUpstreams(now, service, item.task.excluded.size()));
    if (isAccepted && explainOnlineSlot(now, service, item, open, explanation))
        return;
    if (!explanation.isVersionGone && item.task.deadline > now)
        return;
    absl::Time lastRetryAt = service.lastRetryAt;
    setRejected(explanation, nextRetry(now, service, item.task, lastRetryAt));
}

/// Explains the decision for a batch task. It waits behind all online tasks without a version and
/// behind each batch task that can start, whatever their order: the batch queues can be too long to
/// be copied. firstBatch() also returns null while no batch task may start, so this is checked too.
void SlotScheduler::explainBatch(absl::Time now, const Service &service, const Item &item,
                                 const std::vector<Upstream *> &open,
                                 PlacementExplanation &explanation) const
{
    FreeVersions freeVersions;
    const bool isNext = service.onlineWaiting == 0 && mayStartAnyBatch(now, service)
                        && firstBatch(now, service) == nullptr
                        && canStartBatch(now, service, item, freeVersions);
    if (isNext)
        explainFreeSlot(now, service, item, open, explanation);
}

} // namespace rattanrill::policy
