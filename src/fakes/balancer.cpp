#include "rattanrill/fakes/balancer.h"

#include <httplib.h>

#include <algorithm>
#include <utility>

namespace rattanrill::fakes {
namespace {

constexpr std::size_t checkerThreads = 4;
constexpr std::size_t maxQueuedChecks = 256;

} // namespace

Balancer::Balancer(BalancerSettings settings, InstanceSource instanceSource, TimerService &timers)
    : m_settings(std::move(settings))
    , m_instanceSource(std::move(instanceSource))
    , m_timers(timers)
    , m_checkers(checkerThreads, maxQueuedChecks)
    , m_relay(m_settings.listen, [this] { return chooseTarget(); })
{}

Balancer::~Balancer()
{
    m_timers.unsubscribe(m_timer);
    m_checkers.stop();
}

Result<int> Balancer::start()
{
    BOOST_LEAF_AUTO(port, m_relay.start());
    m_timer = m_timers.subscribeEvery(m_settings.healthPeriod, [this] { checkAll(); });
    return port;
}

std::vector<BalancerTarget> Balancer::targets() const
{
    std::vector<BalancerTarget> targets;
    for (const Instance &instance : m_instanceSource()) {
        if (instance.role != m_settings.role)
            continue;
        absl::MutexLock lock(&m_mutex);
        const auto health = m_health.find(instance.name);
        if (health == m_health.end())
            targets.push_back({instance, false, 0});
        else
            targets.push_back({instance, health->second.healthy, health->second.connections});
    }
    return targets;
}

std::vector<Instance> Balancer::liveInstances() const
{
    std::vector<Instance> live;
    for (Instance &instance : m_instanceSource()) {
        if (instance.role == m_settings.role && instance.state == InstanceState::Live)
            live.push_back(std::move(instance));
    }
    return live;
}

std::optional<RelayAddress> Balancer::chooseTarget()
{
    const std::vector<Instance> live = liveInstances();
    absl::MutexLock lock(&m_mutex);
    for (std::size_t attempts = 0; attempts < live.size(); ++attempts) {
        const Instance &instance = live[m_nextIndex++ % live.size()];
        Health &health = m_health[instance.name];
        if (!health.healthy)
            continue;
        ++health.connections;
        return RelayAddress{instance.host, instance.port};
    }
    return std::nullopt;
}

void Balancer::checkAll()
{
    for (const Instance &instance : liveInstances()) {
        // When the queue is full, the remaining checks are skipped until the next period.
        const bool posted = m_checkers.post([this, instance] { check(instance); });
        if (!posted)
            return;
    }
}

void Balancer::check(const Instance &instance)
{
    httplib::Client client(instance.host, instance.port);
    client.set_connection_timeout(absl::ToChronoMilliseconds(m_settings.healthTimeout));
    client.set_read_timeout(absl::ToChronoMilliseconds(m_settings.healthTimeout));
    const httplib::Result result = client.Get(m_settings.healthPath);
    recordHealthCheck(instance.name, result && result->status == 200);
}

void Balancer::recordHealthCheck(const std::string &name, bool passed)
{
    absl::MutexLock lock(&m_mutex);
    Health &health = m_health[name];
    health.failures = passed ? 0 : health.failures + 1;
    health.healthy = passed || (health.healthy && health.failures < m_settings.unhealthyAfter);
}

} // namespace rattanrill::fakes
