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

/// Configuration of a Balancer.
struct BalancerSettings
{
    RelayAddress listen;
    /// Only instances with this role receive connections.
    std::string role = "entry";
    std::string healthPath = "/readyz";
    absl::Duration healthPeriod = absl::Milliseconds(1000);
    absl::Duration healthTimeout = absl::Milliseconds(500);
    /// Number of consecutive failed health checks after which an instance receives no new
    /// connections. One passed check makes it healthy again.
    int unhealthyAfter = 2;
};

/// An instance of the balanced role, as the balancer reports it.
struct BalancerTarget
{
    Instance instance;
    bool healthy = false;
    /// Connections assigned to the instance so far, including closed ones.
    std::int64_t connections = 0;
};

/// Simulates the platform's load balancer. Distributes new TCP connections round-robin over the
/// instances that are live in the delayed instance list and healthy. Open connections stay open
/// when their instance is leaving.
class Balancer
{
public:
    using InstanceSource = std::function<std::vector<Instance>()>;

    Balancer(BalancerSettings settings, InstanceSource instanceSource, TimerService &timers);
    ~Balancer();

    /// Starts listening and health checks; returns the port. Fails with AddressInUse or
    /// InvalidArgument (the host to listen on is not an IP address).
    Result<int> start();
    /// All listed instances of the role, live or leaving.
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
    std::optional<RelayAddress> chooseTarget();
    void checkAll();
    void check(const Instance &instance);
    void recordHealthCheck(const std::string &name, bool passed);

    const BalancerSettings m_settings;
    InstanceSource m_instanceSource;
    TimerService &m_timers;
    mutable absl::Mutex m_mutex;
    std::map<std::string, Health> m_health ABSL_GUARDED_BY(m_mutex);
    std::size_t m_nextIndex ABSL_GUARDED_BY(m_mutex) = 0;
    WorkerPool m_checkers;
    TcpRelay m_relay;
    TimerService::TimerId m_timer = 0;
};

} // namespace rattanrill::fakes
