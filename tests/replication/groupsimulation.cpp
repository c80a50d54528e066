#include "groupsimulation.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"

#include <algorithm>
#include <utility>

namespace rattanrill::replication {
namespace {

constexpr absl::Duration heartbeatPeriod = absl::Milliseconds(20);
constexpr absl::Duration electionTimeout = absl::Milliseconds(100);
/// A replica takes a snapshot after this many applied entries.
constexpr std::uint64_t snapshotEntries = 25;

std::string encodeState(const std::map<std::string, std::string> &state)
{
    std::string bytes;
    for (const auto &[key, value] : state)
        bytes += concat(key, "=", value, "\n");
    return bytes;
}

} // namespace

GroupSimulation::GroupSimulation(SimulationOptions options)
    : m_options(options)
    , m_random(options.seed)
    , m_maxDelay(absl::Milliseconds(2))
    , m_maxSync(absl::Milliseconds(2))
{
    for (std::size_t i = 0; i < m_options.replicas; ++i)
        m_initialVoters.insert(concat("n", m_nextNodeNumber++));
    for (const ReplicaId &id : m_initialVoters)
        addNode(id, true);
    for (const ReplicaId &id : m_initialVoters) {
        if (m_options.startReplicas)
            start(id);
    }
}

GroupSimulation::~GroupSimulation() = default;

GroupSimulation::Node &GroupSimulation::addNode(const ReplicaId &id, bool isInitialVoter)
{
    Node &node = m_nodes[id];
    node.id = id;
    node.isInitialVoter = isInitialVoter;
    return node;
}

void GroupSimulation::start(const ReplicaId &id)
{
    Node &node = m_nodes.at(id);
    if (node.core || node.mustNotRestart)
        return;
    Disk &disk = node.disk;
    if (disk.incarnation.empty()) {
        disk.incarnation = concat(id, "-", m_random() % 1000000);
        if (node.isInitialVoter) {
            for (const ReplicaId &voter : m_initialVoters)
                disk.durable.hardState.founders[voter] = voter == id ? disk.incarnation : "";
        }
    }
    RaftOptions raft;
    raft.self = id;
    raft.incarnation = disk.incarnation;
    raft.heartbeatPeriod = heartbeatPeriod;
    raft.electionTimeout = electionTimeout;
    raft.initialElectionTimeout = m_options.initialElectionTimeout;
    raft.maxBatchBytes = m_options.maxBatchBytes;
    raft.maxInFlightBytes = 4096;
    raft.snapshotChunkBytes = 64;
    raft.retainedEntries = 5;
    raft.seed = m_random();
    raft.disabled = m_options.disabled;
    ++node.epoch;
    node.core = std::make_unique<RaftCore>(raft, disk.durable, m_now);
    node.applied = disk.durable.snapshot.index;
    node.lastSnapshotIndex = node.applied;
    loadState(node, disk.snapshotData);
    processOutput(node);
}

void GroupSimulation::presetDisk(const ReplicaId &id, const std::vector<std::uint64_t> &terms,
                                 std::uint64_t term)
{
    Disk &disk = m_nodes.at(id).disk;
    disk.incarnation = id;
    for (const ReplicaId &voter : m_initialVoters)
        disk.durable.hardState.founders[voter] = voter;
    disk.durable.hardState.term = term;
    for (const std::uint64_t entryTerm : terms) {
        const std::uint64_t index = disk.durable.entries.size() + 1;
        disk.durable.entries.push_back({index, entryTerm, EntryKind::Empty, ""});
    }
}

void GroupSimulation::crash(const ReplicaId &id)
{
    Node &node = m_nodes.at(id);
    if (!node.core)
        return;
    // After a crash, the disk may contain writes that were not synced.
    std::size_t kept = node.disk.pending.empty() ? 0 : m_random() % (node.disk.pending.size() + 1);
    if (chance(0.7))
        kept = 0;
    for (std::size_t i = 0; i < kept; ++i)
        makeDurable(node.disk, node.disk.pending[i]);
    node.disk.pending.clear();
    node.disk.syncingWrites = 0;
    ++node.epoch;
    node.core.reset();
    node.timerAt = absl::InfiniteFuture();
    node.writes.clear();
    node.reads.clear();
    node.waitingReads.clear();
}

void GroupSimulation::loseDisk(const ReplicaId &id)
{
    crash(id);
    Node &node = m_nodes.at(id);
    node.disk = Disk();
    m_lostDisks.insert(id);
    m_replacements.emplace(id, "");
}

// Events

void GroupSimulation::schedule(absl::Duration delay, std::function<void()> action)
{
    m_events.push({m_now + delay, m_nextEventOrder++, std::move(action)});
}

void GroupSimulation::scheduleOn(const ReplicaId &id, absl::Duration delay,
                                 std::function<void(Node &)> input)
{
    const std::uint64_t epoch = m_nodes.at(id).epoch;
    schedule(delay, [this, id, epoch, input = std::move(input)] { runOn(id, epoch, input); });
}

void GroupSimulation::runOn(const ReplicaId &id, std::uint64_t epoch,
                            const std::function<void(Node &)> &input)
{
    Node &node = m_nodes.at(id);
    if (!node.core || node.epoch != epoch)
        return;
    if (node.frozenUntil > m_now) {
        scheduleOn(id, node.frozenUntil - m_now, input);
        return;
    }
    node.core->tick(m_now);
    input(node);
    processOutput(node);
}

void GroupSimulation::processOutput(Node &node)
{
    RaftOutput output = node.core->takeOutput();
    checkLeader(node);
    if (output.persist)
        writeToDisk(node, {std::move(*output.persist), std::nullopt});
    if (output.restored)
        restoreState(node, *output.restored);
    applyEntries(node, output.committed);
    finishReads(node, output.reads);
    if (node.core->role() != Role::Leader)
        node.writes.clear();
    takeSnapshot(node);
    for (Message &message : output.messages)
        send(node, std::move(message));
    if (output.stop) {
        node.mustNotRestart = true;
        const ReplicaId id = node.id;
        schedule(absl::ZeroDuration(), [this, id] { crash(id); });
    }
    armTimer(node);
}

void GroupSimulation::armTimer(Node &node)
{
    const absl::Time deadline = std::max(node.core->nextDeadline(), m_now);
    if (node.timerAt <= deadline && node.timerAt > m_now)
        return;
    node.timerAt = deadline;
    const absl::Duration wait = std::max(deadline - m_now, absl::Microseconds(10));
    scheduleOn(node.id, wait, [this](Node &fired) {
        if (fired.timerAt <= m_now)
            fired.timerAt = absl::InfiniteFuture();
    });
}

void GroupSimulation::advance(absl::Duration step)
{
    const absl::Time end = m_now + step;
    while (!m_events.empty() && m_events.top().time <= end && m_violation.empty()) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.time;
        event.action();
    }
    m_now = end;
}

