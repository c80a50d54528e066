#include "rattanrill/fakes/enginerunner.h"

#include <utility>
#include <vector>

namespace rattanrill::fakes {

EngineRunner::EngineRunner(EngineModelSettings settings, Faults &faults, RequestLog &records,
                           const Clock &clock)
    : m_settings(std::move(settings))
    , m_faults(faults)
    , m_records(records)
    , m_clock(clock)
    , m_model(m_settings)
    , m_thread([this] { run(); })
{}

EngineRunner::~EngineRunner()
{
    {
        absl::MutexLock lock(&m_mutex);
        m_stopped = true;
        m_changed.SignalAll();
    }
    m_thread.join();
}

Result<std::shared_ptr<EngineEventQueue>> EngineRunner::submit(EngineRequest request,
                                                               std::int64_t recordSeq)
{
    Route route;
    route.queue = std::make_shared<EngineEventQueue>();
    route.request = std::make_shared<const EngineRequest>(request);
    route.recordSeq = recordSeq;
    const std::string id = request.requestId;
    absl::MutexLock lock(&m_mutex);
    BOOST_LEAF_CHECK(m_model.submit(m_clock.now(), std::move(request)));
    std::shared_ptr<EngineEventQueue> queue = route.queue;
    m_routes[id] = std::move(route);
    m_changed.Signal();
    return queue;
}

std::optional<std::int64_t> EngineRunner::cancel(const std::string &requestId)
{
    absl::MutexLock lock(&m_mutex);
    const auto tokens = m_model.cancel(m_clock.now(), requestId);
    m_changed.Signal();
    return tokens;
}

std::optional<KvExport> EngineRunner::exportKv(const std::string &requestId)
{
    absl::MutexLock lock(&m_mutex);
    auto kvExport = m_model.exportKv(m_clock.now(), requestId);
    m_changed.Signal();
    return kvExport;
}

LoadSample EngineRunner::load() const
{
    absl::MutexLock lock(&m_mutex);
    return m_model.load(m_clock.now());
}

CacheEventPage EngineRunner::cacheEvents(std::int64_t after) const
{
    absl::MutexLock lock(&m_mutex);
    return m_model.cacheEvents(m_clock.now(), after);
}

EngineCommandResult EngineRunner::execute(const EngineCommand &command)
{
    absl::MutexLock lock(&m_mutex);
    return m_model.execute(m_clock.now(), command);
}

void EngineRunner::applyFaults()
{
    absl::MutexLock lock(&m_mutex);
    const FaultState state = m_faults.state();
    m_model.setCrashOn(state.crashOn);
    m_model.setSlowFactor(state.slowFactor);
    m_model.freezeUntil(m_faults.frozenUntil());
    m_changed.Signal();
}

void EngineRunner::run()
{
    absl::MutexLock lock(&m_mutex);
    while (!m_stopped) {
        step();
        const absl::Duration left = m_model.stepEnd() - m_clock.now();
        m_changed.WaitWithTimeout(&m_mutex, left);
    }
}

void EngineRunner::step()
{
    const std::vector<EngineEvent> events = m_model.advance(m_clock.now());
    for (const EngineEvent &event : events)
        deliver(event);
    // Crashes only after the events are delivered, so that the record file contains the request
    // that caused the crash.
    if (m_model.crashed())
        crashProcess();
    swapAnswers();
}

void EngineRunner::deliver(const EngineEvent &event)
{
    const auto route = m_routes.find(event.requestId);
    if (route == m_routes.end())
        return;
    recordEvent(event, route->second);
    route->second.queue->push(m_clock.now() + m_faults.state().responseDelay,
                              {event, route->second.request});
    if (event.kind == EngineEvent::Kind::Finished)
        m_routes.erase(route);
}

void EngineRunner::recordEvent(const EngineEvent &event, Route &route)
{
    if (event.kind == EngineEvent::Kind::Started) {
        route.running = true;
        m_records.markStarted(route.recordSeq);
    }
    if (event.kind == EngineEvent::Kind::Finished)
        m_records.markFinished(route.recordSeq, event.index);
}

/// Exchanges the event queues of pairs of running requests, one pair for each swap that the faults
/// still request, so that each client of a pair receives the response to the other's request.
void EngineRunner::swapAnswers()
{
    Route *first = nullptr;
    for (auto &[id, route] : m_routes) {
        if (!route.running)
            continue;
        if (first == nullptr) {
            first = &route;
            continue;
        }
        if (!m_faults.consumeAnswerSwap())
            return;
        std::swap(first->queue, route.queue);
        first = nullptr;
    }
}

} // namespace rattanrill::fakes
