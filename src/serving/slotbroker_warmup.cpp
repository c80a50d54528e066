#include "rattanrill/base/logger.h"
#include "rattanrill/serving/slotbroker.h"

#include <algorithm>
#include <utility>

/// What a SlotBroker knows of cold upstreams.
namespace rattanrill::serving {

policy::WarmUpSettings SlotBroker::warmUpOf(const std::string &service) const
{
    const Service *configured = m_deployment ? m_deployment->service(service) : nullptr;
    if (configured == nullptr || configured->warmUpRate <= 0)
        return {};
    return {configured->warmUpTime, configured->warmUpRate * m_share.warmUpFraction};
}

bool SlotBroker::limitsWarmUps() const
{
    if (!m_deployment)
        return false;
    const auto &services = m_deployment->deployment().services;
    return std::any_of(services.begin(), services.end(),
                       [](const Service &service) { return service.warmUpRate > 0; });
}

/// Passes the configuration and what the list shows to the scheduler.
void SlotBroker::applyWarmUp()
{
    const bool didLimitWarmUps = std::exchange(m_limitsWarmUps, limitsWarmUps());
    if (!m_limitsWarmUps && !didLimitWarmUps)
        return;
    const absl::Time now = m_clock.now();
    for (const policy::SlotUpstream &upstream : m_upstreams) {
        m_scheduler.setWarmUp(now, upstream.id, warmUpOf(upstream.service));
        const auto listed = m_listedCold.find(upstream.id);
        if (listed != m_listedCold.end())
            m_scheduler.coldListed(now, upstream.id, absl::Milliseconds(listed->second),
                                   m_listReadAt);
    }
    updateCold();
}

void SlotBroker::reportCold(const wire::UpstreamLoad &load)
{
    if (load.coldRemainingMs < 0)
        return;
    const absl::Duration remaining = absl::Milliseconds(load.coldRemainingMs);
    if (!m_scheduler.coldReported(m_clock.now(), load.upstream, remaining))
        return;
    updateCold();
    decide();
}

/// Logs which upstreams have become cold or warm. Local shares, which grant nothing at cold
/// upstreams, log nothing: there is one in each entry.
void SlotBroker::updateCold()
{
    if (!m_limitsWarmUps && m_cold.empty())
        return;
    std::map<std::string, policy::ColdUpstream> cold;
    for (policy::ColdUpstream &upstream : m_scheduler.coldUpstreams(m_clock.now())) {
        if (m_cold.count(upstream.upstream) == 0)
            logWarmUp("upstream-cold", upstream);
        cold.emplace(upstream.upstream, std::move(upstream));
    }
    for (auto &[id, former] : m_cold) {
        if (cold.count(id) != 0)
            continue;
        former.remaining = absl::ZeroDuration();
        logWarmUp("upstream-warm", former);
    }
    m_cold = std::move(cold);
}

void SlotBroker::logWarmUp(std::string_view event, const policy::ColdUpstream &upstream) const
{
    if (m_share.warmUpFraction <= 0)
        return;
    log(LogLevel::Info, event,
        {{"upstream", upstream.upstream},
         {"remainingMs", absl::ToInt64Milliseconds(upstream.remaining)},
         {"source", policy::name(upstream.source)}});
}

} // namespace rattanrill::serving
