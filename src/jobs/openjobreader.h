#pragma once

#include "rattanrill/jobs/jobexecutor.h"

#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace rattanrill::jobs {

/// Reads open jobs from the store group and adds them to the executor: all of them when this
/// replica gains leadership, and single ones of which it is unknown whether the executor has them.
///
/// The cost of a read grows with the jobs that it returns, and callers resend most while the leader
/// is slow. So at most one read is pending, it returns only the jobs that were requested, and
/// requests that arrive meanwhile share the next read. Used on the event loop only.
class OpenJobReader : public std::enable_shared_from_this<OpenJobReader>
{
public:
    OpenJobReader(const JobExecutorContext &context, JobExecutor &executor);

    /// Reads all open jobs after this replica has gained leadership. \a ready is called when they
    /// have been read. They are added to the executor after a delay, because the former leader's
    /// attempts may still run.
    void start(std::function<void()> ready);
    /// Drops all requests, because this replica has lost leadership.
    void stop();
    /// Adds \a job to the executor if it is open and the executor does not run it yet.
    void request(const std::string &job);
    /// Adds the items of \a jobs that are open and that the executor does not run yet.
    void requestMissingItems(const std::set<std::string> &jobs);
    /// Whether the open jobs of earlier leaders have been added to the executor.
    bool hasTakenOver() const { return m_hasTakenOver; }

private:
    /// Reads \a jobs, or all open jobs when it is empty.
    void read(const std::set<std::string> &jobs);
    void readRequested();
    void handleResponse(const std::set<std::string> &jobs, const Outcome<std::string> &outcome);
    void takeOver(wire::OpenJobs open);
    /// Returns the number of items that the executor did not have.
    std::int64_t addToExecutor(const wire::OpenJobs &open);
    void logRead(absl::Time startedAt, const std::set<std::string> &jobs,
                 const Outcome<std::string> &outcome) const;
    /// Runs \a task after \a delay, unless leadership has changed by then.
    void callLater(absl::Duration delay, std::function<void()> task);

    /// A copy, because a pending read keeps this object alive longer than its owner.
    const JobExecutorContext m_context;
    JobExecutor &m_executor;
    std::function<void()> m_ready;
    /// Jobs to be read once no read is pending and the takeover is complete.
    std::set<std::string> m_requested;
    /// Jobs to be read also if the executor has items of them.
    std::set<std::string> m_incomplete;
    bool m_isReading = false;
    bool m_hasTakenOver = false;
    /// Incremented by start() and stop(); responses and timers of an earlier generation are
    /// ignored.
    std::uint64_t m_generation = 0;
};

} // namespace rattanrill::jobs
