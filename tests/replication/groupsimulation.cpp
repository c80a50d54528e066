#include "groupsimulation.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"

#include <algorithm>
#include <utility>

namespace rattanrill::replication {
namespace {

constexpr absl::Duration heartbeat = absl::Milliseconds(20);
constexpr absl::Duration electionTimeout = absl::Milliseconds(100);
constexpr std::uint64_t snapshotEntries = 25;
constexpr std::size_t maxNodes = 9;
/// Enough for some elections, a snapshot and a replacement after the faults have ended.
constexpr absl::Duration recoveryTime = absl::Seconds(2);

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
        m_founders.insert(concat("n", m_nextName++));
    for (const ReplicaId &id : m_founders)
        addNode(id, true);
    for (const ReplicaId &id : m_founders) {
        if (m_options.startReplicas)
            start(id);
    }
}

GroupSimulation::~GroupSimulation() = default;

GroupSimulation::Node &GroupSimulation::addNode(const ReplicaId &id, bool isFounder)
{
    Node &node = m_nodes[id];
    node.id = id;
    node.isFounder = isFounder;
    return node;
}

void GroupSimulation::start(const ReplicaId &id)
{
    Node &node = m_nodes.at(id);
    if (node.core || node.isGone)
        return;
    Disk &disk = node.disk;
    if (disk.incarnation.empty()) {
        disk.incarnation = concat(id, "-", m_random() % 1000000);
        if (node.isFounder) {
            for (const ReplicaId &founder : m_founders)
                disk.durable.hardState.founders[founder] = founder == id ? disk.incarnation : "";
        }
    }
    RaftOptions raft;
    raft.self = id;
    raft.incarnation = disk.incarnation;
    raft.heartbeatPeriod = heartbeat;
    raft.electionTimeout = electionTimeout;
    raft.maxBatchBytes = m_options.maxBatchBytes;
    raft.maxInFlightBytes = 4096;
    raft.snapshotChunkBytes = 64;
    raft.retainedEntries = 5;
    raft.seed = m_random();
    raft.disabled = m_options.disabled;
    ++node.epoch;
    node.core = std::make_unique<RaftCore>(raft, disk.durable, m_now);
    node.applied = disk.durable.snapshot.index;
    node.snapshotAt = node.applied;
    loadState(node, disk.snapshotData);
    settle(node);
}

void GroupSimulation::presetDisk(const ReplicaId &id, const std::vector<std::uint64_t> &terms,
                                 std::uint64_t term)
{
    Disk &disk = m_nodes.at(id).disk;
    disk.incarnation = id;
    for (const ReplicaId &founder : m_founders)
        disk.durable.hardState.founders[founder] = founder;
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
    // Some of what was written but not synced may be on disk nevertheless.
    std::size_t kept = node.disk.pending.empty() ? 0 : m_random() % (node.disk.pending.size() + 1);
    if (chance(0.7))
        kept = 0;
    for (std::size_t i = 0; i < kept; ++i)
        makeDurable(node.disk, node.disk.pending[i]);
    node.disk.pending.clear();
    node.disk.inSync = 0;
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
    m_events.push({m_now + delay, m_order++, std::move(action)});
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
    settle(node);
}

void GroupSimulation::settle(Node &node)
{
    RaftOutput output = node.core->output();
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
        node.isGone = true;
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

absl::Duration GroupSimulation::between(absl::Duration low, absl::Duration high)
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
    if (node.disk.inSync == 0)
        startSync(node);
}

void GroupSimulation::startSync(Node &node)
{
    Disk &disk = node.disk;
    disk.inSync = disk.pending.size();
    if (disk.inSync == 0)
        return;
    const absl::Duration most = disk.slowUntil > m_now ? absl::Milliseconds(150) : m_maxSync;
    scheduleOn(node.id, between(absl::Microseconds(50), most),
               [this](Node &synced) { finishSync(synced); });
}

void GroupSimulation::finishSync(Node &node)
{
    for (; node.disk.inSync > 0; --node.disk.inSync) {
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
        const bool isThere = disk.durable.snapshot.index == message.snapshot.index
                             && message.offset <= disk.snapshotData.size();
        if (!isThere)
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
        schedule(between(absl::Microseconds(100), m_maxDelay), [this, shared] {
            if (m_cuts.count({shared->from, shared->to}) != 0)
                return;
            const Node &receiver = m_nodes.at(shared->to);
            runOn(shared->to, receiver.epoch, [shared](Node &node) { node.core->step(*shared); });
        });
    }
}

void GroupSimulation::maybeCrashAfterSending(const Message &message)
{
    // The moment at which a promise that is not on disk does harm.
    const bool isPromise = message.type == MessageType::VoteReply && message.success;
    if (!isPromise || !chance(m_crashAfterVoteRate))
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
        note(hash);
        const auto [known, isNew] = m_committed.emplace(entry.index, hash);
        if (!isNew && known->second != hash)
            violate(concat("committed entry ", entry.index, " changed on ", node.id));
        if (entry.index != node.applied + 1)
            violate(concat("entry ", entry.index, " applied after ", node.applied));
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
            if (entry.index <= write->second.floor)
                violate(concat("write ", entry.index, " is before an earlier call's"));
            m_floor = std::max(m_floor, entry.index);
        }
        node.writes.erase(write);
    }
    answerReads(node);
}

