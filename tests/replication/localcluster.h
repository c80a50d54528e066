#pragma once

#include "rattanrill/replication/raftnode.h"

#include "registermachine.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <map>
#include <memory>
#include <string>

namespace rattanrill::replication {

/// Waits for the outcome of an asynchronous call and returns it; Timeout when the callback does not
/// run within 10 s.
Outcome<std::string> await(const std::function<void(RaftNode::Callback)> &call);

/// Replicas in one process. Files, threads and time are real; messages are direct calls.
class LocalCluster
{
public:
    LocalCluster();
    ~LocalCluster();

    /// Starts or restarts a replica on its folder.
    Outcome<Done> open(const ReplicaId &id, const std::vector<ReplicaId> &voters);
    void close(const ReplicaId &id);
    void setDisconnected(const ReplicaId &id, bool isDisconnected);
    std::string folder(const ReplicaId &id) const;
    RaftNode &at(const ReplicaId &id) { return *m_replicas.at(id); }

    /// Waits until there is a leader and returns it; empty after 10 s.
    ReplicaId waitForLeader();
    /// Proposes \a command to the current leader until a proposal succeeds or 10 s have passed.
    Outcome<std::string> write(const std::string &command);
    Outcome<std::string> propose(const ReplicaId &id, const std::string &command);
    Outcome<std::string> linearizableRead(const ReplicaId &id, const std::string &query);
    Outcome<std::vector<ReplicaId>> readMembership(const ReplicaId &id);
    Outcome<std::string> addReplica(const ReplicaId &leader, const ReplicaId &member,
                                    const ReplicaId &replaced);
    /// Polls \a condition for up to 10 s; returns whether it became true.
    static bool waitUntil(const std::function<bool()> &condition);

private:
    class Link;

    void deliver(const ReplicaId &from, const ReplicaId &to, std::string message);

    std::string m_folder;
    std::map<ReplicaId, std::unique_ptr<Link>> m_links;
    std::map<ReplicaId, std::unique_ptr<RaftNode>> m_replicas;
    absl::Mutex m_mutex;
    std::map<ReplicaId, RaftNode *> m_reachable ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill::replication
