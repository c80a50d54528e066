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

/// Long polls of the directory. Every answer was confirmed by the leader after its poll arrived, so
/// that a replica that is cut off cannot prove freshness. Polls from the same revision share one
/// confirmation.
class FollowService : public std::enable_shared_from_this<FollowService>
{
public:
    FollowService(replication::RaftNode &directory, TimerService &timers, const Clock &clock);

    void start();
    /// Answers with an encoded wire::PollChangesResponse. Fails with NoQuorum when no leader
    /// confirms, with StaleRevision when the caller is ahead of the directory, or with Stopped;
    /// always NotRun.
    void poll(const wire::PollChangesRequest &request, peer::ResponseCallback reply);
    /// Fails the polls that wait with Stopped.
    void stop();

private:
    struct Poll
    {
        peer::ResponseCallback reply;
        absl::Time due;
    };
    using Polls = std::vector<Poll>;

    void confirm(std::uint64_t afterRevision, const Polls &polls);
    void confirmed(std::uint64_t afterRevision, std::uint64_t appliedBatches, Polls polls,
                   const Outcome<std::string> &outcome);
    void wait(std::uint64_t afterRevision, std::uint64_t appliedBatches, Polls polls);
    void applied();
    void confirmDue();

    replication::RaftNode &m_directory;
    TimerService &m_timers;
    const Clock &m_clock;
    TimerService::TimerId m_timer = 0;

    absl::Mutex m_mutex;
    std::map<std::uint64_t, Polls> m_waiting ABSL_GUARDED_BY(m_mutex);
    /// Counts calls of applied(), so that a change between a confirmation and the wait is noticed.
    std::uint64_t m_appliedBatches ABSL_GUARDED_BY(m_mutex) = 0;
    bool m_stopped ABSL_GUARDED_BY(m_mutex) = false;
};

} // namespace rattanrill::control
