#include "brokermetrics.h"

#include <array>
#include <utility>

namespace rattanrill::gateway {
namespace {

constexpr std::string_view loadSpreadGauge = "rattanrill_load_spread";
constexpr std::string_view highestPaceGauge = "rattanrill_highest_pace";

constexpr std::array<policy::ReleaseReason, 4> ejectionReasons = {
        policy::ReleaseReason::ServerError,
        policy::ReleaseReason::Failed,
        policy::ReleaseReason::Unreachable,
        policy::ReleaseReason::Unanswered,
};

} // namespace

BrokerMetrics::BrokerMetrics(const serving::SlotBroker &broker, Metrics &metrics)
    : m_broker(broker)
    , m_metrics(metrics)
{}

void BrokerMetrics::update()
{
    updateWarmUps();
    updateEjections();
    updateLoads();
}

void BrokerMetrics::updateWarmUps()
{
    m_metrics.set("rattanrill_cold_upstreams", {},
                  static_cast<double>(m_broker.coldUpstreamCount()));
    const std::uint64_t waits = m_broker.warmUpWaits();
    m_metrics.count("rattanrill_warm_up_waits_total", {},
                    waits - std::exchange(m_countedWarmUpWaits, waits));
}

/// The counters of all reasons exist from the start, so that their first increase shows as one.
void BrokerMetrics::updateEjections()
{
    m_metrics.set("rattanrill_ejected_upstreams", {},
                  static_cast<double>(m_broker.ejectedUpstreamCount()));
    for (const policy::ReleaseReason reason : ejectionReasons) {
        const std::uint64_t ejections = m_broker.ejectionCount(reason);
        m_metrics.count("rattanrill_upstream_ejections_total",
                        {{"reason", std::string(policy::name(reason))}},
                        ejections - std::exchange(m_countedEjections[reason], ejections));
    }
}

void BrokerMetrics::updateLoads()
{
    std::set<std::string> former = std::exchange(m_services, {});
    for (const policy::ServiceLoad &load : m_broker.serviceLoads()) {
        const MetricLabels labels = {{"service", load.service}};
        m_metrics.set(loadSpreadGauge, labels, load.spread);
        m_metrics.set(highestPaceGauge, labels, load.highestPace);
        former.erase(load.service);
        m_services.insert(load.service);
    }
    for (const std::string &service : former) {
        m_metrics.removeGauge(loadSpreadGauge, {{"service", service}});
        m_metrics.removeGauge(highestPaceGauge, {{"service", service}});
    }
}

} // namespace rattanrill::gateway
