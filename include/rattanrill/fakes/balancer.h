#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/base/timerservice.h"
#include "rattanrill/base/workerpool.h"
#include "rattanrill/fakes/instancelist.h"
#include "rattanrill/fakes/tcprelay.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rattanrill::fakes {

struct BalancerSettings
{
    RelayAddress listen;
    /// Instances of this role receive connections.
    std::string role = "entry";
    std::string healthPath = "/readyz";
    absl::Duration healthPeriod = absl::Milliseconds(1000);
    absl::Duration healthTimeout = absl::Milliseconds(500);
    /// Failed checks in a row until an instance gets no new connections.
    int unhealthyAfter = 2;
};

struct BalancerTarget
{
    Instance instance;
    bool healthy = false;
    std::int64_t connections = 0;
};

/// The platform's load balancer: spreads new TCP connections in turn over the instances that the
/// lagging list calls live and that pass the health check. Open connections of a leaving instance
/// stay.
class Balancer
{
public:
    using Lister = std::function<std::vector<Instance>()>;

    Balancer(BalancerSettings settings, Lister lister, TimerService &timers);
    ~Balancer();

    /// Returns the port. Fails with AddressInUse.
    Result<int> start();
    std::vector<BalancerTarget> targets() const;
    RelayCounters counters() const { return m_relay.counters(); }

private:
    struct Health
    {
        int failures = 0;
        bool healthy = false;
        std::int64_t connections = 0;
    };

    std::vector<Instance> liveInstances() const;
    std::optional<RelayAddress> choose();
    void checkAll();
    void check(const Instance &instance);
    void note(const std::string &name, bool passed);

    const BalancerSettings m_settings;
    Lister m_lister;
    TimerService &m_timers;
    mutable absl::Mutex m_mutex;
    std::map<std::string, Health> m_health ABSL_GUARDED_BY(m_mutex);
    std::size_t m_turn ABSL_GUARDED_BY(m_mutex) = 0;
    WorkerPool m_checkers;
    TcpRelay m_relay;
    TimerService::TimerId m_timer = 0;
};

} // namespace rattanrill::fakes
