#pragma once

#include "rattanrill/base/timerservice.h"
#include "rattanrill/peer/server.h"
#include "rattanrill/replication/statemachine.h"
#include "rattanrill/wire/directorymessages.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <map>
#include <memory>
#include <string>

namespace rattanrill::entry {

/// One control instance in this process: the real state machines behind the real peer protocol,
/// without replication.
class FakeControl
{
public:
    explicit FakeControl(int partitions);
    ~FakeControl();

    std::string address() const;
    /// Writes to the directory; requires success.
    void write(wire::DirectoryOperation operation) ABSL_LOCKS_EXCLUDED(m_mutex);
    /// From now on calls of \a group ("directory", "batch-0") are left unanswered, or no longer.
    void setSilent(const std::string &group, bool silent) ABSL_LOCKS_EXCLUDED(m_mutex);
    /// As setSilent() for polls of the directory.
    void setPollsSilent(bool silent) ABSL_LOCKS_EXCLUDED(m_mutex);
    std::uint64_t revision() ABSL_LOCKS_EXCLUDED(m_mutex);
    std::size_t members() ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    Outcome<std::string> run(const std::string &group, const std::string &bytes, bool write)
            ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void propose(const std::string &body, const peer::ResponseCallback &reply)
            ABSL_LOCKS_EXCLUDED(m_mutex);
    void read(const std::string &body, const peer::ResponseCallback &reply)
            ABSL_LOCKS_EXCLUDED(m_mutex);
    void follow(const std::string &body, const peer::ResponseCallback &reply)
            ABSL_LOCKS_EXCLUDED(m_mutex);
    void heartbeat(const std::string &body, const peer::ResponseCallback &reply)
            ABSL_LOCKS_EXCLUDED(m_mutex);
    std::string changes(std::uint64_t after, bool &any) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void answerPoll(std::uint64_t after, const peer::ResponseCallback &reply)
            ABSL_LOCKS_EXCLUDED(m_mutex);

    absl::Mutex m_mutex;
    std::map<std::string, std::unique_ptr<replication::StateMachine>>
            m_groups ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, bool> m_silent ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_index ABSL_GUARDED_BY(m_mutex) = 0;
    ThreadTimerService m_timers;
    peer::Server m_server;
};

} // namespace rattanrill::entry
