#pragma once

#include "rattanrill/base/metrics.h"
#include "rattanrill/serving/slotbroker.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace rattanrill::gateway {

/// Metrics of a slot broker. Used on the event loop only.
class BrokerMetrics
{
public:
    BrokerMetrics(const serving::SlotBroker &broker, Metrics &metrics);

    /// Sets the metrics to the present state of the broker.
    void update();

private:
    void updateWarmUps();
    void updateEjections();
    void updateLoads();

    const serving::SlotBroker &m_broker;
    Metrics &m_metrics;
    /// Warm-up waits that the counter contains.
    std::uint64_t m_countedWarmUpWaits = 0;
    /// Ejections that the counters contain.
    std::map<policy::ReleaseReason, std::uint64_t> m_countedEjections;
    /// Services with gauges.
    std::set<std::string> m_services;
};

} // namespace rattanrill::gateway
