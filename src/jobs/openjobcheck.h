#pragma once

#include "openjobreader.h"

#include "rattanrill/jobs/jobexecutor.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace rattanrill::jobs {

/// Compares once per second, on the leader of the store group, the open items of the group's state
/// with those of the executor. Items that the executor lacks are added, and items of jobs that are
/// no longer open are stopped. Whatever way an item took into the state, or was lost on, the leader
/// runs it. Used on the event loop only.
class OpenJobCheck : public std::enable_shared_from_this<OpenJobCheck>
{
public:
    OpenJobCheck(const JobExecutorContext &context, JobExecutor &executor,
                 std::shared_ptr<OpenJobReader> reader);

    /// Starts the checks, because this replica has gained leadership.
    void start();
    void stop();

private:
    using ItemCounts = std::map<std::string, std::int64_t>;

    void check();
    /// \a countsBefore: the items of the executor when the query was sent.
    void compare(const ItemCounts &countsBefore, const wire::UnfinishedItemCounts &open);
    void addMissing(const ItemCounts &countsBefore, const wire::UnfinishedItemCounts &open);
    void stopClosed(const ItemCounts &countsBefore, const wire::UnfinishedItemCounts &open);

    /// A copy, because a pending query keeps this object alive longer than its owner.
    const JobExecutorContext m_context;
    JobExecutor &m_executor;
    const std::shared_ptr<OpenJobReader> m_reader;
    TimerService::TimerId m_timer = 0;
    bool m_isPending = false;
    /// Incremented by start() and stop(); responses to earlier queries are ignored.
    std::uint64_t m_generation = 0;
};

} // namespace rattanrill::jobs
