#include "loadrunner.h"

#include "batchrunner.h"
#include "rattanrill/base/concat.h"
#include "rattanrill/base/workerpool.h"

#include <algorithm>

namespace rattanrill::load {

LoadRunner::LoadRunner(const LoadPlan &plan, LoadSummary &summary, HistoryFile &history,
                       const Clock &clock)
    : m_plan(plan)
    , m_summary(summary)
    , m_history(history)
    , m_clock(clock)
    , m_client(plan, clock)
{}

void LoadRunner::run(const std::vector<PlannedRequest> &schedule)
{
    const auto threads = static_cast<std::size_t>(m_plan.maxInFlight);
    WorkerPool requests(std::min(threads, std::max<std::size_t>(schedule.size(), 1)), threads);
    WorkerPool batches(std::max<std::size_t>(m_plan.batches.size(), 1), m_plan.batches.size() + 1);
    const absl::Time start = m_clock.now();
    for (std::size_t i = 0; i < m_plan.batches.size(); ++i) {
        const BatchPlan &batch = m_plan.batches[i];
        // The queue has capacity for all jobs, so that post() does not fail.
        static_cast<void>(batches.post([=, &batch] { runBatch(batch, i, start + batch.at); }));
    }
    for (const PlannedRequest &request : schedule) {
        const absl::Time due = start + request.at;
        waitUntil(due);
        if (!requests.post([this, &request, due] { runRequest(request, due); }))
            recordUnsent(request);
    }
    requests.stop();
    batches.stop();
}

void LoadRunner::waitUntil(absl::Time time)
{
    const absl::Duration remaining = time - m_clock.now();
    if (remaining > absl::ZeroDuration())
        m_neverNotified.WaitForNotificationWithTimeout(remaining);
}

void LoadRunner::runRequest(const PlannedRequest &request, absl::Time due)
{
    const absl::Duration startLag = m_clock.now() - due;
    RequestOutcome outcome = m_client.perform(request);
    outcome.startLag = startLag;
    m_summary.add(outcome);
    m_history.add(outcome);
}

void LoadRunner::runBatch(const BatchPlan &batch, std::size_t number, absl::Time due)
{
    waitUntil(due);
    BatchRunner runner(
            m_client, m_plan, batch, concat("load-", m_plan.seed, "-batch-", number),
            [this](absl::Duration duration) {
                return !m_neverNotified.WaitForNotificationWithTimeout(duration);
            },
            m_clock);
    m_summary.add(runner.run());
}

void LoadRunner::recordUnsent(const PlannedRequest &request)
{
    RequestOutcome outcome;
    outcome.kind = request.kind;
    outcome.type = OutcomeType::Unsent;
    outcome.workspace = request.workspace;
    outcome.requestId = request.requestId;
    outcome.begin = m_clock.wallNow();
    outcome.end = outcome.begin;
    m_summary.add(outcome);
    m_history.add(outcome);
}

} // namespace rattanrill::load
