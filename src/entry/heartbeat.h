#pragma once

#include "rattanrill/base/timerservice.h"
#include "rattanrill/directory/directorysubscriber.h"
#include "rattanrill/wire/directorymessages.h"

#include "absl/time/time.h"

#include <atomic>

namespace rattanrill::controlclient {
class ControlClient;
}

namespace rattanrill::entry {

/// Sends heartbeats to the control instances. They contain the directory revision that this process
/// applies and whether it is leaving.
class Heartbeat
{
public:
    Heartbeat(controlclient::ControlClient &control,
              const directory::DirectorySubscriber &directory, TimerService &timers,
              absl::Duration period);
    ~Heartbeat();

    void start(wire::Member member);
    /// Sends a heartbeat at once that marks this process as leaving; later heartbeats do the same.
    void leave();
    void stop();

private:
    void send();

    wire::Member m_member;
    controlclient::ControlClient &m_control;
    const directory::DirectorySubscriber &m_directory;
    TimerService &m_timers;
    absl::Duration m_period;
    TimerService::TimerId m_timer = 0;
    std::atomic<bool> m_leaving{false};
};

} // namespace rattanrill::entry
