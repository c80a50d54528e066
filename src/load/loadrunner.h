#pragma once

#include "callerclient.h"
#include "historyfile.h"
#include "loadsummary.h"
#include "schedule.h"

#include "rattanrill/base/clock.h"

#include "absl/synchronization/notification.h"

#include <vector>

namespace rattanrill::load {

/// Sends the requests of a schedule at their planned times and runs the batch jobs concurrently.
/// The load is open-loop: a slow response does not delay later requests.
class LoadRunner
{
public:
    LoadRunner(const LoadPlan &plan, LoadSummary &summary, HistoryFile &history,
               const Clock &clock = SystemClock::instance());

    /// Returns when all requests and jobs have ended.
    void run(const std::vector<PlannedRequest> &schedule);

private:
    void waitUntil(absl::Time time);
    void runRequest(const PlannedRequest &request, absl::Time due);
    void runBatch(const BatchPlan &batch, std::size_t number, absl::Time due);
    void recordUnsent(const PlannedRequest &request);

    const LoadPlan &m_plan;
    LoadSummary &m_summary;
    HistoryFile &m_history;
    const Clock &m_clock;
    CallerClient m_client;
    /// Never notified; used for its timed wait only.
    absl::Notification m_neverNotified;
};

} // namespace rattanrill::load
