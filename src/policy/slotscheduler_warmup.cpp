#include "rattanrill/policy/slotscheduler.h"

#include <algorithm>

/// The rates at which SlotScheduler may send requests to an upstream: the limit that it names and,
/// while it is cold, its warm-up rate.
namespace rattanrill::policy {

void SlotScheduler::setWarmUp(absl::Time now, const std::string &upstream,
                              const WarmUpSettings &settings)
{
    const auto found = m_upstreams.find(upstream);
    if (found != m_upstreams.end())
        found->second->warmUp.configure(now, settings);
}

void SlotScheduler::coldListed(absl::Time now, const std::string &upstream,
                               absl::Duration remaining, absl::Time readAt)
{
    const auto found = m_upstreams.find(upstream);
    if (found != m_upstreams.end())
        found->second->warmUp.recordListed(now, remaining, readAt);
}

bool SlotScheduler::coldReported(absl::Time now, const std::string &upstream,
                                 absl::Duration remaining)
{
    const auto found = m_upstreams.find(upstream);
    if (found == m_upstreams.end())
        return false;
    WarmUp &warmUp = found->second->warmUp;
    const bool wasCold = warmUp.isCold(now);
    warmUp.recordReported(now, remaining);
    return warmUp.isCold(now) != wasCold;
}

std::vector<ColdUpstream> SlotScheduler::coldUpstreams(absl::Time now) const
{
    std::vector<ColdUpstream> cold;
    for (const auto &[id, upstream] : m_upstreams) {
        const WarmUp &warmUp = upstream->warmUp;
        if (!upstream->removed && warmUp.isCold(now))
            cold.push_back({id, warmUp.coldUntil() - now, warmUp.source()});
    }
    return cold;
}

/// Whether the rates allow a request to the upstream.
bool SlotScheduler::mayReceive(absl::Time now, const Upstream &upstream, TaskKind kind)
{
    return upstream.limit.allows(now) && upstream.warmUp.allows(now, kind);
}

/// Time from which mayReceive() is true if no other request is sent before.
absl::Time SlotScheduler::nextReceivable(absl::Time now, const Upstream &upstream, TaskKind kind)
{
    return std::max(upstream.limit.nextAllowed(now), upstream.warmUp.nextAllowed(now, kind));
}

/// Counts a request that is sent to the upstream.
void SlotScheduler::recordSent(absl::Time now, Upstream &upstream)
{
    upstream.limit.take(now);
    upstream.warmUp.take(now);
}

/// The lower of the rates, in requests per second; absent when none holds.
std::optional<double> SlotScheduler::receivingRate(absl::Time now, const Upstream &upstream)
{
    const std::optional<double> limit = upstream.limit.limit(now);
    const std::optional<double> warmUpRate = upstream.warmUp.rate(now);
    if (!limit || !warmUpRate)
        return limit ? limit : warmUpRate;
    return std::min(*limit, *warmUpRate);
}

/// Counts the first time that the task waits although an upstream has a free slot that it would get
/// if the upstream were not cold.
void SlotScheduler::countWarmUpWait(absl::Time now, const Service &service, Item &item)
{
    if (item.isWarmUpWait)
        return;
    item.isWarmUpWait = std::any_of(
            service.upstreams.begin(), service.upstreams.end(), [&](const Upstream *upstream) {
                return exclusionReason(now, service, *upstream, item) == ExclusionReason::Cold
                       && hasFreeSlot(now, *upstream, item.task);
            });
    m_warmUpWaits += item.isWarmUpWait ? 1 : 0;
}

} // namespace rattanrill::policy
