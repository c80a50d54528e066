#pragma once

#include "applythread.h"
#include "calllimit.h"
#include "storagethread.h"

#include "rattanrill/base/clock.h"

#include <unordered_map>

namespace rattanrill::replication {

/// RaftNode that runs a RaftCore on a thread of its own. Disk operations run on a StorageThread,
/// state machine operations and callbacks on an ApplyThread.
class GroupDriver : public RaftNode
{
public:
    struct Parts
    {
        std::unique_ptr<Storage> storage;
        /// Its state must already be that of start.snapshot.
        std::unique_ptr<StateMachine> machine;
        RaftStart start;
        RaftOptions raft;
    };

    GroupDriver(RaftNodeOptions options, Parts parts, RaftTransport &transport, const Clock &clock);
    ~GroupDriver() override;

    void propose(std::string command, Callback callback) override;
    void readOnLeader(std::string query, Callback callback) override;
    void readOnAnyReplica(std::string query, Callback callback) override;
    void readMembership(MembershipCallback callback) override;
    void receive(const ReplicaId &from, std::string message) override;
    RaftNodeStatus status() const override;
    void onApplied(std::function<void(std::uint64_t)> listener) override;
    void addReplica(const ReplicaId &member, const ReplicaId &replaced, Callback callback) override;
    void removeReplica(const ReplicaId &member, Callback callback) override;
    void transferLeadership() override;
    void stop() override;

private:
    using Task = std::function<void()>;
    using StartRead = void (RaftCore::*)(std::uint64_t);

    struct OpenProposal
    {
        std::uint64_t term;
        Callback callback;
        absl::Time deadline;
    };
    struct OpenRead
    {
        std::string query;
        Callback callback;
        /// Receives the membership instead of the result of a query; null otherwise.
        std::shared_ptr<std::vector<ReplicaId>> membership;
    };

    /// Counts a call of \a bytes until the returned callback is called. At the limit, calls
    /// \a callback with QueueFull and returns null.
    Callback withCallLimit(Callback callback, std::size_t bytes);
    /// Runs \a task on the Raft thread. After stop(), calls \a callback with Stopped instead.
    void post(Task task, const Callback &callback);
    void startRead(StartRead start, OpenRead read);
    void changeMembers(const ReplicaId &member, const ReplicaId &replaced, Callback callback);

    // The following run on the Raft thread.
    void run();
    absl::Duration timeToDeadline() const;
    void startProposal(std::string command, Callback callback);
    void handleOutput();
    void sendMessages(std::vector<Message> messages);
    void applyCommitted(std::vector<Entry> entries);
    void finishReads(const std::vector<ReadResult> &results);
    void finishMembershipRead(OpenRead read);
    void finishChanges(const std::vector<ChangeResult> &results);
    void failProposals(const Failure &failure);
    void expireCalls();
    void handleSnapshotTaken(std::uint64_t index, std::uint64_t term, std::string data);
    void stopReplica(const Failure &failure);
    void failOpenCalls(const Failure &failure);
    void publishStatus();
    void logRoleChange(const RaftNodeStatus &before, const RaftNodeStatus &now) const;

    StorageThread::Listener storageListener();
    ApplyThread::Listener applyListener();

    const RaftNodeOptions m_options;
    RaftTransport &m_transport;
    const Clock &m_clock;
    CallLimit m_calls;
    TaskQueue<Task> m_inbox;
    /// Size of the received messages in the inbox.
    std::atomic<std::int64_t> m_queuedMessageBytes = 0;

    // Used by the Raft thread only
    RaftCore m_core;
    std::map<std::uint64_t, OpenProposal> m_proposals;
    std::unordered_map<std::uint64_t, OpenRead> m_reads;
    std::unordered_map<std::uint64_t, Callback> m_changes;
    std::uint64_t m_nextToken = 1;
    /// Time at which expireCalls() next looks for calls whose deadline has passed.
    absl::Time m_nextExpiryCheck = absl::InfinitePast();
    std::optional<Failure> m_stopReason;

    mutable absl::Mutex m_statusMutex;
    RaftNodeStatus m_status ABSL_GUARDED_BY(m_statusMutex);

    ApplyThread m_apply;
    StorageThread m_storage;
    std::thread m_thread;
};

} // namespace rattanrill::replication
