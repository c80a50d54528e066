#pragma once

#include "raftcore.h"
#include "taskqueue.h"

#include "rattanrill/replication/statemachine.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <thread>
#include <variant>

namespace rattanrill::replication {

using Callback = RaftNode::Callback;

/// Owns the state machine. One thread applies committed entries, evaluates reads, takes and
/// restores snapshots and invokes the callbacks.
class ApplyThread
{
public:
    struct CommittedEntry
    {
        Entry entry;
        /// Callback of the local proposer; empty when there is none.
        Callback callback;
    };
    /// A read whose read index is known.
    struct Read
    {
        std::uint64_t index = 0;
        std::string query;
        Callback callback;
        absl::Time deadline;
    };
    struct Listener
    {
        /// Receives a snapshot of the state after the entry at \a index, which has term \a term.
        std::function<void(std::uint64_t index, std::uint64_t term, std::string data)>
                snapshotTaken;
        std::function<void(const Failure &failure)> failed;
    };

    ApplyThread(std::unique_ptr<StateMachine> machine, std::uint64_t appliedIndex,
                std::uint64_t snapshotAfterBytes, Listener listener);
    ~ApplyThread();

    void apply(std::vector<CommittedEntry> entries) { push(std::move(entries)); }
    void restore(InstalledSnapshot snapshot) { push(std::move(snapshot)); }
    void read(Read read) { push(std::move(read)); }
    /// Invokes \a callback with \a outcome on the apply thread.
    void invokeCallback(Callback callback, Outcome<std::string> outcome);
    /// Fails reads whose deadline has passed.
    void expireReads(absl::Time now) { push(now); }
    /// Must be called when the latest snapshot was saved or discarded. Before that, no further
    /// snapshot is taken.
    void snapshotDone() { m_snapshotPending = false; }
    void onApplied(std::function<void(std::uint64_t)> listener);
    std::uint64_t appliedIndex() const { return m_appliedIndex; }
    /// Runs the queued tasks, fails the pending reads and ends the thread.
    void stop();

private:
    struct CallbackInvocation
    {
        Callback callback;
        Outcome<std::string> outcome;
    };
    using Task = std::variant<std::vector<CommittedEntry>, InstalledSnapshot, Read,
                              CallbackInvocation, absl::Time>;

    void push(Task task);
    void run();
    void runTask(std::vector<CommittedEntry> &entries);
    void runTask(InstalledSnapshot &snapshot);
    void runTask(Read &read);
    void runTask(CallbackInvocation &invocation);
    void runTask(absl::Time &now);
    void applyEntry(CommittedEntry &committed);
    void completeReadyReads();
    void completeRead(const Read &read);
    void takeSnapshotIfDue();
    void notifyApplied();

    const std::unique_ptr<StateMachine> m_machine;
    const std::uint64_t m_snapshotAfterBytes;
    const Listener m_listener;
    TaskQueue<Task> m_queue;
    std::atomic<std::uint64_t> m_appliedIndex;
    std::uint64_t m_appliedTerm = 0;
    /// Size of the entries applied since the last snapshot.
    std::uint64_t m_bytesSinceSnapshot = 0;
    std::atomic<bool> m_snapshotPending = false;
    /// Whether restoring a snapshot has failed; nothing is applied or read after that.
    bool m_failed = false;
    /// Reads by read index, which the state does not include yet.
    std::multimap<std::uint64_t, Read> m_reads;
    absl::Mutex m_mutex;
    std::vector<std::function<void(std::uint64_t)>> m_appliedListeners ABSL_GUARDED_BY(m_mutex);
    std::thread m_thread;
};

} // namespace rattanrill::replication