absl::Duration GroupSimulation::randomDuration(absl::Duration low, absl::Duration high)
{
    const std::int64_t span = absl::ToInt64Microseconds(high - low) + 1;
    return low + absl::Microseconds(static_cast<std::int64_t>(m_random() % span));
}

bool GroupSimulation::chance(double probability)
{
    return static_cast<double>(m_random() >> 11) * 0x1p-53 < probability;
}

// Disk and network

void GroupSimulation::writeToDisk(Node &node, DiskWrite write)
{
    node.disk.pending.push_back(std::move(write));
    if (node.disk.syncingWrites == 0)
        startSync(node);
}

void GroupSimulation::startSync(Node &node)
{
    Disk &disk = node.disk;
    disk.syncingWrites = disk.pending.size();
    if (disk.syncingWrites == 0)
        return;
    const absl::Duration maxSync = disk.slowUntil > m_now ? absl::Milliseconds(150) : m_maxSync;
    scheduleOn(node.id, randomDuration(absl::Microseconds(50), maxSync),
               [this](Node &synced) { finishSync(synced); });
}

void GroupSimulation::finishSync(Node &node)
{
    for (; node.disk.syncingWrites > 0; --node.disk.syncingWrites) {
        const DiskWrite write = std::move(node.disk.pending.front());
        node.disk.pending.pop_front();
        makeDurable(node.disk, write);
        if (write.request)
            node.core->persisted(write.request->sequence);
        else
            node.core->snapshotSaved(write.saved->meta);
    }
    startSync(node);
}

