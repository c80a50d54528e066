#include "enginetable.h"

#include "rattanrill/base/logger.h"

#include <utility>

namespace rattanrill::entry {

EngineTable::EngineTable(absl::Duration idleTimeout, std::function<void()> onLeaving)
    : m_idleTimeout(idleTimeout)
    , m_onLeaving(std::move(onLeaving))
{}

EngineTable::Client EngineTable::makeClient(const wire::Upstream &upstream)
{
    engine::EngineOptions options;
    options.name = upstream.name;
    options.host = upstream.host;
    options.port = static_cast<int>(upstream.port);
    options.idleTimeout = m_idleTimeout;
    options.onLeaving = [this, name = options.name, host = options.host, port = options.port] {
        announceLeaving(name, host, port);
    };
    return std::make_shared<engine::EngineClient>(options);
}

EngineTable::Engine EngineTable::engineFor(const wire::Upstream &upstream)
{
    const auto known = m_engines.find(upstream.name);
    if (known != m_engines.end() && known->second.upstream.host == upstream.host
        && known->second.upstream.port == upstream.port)
        return known->second;
    Engine engine;
    engine.client = makeClient(upstream);
    return engine;
}

void EngineTable::update(const directory::DirectoryView &view)
{
    std::map<std::string, Engine> engines;
    absl::MutexLock lock(&m_mutex);
    for (const auto &row : view.upstreams()) {
        if (row.record->kind != wire::UpstreamKind::Engine)
            continue;
        Engine engine = engineFor(*row.record);
        engine.upstream = *row.record;
        engine.announcement.update(*row.record);
        engines.emplace(row.id, std::move(engine));
    }
    m_engines = std::move(engines);
}

void EngineTable::announceLeaving(const std::string &name, const std::string &host, int port)
{
    {
        absl::MutexLock lock(&m_mutex);
        const auto engine = m_engines.find(name);
        // A late response of a process that was replaced does not concern its successor.
        const bool isCurrent = engine != m_engines.end() && engine->second.upstream.host == host
                               && engine->second.upstream.port == port;
        if (!isCurrent || !engine->second.announcement.announce())
            return;
    }
    log(LogLevel::Info, "upstream-leaving", {{"upstream", name}});
    m_onLeaving();
}

std::vector<policy::EngineInfo> EngineTable::infos() const
{
    absl::MutexLock lock(&m_mutex);
    std::vector<policy::EngineInfo> infos;
    infos.reserve(m_engines.size());
    for (const auto &[name, engine] : m_engines)
        infos.push_back(
                {name, engine.upstream.serves, engine.upstream.failureDomain, engine.isLeaving()});
    return infos;
}

EngineTable::Client EngineTable::find(const std::string &name) const
{
    absl::MutexLock lock(&m_mutex);
    const auto engine = m_engines.find(name);
    return engine == m_engines.end() ? nullptr : engine->second.client;
}

bool EngineTable::acceptsRequests(const engine::EngineClient &client) const
{
    absl::MutexLock lock(&m_mutex);
    const auto engine = m_engines.find(client.options().name);
    return engine != m_engines.end() && engine->second.client.get() == &client
           && !engine->second.isLeaving();
}

std::vector<EngineTable::Client> EngineTable::all() const
{
    absl::MutexLock lock(&m_mutex);
    std::vector<Client> clients;
    clients.reserve(m_engines.size());
    for (const auto &[name, engine] : m_engines)
        clients.push_back(engine.client);
    return clients;
}

} // namespace rattanrill::entry
