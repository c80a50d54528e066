#pragma once

#include "callerclient.h"
#include "historyfile.h"
#include "loadsummary.h"
#include "schedule.h"

#include "rattanrill/base/clock.h"

#include "absl/synchronization/notification.h"

#include <vector>

namespace rattanrill::load {

/// Sends the requests of a schedule at their times (open loop: a slow answer delays no later
/// request) and runs the batch jobs beside them.
class LoadRunner
{
public:
    LoadRunner(const LoadPlan &plan, LoadSummary &summary, HistoryFile &history,
               const Clock &clock = SystemClock::instance());

    /// Returns when every request and job has ended.
    void run(const std::vector<PlannedRequest> &schedule);

private:
    void waitUntil(absl::Time time);
    void runRequest(const PlannedRequest &request, absl::Time due);
    void runBatch(const BatchPlan &batch, std::size_t number, absl::Time due);
    void noteUnsent(const PlannedRequest &request);

    const LoadPlan &m_plan;
    LoadSummary &m_summary;
    HistoryFile &m_history;
    const Clock &m_clock;
    CallerClient m_client;
    /// Never notified; its timed wait is the clock of the run.
    absl::Notification m_never;
};

} // namespace rattanrill::load
