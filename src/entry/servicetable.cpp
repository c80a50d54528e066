#include "servicetable.h"

#include <algorithm>
#include <limits>

namespace rattanrill::entry {
namespace {

/// Cost in load of leaving the near failure domain.
constexpr double remoteDomainCost = 0.1;
/// Assumed until a service has reported its capacity.
constexpr double defaultCapacity = 16;

} // namespace

ServiceTable::ServiceTable(std::string failureDomain, const Clock &clock)
    : m_failureDomain(std::move(failureDomain))
    , m_clock(clock)
{}

void ServiceTable::update(const directory::DirectoryView &view)
{
    std::map<std::string, Entry> entries;
    absl::MutexLock lock(&m_mutex);
    for (const auto &row : view.upstreams()) {
        const wire::Upstream &upstream = *row.record;
        if (upstream.kind != wire::UpstreamKind::Service)
            continue;
        const auto known = m_entries.find(upstream.name);
        Entry entry = known == m_entries.end() ? Entry() : known->second;
        const bool moved =
                entry.upstream.host != upstream.host || entry.upstream.port != upstream.port;
        if (moved || !entry.client) {
            service::ServiceOptions options;
            options.name = upstream.name;
            options.host = upstream.host;
            options.port = static_cast<int>(upstream.port);
            entry.client = std::make_shared<service::ServiceClient>(options);
        }
        entry.upstream = upstream;
        entries.emplace(upstream.name, std::move(entry));
    }
    m_entries = std::move(entries);
}

std::vector<ServiceTable::Client> ServiceTable::all() const
{
    absl::MutexLock lock(&m_mutex);
    std::vector<Client> clients;
    for (const auto &[name, entry] : m_entries)
        clients.push_back(entry.client);
    return clients;
}

void ServiceTable::loadReported(const std::string &name, const service::ServiceLoadReport &load)
{
    absl::MutexLock lock(&m_mutex);
    const auto entry = m_entries.find(name);
    if (entry != m_entries.end())
        entry->second.load = load;
}

double ServiceTable::cost(const Entry &entry, absl::Time now) const
{
    const double capacity =
            entry.load.capacity > 0 ? static_cast<double>(entry.load.capacity) : defaultCapacity;
    const auto calls = static_cast<double>(std::max(entry.load.running, entry.ownCalls));
    const double load = (calls + 1) / capacity / std::max(entry.outlier.trafficShare(now), 0.01);
    return load + (entry.upstream.failureDomain == m_failureDomain ? 0 : remoteDomainCost);
}

ServiceTable::Client ServiceTable::begin(const std::string &service,
                                         const std::vector<std::string> &excluded)
{
    const absl::Time now = m_clock.now();
    absl::MutexLock lock(&m_mutex);
    Entry *best = nullptr;
    double bestCost = std::numeric_limits<double>::infinity();
    for (auto &[name, entry] : m_entries) {
        const bool usable = entry.upstream.serves == service
                            && entry.upstream.state == wire::UpstreamState::Active
                            && !entry.outlier.ejected(now)
                            && std::find(excluded.begin(), excluded.end(), name) == excluded.end();
        if (usable && cost(entry, now) < bestCost) {
            best = &entry;
            bestCost = cost(entry, now);
        }
    }
    if (best == nullptr)
        return nullptr;
    ++best->ownCalls;
    return best->client;
}

void ServiceTable::end(const std::string &name, bool failed, bool crashed)
{
    const absl::Time now = m_clock.now();
    absl::MutexLock lock(&m_mutex);
    const auto entry = m_entries.find(name);
    if (entry == m_entries.end())
        return;
    --entry->second.ownCalls;
    if (failed)
        entry->second.outlier.failed(now, crashed);
    else
        entry->second.outlier.succeeded(now);
}

} // namespace rattanrill::entry
