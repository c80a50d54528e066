#include "enginetable.h"

namespace rattanrill::entry {

EngineTable::EngineTable(absl::Duration idleTimeout)
    : m_idleTimeout(idleTimeout)
{}

EngineTable::Client EngineTable::clientFor(const wire::Upstream &upstream) const
{
    const auto known = m_clients.find(upstream.name);
    if (known != m_clients.end()) {
        const engine::EngineOptions &options = known->second->options();
        if (options.host == upstream.host && options.port == upstream.port)
            return known->second;
    }
    engine::EngineOptions options;
    options.name = upstream.name;
    options.host = upstream.host;
    options.port = static_cast<int>(upstream.port);
    options.idleTimeout = m_idleTimeout;
    return std::make_shared<engine::EngineClient>(options);
}

std::vector<policy::EngineInfo> EngineTable::update(const directory::DirectoryView &view)
{
    std::vector<policy::EngineInfo> infos;
    std::map<std::string, Client> clients;
    absl::MutexLock lock(&m_mutex);
    for (const auto &row : view.upstreams()) {
        const wire::Upstream &upstream = *row.record;
        if (upstream.kind != wire::UpstreamKind::Engine)
            continue;
        clients[upstream.name] = clientFor(upstream);
        infos.push_back({upstream.name, upstream.serves, upstream.failureDomain,
                         upstream.state == wire::UpstreamState::Leaving});
    }
    m_clients = std::move(clients);
    return infos;
}

EngineTable::Client EngineTable::find(const std::string &name) const
{
    absl::MutexLock lock(&m_mutex);
    const auto client = m_clients.find(name);
    return client == m_clients.end() ? nullptr : client->second;
}

std::vector<EngineTable::Client> EngineTable::all() const
{
    absl::MutexLock lock(&m_mutex);
    std::vector<Client> clients;
    for (const auto &[name, client] : m_clients)
        clients.push_back(client);
    return clients;
}

} // namespace rattanrill::entry
