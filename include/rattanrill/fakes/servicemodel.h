#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/fakes/faults.h"
#include "rattanrill/fakes/loadhistory.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace rattanrill::fakes {

/// Configuration of a ServiceModel.
struct ServiceSettings
{
    /// Name of the service.
    std::string service;
    absl::Duration serviceTime = absl::Milliseconds(40);
    absl::Duration loadReportLag = absl::Milliseconds(500);
    /// Number of requests that are served at the same time; others wait in order of arrival.
    std::int64_t capacity = 8;
    /// Maximum number of waiting requests.
    std::int64_t maxWaiting = 64;
};

/// Response of the fake service to one request.
struct ServiceResponse
{
    std::string path;
    std::string requestId;
    /// Stable hash of the request body.
    std::string echo;
};

/// Simulates a plain service: it has a fixed number of slots, and each request occupies one of them
/// for the service time.
class ServiceModel
{
public:
    ServiceModel(ServiceSettings settings, Faults &faults,
                 const Clock &clock = SystemClock::instance());

    /// Waits for a slot, calls \a started, occupies the slot for the service time and returns the
    /// response, which belongs to another request if a fault swapped the two. Fails as NotRun with
    /// UpstreamBusy when too many requests are waiting.
    Result<ServiceResponse> serve(ServiceResponse response, const std::function<void()> &started);
    /// Load according to the delayed load report.
    LoadSample load() const;
    const ServiceSettings &settings() const { return m_settings; }

private:
    Result<void> acquireSlot(std::int64_t ticket) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void waitServiceTime() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void swapAnswers() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void recordLoad() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

    const ServiceSettings m_settings;
    Faults &m_faults;
    const Clock &m_clock;
    mutable absl::Mutex m_mutex;
    absl::CondVar m_changed;
    std::int64_t m_nextTicket ABSL_GUARDED_BY(m_mutex) = 0;
    /// Number of tickets that have received a slot. Tickets are numbered from 0 and admitted in
    /// order, so this is also the next ticket to be admitted.
    std::int64_t m_admittedTickets ABSL_GUARDED_BY(m_mutex) = 0;
    /// Responses to the requests that occupy a slot, by ticket.
    std::map<std::int64_t, ServiceResponse *> m_running ABSL_GUARDED_BY(m_mutex);
    LoadHistory m_history ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill::fakes