void GroupSimulation::applyMembership(const Entry &entry)
{
    const auto membership = outcomeOf([&] { return decodeMembership(entry.data); });
    for (auto it = m_replacements.begin(); it != m_replacements.end();) {
        if (membership.value().contains(it->first)) {
            ++it;
            continue;
        }
        m_nodes.at(it->first).isGone = true;
        m_lostDisks.erase(it->first);
        it = m_replacements.erase(it);
    }
}

void GroupSimulation::restoreState(Node &node, const InstalledSnapshot &snapshot)
{
    loadState(node, *snapshot.data);
    node.applied = snapshot.meta.index;
    node.snapshotAt = snapshot.meta.index;
    checkState(node.applied, *snapshot.data);
    answerReads(node);
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
    if (node.applied < node.snapshotAt + snapshotEntries)
        return;
    node.snapshotAt = node.applied;
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
    const auto [known, isNew] = m_states.emplace(index, hash);
    if (!isNew && known->second != hash)
        violate(concat("state after ", index, " differs between replicas"));
}

void GroupSimulation::write(const ReplicaId &id)
{
    const std::uint64_t floor = m_floor;
    const std::string command = concat("key", m_random() % 4, "=", m_nextValue++);
    scheduleOn(id, absl::ZeroDuration(), [floor, command](Node &node) {
        const auto position = node.core->propose(command);
        if (position.ok())
            node.writes[position.value().index] = {floor, position.value().term};
    });
}

