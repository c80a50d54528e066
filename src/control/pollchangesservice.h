#pragma once

#include "rattanrill/base/clock.h"
#include "rattanrill/base/timerservice.h"
#include "rattanrill/peer/transport.h"
#include "rattanrill/replication/raftnode.h"
#include "rattanrill/wire/directorymessages.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace rattanrill::control {

/// Serves long polls for directory changes. The leader confirms every response after the poll has
/// arrived, so a replica that has no connection to a quorum cannot prove freshness. Polls from the
/// same revision share one confirmation.
class PollChangesService : public std::enable_shared_from_this<PollChangesService>
{
public:
    PollChangesService(replication::RaftNode &directory, TimerService &timers, const Clock &clock);

    void start();
    /// Replies with an encoded wire::PollChangesResponse. Fails with NoQuorum when no leader
    /// confirms the response, with StaleRevision when the caller's revision is newer than the
    /// directory, or with Stopped. Every failure has the effect state NotRun.
    void poll(const wire::PollChangesRequest &request, peer::ResponseCallback reply);
    /// Fails the waiting polls with Stopped.
    void stop();

private:
    struct Poll
    {
        peer::ResponseCallback reply;
        absl::Time deadline;
    };
    using Polls = std::vector<Poll>;

    /// Reads the changes after \a afterRevision with a confirmation by the leader, then replies to
    /// \a polls or enqueues those that can still wait for a change.
    void confirmPolls(std::uint64_t afterRevision, const Polls &polls);
    void handleConfirmation(std::uint64_t afterRevision, std::uint64_t appliedBatches, Polls polls,
                            const Outcome<std::string> &outcome);
    void enqueue(std::uint64_t afterRevision, std::uint64_t appliedBatches, Polls polls);
    void handleApplied();
    void confirmExpiredPolls();

    replication::RaftNode &m_directory;
    TimerService &m_timers;
    const Clock &m_clock;
    TimerService::TimerId m_timer = 0;

    absl::Mutex m_mutex;
    /// Waiting polls by the revision after which they request changes.
    std::map<std::uint64_t, Polls> m_waiting ABSL_GUARDED_BY(m_mutex);
    /// Number of calls of handleApplied(). enqueue() compares it to detect a change that was
    /// applied after the confirmation had started.
    std::uint64_t m_appliedBatches ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_stopped ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace rattanrill::control
