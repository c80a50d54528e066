#pragma once

#include "storage.h"
#include "taskqueue.h"

#include <functional>
#include <memory>
#include <thread>
#include <variant>

namespace rattanrill::replication {

/// Runs a Storage on a thread of its own, so that a slow sync delays neither heartbeats nor reads.
/// Writes that are queued during a sync share the next one.
class StorageThread
{
public:
    /// Called on the storage thread.
    struct Listener
    {
        std::function<void(std::uint64_t sequence)> persisted;
        std::function<void(const SnapshotMeta &meta, bool saved)> snapshotSaved;
        /// A SnapshotChunk with its data.
        std::function<void(Message chunk)> chunkReady;
        std::function<void(bool writable)> writableChanged;
        /// The storage has failed; no more tasks are run.
        std::function<void(const Failure &failure)> failed;
    };

    StorageThread(std::unique_ptr<Storage> storage, Listener listener);
    ~StorageThread();

    void persist(PersistRequest request) { m_queue.push(std::move(request)); }
    void saveSnapshot(InstalledSnapshot snapshot) { m_queue.push(std::move(snapshot)); }
    void readChunk(Message chunk) { m_queue.push(std::move(chunk)); }
    void stop();

private:
    using Task = std::variant<PersistRequest, InstalledSnapshot, Message>;

    void run();
    void checkSpace();
    void runTasks(std::vector<Task> tasks);
    void flushWrites(std::vector<PersistRequest> &writes);
    void runSnapshot(const InstalledSnapshot &snapshot);
    void runChunk(Message chunk);
    bool retryWhileFull(const std::function<Result<void>()> &operation);
    void setWritable(bool writable);

    const std::unique_ptr<Storage> m_storage;
    const Listener m_listener;
    TaskQueue<Task> m_queue;
    bool m_writable = true;
    bool m_failed = false;
    std::thread m_thread;
};

} // namespace rattanrill::replication