void GroupSimulation::makeDurable(Disk &disk, const DiskWrite &write)
{
    std::vector<Entry> &log = disk.durable.entries;
    const auto useSnapshot = [&](const InstalledSnapshot &snapshot) {
        disk.durable.snapshot = snapshot.meta;
        disk.snapshotData = *snapshot.data;
    };
    if (write.saved && write.saved->meta.index > disk.durable.snapshot.index) {
        useSnapshot(*write.saved);
        log.erase(std::remove_if(log.begin(), log.end(),
                                 [&](const Entry &entry) {
                                     return entry.index <= write.saved->meta.index;
                                 }),
                  log.end());
    }
    if (!write.request)
        return;
    if (write.request->snapshot) {
        useSnapshot(*write.request->snapshot);
        log.clear();
    }
    if (write.request->hardState)
        disk.durable.hardState = *write.request->hardState;
    for (const Entry &entry : write.request->entries) {
        while (!log.empty() && log.back().index >= entry.index)
            log.pop_back();
        if (entry.index > disk.durable.snapshot.index)
            log.push_back(entry);
    }
}

void GroupSimulation::send(Node &from, Message message)
{
    if (message.type == MessageType::SnapshotChunk) {
        const Disk &disk = from.disk;
        const bool isAvailable = disk.durable.snapshot.index == message.snapshot.index
                                 && message.offset <= disk.snapshotData.size();
        if (!isAvailable)
            return;
        message.data = disk.snapshotData.substr(message.offset, message.length);
        message.last = message.offset + message.data.size() == disk.snapshotData.size();
    }
    maybeCrashAfterSending(message);
    if (m_nodes.count(message.to) == 0 || chance(m_lossRate))
        return;
    const int copies = chance(m_duplicateRate) ? 2 : 1;
    const auto shared = std::make_shared<Message>(std::move(message));
    for (int i = 0; i < copies; ++i) {
        schedule(randomDuration(absl::Microseconds(100), m_maxDelay), [this, shared] {
            if (m_cutLinks.count({shared->from, shared->to}) != 0)
                return;
            const Node &receiver = m_nodes.at(shared->to);
            runOn(shared->to, receiver.epoch, [shared](Node &node) { node.core->step(*shared); });
        });
    }
}

void GroupSimulation::maybeCrashAfterSending(const Message &message)
{
    // A granted vote that is not on disk can only violate an invariant if the voter crashes right
    // after it has sent the vote.
    const bool isGrantedVote = message.type == MessageType::VoteReply && message.success;
    if (!isGrantedVote || !chance(m_crashAfterVoteRate))
        return;
    const ReplicaId id = message.from;
    schedule(absl::ZeroDuration(), [this, id] { restartAfter(id, absl::Milliseconds(1)); });
}

// State machine and calls

void GroupSimulation::applyEntries(Node &node, const std::vector<Entry> &entries)
{
    for (const Entry &entry : entries) {
        std::string bytes;
        putEntry(bytes, entry);
        const std::uint64_t hash = stableHash(bytes);
        updateDigest(hash);
        const auto [existing, isNew] = m_committed.emplace(entry.index, hash);
        if (!isNew && existing->second != hash)
            reportViolation(concat("committed entry ", entry.index, " changed on ", node.id));
        if (entry.index != node.applied + 1)
            reportViolation(concat("entry ", entry.index, " applied after ", node.applied));
        node.applied = entry.index;
        if (entry.kind == EntryKind::Membership)
            applyMembership(entry);
        const std::size_t split = entry.data.find('=');
        if (entry.kind == EntryKind::Command)
            node.state[entry.data.substr(0, split)] = entry.data.substr(split + 1);
        const auto write = node.writes.find(entry.index);
        if (write == node.writes.end())
            continue;
        if (write->second.term == entry.term) {
            ++m_acknowledged;
            if (entry.index <= write->second.minIndex)
                reportViolation(concat("write ", entry.index,
                                       " precedes the index that an earlier call saw"));
            m_highestSeenIndex = std::max(m_highestSeenIndex, entry.index);
        }
        node.writes.erase(write);
    }
    completeReadyReads(node);
}

