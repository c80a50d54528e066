#include "loadpoller.h"

namespace rattanrill::entry {
namespace {

constexpr std::size_t pollThreads = 8;
constexpr std::size_t pollQueueLimit = 4096;

policy::EngineLoad toPolicyLoad(const engine::EngineLoadReport &load, absl::Duration roundTrip)
{
    return {load.running,          load.waiting,  load.kvTokens,
            load.kvCapacityTokens, load.maxBatch, load.ageWhenSent + roundTrip};
}

} // namespace

LoadPoller::LoadPoller(EngineTable &engines, ServiceTable &services, TaskDispatcher &dispatcher,
                       TimerService &timers, absl::Duration period, const Clock &clock)
    : m_engines(engines)
    , m_services(services)
    , m_dispatcher(dispatcher)
    , m_timers(timers)
    , m_period(period)
    , m_clock(clock)
    , m_pool(pollThreads, pollQueueLimit)
{}

LoadPoller::~LoadPoller()
{
    stop();
}

void LoadPoller::start()
{
    m_timer = m_timers.subscribeEvery(m_period, [this] { poll(); });
}

void LoadPoller::stop()
{
    if (m_timer != 0)
        m_timers.unsubscribe(m_timer);
    m_timer = 0;
    m_pool.stop();
}

bool LoadPoller::beginPoll(const std::string &upstream)
{
    absl::MutexLock lock(&m_mutex);
    return m_polling.insert(upstream).second;
}

void LoadPoller::endPoll(const std::string &upstream)
{
    absl::MutexLock lock(&m_mutex);
    m_polling.erase(upstream);
}

void LoadPoller::poll()
{
    for (const EngineTable::Client &client : m_engines.all()) {
        const std::string &name = client->options().name;
        if (!beginPoll(name))
            continue;
        const bool posted = m_pool.post([this, client] {
            pollEngine(*client);
            endPoll(client->options().name);
        });
        if (!posted)
            endPoll(name);
    }
    for (const ServiceTable::Client &client : m_services.all()) {
        const std::string &name = client->options().name;
        if (!beginPoll(name))
            continue;
        const bool posted = m_pool.post([this, client] {
            const auto load = client->fetchLoadReport();
            if (load.ok())
                m_services.loadReported(client->options().name, load.value());
            endPoll(client->options().name);
        });
        if (!posted)
            endPoll(name);
    }
}

void LoadPoller::pollEngine(engine::EngineClient &client)
{
    const absl::Time sent = m_clock.now();
    const auto load = client.fetchLoadReport();
    if (!load.ok())
        return;
    const absl::Duration roundTrip = m_clock.now() - sent;
    m_dispatcher.updateScheduler([&](policy::Scheduler &scheduler, absl::Time now) {
        scheduler.loadReported(now, client.options().name, toPolicyLoad(load.value(), roundTrip));
    });
    pollCacheEvents(client);
}

void LoadPoller::pollCacheEvents(engine::EngineClient &client)
{
    const std::string &name = client.options().name;
    std::uint64_t after = 0;
    {
        absl::MutexLock lock(&m_mutex);
        after = m_lastEvent[name];
    }
    const auto page = client.cacheEvents(after);
    if (!page.ok() || page.value().events.empty())
        return;
    std::vector<policy::CacheEvent> events;
    for (const engine::CacheEvent &event : page.value().events) {
        const auto kind =
                event.stored ? policy::CacheEvent::Kind::Stored : policy::CacheEvent::Kind::Evicted;
        events.push_back({event.sequence, kind, event.prefixHash, event.tokens});
    }
    m_dispatcher.updateScheduler([&](policy::Scheduler &scheduler, absl::Time now) {
        scheduler.cacheEventsReported(now, name, events);
    });
    absl::MutexLock lock(&m_mutex);
    m_lastEvent[name] = page.value().next;
}

} // namespace rattanrill::entry
