#pragma once

#include "rattanrill/replication/raftnode.h"

#include "registermachine.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <map>
#include <memory>
#include <string>

namespace rattanrill::replication {

/// Outcome of an asynchronous call; Timeout when no callback comes within 10 s.
Outcome<std::string> await(const std::function<void(RaftNode::Callback)> &call);

/// Replicas in one process with real files, threads and time, joined by direct calls.
class LocalCluster
{
public:
    LocalCluster();
    ~LocalCluster();

    /// Opens or reopens a replica in its folder.
    Outcome<Done> open(const ReplicaId &id, const std::vector<ReplicaId> &voters);
    void close(const ReplicaId &id);
    void cut(const ReplicaId &id, bool isCut);
    std::string folder(const ReplicaId &id) const;
    RaftNode &at(const ReplicaId &id) { return *m_groups.at(id); }

    /// Waits until some replica leads; empty after 10 s.
    ReplicaId waitForLeader();
    /// Repeats the proposal on whoever leads until it succeeds or 10 s have passed.
    Outcome<std::string> write(const std::string &command);
    Outcome<std::string> propose(const ReplicaId &id, const std::string &command);
    Outcome<std::string> linearizableRead(const ReplicaId &id, const std::string &query);
    Outcome<std::string> addReplica(const ReplicaId &leader, const ReplicaId &member,
                                    const ReplicaId &replaced);
    /// Polls \a condition for up to 10 s.
    static bool waitUntil(const std::function<bool()> &condition);

private:
    class Link;

    void deliver(const ReplicaId &from, const ReplicaId &to, std::string message);

    std::string m_folder;
    std::map<ReplicaId, std::unique_ptr<Link>> m_links;
    std::map<ReplicaId, std::unique_ptr<RaftNode>> m_groups;
    absl::Mutex m_mutex;
    std::map<ReplicaId, RaftNode *> m_reachable ABSL_GUARDED_BY(m_mutex);
};

} // namespace rattanrill::replication
