#pragma once

#include "enginetable.h"
#include "servicetable.h"
#include "workdispatcher.h"

#include "rattanrill/base/timerservice.h"
#include "rattanrill/base/workerpool.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace rattanrill::entry {

/// Asks all upstreams for their load and engines for their cache events, each at most once at a
/// time, so that one that does not answer holds a single thread.
class LoadPoller
{
public:
    LoadPoller(EngineTable &engines, ServiceTable &services, WorkDispatcher &dispatcher,
               TimerService &timers, absl::Duration period, const Clock &clock);
    ~LoadPoller();

    void start();
    void stop();

private:
    void poll() ABSL_LOCKS_EXCLUDED(m_mutex);
    bool begin(const std::string &upstream) ABSL_LOCKS_EXCLUDED(m_mutex);
    void end(const std::string &upstream) ABSL_LOCKS_EXCLUDED(m_mutex);
    void pollEngine(engine::EngineClient &client);
    void pollCacheEvents(engine::EngineClient &client) ABSL_LOCKS_EXCLUDED(m_mutex);

    EngineTable &m_engines;
    ServiceTable &m_services;
    WorkDispatcher &m_dispatcher;
    TimerService &m_timers;
    absl::Duration m_period;
    const Clock &m_clock;
    WorkerPool m_pool;
    TimerService::TimerId m_timer = 0;
    absl::Mutex m_mutex;
    std::set<std::string> m_polling ABSL_GUARDED_BY(m_mutex);
    /// Number of the last cache event seen of each engine.
    std::map<std::string, std::uint64_t> m_lastEvent ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill::entry
