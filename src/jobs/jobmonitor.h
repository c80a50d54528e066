#pragma once

#include "rattanrill/jobs/jobexecutor.h"

#include "absl/time/time.h"

#include <cstdint>
#include <vector>

namespace rattanrill::jobs {

/// Logs once per second, on the leader of the store group and while jobs are open, how the batch
/// items progress and how late the event loop runs. Together these values tell a slow process from
/// items that are preempted too often and from items that get no slot. Used on the event loop only.
class JobMonitor
{
public:
    JobMonitor(const JobExecutorContext &context, const JobExecutor &executor);
    ~JobMonitor();
    JobMonitor(const JobMonitor &) = delete;
    JobMonitor &operator=(const JobMonitor &) = delete;

    void stop();

private:
    void report();
    void logStalledItems(const std::vector<StalledItem> &items) const;
    /// Returns by how much the counter \a name has increased since the previous report, which set
    /// \a previous.
    std::int64_t increase(const char *name, std::uint64_t &previous) const;

    const JobExecutorContext &m_context;
    const JobExecutor &m_executor;
    TimerService::TimerId m_timer = 0;
    absl::Time m_expectedAt;
    std::uint64_t m_previousAttempts = 0;
    std::uint64_t m_previousPreemptions = 0;
    std::uint64_t m_previousResults = 0;
};

} // namespace rattanrill::jobs
