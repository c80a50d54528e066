#include "servicetable.h"

#include "rattanrill/base/logger.h"

#include <algorithm>
#include <limits>

namespace rattanrill::entry {
namespace {

/// Cost, in units of load, of a call to another failure domain.
constexpr double remoteDomainCost = 0.1;
/// Capacity assumed until a service has reported its own.
constexpr double defaultCapacity = 16;

} // namespace

ServiceTable::ServiceTable(std::string failureDomain, const Clock &clock)
    : m_failureDomain(std::move(failureDomain))
    , m_clock(clock)
{}

void ServiceTable::update(const directory::DirectoryView &view)
{
    std::map<std::string, Instance> instances;
    absl::MutexLock lock(&m_mutex);
    for (const auto &row : view.upstreams()) {
        const wire::Upstream &upstream = *row.record;
        if (upstream.kind != wire::UpstreamKind::Service)
            continue;
        const auto known = m_instances.find(upstream.name);
        Instance instance = known == m_instances.end() ? Instance() : known->second;
        const bool moved =
                instance.upstream.host != upstream.host || instance.upstream.port != upstream.port;
        if (moved || !instance.client) {
            instance.client = makeClient(upstream);
            instance.announcement = LeavingAnnouncement();
        }
        instance.upstream = upstream;
        instance.announcement.update(upstream);
        instances.emplace(upstream.name, std::move(instance));
    }
    m_instances = std::move(instances);
}

ServiceTable::Client ServiceTable::makeClient(const wire::Upstream &upstream)
{
    service::ServiceOptions options;
    options.name = upstream.name;
    options.host = upstream.host;
    options.port = static_cast<int>(upstream.port);
    options.onLeaving = [this, name = options.name, host = options.host, port = options.port] {
        announceLeaving(name, host, port);
    };
    return std::make_shared<service::ServiceClient>(options);
}

void ServiceTable::announceLeaving(const std::string &name, const std::string &host, int port)
{
    {
        absl::MutexLock lock(&m_mutex);
        const auto instance = m_instances.find(name);
        // A late response of a process that was replaced does not concern its successor.
        const bool isCurrent = instance != m_instances.end()
                               && instance->second.upstream.host == host
                               && instance->second.upstream.port == port;
        if (!isCurrent || !instance->second.announcement.announce())
            return;
    }
    log(LogLevel::Info, "upstream-leaving", {{"upstream", name}});
}

std::vector<ServiceTable::Client> ServiceTable::all() const
{
    absl::MutexLock lock(&m_mutex);
    std::vector<Client> clients;
    for (const auto &[name, instance] : m_instances)
        clients.push_back(instance.client);
    return clients;
}

void ServiceTable::loadReported(const std::string &name, const service::ServiceLoadReport &load)
{
    absl::MutexLock lock(&m_mutex);
    const auto instance = m_instances.find(name);
    if (instance != m_instances.end())
        instance->second.load = load;
}

double ServiceTable::cost(const Instance &instance, absl::Time now) const
{
    const double capacity = instance.load.capacity > 0 ? static_cast<double>(instance.load.capacity)
                                                       : defaultCapacity;
    const auto calls = static_cast<double>(std::max(instance.load.running, instance.ownCalls));
    // The lower bound only prevents a division by zero: the traffic share is 0 while an instance is
    // ejected and at least 0.1 otherwise, and ejected instances are not selected.
    const double load = (calls + 1) / capacity / std::max(instance.outlier.trafficShare(now), 0.01);
    return load + (instance.upstream.failureDomain == m_failureDomain ? 0 : remoteDomainCost);
}

ServiceTable::Client ServiceTable::beginCall(const std::string &service,
                                             const std::vector<std::string> &excluded)
{
    const absl::Time now = m_clock.now();
    absl::MutexLock lock(&m_mutex);
    Instance *best = nullptr;
    double bestCost = std::numeric_limits<double>::infinity();
    for (auto &[name, instance] : m_instances) {
        const bool usable = instance.upstream.serves == service
                            && instance.upstream.state == wire::UpstreamState::Active
                            && !instance.announcement.isAnnounced()
                            && !instance.outlier.ejected(now)
                            && std::find(excluded.begin(), excluded.end(), name) == excluded.end();
        if (usable && cost(instance, now) < bestCost) {
            best = &instance;
            bestCost = cost(instance, now);
        }
    }
    if (best == nullptr)
        return nullptr;
    ++best->ownCalls;
    return best->client;
}

void ServiceTable::endCall(const std::string &name, bool failed, bool crashed)
{
    const absl::Time now = m_clock.now();
    absl::MutexLock lock(&m_mutex);
    const auto instance = m_instances.find(name);
    if (instance == m_instances.end())
        return;
    --instance->second.ownCalls;
    if (failed)
        instance->second.outlier.failed(now, crashed);
    else
        instance->second.outlier.succeeded(now);
}

} // namespace rattanrill::entry
