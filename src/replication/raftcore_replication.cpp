#include "raftcore.h"

#include "rattanrill/base/concat.h"

#include <algorithm>
#include <utility>

/// Log replication, snapshots and reads of RaftCore.
namespace rattanrill::replication {
namespace {

/// Appends and chunks without a reply are resent after this many heartbeat periods. With fewer
/// periods, they would also be resent to replicas whose sync is only slow.
constexpr int resendHeartbeatPeriods = 3;

} // namespace

void RaftCore::appendLocalEntry(EntryKind kind, std::string data)
{
    Entry entry;
    entry.index = m_log.lastIndex() + 1;
    entry.term = m_hardState.term;
    entry.kind = kind;
    entry.data = std::move(data);
    m_uncommittedBytes += sizeOf(entry);
    markUnsavedFrom(entry.index);
    m_log.append(std::move(entry));
}

void RaftCore::markUnsavedFrom(std::uint64_t index)
{
    m_firstUnsavedIndex = m_firstUnsavedIndex == 0 ? index : std::min(m_firstUnsavedIndex, index);
    m_persist.markDirty();
}

void RaftCore::setCommit(std::uint64_t index)
{
    index = std::min(index, m_log.lastIndex());
    if (m_role == Role::Leader) {
        for (std::uint64_t i = m_commitIndex + 1; i <= index; ++i)
            m_uncommittedBytes -= std::min(m_uncommittedBytes, sizeOf(m_log.at(i)));
    }
    m_commitIndex = std::max(m_commitIndex, index);
}

bool RaftCore::hasCommittedInTerm() const
{
    return m_commitIndex >= m_termStartIndex;
}

bool RaftCore::isQuorumWritable() const
{
    return countVoters([](const Progress &progress) { return progress.writable; })
           >= membership().quorum();
}

bool RaftCore::hasContactWithQuorum() const
{
    const auto hasRecentContact = [this](const Progress &progress) {
        return m_now - progress.lastContact < m_options.electionTimeout;
    };
    return countVoters(hasRecentContact) >= membership().quorum();
}

void RaftCore::advanceCommit()
{
    std::vector<std::uint64_t> matches;
    for (const auto &[id, incarnation] : membership().voters) {
        const auto progress = m_progress.find(id);
        if (id == m_options.self)
            matches.push_back(m_options.disabled.persistBeforeAcknowledgement
                                      ? m_log.lastIndex()
                                      : m_persist.persistedIndex());
        else
            matches.push_back(progress == m_progress.end() ? 0 : progress->second.matchIndex);
    }
    if (matches.empty())
        return;
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const std::uint64_t index = matches[membership().quorum() - 1];
    // An entry of an earlier term can still be overwritten although a quorum has stored it (Raft
    // paper, section 5.4.2). It is committed together with the first entry of the current term that
    // a quorum has stored.
    const bool isOwnTerm = m_log.termAt(index) == m_hardState.term;
    if (index <= m_commitIndex || (!isOwnTerm && !m_options.disabled.termCheckOfCommit))
        return;
    setCommit(index);
    if (hasCommittedInTerm()) {
        for (ReadTracker::LeaderRead &read : m_reads.takeDeferred())
            addLeaderRead(std::move(read));
    }
    advanceChange();
}

void RaftCore::updateProgressSet()
{
    const Membership &members = membership();
    for (auto it = m_progress.begin(); it != m_progress.end();)
        it = members.contains(it->first) ? std::next(it) : m_progress.erase(it);
    const auto add = [this](const ReplicaId &id) {
        if (id != m_options.self)
            m_progress.try_emplace(id, m_log.lastIndex(), m_now);
    };
    for (const auto &[id, incarnation] : members.voters)
        add(id);
    for (const ReplicaId &id : members.learners)
        add(id);
}

Progress *RaftCore::progressOf(const Message &message)
{
    const auto found = m_progress.find(message.from);
    if (m_role != Role::Leader || found == m_progress.end())
        return nullptr;
    Progress &progress = found->second;
    if (!progress.incarnation.empty() && progress.incarnation != message.incarnation) {
        // A learner restarted with an empty disk, so its recorded progress is no longer valid.
        progress = Progress(m_log.lastIndex(), m_now);
    }
    progress.incarnation = message.incarnation;
    progress.lastContact = m_now;
    return &progress;
}

void RaftCore::broadcastEntries()
{
    for (auto &[id, progress] : m_progress)
        sendEntries(id, progress);
}

void RaftCore::sendEntries(const ReplicaId &to, Progress &progress)
{
    if (progress.mode == ProgressMode::Snapshot)
        return;
    if (progress.nextIndex <= m_log.baseIndex()) {
        progress.startSnapshot(m_snapshot.index, m_now);
        sendSnapshotChunk(to, progress);
        return;
    }
    const std::uint64_t last = m_log.lastIndex();
    if (progress.mode == ProgressMode::Probe) {
        if (!progress.probeSent && progress.matchIndex < last)
            sendOneAppend(to, progress, false);
        return;
    }
    while (progress.nextIndex <= last && progress.inFlightBytes < m_options.maxInFlightBytes)
        sendOneAppend(to, progress, false);
}

void RaftCore::sendOneAppend(const ReplicaId &to, Progress &progress, bool empty)
{
    Message append = makeMessage(to, MessageType::Append);
    append.index = progress.nextIndex - 1;
    append.logTerm = m_log.termAt(append.index);
    append.commit = m_commitIndex;
    progress.lastTransfer = m_now;
    if (!empty) {
        append.entries =
                m_log.slice(progress.nextIndex, m_log.lastIndex(), m_options.maxBatchBytes);
        std::uint64_t bytes = 0;
        for (const Entry &entry : append.entries)
            bytes += sizeOf(entry);
        progress.recordSent(append.index + append.entries.size(), bytes);
    }
    send(std::move(append));
}

void RaftCore::sendSnapshotChunk(const ReplicaId &to, Progress &progress)
{
    Message chunk = makeMessage(to, MessageType::SnapshotChunk);
    chunk.snapshot = m_snapshot;
    chunk.offset = progress.snapshotOffset;
    chunk.length = m_options.snapshotChunkBytes;
    chunk.context = m_snapshot.index;
    progress.lastTransfer = m_now;
    send(std::move(chunk));
}

void RaftCore::resendStalled(const ReplicaId &to, Progress &progress)
{
    const absl::Duration idleTime = m_now - progress.lastTransfer;
    if (idleTime < m_options.heartbeatPeriod * resendHeartbeatPeriods)
        return;
    if (progress.mode == ProgressMode::Snapshot) {
        sendSnapshotChunk(to, progress);
    } else if (progress.mode == ProgressMode::Probe) {
        progress.probeSent = false;
    } else if (!progress.inFlight.empty()) {
        // An empty append is refused if appends were lost, and acknowledged if only replies were
        // lost.
        sendOneAppend(to, progress, true);
    }
}

void RaftCore::broadcastHeartbeat()
{
    m_nextHeartbeat = m_now + m_options.heartbeatPeriod;
    for (const auto &[id, progress] : m_progress) {
        Message heartbeat = makeMessage(id, MessageType::Heartbeat);
        // The log of the receiver is known to match only up to matchIndex.
        heartbeat.commit = std::min(m_commitIndex, progress.matchIndex);
        heartbeat.logTerm = m_log.termAt(heartbeat.commit);
        heartbeat.context = m_heartbeatRound;
        send(std::move(heartbeat));
    }
}

void RaftCore::handleAppend(const Message &message)
{
    followLeader(message);
    Message reply = makeReply(message, MessageType::AppendReply);
    reply.success = true;
    // Committed entries are the same in the log of every later leader, so only entries after the
    // commit index have to be compared.
    reply.index = m_commitIndex;
    if (message.index >= m_commitIndex) {
        reply.success = m_log.matches(message.index, message.logTerm);
        reply.index = message.index;
    }
    if (!reply.success) {
        reply.hintIndex = m_log.lastIndexWithTermAtMost(message.index, message.logTerm);
        reply.hintTerm = m_log.termAt(reply.hintIndex);
        m_persist.holdUntilTermPersisted(std::move(reply));
        return;
    }
    if (message.index + message.entries.size() > reply.index) {
        appendReceivedEntries(message);
        reply.index = message.index + message.entries.size();
    }
    setCommit(std::max(m_commitIndex, std::min(message.commit, reply.index)));
    if (m_options.disabled.persistBeforeAcknowledgement)
        send(std::move(reply));
    else
        m_persist.holdUntilPersisted(std::move(reply));
}

void RaftCore::appendReceivedEntries(const Message &message)
{
    for (const Entry &entry : message.entries) {
        if (entry.index <= m_commitIndex || m_log.matches(entry.index, entry.term))
            continue;
        if (entry.index <= m_log.lastIndex()) {
            m_log.truncateFrom(entry.index);
            m_persist.truncateFrom(entry.index);
        }
        markUnsavedFrom(entry.index);
        m_log.append(entry);
    }
    const bool isVoter = canCampaign();
    if (isVoter != (m_role == Role::Follower))
        m_role = isVoter ? Role::Follower : Role::Learner;
}

void RaftCore::handleAppendReply(const Message &message)
{
    Progress *progress = progressOf(message);
    if (progress == nullptr)
        return;
    if (!message.success) {
        handleRefusedAppend(message, *progress);
        return;
    }
    if (message.index > m_log.lastIndex())
        return;
    progress->lastTransfer = m_now;
    const bool hasAdvanced = progress->recordAcknowledgement(message.index);
    const bool isSnapshotDone = progress->mode == ProgressMode::Snapshot
                                && progress->matchIndex >= progress->snapshotIndex;
    if (progress->mode == ProgressMode::Probe || isSnapshotDone) {
        progress->probeFrom(progress->matchIndex + 1);
        progress->mode = ProgressMode::Pipeline;
    }
    if (hasAdvanced)
        advanceCommit();
    // The commit may have completed a membership change that removed this replica or the sender.
    progress = progressOf(message);
    if (progress == nullptr)
        return;
    sendEntries(message.from, *progress);
    advanceTransfer();
    advanceChange();
}

void RaftCore::handleRefusedAppend(const Message &message, Progress &progress)
{
    const bool isStale =
            message.index <= progress.matchIndex
            || (progress.mode == ProgressMode::Probe && message.index != progress.nextIndex - 1);
    if (isStale || progress.mode == ProgressMode::Snapshot)
        return;
    const std::uint64_t hint = std::min(message.hintIndex, message.index - 1);
    progress.probeFrom(m_log.lastIndexWithTermAtMost(hint, message.hintTerm) + 1);
    // The terms of entries before the base of the log are not known, so the probe starts after the
    // hint.
    if (hint < m_log.baseIndex())
        progress.nextIndex = std::max(hint + 1, progress.matchIndex + 1);
    sendEntries(message.from, progress);
}

void RaftCore::handleHeartbeat(const Message &message)
{
    followLeader(message);
    if (m_log.matches(message.commit, message.logTerm))
        setCommit(std::max(m_commitIndex, message.commit));
    Message reply = makeReply(message, MessageType::HeartbeatReply);
    reply.writable = m_writable;
    m_persist.holdUntilTermPersisted(std::move(reply));
}

void RaftCore::handleHeartbeatReply(const Message &message)
{
    Progress *progress = progressOf(message);
    if (progress == nullptr)
        return;
    progress->round = std::max(progress->round, message.context);
    progress->writable = message.writable;
    confirmReads();
    resendStalled(message.from, *progress);
    sendEntries(message.from, *progress);
}

void RaftCore::handleSnapshotChunk(const Message &message)
{
    followLeader(message);
    if (message.snapshot.index <= m_commitIndex) {
        replyToChunk(message, true);
        return;
    }
    const bool isSame = m_incomingSnapshot.index == message.snapshot.index
                        && m_incomingSnapshot.term == message.snapshot.term;
    if (!isSame) {
        m_incomingSnapshot = message.snapshot;
        m_incomingSnapshotData.clear();
    }
    const bool isNext = message.offset == m_incomingSnapshotData.size();
    if (isNext)
        m_incomingSnapshotData += message.data;
    const bool isComplete = isNext && message.last;
    if (isComplete)
        installSnapshot(message.snapshot);
    replyToChunk(message, isComplete);
}

void RaftCore::replyToChunk(const Message &message, bool installed)
{
    Message reply = makeReply(message, MessageType::SnapshotReply);
    reply.success = installed;
    reply.index = installed ? m_commitIndex : message.snapshot.index;
    reply.offset = m_incomingSnapshotData.size();
    if (installed)
        m_persist.holdUntilPersisted(std::move(reply));
    else
        m_persist.holdUntilTermPersisted(std::move(reply));
}

void RaftCore::installSnapshot(const SnapshotMeta &meta)
{
    InstalledSnapshot snapshot{meta,
                               std::make_shared<std::string>(std::move(m_incomingSnapshotData))};
    m_incomingSnapshot = SnapshotMeta();
    m_incomingSnapshotData.clear();
    // If the log contains the last entry of the snapshot, it contains all of them, and the later
    // entries must be kept.
    if (m_log.matches(meta.index, meta.term)) {
        setCommit(meta.index);
        return;
    }
    m_log.reset(meta);
    m_persist.resetLog();
    m_persist.markDirty();
    m_firstUnsavedIndex = 0;
    m_snapshot = meta;
    m_commitIndex = meta.index;
    m_deliveredIndex = meta.index;
    m_unsavedSnapshot = snapshot;
    m_unrestoredSnapshot = std::move(snapshot);
    m_role = membership().isVoter(m_options.self) ? Role::Follower : Role::Learner;
}

void RaftCore::handleSnapshotReply(const Message &message)
{
    Progress *progress = progressOf(message);
    if (progress == nullptr || progress->mode != ProgressMode::Snapshot)
        return;
    if (message.success && message.index <= m_log.lastIndex()) {
        progress->recordAcknowledgement(message.index);
        progress->probeFrom(progress->matchIndex + 1);
        sendEntries(message.from, *progress);
        advanceCommit();
        return;
    }
    if (message.context != progress->snapshotIndex)
        return;
    progress->snapshotOffset = message.offset;
    sendSnapshotChunk(message.from, *progress);
}

void RaftCore::readOnLeader(std::uint64_t token)
{
    if (m_role == Role::Leader)
        addLeaderRead({token, "", 0, 0, 0});
    else
        m_reads.finish({token, 0, notRun(ErrorCode::NotLeader, m_leader)});
}

void RaftCore::readOnAnyReplica(std::uint64_t token)
{
    if (m_role == Role::Leader)
        addLeaderRead({token, "", 0, 0, 0});
    else if (m_leader.empty())
        m_reads.finish({token, 0, notRun(ErrorCode::NoQuorum, "no leader is known")});
    else
        m_reads.addForwarded(token);
}

void RaftCore::addLeaderRead(ReadTracker::LeaderRead read)
{
    // Before its first commit in this term, the commit index of a leader may lack entries that its
    // predecessor committed.
    if (!hasCommittedInTerm()) {
        m_reads.addDeferred(std::move(read));
        return;
    }
    read.index = m_commitIndex;
    if (m_options.disabled.readConfirmation) {
        finishRead(read);
        return;
    }
    read.round = m_heartbeatRound + 1;
    m_isRoundRequested = true;
    m_reads.add(std::move(read));
}

std::uint64_t RaftCore::confirmedRound() const
{
    std::vector<std::uint64_t> rounds;
    for (const auto &[id, incarnation] : membership().voters) {
        const auto progress = m_progress.find(id);
        if (id == m_options.self)
            rounds.push_back(m_heartbeatRound);
        else
            rounds.push_back(progress == m_progress.end() ? 0 : progress->second.round);
    }
    std::sort(rounds.begin(), rounds.end(), std::greater<>());
    return rounds.empty() ? 0 : rounds[membership().quorum() - 1];
}

void RaftCore::confirmReads()
{
    if (!m_reads.hasWaiting())
        return;
    for (const ReadTracker::LeaderRead &read : m_reads.takeConfirmed(confirmedRound()))
        finishRead(read);
}

void RaftCore::finishRead(const ReadTracker::LeaderRead &read)
{
    if (read.follower.empty()) {
        m_reads.finish({read.token, read.index, std::nullopt});
        return;
    }
    Message reply = makeMessage(read.follower, MessageType::ReadIndexReply);
    reply.context = read.context;
    reply.index = read.index;
    send(std::move(reply));
}

void RaftCore::forwardReads()
{
    const std::uint64_t context = m_reads.startBatch(m_now + m_options.electionTimeout);
    if (context == 0)
        return;
    Message request = makeMessage(m_leader, MessageType::ReadIndex);
    request.context = context;
    send(std::move(request));
}

void RaftCore::handleReadIndex(const Message &message)
{
    if (m_role == Role::Leader)
        addLeaderRead({0, message.from, message.context, 0, 0});
}

void RaftCore::handleReadIndexReply(const Message &message)
{
    m_reads.finishBatch(message.context, message.index);
}

} // namespace rattanrill::replication
