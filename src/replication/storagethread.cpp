#include "storagethread.h"

#include <utility>

namespace rattanrill::replication {
namespace {

/// Interval between checks of the free disk space when nothing is written.
constexpr absl::Duration spaceCheckPeriod = absl::Seconds(1);
/// Delay between retries of a write on a full disk.
constexpr absl::Duration fullDiskRetryDelay = absl::Milliseconds(200);

} // namespace

StorageThread::StorageThread(std::unique_ptr<Storage> storage, Listener listener)
    : m_storage(std::move(storage))
    , m_listener(std::move(listener))
    , m_thread([this] { run(); })
{}

StorageThread::~StorageThread()
{
    stop();
}

void StorageThread::stop()
{
    m_queue.close();
    if (m_thread.joinable())
        m_thread.join();
}

void StorageThread::run()
{
    while (!m_queue.isClosed() && !m_failed) {
        checkSpace();
        runTasks(m_queue.takeAll(spaceCheckPeriod));
    }
}

void StorageThread::checkSpace()
{
    setWritable(m_storage->hasSpace());
}

void StorageThread::setWritable(bool writable)
{
    if (writable == m_writable)
        return;
    m_writable = writable;
    m_listener.writableChanged(writable);
}

void StorageThread::runTasks(std::vector<Task> tasks)
{
    std::vector<PersistRequest> writes;
    for (Task &task : tasks) {
        auto *request = std::get_if<PersistRequest>(&task);
        if (request != nullptr && !request->snapshot) {
            writes.push_back(std::move(*request));
            continue;
        }
        flushWrites(writes);
        if (request != nullptr) {
            if (retryWhileFull([&] { return m_storage->install(*request); }))
                m_listener.persisted(request->sequence);
        } else if (auto *snapshot = std::get_if<InstalledSnapshot>(&task)) {
            runSnapshot(*snapshot);
        } else {
            runChunk(std::move(std::get<Message>(task)));
        }
    }
    flushWrites(writes);
}

void StorageThread::flushWrites(std::vector<PersistRequest> &writes)
{
    if (writes.empty())
        return;
    if (retryWhileFull([&] { return m_storage->write(writes); }))
        m_listener.persisted(writes.back().sequence);
    writes.clear();
}

bool StorageThread::retryWhileFull(const std::function<Result<void>()> &operation)
{
    while (!m_failed) {
        const Outcome<Done> outcome = outcomeOf(operation);
        if (outcome.ok())
            return true;
        if (outcome.failure().code != ErrorCode::DiskFull) {
            m_failed = true;
            m_listener.failed(outcome.failure());
            return false;
        }
        setWritable(false);
        if (m_queue.waitUntilClosed(fullDiskRetryDelay))
            return false;
    }
    return false;
}

void StorageThread::runSnapshot(const InstalledSnapshot &snapshot)
{
    if (m_failed)
        return;
    const Outcome<Done> outcome = outcomeOf([&] { return m_storage->saveSnapshot(snapshot); });
    if (!outcome.ok() && outcome.failure().code != ErrorCode::DiskFull) {
        m_failed = true;
        m_listener.failed(outcome.failure());
        return;
    }
    if (!outcome.ok())
        setWritable(false);
    m_listener.snapshotSaved(snapshot.meta, outcome.ok());
}

void StorageThread::runChunk(Message chunk)
{
    auto part = outcomeOf([&] {
        return m_storage->readSnapshot(chunk.snapshot.index, chunk.offset, chunk.length);
    });
    // No chunk is sent in this case. If a newer snapshot has replaced this one, RaftCore restarts
    // the transfer with it. If the read failed, RaftCore resends the chunk when no reply arrives.
    if (!part.ok())
        return;
    chunk.data = std::move(part.value().data);
    chunk.last = part.value().last;
    m_listener.chunkReady(std::move(chunk));
}

} // namespace rattanrill::replication
