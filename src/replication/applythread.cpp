#include "applythread.h"

#include "rattanrill/wire/codec.h"
#include "rattanrill/wire/envelope.h"

#include <utility>

namespace rattanrill::replication {
namespace {

Outcome<std::string> unpack(const std::string &response)
{
    const auto result = outcomeOf([&] { return wire::decode<wire::CommandResult>(response); });
    if (!result.ok())
        return mayHaveRun(ErrorCode::Internal, "the state machine returned a malformed response");
    if (result.value().failure.failed)
        return wire::fromMessage(result.value().failure);
    return result.value().body;
}

} // namespace

ApplyThread::ApplyThread(std::unique_ptr<StateMachine> machine, std::uint64_t appliedIndex,
                         std::uint64_t snapshotAfterBytes, Listener listener)
    : m_machine(std::move(machine))
    , m_snapshotAfterBytes(snapshotAfterBytes)
    , m_listener(std::move(listener))
    , m_appliedIndex(appliedIndex)
    , m_thread([this] { run(); })
{}

ApplyThread::~ApplyThread()
{
    stop();
}

void ApplyThread::stop()
{
    m_queue.close();
    if (m_thread.joinable() && m_thread.get_id() != std::this_thread::get_id())
        m_thread.join();
}

void ApplyThread::push(Task task)
{
    m_queue.push(std::move(task));
}

void ApplyThread::invokeCallback(Callback callback, Outcome<std::string> outcome)
{
    push(CallbackInvocation{std::move(callback), std::move(outcome)});
}

void ApplyThread::onApplied(std::function<void(std::uint64_t)> listener)
{
    absl::MutexLock lock(&m_mutex);
    m_appliedListeners.push_back(std::move(listener));
}

void ApplyThread::run()
{
    while (true) {
        std::vector<Task> tasks = m_queue.takeAll(absl::InfiniteDuration());
        if (tasks.empty())
            break;
        for (Task &task : tasks)
            std::visit([this](auto &alternative) { runTask(alternative); }, task);
    }
    for (auto &[index, read] : std::exchange(m_reads, {}))
        read.callback(notRun(ErrorCode::Stopped, "the replica has stopped"));
}

void ApplyThread::runTask(std::vector<CommittedEntry> &entries)
{
    for (CommittedEntry &committed : entries)
        applyEntry(committed);
    notifyApplied();
    completeReadyReads();
    takeSnapshotIfDue();
}

void ApplyThread::applyEntry(CommittedEntry &committed)
{
    const Entry &entry = committed.entry;
    if (m_failed) {
        if (committed.callback)
            committed.callback(mayHaveRun(ErrorCode::Stopped, "the replica has stopped"));
        return;
    }
    std::string response;
    if (entry.kind == EntryKind::Command)
        response = m_machine->apply(entry.index, entry.data);
    m_appliedIndex = entry.index;
    m_appliedTerm = entry.term;
    m_bytesSinceSnapshot += sizeOf(entry);
    if (committed.callback)
        committed.callback(unpack(response));
}

void ApplyThread::runTask(InstalledSnapshot &snapshot)
{
    const Outcome<Done> outcome = outcomeOf([&] { return m_machine->restore(*snapshot.data); });
    if (!outcome.ok()) {
        m_failed = true;
        m_listener.failed(outcome.failure());
        return;
    }
    m_appliedIndex = snapshot.meta.index;
    m_appliedTerm = snapshot.meta.term;
    m_bytesSinceSnapshot = 0;
    notifyApplied();
    completeReadyReads();
}

void ApplyThread::runTask(Read &read)
{
    if (read.index <= m_appliedIndex)
        completeRead(read);
    else
        m_reads.emplace(read.index, std::move(read));
}

void ApplyThread::runTask(CallbackInvocation &invocation)
{
    invocation.callback(std::move(invocation.outcome));
}

void ApplyThread::runTask(absl::Time &now)
{
    for (auto it = m_reads.begin(); it != m_reads.end();) {
        if (it->second.deadline > now) {
            ++it;
            continue;
        }
        it->second.callback(notRun(ErrorCode::NoQuorum,
                                   "the replica did not apply the read index before the deadline"));
        it = m_reads.erase(it);
    }
}

void ApplyThread::completeReadyReads()
{
    while (!m_reads.empty() && m_reads.begin()->first <= m_appliedIndex) {
        completeRead(m_reads.begin()->second);
        m_reads.erase(m_reads.begin());
    }
}

void ApplyThread::completeRead(const Read &read)
{
    if (m_failed) {
        read.callback(notRun(ErrorCode::Stopped, "the replica has stopped"));
        return;
    }
    Outcome<std::string> outcome = unpack(m_machine->query(read.query));
    if (outcome.ok()) {
        read.callback(std::move(outcome));
        return;
    }
    // A read has no effect, whatever effect state the failure carries.
    Failure failure = outcome.failure();
    failure.effect = EffectState::NotRun;
    read.callback(std::move(failure));
}

void ApplyThread::takeSnapshotIfDue()
{
    if (m_bytesSinceSnapshot < m_snapshotAfterBytes || m_failed || m_snapshotPending.exchange(true))
        return;
    m_bytesSinceSnapshot = 0;
    m_listener.snapshotTaken(m_appliedIndex, m_appliedTerm, m_machine->snapshot());
}

void ApplyThread::notifyApplied()
{
    std::vector<std::function<void(std::uint64_t)>> listeners;
    {
        absl::MutexLock lock(&m_mutex);
        listeners = m_appliedListeners;
    }
    for (const auto &listener : listeners)
        listener(m_appliedIndex);
}

} // namespace rattanrill::replication
