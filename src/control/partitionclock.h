#pragma once

#include "grouphost.h"

#include "rattanrill/base/timerservice.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <map>
#include <memory>
#include <string>

namespace rattanrill::control {

/// Proposes AdvanceTime commands to the partitions that this instance leads, so that leases,
/// backoff delays and retention periods also end when no other command arrives.
class PartitionClock : public std::enable_shared_from_this<PartitionClock>
{
public:
    PartitionClock(const ControlSettings &settings, const GroupHost &groups, TimerService &timers,
                   const Clock &clock);

    void start();
    void stop();
    /// Records that a command was proposed to \a group now, so that the partition counts as active.
    void recordCommand(const std::string &group);

private:
    struct State
    {
        absl::Time lastCommand = absl::InfinitePast();
        absl::Time lastAdvance = absl::InfinitePast();
        bool isLeader = false;
        bool pending = false;
    };

    void advanceDuePartitions();
    /// Returns whether an AdvanceTime command is due, and marks it as pending in that case.
    bool tryBeginAdvance(const std::string &group, bool isLeader);
    void advance(const std::string &group);

    const ControlSettings &m_settings;
    const GroupHost &m_groups;
    TimerService &m_timers;
    const Clock &m_clock;
    TimerService::TimerId m_timer = 0;

    absl::Mutex m_mutex;
    std::map<std::string, State> m_states ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill::control