void GroupSimulation::applyMembership(const Entry &entry)
{
    const auto membership = outcomeOf([&] { return decodeMembership(entry.data); });
    for (auto it = m_replacements.begin(); it != m_replacements.end();) {
        if (membership.value().contains(it->first)) {
            ++it;
            continue;
        }
        m_nodes.at(it->first).mustNotRestart = true;
        m_lostDisks.erase(it->first);
        it = m_replacements.erase(it);
    }
}

void GroupSimulation::restoreState(Node &node, const InstalledSnapshot &snapshot)
{
    loadState(node, *snapshot.data);
    node.applied = snapshot.meta.index;
    node.lastSnapshotIndex = snapshot.meta.index;
    checkState(node.applied, *snapshot.data);
    completeReadyReads(node);
}

void GroupSimulation::loadState(Node &node, const std::string &data)
{
    node.state.clear();
    std::size_t begin = 0;
    while (begin < data.size()) {
        const std::size_t split = data.find('=', begin);
        const std::size_t end = data.find('\n', begin);
        node.state[data.substr(begin, split - begin)] = data.substr(split + 1, end - split - 1);
        begin = end + 1;
    }
}

void GroupSimulation::takeSnapshot(Node &node)
{
    if (node.applied < node.lastSnapshotIndex + snapshotEntries)
        return;
    node.lastSnapshotIndex = node.applied;
    InstalledSnapshot snapshot;
    const RaftLog &log = node.core->raftLog();
    snapshot.meta = {node.applied, log.termAt(node.applied), log.membershipAt(node.applied)};
    snapshot.data = std::make_shared<std::string>(encodeState(node.state));
    checkState(node.applied, *snapshot.data);
    writeToDisk(node, {std::nullopt, std::move(snapshot)});
}

void GroupSimulation::checkState(std::uint64_t index, const std::string &state)
{
    const std::uint64_t hash = stableHash(state);
    const auto [existing, isNew] = m_states.emplace(index, hash);
    if (!isNew && existing->second != hash)
        reportViolation(concat("state after ", index, " differs between replicas"));
}

void GroupSimulation::write(const ReplicaId &id)
{
    const std::uint64_t minIndex = m_highestSeenIndex;
    const std::string command = concat("key", m_random() % 4, "=", m_nextValue++);
    scheduleOn(id, absl::ZeroDuration(), [minIndex, command](Node &node) {
        const auto position = node.core->propose(command);
        if (position.ok())
            node.writes[position.value().index] = {minIndex, position.value().term};
    });
}

void GroupSimulation::read(const ReplicaId &id, bool onAnyReplica)
{
    const std::uint64_t minIndex = m_highestSeenIndex;
    const std::uint64_t token = m_nextToken++;
    scheduleOn(id, absl::ZeroDuration(), [minIndex, token, onAnyReplica](Node &node) {
        node.reads[token] = {minIndex, 0};
        if (onAnyReplica)
            node.core->readOnAnyReplica(token);
        else
            node.core->readOnLeader(token);
    });
}

void GroupSimulation::finishReads(Node &node, const std::vector<ReadResult> &results)
{
    for (const ReadResult &result : results) {
        const auto read = node.reads.find(result.token);
        if (read == node.reads.end())
            continue;
        if (!result.failure)
            node.waitingReads.emplace(result.index, read->second);
        node.reads.erase(read);
    }
    completeReadyReads(node);
}

void GroupSimulation::completeReadyReads(Node &node)
{
    while (!node.waitingReads.empty() && node.waitingReads.begin()->first <= node.applied) {
        completeRead(node, node.waitingReads.begin()->second);
        node.waitingReads.erase(node.waitingReads.begin());
    }
}