void GroupSimulation::read(const ReplicaId &id, bool indexed)
{
    const std::uint64_t floor = m_floor;
    const std::uint64_t token = m_nextToken++;
    scheduleOn(id, absl::ZeroDuration(), [floor, token, indexed](Node &node) {
        node.reads[token] = {floor, 0};
        if (indexed)
            node.core->readIndexed(token);
        else
            node.core->read(token);
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
    answerReads(node);
}

void GroupSimulation::answerReads(Node &node)
{
    while (!node.waitingReads.empty() && node.waitingReads.begin()->first <= node.applied) {
        completeRead(node, node.waitingReads.begin()->second);
        node.waitingReads.erase(node.waitingReads.begin());
    }
}

void GroupSimulation::completeRead(const Node &node, const Operation &read)
{
    ++m_answeredReads;
    // All replicas apply one sequence, so a read is linearizable when the state it saw is no older
    // than that of any call which ended before it began.
    if (node.applied < read.floor)
        violate(concat("read on ", node.id, " saw ", node.applied, " after ", read.floor));
    m_floor = std::max(m_floor, node.applied);
}

void GroupSimulation::transfer(const ReplicaId &id)
{
    scheduleOn(id, absl::ZeroDuration(), [](Node &node) { node.core->transferLeadership(); });
}

void GroupSimulation::randomCall()
{
    const std::vector<ReplicaId> up = upNodes();
    if (!up.empty()) {
        // Any replica that takes itself for the leader, so that deposed ones are asked too.
        std::vector<ReplicaId> leaders;
        for (const ReplicaId &id : up) {
            if (core(id)->role() == Role::Leader)
                leaders.push_back(id);
        }
        const ReplicaId target = leaders.empty() ? pick(up) : pick(leaders);
        if (chance(0.5))
            write(target);
        else if (chance(0.5))
            read(target, false);
        else
            read(pick(up), true);
    }
    if (!m_isHealed)
        schedule(between(absl::Milliseconds(1), absl::Milliseconds(8)), [this] { randomCall(); });
}

// Checks

void GroupSimulation::violate(const std::string &what)
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
        text += concat(" [", id, node.isGone ? " gone" : "");
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
    const auto [known, isNew] = m_leaderOfTerm.emplace(node.core->term(), node.id);
    if (!isNew && known->second != node.id)
        violate(concat("term ", node.core->term(), " has leaders ", known->second, " and ",
                       node.id));
}

void GroupSimulation::note(std::uint64_t value)
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

std::vector<ReplicaId> GroupSimulation::upNodes() const
{
    std::vector<ReplicaId> up;
    for (const auto &[id, node] : m_nodes) {
        if (node.core)
            up.push_back(id);
    }
    return up;
}

std::uint64_t GroupSimulation::faults(const std::string &kind) const
{
    const auto found = m_faults.find(kind);
    return found == m_faults.end() ? 0 : found->second;
}

// Faults

const std::vector<GroupSimulation::Fault> &GroupSimulation::faultTable()
{
    static const std::vector<Fault> table = {
            {"one-way cut", 3, &GroupSimulation::cutOneWay},
            {"isolation", 2, &GroupSimulation::isolateSome},
            {"isolated leader", 2, &GroupSimulation::isolateLeader},
            {"restart", 3, &GroupSimulation::restartSome},
            {"restart of all", 1, &GroupSimulation::restartAll},
            {"freeze", 2, &GroupSimulation::freezeSome},
            {"slow disk", 2, &GroupSimulation::slowDisk},
            {"lost disk", 2, &GroupSimulation::loseSomeDisk},
            {"transfer", 2, &GroupSimulation::transferAndIsolate},
            {"replacement", 1, &GroupSimulation::replaceSome},
    };
    return table;
}

void GroupSimulation::randomFault()
{
    double total = 0;
    for (const Fault &fault : faultTable())
        total += fault.weight;
    double place = static_cast<double>(m_random() % 100000) / 100000 * total;
    for (const Fault &fault : faultTable()) {
        place -= fault.weight;
        if (place >= 0)
            continue;
        ++m_faults[fault.name];
        (this->*fault.inject)();
        break;
    }
    schedule(between(absl::Milliseconds(5), m_maxFaultGap), [this] {
        if (!m_isHealed)
            randomFault();
    });
}

void GroupSimulation::cutLink(const ReplicaId &from, const ReplicaId &to, bool isCut)
{
    if (isCut)
        m_cuts.insert({from, to});
    else
        m_cuts.erase({from, to});
}

void GroupSimulation::isolate(const ReplicaId &id, bool isCut)
{
    for (const auto &[other, node] : m_nodes) {
        cutLink(id, other, isCut);
        cutLink(other, id, isCut);
    }
}

void GroupSimulation::isolateFor(const ReplicaId &id, absl::Duration time)
{
    isolate(id, true);
    schedule(time, [this, id] { isolate(id, false); });
}

void GroupSimulation::cutOneWay()
{
    const ReplicaId from = pick(m_nodes).first;
    const ReplicaId to = pick(m_nodes).first;
    cutLink(from, to, true);
    schedule(between(absl::Milliseconds(20), absl::Milliseconds(500)),
             [this, from, to] { cutLink(from, to, false); });
}

void GroupSimulation::isolateSome()
{
    isolateFor(pick(m_nodes).first, between(absl::Milliseconds(20), absl::Milliseconds(500)));
}

void GroupSimulation::isolateLeader()
{
    if (!leader().empty())
        isolateFor(leader(), between(absl::Milliseconds(100), absl::Milliseconds(500)));
}

void GroupSimulation::restartAfter(const ReplicaId &id, absl::Duration downtime)
{
    crash(id);
    schedule(downtime, [this, id] { start(id); });
}

void GroupSimulation::restartSome()
{
    restartAfter(pick(m_nodes).first, between(absl::Milliseconds(1), absl::Milliseconds(200)));
}

void GroupSimulation::restartAll()
{
    for (const auto &[id, node] : m_nodes)
        restartAfter(id, between(absl::Milliseconds(1), absl::Milliseconds(100)));
}

void GroupSimulation::freezeSome()
{
    Node &node = m_nodes.at(ReplicaId(pick(m_nodes).first));
    node.frozenUntil = m_now + between(absl::Milliseconds(20), absl::Milliseconds(400));
}

void GroupSimulation::slowDisk()
{
    Node &node = m_nodes.at(ReplicaId(pick(m_nodes).first));
    node.disk.slowUntil = m_now + between(absl::Milliseconds(50), absl::Milliseconds(500));
}

bool GroupSimulation::isFormedEverywhere() const
{
    if (m_options.disabled.identityCheck)
        return true;
    for (const ReplicaId &id : m_founders) {
        for (const auto &[founder, incarnation] : m_nodes.at(id).disk.durable.hardState.founders) {
            if (incarnation.empty())
                return false;
        }
    }
    return true;
}

bool GroupSimulation::canLoseDisk() const
{
    // A founder that has not met a replica whose disk is lost needs replacement too, so a new group
    // has to form first.
    if (!isFormedEverywhere())
        return false;
    // A quorum of every membership that may be in effect must keep its disks.
    std::size_t tolerated = SIZE_MAX;
    for (const auto &[id, node] : m_nodes) {
        if (!node.core)
            continue;
        const std::size_t voters = node.core->membership().voters.size();
        if (voters != 0)
            tolerated = std::min(tolerated, (voters - 1) / 2);
    }
    return tolerated != SIZE_MAX && m_lostDisks.size() < tolerated && m_floor > 0;
}

void GroupSimulation::loseSomeDisk()
{
    const ReplicaId current = leader();
    if (!canLoseDisk() || current.empty())
        return;
    const Membership &membership = core(current)->membership();
    const ReplicaId victim = pick(membership.voters).first;
    if (m_nodes.at(victim).isGone)
        return;
    loseDisk(victim);
    // Its operator starts it again with the empty folder, which must not do harm.
    schedule(between(absl::Milliseconds(1), absl::Milliseconds(30)),
             [this, victim] { start(victim); });
    // The other replica that may know the last commits is cut off for a while.
    if (chance(0.5))
        isolateFor(current, between(absl::Milliseconds(100), absl::Milliseconds(300)));
}

void GroupSimulation::transferAndIsolate()
{
    const ReplicaId old = leader();
    if (old.empty())
        return;
    transfer(old);
    if (chance(0.5))
        schedule(between(absl::Milliseconds(1), absl::Milliseconds(4)),
                 [this, old] { isolateFor(old, absl::Milliseconds(150)); });
}

void GroupSimulation::replaceSome()
{
    const ReplicaId current = leader();
    if (current.empty() || !m_replacements.empty())
        return;
    m_replacements.emplace(pick(core(current)->membership().voters).first, "");
}

void GroupSimulation::repairMembers()
{
    schedule(absl::Milliseconds(30), [this] { repairMembers(); });
    const ReplicaId current = leader();
    if (current.empty() || m_replacements.empty())
        return;
    const ReplicaId old = m_replacements.begin()->first;
    ReplicaId &substitute = m_replacements.begin()->second;
    if (substitute.empty() && m_nodes.size() < maxNodes) {
        substitute = concat("n", m_nextName++);
        addNode(substitute, false);
        start(substitute);
    }
    const std::uint64_t token = m_nextToken++;
    scheduleOn(current, absl::ZeroDuration(), [old, substitute, token](Node &node) {
        node.core->changeMembers(substitute, old, token);
    });
}

void GroupSimulation::heal()
{
    m_isHealed = true;
    m_cuts.clear();
    m_lossRate = 0;
    m_duplicateRate = 0;
    m_crashAfterVoteRate = 0;
    for (auto &[id, node] : m_nodes) {
        node.frozenUntil = m_now;
        node.disk.slowUntil = m_now;
        if (m_lostDisks.count(id) == 0)
            start(id);
    }
}

void GroupSimulation::run()
{
    const std::vector<double> lossRates = {0, 0, 0.02, 0.1, 0.3};
    m_lossRate = pick(lossRates);
    m_duplicateRate = chance(0.5) ? 0.1 : 0;
    m_crashAfterVoteRate = chance(0.5) ? 0.5 : 0;
    m_maxDelay = chance(0.3) ? absl::Milliseconds(25) : absl::Milliseconds(2);
    m_maxSync = chance(0.3) ? absl::Milliseconds(30) : absl::Milliseconds(2);
    const std::vector<int> faultGaps = {120, 300, 800};
    m_maxFaultGap = absl::Milliseconds(pick(faultGaps));
    randomCall();
    randomFault();
    repairMembers();
    advance(m_options.length);
    heal();
    advance(recoveryTime);
    checkRecovery();
}

void GroupSimulation::checkRecovery()
{
    if (!m_violation.empty() || !m_options.checkRecovery)
        return;
    const ReplicaId current = leader();
    if (current.empty()) {
        violate(concat("no leader after all faults have ended:", describeNodes()));
        return;
    }
    const std::uint64_t before = m_acknowledged;
    write(current);
    advance(absl::Milliseconds(300));
    if (m_acknowledged == before && m_violation.empty())
        violate(concat("no write is accepted after all faults have ended:", describeNodes()));
    for (const auto &[id, incarnation] : core(current)->membership().voters) {
        const Node &node = m_nodes.at(id);
        if (node.core && node.applied < m_floor)
            violate(concat(id, " has applied ", node.applied, " of ", m_floor, describeNodes()));
    }
}

} // namespace rattanrill::replication
