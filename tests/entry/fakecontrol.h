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
#include <vector>

namespace rattanrill::entry {

/// A control instance in the test process. It serves the real state machines over the real peer
/// protocol, without replication.
class FakeControl
{
public:
    explicit FakeControl(int partitions);
    ~FakeControl();

    std::string address() const;
    /// Applies \a operation to the directory and fails the test when the directory refuses it.
    void write(wire::DirectoryOperation operation) ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Sets whether requests to \a group (for example "directory" or "batch-0") receive no
    /// response.
    void setUnresponsive(const std::string &group, bool unresponsive) ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Sets whether polls for directory changes receive no response.
    void setPollsUnresponsive(bool unresponsive) ABSL_LOCKS_EXCLUDED(m_mutex);
    std::uint64_t revision() ABSL_LOCKS_EXCLUDED(m_mutex);
    std::size_t members() ABSL_LOCKS_EXCLUDED(m_mutex);

private:
    Outcome<std::string> run(const std::string &group, const std::string &bytes, bool write)
            ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void propose(const std::string &body, const peer::ResponseCallback &reply)
            ABSL_LOCKS_EXCLUDED(m_mutex);
    void read(const std::string &body, const peer::ResponseCallback &reply)
            ABSL_LOCKS_EXCLUDED(m_mutex);
    void pollChanges(const std::string &body, const peer::ResponseCallback &reply)
            ABSL_LOCKS_EXCLUDED(m_mutex);
    void heartbeat(const std::string &body, const peer::ResponseCallback &reply)
            ABSL_LOCKS_EXCLUDED(m_mutex);
    /// Encoded changes after \a afterRevision; sets \a hasChanges to whether there are any.
    std::string changesSince(std::uint64_t afterRevision, bool &hasChanges)
            ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    void respondToPoll(std::uint64_t afterRevision, const peer::ResponseCallback &reply)
            ABSL_LOCKS_EXCLUDED(m_mutex);

    absl::Mutex m_mutex;
    std::map<std::string, std::unique_ptr<replication::StateMachine>>
            m_groups ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, bool> m_unresponsive ABSL_GUARDED_BY(m_mutex);
    /// Kept, because the peer server responds with an error to a request whose callback is
    /// destroyed.
    std::vector<peer::ResponseCallback> m_unanswered ABSL_GUARDED_BY(m_mutex);
    std::uint64_t m_index ABSL_GUARDED_BY(m_mutex) = 0;
    ThreadTimerService m_timers;
    peer::Server m_server;
};

} // namespace rattanrill::entry
