#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/fakes/engineeventqueue.h"
#include "rattanrill/fakes/enginemodel.h"
#include "rattanrill/fakes/faults.h"
#include "rattanrill/fakes/requestlog.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <map>
#include <memory>
#include <string>
#include <thread>

namespace rattanrill::fakes {

/// Drives an EngineModel in real time on one thread and hands its events to the streams of the
/// connections. Lock order: this mutex, then those of Faults, RequestLog and EngineEventQueue.
class EngineHost
{
public:
    EngineHost(EngineModelSettings settings, Faults &faults, RequestLog &records,
               const Clock &clock = SystemClock::instance());
    ~EngineHost();
    EngineHost(const EngineHost &) = delete;
    EngineHost &operator=(const EngineHost &) = delete;

    /// Queues a request; its events arrive at the returned stream. \a recordSeq is its record.
    Result<std::shared_ptr<EngineEventQueue>> submit(EngineRequest request, std::int64_t recordSeq);
    std::optional<std::int64_t> cancel(const std::string &requestId);
    std::optional<KvExport> exportKv(const std::string &requestId);
    /// Load as the lagging report has it.
    EngineLoad load() const;
    CacheEventPage cacheEvents(std::int64_t after) const;
    OrderAnswer order(const Order &order);
    /// Settings never change after construction.
    const EngineModelSettings &settings() const { return m_settings; }
    /// Takes over faults that were set.
    void applyFaults();

private:
    struct Route
    {
        std::shared_ptr<EngineEventQueue> stream;
        std::shared_ptr<const EngineRequest> request;
        std::int64_t recordSeq = 0;
        bool running = false;
    };

    void run();
    void step() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void deliver(const EngineEvent &event) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void noteEvent(const EngineEvent &event, Route &route) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void crossAnswers() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const EngineModelSettings m_settings;
    Faults &m_faults;
    RequestLog &m_records;
    const Clock &m_clock;
    mutable absl::Mutex m_mutex;
    absl::CondVar m_changed;
    bool m_stopped ABSL_GUARDED_BY(m_mutex) = false;
    EngineModel m_model ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, Route> m_routes ABSL_GUARDED_BY(m_mutex);
    std::thread m_thread;
};

} // namespace rattanrill::fakes
