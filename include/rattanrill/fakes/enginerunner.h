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

/// Runs an EngineModel in real time on one thread and passes its events to the event queues of the
/// connections. Lock order: the mutex of this class, then those of Faults, RequestLog and
/// EngineEventQueue.
class EngineRunner
{
public:
    EngineRunner(EngineModelSettings settings, Faults &faults, RequestLog &records,
                 const Clock &clock = SystemClock::instance());
    ~EngineRunner();
    EngineRunner(const EngineRunner &) = delete;
    EngineRunner &operator=(const EngineRunner &) = delete;

    /// Queues a request and returns the queue that receives its events. \a recordSeq is the
    /// sequence number of the request's record in the request log. Fails as EngineModel::submit().
    Result<std::shared_ptr<EngineEventQueue>> submit(EngineRequest request, std::int64_t recordSeq);
    /// As EngineModel::cancel().
    std::optional<std::int64_t> cancel(const std::string &requestId);
    /// As EngineModel::exportKv().
    std::optional<KvExport> exportKv(const std::string &requestId);
    /// Load according to the delayed load report.
    LoadSample load() const;
    CacheEventPage cacheEvents(std::int64_t after) const;
    EngineCommandResult execute(const EngineCommand &command);
    /// Needs no lock: the settings never change after construction.
    const EngineModelSettings &settings() const { return m_settings; }
    /// Applies the current faults to the model. Must be called after each change of the faults.
    void applyFaults();

private:
    /// Destination of the events of one request.
    struct Route
    {
        std::shared_ptr<EngineEventQueue> queue;
        std::shared_ptr<const EngineRequest> request;
        std::int64_t recordSeq = 0;
        bool running = false;
    };

    void run();
    void step() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void deliver(const EngineEvent &event) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void recordEvent(const EngineEvent &event, Route &route) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void swapAnswers() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

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