void GroupSimulation::completeRead(const Node &node, const Operation &read)
{
    ++m_completedReads;
    // All replicas apply the same sequence, so a read is linearizable if the state it saw is no
    // older than that of any call which ended before the read began.
    if (node.applied < read.minIndex)
        reportViolation(concat("read on ", node.id, " saw index ", node.applied,
                               " although an earlier call saw ", read.minIndex));
    m_highestSeenIndex = std::max(m_highestSeenIndex, node.applied);
}

void GroupSimulation::transfer(const ReplicaId &id)
{
    scheduleOn(id, absl::ZeroDuration(), [](Node &node) { node.core->transferLeadership(); });
}

void GroupSimulation::startRandomCall()
{
    const std::vector<ReplicaId> running = runningNodes();
    if (!running.empty()) {
        // Every replica whose role is leader, so that a leader that was replaced in a later term
        // receives calls too.
        std::vector<ReplicaId> leaders;
        for (const ReplicaId &id : running) {
            if (core(id)->role() == Role::Leader)
                leaders.push_back(id);
        }
        const ReplicaId target = leaders.empty() ? pick(running) : pick(leaders);
        if (chance(0.5))
            write(target);
        else if (chance(0.5))
            read(target, false);
        else
            read(pick(running), true);
    }
    if (!m_faultsEnded)
        schedule(randomDuration(absl::Milliseconds(1), absl::Milliseconds(8)),
                 [this] { startRandomCall(); });
}

// Checks

void GroupSimulation::reportViolation(const std::string &what)
{
    if (m_violation.empty())
        m_violation = concat("seed ", m_options.seed, ", ", m_options.replicas, " replicas, ",
                             absl::ToInt64Milliseconds(m_now - absl::FromUnixSeconds(1000)),
                             " ms: ", what);
}

std::string GroupSimulation::describeNodes() const
{
    std::string text;
    for (const auto &[id, node] : m_nodes) {
        text += concat(" [", id, node.mustNotRestart ? " must not restart" : "");
        if (node.core) {
            text += concat(" ", name(node.core->role()), " term ", node.core->term(), " log ",
                           node.core->raftLog().lastIndex(), " commit ", node.core->commitIndex(),
                           node.core->isFormed() ? "" : " not formed", " voters");
            for (const auto &[voter, incarnation] : node.core->membership().voters)
                text += concat(" ", voter);
        }
        text += "]";
    }
    return text;
}

void GroupSimulation::checkLeader(const Node &node)
{
    if (node.core->role() != Role::Leader)
        return;
    const auto [existing, isNew] = m_leaderOfTerm.emplace(node.core->term(), node.id);
    if (!isNew && existing->second != node.id)
        reportViolation(concat("term ", node.core->term(), " has leaders ", existing->second,
                               " and ", node.id));
}

void GroupSimulation::updateDigest(std::uint64_t value)
{
    m_digest = m_digest * 0x9e3779b97f4a7c15u + value
               + static_cast<std::uint64_t>(absl::ToUnixMicros(m_now));
}

ReplicaId GroupSimulation::leader() const
{
    const Node *best = nullptr;
    for (const auto &[id, node] : m_nodes) {
        if (!node.core || node.core->role() != Role::Leader)
            continue;
        if (best == nullptr || node.core->term() > best->core->term())
            best = &node;
    }
    return best == nullptr ? "" : best->id;
}

const RaftCore *GroupSimulation::core(const ReplicaId &id) const
{
    return m_nodes.at(id).core.get();
}

std::vector<ReplicaId> GroupSimulation::runningNodes() const
{
    std::vector<ReplicaId> running;
    for (const auto &[id, node] : m_nodes) {
        if (node.core)
            running.push_back(id);
    }
    return running;
}

std::uint64_t GroupSimulation::faults(const std::string &kind) const
{
    const auto found = m_faults.find(kind);
    return found == m_faults.end() ? 0 : found->second;
}

} // namespace rattanrill::replication
