#pragma once

#include "enginetable.h"
#include "servicetable.h"
#include "taskdispatcher.h"

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

/// Polls all upstreams for their load and engines for their cache events. Each upstream has at most
/// one open poll, so that one that does not respond occupies a single thread.
class LoadPoller
{
public:
    LoadPoller(EngineTable &engines, ServiceTable &services, TaskDispatcher &dispatcher,
               TimerService &timers, absl::Duration period, const Clock &clock);
    ~LoadPoller();

    void start();
    void stop();

private:
    void poll() ABSL_LOCKS_EXCLUDED(m_mutex);
    bool beginPoll(const std::string &upstream) ABSL_LOCKS_EXCLUDED(m_mutex);
    void endPoll(const std::string &upstream) ABSL_LOCKS_EXCLUDED(m_mutex);
    void pollEngine(engine::EngineClient &client);
    void pollCacheEvents(engine::EngineClient &client) ABSL_LOCKS_EXCLUDED(m_mutex);

    EngineTable &m_engines;
    ServiceTable &m_services;
    TaskDispatcher &m_dispatcher;
    TimerService &m_timers;
    absl::Duration m_period;
    const Clock &m_clock;
    WorkerPool m_pool;
    TimerService::TimerId m_timer = 0;
    absl::Mutex m_mutex;
    std::set<std::string> m_polling ABSL_GUARDED_BY(m_mutex);
    /// Sequence number of the last cache event received from each engine.
    std::map<std::string, std::uint64_t> m_lastEvent ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill::entry
