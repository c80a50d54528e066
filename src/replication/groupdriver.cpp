#include "groupdriver.h"

#include "filestorage.h"

#include "rattanrill/base/hash.h"
#include "rattanrill/base/logger.h"

#include <algorithm>
#include <utility>

namespace rattanrill::replication {
namespace {

/// Maximum number and total size of the open proposals, reads and membership changes of one
/// replica.
constexpr std::int64_t maxOpenCalls = 32768;
constexpr std::int64_t maxOpenCallBytes = std::int64_t(64) << 20;
/// Maximum size of the received messages that wait for processing. Further messages are dropped;
/// the sender resends them.
constexpr std::int64_t maxQueuedMessageBytes = std::int64_t(64) << 20;
/// A proposal that is not committed, and a read whose read index is not applied, fail after this
/// many election timeouts. RaftCore itself fails the membership changes and the unconfirmed reads
/// that it cannot complete.
constexpr int maxCallElectionTimeouts = 25;

Failure stoppedFailure(const std::optional<Failure> &reason)
{
    return notRun(ErrorCode::Stopped, reason ? describe(*reason) : "the replica has stopped");
}

std::vector<ReplicaId> idsOf(const Membership &membership)
{
    std::vector<ReplicaId> ids;
    for (const auto &[id, incarnation] : membership.voters)
        ids.push_back(id);
    return ids;
}

std::vector<ReplicaId> votersAndLearners(const Membership &membership)
{
    std::vector<ReplicaId> ids = idsOf(membership);
    ids.insert(ids.end(), membership.learners.begin(), membership.learners.end());
    return ids;
}

} // namespace

GroupDriver::GroupDriver(RaftNodeOptions options, Parts parts, RaftTransport &transport,
                         const Clock &clock)
    : m_options(std::move(options))
    , m_transport(transport)
    , m_clock(clock)
    , m_calls(maxOpenCalls, maxOpenCallBytes)
    , m_core(std::move(parts.raft), parts.start, clock.now())
    , m_apply(std::move(parts.machine), parts.start.snapshot.index, m_options.snapshotAfterBytes,
              applyListener())
    , m_storage(std::move(parts.storage), storageListener())
{
    publishStatus();
    m_thread = std::thread([this] { run(); });
}

GroupDriver::~GroupDriver()
{
    stop();
}

StorageThread::Listener GroupDriver::storageListener()
{
    StorageThread::Listener listener;
    listener.persisted = [this](std::uint64_t sequence) {
        m_inbox.push([this, sequence] { m_core.persisted(sequence); });
    };
    listener.snapshotSaved = [this](const SnapshotMeta &meta, bool saved) {
        m_inbox.push([this, meta, saved] {
            if (saved)
                m_core.snapshotSaved(meta);
            m_apply.snapshotDone();
        });
    };
    listener.chunkReady = [this](const Message &chunk) {
        m_transport.send(chunk.to, m_options.group, encodeMessage(chunk));
    };
    listener.writableChanged = [this](bool writable) {
        log(LogLevel::Warning, writable ? "disk-space-available" : "disk-full",
            {{"group", m_options.group}});
        m_inbox.push([this, writable] { m_core.setWritable(writable); });
    };
    listener.failed = [this](const Failure &failure) {
        m_inbox.push([this, failure] { stopReplica(failure); });
    };
    return listener;
}

ApplyThread::Listener GroupDriver::applyListener()
{
    ApplyThread::Listener listener;
    listener.snapshotTaken = [this](std::uint64_t index, std::uint64_t term, std::string data) {
        m_inbox.push([this, index, term, data = std::move(data)]() mutable {
            handleSnapshotTaken(index, term, std::move(data));
        });
    };
    listener.failed = [this](const Failure &failure) {
        m_inbox.push([this, failure] { stopReplica(failure); });
    };
    return listener;
}

Callback GroupDriver::withCallLimit(Callback callback, std::size_t bytes)
{
    if (!m_calls.acquire(bytes)) {
        callback(notRun(ErrorCode::QueueFull, "too many calls are open"));
        return nullptr;
    }
    return [this, bytes, callback = std::move(callback)](Outcome<std::string> outcome) {
        m_calls.release(bytes);
        callback(std::move(outcome));
    };
}

void GroupDriver::post(Task task, const Callback &callback)
{
    if (!m_inbox.push(std::move(task)))
        callback(stoppedFailure(std::nullopt));
}

void GroupDriver::propose(std::string command, Callback callback)
{
    callback = withCallLimit(std::move(callback), command.size());
    if (!callback)
        return;
    post([this, command = std::move(command),
          callback]() mutable { startProposal(std::move(command), std::move(callback)); },
         callback);
}

void GroupDriver::readOnLeader(std::string query, Callback callback)
{
    startRead(&RaftCore::readOnLeader, {std::move(query), std::move(callback), nullptr});
}

void GroupDriver::readOnAnyReplica(std::string query, Callback callback)
{
    startRead(&RaftCore::readOnAnyReplica, {std::move(query), std::move(callback), nullptr});
}

void GroupDriver::readMembership(MembershipCallback callback)
{
    const auto membership = std::make_shared<std::vector<ReplicaId>>();
    const auto finish = [membership,
                         callback = std::move(callback)](const Outcome<std::string> &outcome) {
        if (outcome.ok())
            callback(*membership);
        else
            callback(outcome.failure());
    };
    startRead(&RaftCore::readOnLeader, {std::string(), finish, membership});
}

void GroupDriver::startRead(StartRead start, OpenRead read)
{
    read.callback = withCallLimit(std::move(read.callback), read.query.size());
    if (!read.callback)
        return;
    const Callback callback = read.callback;
    const auto begin = [this, start, read = std::move(read)]() mutable {
        if (m_stopReason) {
            m_apply.invokeCallback(std::move(read.callback), stoppedFailure(m_stopReason));
            return;
        }
        const std::uint64_t token = m_nextToken++;
        m_reads.emplace(token, std::move(read));
        (m_core.*start)(token);
    };
    post(begin, callback);
}

void GroupDriver::addReplica(const ReplicaId &member, const ReplicaId &replaced, Callback callback)
{
    changeMembers(member, replaced, std::move(callback));
}

void GroupDriver::removeReplica(const ReplicaId &member, Callback callback)
{
    changeMembers("", member, std::move(callback));
}

void GroupDriver::changeMembers(const ReplicaId &member, const ReplicaId &replaced,
                                Callback callback)
{
    callback = withCallLimit(std::move(callback), 0);
    if (!callback)
        return;
    const auto begin = [this, member, replaced, callback]() mutable {
        if (m_stopReason) {
            m_apply.invokeCallback(std::move(callback), stoppedFailure(m_stopReason));
            return;
        }
        const std::uint64_t token = m_nextToken++;
        m_changes.emplace(token, std::move(callback));
        m_core.changeMembers(member, replaced, token);
    };
    post(begin, callback);
}

void GroupDriver::receive(const ReplicaId &from, std::string message)
{
    auto decoded = outcomeOf([&] { return decodeMessage(message); });
    if (!decoded.ok()) {
        log(LogLevel::Warning, "raft-message-malformed",
            {{"group", m_options.group}, {"from", from}, {"detail", decoded.failure().detail}});
        return;
    }
    const auto size = static_cast<std::int64_t>(message.size());
    if (m_queuedMessageBytes.fetch_add(size) > maxQueuedMessageBytes) {
        m_queuedMessageBytes.fetch_sub(size);
        return;
    }
    decoded.value().from = from;
    m_inbox.push([this, size, incoming = std::move(decoded.value())] {
        m_queuedMessageBytes.fetch_sub(size);
        if (!m_stopReason)
            m_core.step(incoming);
    });
}

RaftNodeStatus GroupDriver::status() const
{
    RaftNodeStatus status;
    {
        absl::MutexLock lock(&m_statusMutex);
        status = m_status;
    }
    status.appliedIndex = m_apply.appliedIndex();
    return status;
}

void GroupDriver::onApplied(std::function<void(std::uint64_t)> listener)
{
    m_apply.onApplied(std::move(listener));
}

void GroupDriver::transferLeadership()
{
    m_inbox.push([this] { m_core.transferLeadership(); });
}

void GroupDriver::stop()
{
    m_inbox.close();
    if (m_thread.joinable())
        m_thread.join();
    m_storage.stop();
    m_apply.stop();
    absl::MutexLock lock(&m_statusMutex);
    if (!m_status.stopped) {
        m_status.stopped = true;
        m_status.stopReason = "stop was requested";
    }
}

void GroupDriver::run()
{
    while (true) {
        std::vector<Task> tasks = m_inbox.takeAll(timeToDeadline());
        if (tasks.empty() && m_inbox.isClosed())
            break;
        if (!m_stopReason)
            m_core.tick(m_clock.now());
        for (Task &task : tasks)
            task();
        if (!m_stopReason)
            handleOutput();
        publishStatus();
    }
    failOpenCalls(mayHaveRun(ErrorCode::Stopped, "the replica has stopped"));
}

absl::Duration GroupDriver::timeToDeadline() const
{
    if (m_stopReason)
        return absl::InfiniteDuration();
    const absl::Duration wait = m_core.nextDeadline() - m_clock.now();
    return std::clamp(wait, absl::ZeroDuration(), m_options.heartbeatPeriod);
}

void GroupDriver::startProposal(std::string command, Callback callback)
{
    if (m_stopReason) {
        m_apply.invokeCallback(std::move(callback), stoppedFailure(m_stopReason));
        return;
    }
    const Outcome<EntryPosition> position = m_core.propose(std::move(command));
    if (!position.ok()) {
        m_apply.invokeCallback(std::move(callback), position.failure());
        return;
    }
    const absl::Time deadline = m_clock.now() + m_options.electionTimeout * maxCallElectionTimeouts;
    OpenProposal proposal{position.value().term, std::move(callback), deadline};
    m_proposals.insert_or_assign(position.value().index, std::move(proposal));
}

void GroupDriver::handleOutput()
{
    RaftOutput output = m_core.takeOutput();
    if (output.persist)
        m_storage.persist(std::move(*output.persist));
    sendMessages(std::move(output.messages));
    if (output.restored)
        m_apply.restore(std::move(*output.restored));
    applyCommitted(std::move(output.committed));
    finishReads(output.reads);
    finishChanges(output.changes);
    if (m_core.role() != Role::Leader && !m_proposals.empty())
        failProposals(mayHaveRun(ErrorCode::ProposalLost, "leadership was lost"));
    expireCalls();
    if (output.stop)
        stopReplica(*output.stop);
}

void GroupDriver::sendMessages(std::vector<Message> messages)
{
    for (Message &message : messages) {
        if (message.type == MessageType::SnapshotChunk)
            m_storage.readChunk(std::move(message));
        else
            m_transport.send(message.to, m_options.group, encodeMessage(message));
    }
}

void GroupDriver::applyCommitted(std::vector<Entry> entries)
{
    if (entries.empty())
        return;
    std::vector<ApplyThread::CommittedEntry> committed;
    committed.reserve(entries.size());
    for (Entry &entry : entries) {
        Callback callback;
        const auto proposal = m_proposals.find(entry.index);
        if (proposal != m_proposals.end()) {
            if (proposal->second.term == entry.term)
                callback = std::move(proposal->second.callback);
            else
                m_apply.invokeCallback(std::move(proposal->second.callback),
                                       mayHaveRun(ErrorCode::ProposalLost,
                                                  "another entry was committed at its index"));
            m_proposals.erase(proposal);
        }
        committed.push_back({std::move(entry), std::move(callback)});
    }
    m_apply.apply(std::move(committed));
}

void GroupDriver::finishReads(const std::vector<ReadResult> &results)
{
    const absl::Time deadline = m_clock.now() + m_options.electionTimeout * maxCallElectionTimeouts;
    for (const ReadResult &result : results) {
        const auto found = m_reads.find(result.token);
        if (found == m_reads.end())
            continue;
        OpenRead open = std::move(found->second);
        m_reads.erase(found);
        if (result.failure)
            m_apply.invokeCallback(std::move(open.callback), *result.failure);
        else if (open.membership)
            finishMembershipRead(std::move(open));
        else
            m_apply.read({result.index, std::move(open.query), std::move(open.callback), deadline});
    }
}

void GroupDriver::finishMembershipRead(OpenRead read)
{
    if (!m_core.isMembershipSettled()) {
        m_apply.invokeCallback(std::move(read.callback),
                               notRun(ErrorCode::Conflict, "the membership is being changed"));
        return;
    }
    *read.membership = votersAndLearners(m_core.membership());
    m_apply.invokeCallback(std::move(read.callback), std::string());
}

void GroupDriver::finishChanges(const std::vector<ChangeResult> &results)
{
    for (const ChangeResult &result : results) {
        const auto found = m_changes.find(result.token);
        if (found == m_changes.end())
            continue;
        Callback callback = std::move(found->second);
        m_changes.erase(found);
        if (result.failure)
            m_apply.invokeCallback(std::move(callback), *result.failure);
        else
            m_apply.invokeCallback(std::move(callback), std::string());
    }
}

void GroupDriver::failProposals(const Failure &failure)
{
    for (auto &[index, proposal] : std::exchange(m_proposals, {}))
        m_apply.invokeCallback(std::move(proposal.callback), failure);
}

void GroupDriver::expireCalls()
{
    const absl::Time now = m_clock.now();
    if (now < m_nextExpiryCheck)
        return;
    m_nextExpiryCheck = now + m_options.electionTimeout;
    m_apply.expireReads(now);
    while (!m_proposals.empty() && m_proposals.begin()->second.deadline <= now) {
        m_apply.invokeCallback(std::move(m_proposals.begin()->second.callback),
                               mayHaveRun(ErrorCode::NoQuorum,
                                          "no quorum stored the command before the deadline"));
        m_proposals.erase(m_proposals.begin());
    }
}

void GroupDriver::handleSnapshotTaken(std::uint64_t index, std::uint64_t term, std::string data)
{
    // A newer snapshot may have been installed meanwhile.
    if (m_stopReason || index <= m_core.snapshot().index) {
        m_apply.snapshotDone();
        return;
    }
    InstalledSnapshot snapshot;
    snapshot.meta = {index, term, m_core.raftLog().membershipAt(index)};
    snapshot.data = std::make_shared<std::string>(std::move(data));
    m_storage.saveSnapshot(std::move(snapshot));
}

void GroupDriver::stopReplica(const Failure &failure)
{
    if (m_stopReason)
        return;
    m_stopReason = failure;
    log(LogLevel::Error, "replica-stopped",
        {{"group", m_options.group},
         {"code", std::string(name(failure.code))},
         {"detail", failure.detail}});
    failOpenCalls(mayHaveRun(ErrorCode::Stopped, describe(failure)));
}

void GroupDriver::failOpenCalls(const Failure &failure)
{
    failProposals(failure);
    for (auto &[token, callback] : std::exchange(m_changes, {}))
        m_apply.invokeCallback(std::move(callback), failure);
    for (auto &[token, open] : std::exchange(m_reads, {}))
        m_apply.invokeCallback(std::move(open.callback), notRun(failure.code, failure.detail));
}

void GroupDriver::publishStatus()
{
    RaftNodeStatus now;
    now.group = m_options.group;
    now.role = m_stopReason ? Role::Follower : m_core.role();
    now.term = m_core.term();
    now.leader = m_stopReason ? "" : m_core.leader();
    now.commitIndex = m_core.commitIndex();
    now.snapshotIndex = m_core.snapshot().index;
    now.voters = idsOf(m_core.membership());
    const auto &learners = m_core.membership().learners;
    now.learners.assign(learners.begin(), learners.end());
    now.stopped = m_stopReason.has_value();
    if (m_stopReason)
        now.stopReason = describe(*m_stopReason);
    RaftNodeStatus before;
    {
        absl::MutexLock lock(&m_statusMutex);
        before = std::exchange(m_status, now);
    }
    logRoleChange(before, now);
}

void GroupDriver::logRoleChange(const RaftNodeStatus &before, const RaftNodeStatus &now) const
{
    if (before.role == now.role && before.leader == now.leader)
        return;
    log(LogLevel::Info, "raft-role",
        {{"group", now.group},
         {"role", std::string(name(now.role))},
         {"term", now.term},
         {"leader", now.leader}});
}

Result<std::unique_ptr<RaftNode>> startRaftNode(const RaftNodeOptions &options,
                                                std::unique_ptr<StateMachine> machine,
                                                RaftTransport &transport, const Clock &clock)
{
    FileStorageOptions files;
    files.folder = options.dataFolder;
    files.group = options.group;
    files.self = options.self;
    files.initialVoters = options.initialVoters;
    GroupDriver::Parts parts;
    StoredState state;
    BOOST_LEAF_ASSIGN(parts.storage, FileStorage::open(files, posixFileSystem(), state));
    if (state.start.snapshot.index != 0)
        BOOST_LEAF_CHECK(machine->restore(state.snapshotData));
    parts.machine = std::move(machine);
    parts.start = std::move(state.start);
    parts.raft.self = options.self;
    parts.raft.incarnation = state.incarnation;
    parts.raft.heartbeatPeriod = options.heartbeatPeriod;
    parts.raft.electionTimeout = options.electionTimeout;
    parts.raft.initialElectionTimeout = options.initialElectionTimeout;
    parts.raft.seed = stableHash(randomHex(8));
    return std::unique_ptr<RaftNode>(new GroupDriver(options, std::move(parts), transport, clock));
}

} // namespace rattanrill::replication
