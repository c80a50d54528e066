#pragma once

#include "raftcore.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>

namespace rattanrill::replication {

struct SimulationOptions
{
    std::uint64_t seed = 1;
    std::size_t replicas = 3;
    /// Duration of the random faults, which end before recovery is checked.
    absl::Duration length = absl::Milliseconds(1500);
    DisabledSafeguards disabled;
    /// See RaftOptions.
    absl::Duration initialElectionTimeout;
    std::uint64_t maxBatchBytes = 512;
    /// When false, the caller must start the replicas with start().
    bool startReplicas = true;
    /// Whether to check that the group serves again after the faults have ended.
    bool checkRecovery = true;
};

/// One group of Raft cores with simulated disks, network and time. The seed determines all events.
class GroupSimulation
{
public:
    explicit GroupSimulation(SimulationOptions options);
    ~GroupSimulation();

    /// Runs random faults and calls, ends the faults, and checks that the group serves again.
    void run();

    /// Describes the first violation of an invariant; empty when there is none.
    const std::string &violation() const { return m_violation; }
    /// Hash of all applied entries and their times, which is equal for equal seeds.
    std::uint64_t digest() const { return m_digest; }
    std::uint64_t acknowledgedWrites() const { return m_acknowledged; }
    std::uint64_t completedReads() const { return m_completedReads; }
    std::uint64_t faults(const std::string &kind) const;

    // Scripted runs
    void advance(absl::Duration step);
    void setLinkCut(const ReplicaId &from, const ReplicaId &to, bool isCut);
    void setIsolated(const ReplicaId &id, bool isIsolated);
    void crash(const ReplicaId &id);
    void start(const ReplicaId &id);
    /// Initializes the disk of a replica that is not started as in a formed group. The log has one
    /// empty entry for each element of \a terms; \a term is the highest term any replica has seen.
    void presetDisk(const ReplicaId &id, const std::vector<std::uint64_t> &terms,
                    std::uint64_t term);
    void loseDisk(const ReplicaId &id);
    void write(const ReplicaId &id);
    void read(const ReplicaId &id, bool onAnyReplica);
    void transfer(const ReplicaId &id);
    /// Returns the leader with the highest term; empty when there is none.
    ReplicaId leader() const;
    const RaftCore *core(const ReplicaId &id) const;

private:
    struct Operation
    {
        /// Highest index that any completed call had seen when this call began.
        std::uint64_t minIndex = 0;
        std::uint64_t term = 0;
    };
    struct DiskWrite
    {
        std::optional<PersistRequest> request;
        std::optional<InstalledSnapshot> saved;
    };
    struct Disk
    {
        std::string incarnation;
        RaftStart durable;
        std::string snapshotData;
        std::deque<DiskWrite> pending;
        /// Number of pending writes that the current sync covers; later ones share the next sync.
        std::size_t syncingWrites = 0;
        absl::Time slowUntil = absl::InfinitePast();
    };
    struct Node
    {
        ReplicaId id;
        Disk disk;
        std::unique_ptr<RaftCore> core;
        /// Number of starts; events that were scheduled in an earlier epoch are ignored.
        std::uint64_t epoch = 0;
        bool isInitialVoter = false;
        /// Whether the replica stopped itself or was replaced; it is never started again.
        bool mustNotRestart = false;
        absl::Time frozenUntil = absl::InfinitePast();
        absl::Time timerAt = absl::InfiniteFuture();
        std::map<std::string, std::string> state;
        std::uint64_t applied = 0;
        std::uint64_t lastSnapshotIndex = 0;
        std::map<std::uint64_t, Operation> writes;
        std::map<std::uint64_t, Operation> reads;
        std::multimap<std::uint64_t, Operation> waitingReads;
    };
    struct Event
    {
        absl::Time time;
        std::uint64_t order;
        std::function<void()> action;
    };
    struct LaterEvent
    {
        bool operator()(const Event &left, const Event &right) const
        {
            return std::tie(left.time, left.order) > std::tie(right.time, right.order);
        }
    };

    // Events
    void schedule(absl::Duration delay, std::function<void()> action);
    /// Runs \a input after \a delay if the node is still running in the current epoch. While the
    /// node is frozen, \a input is postponed.
    void scheduleOn(const ReplicaId &id, absl::Duration delay, std::function<void(Node &)> input);
    void runOn(const ReplicaId &id, std::uint64_t epoch, const std::function<void(Node &)> &input);
    void processOutput(Node &node);
    void armTimer(Node &node);
    absl::Duration randomDuration(absl::Duration low, absl::Duration high);
    bool chance(double probability);
    template <typename Container>
    const auto &pick(const Container &container)
    {
        return *std::next(container.begin(), m_random() % container.size());
    }

    // Disk and network
    void writeToDisk(Node &node, DiskWrite write);
    void startSync(Node &node);
    void finishSync(Node &node);
    void makeDurable(Disk &disk, const DiskWrite &write);
    void send(Node &from, Message message);
    void maybeCrashAfterSending(const Message &message);

    // State machine and calls
    void applyEntries(Node &node, const std::vector<Entry> &entries);
    void applyMembership(const Entry &entry);
    void restoreState(Node &node, const InstalledSnapshot &snapshot);
    void loadState(Node &node, const std::string &data);
    void takeSnapshot(Node &node);
    void finishReads(Node &node, const std::vector<ReadResult> &results);
    void completeReadyReads(Node &node);
    void completeRead(const Node &node, const Operation &read);
    void startRandomCall();

    // Faults
    struct Fault
    {
        const char *name;
        double weight;
        void (GroupSimulation::*inject)();
    };
    static const std::vector<Fault> &faultTable();
    void injectRandomFault();
    void cutOneWay();
    void isolateRandomNode();
    void isolateLeader();
    void restartRandomNode();
    void restartAll();
    void freezeRandomNode();
    void slowRandomDisk();
    void loseRandomDisk();
    void transferAndIsolate();
    void replaceRandomVoter();
    void isolateFor(const ReplicaId &id, absl::Duration time);
    void restartAfter(const ReplicaId &id, absl::Duration downtime);
    void replaceMembers();
    void endFaults();
    void checkRecovery();

    Node &addNode(const ReplicaId &id, bool isInitialVoter);
    std::vector<ReplicaId> runningNodes() const;
    bool isFormedEverywhere() const;
    bool canLoseDisk() const;
    void reportViolation(const std::string &what);
    std::string describeNodes() const;
    void checkLeader(const Node &node);
    void checkState(std::uint64_t index, const std::string &state);
    void updateDigest(std::uint64_t value);

    const SimulationOptions m_options;
    std::mt19937_64 m_random;
    absl::Time m_now = absl::FromUnixSeconds(1000);
    std::uint64_t m_nextEventOrder = 0;
    std::priority_queue<Event, std::vector<Event>, LaterEvent> m_events;
    std::map<ReplicaId, Node> m_nodes;
    std::set<ReplicaId> m_initialVoters;
    std::set<std::pair<ReplicaId, ReplicaId>> m_cutLinks;
    double m_lossRate = 0;
    double m_duplicateRate = 0;
    double m_crashAfterVoteRate = 0;
    absl::Duration m_maxDelay;
    absl::Duration m_maxSync;
    absl::Duration m_maxFaultInterval;
    bool m_faultsEnded = false;
    /// Substitute by member to be replaced; empty until a substitute has been started.
    std::map<ReplicaId, ReplicaId> m_replacements;
    std::set<ReplicaId> m_lostDisks;
    std::uint64_t m_nextNodeNumber = 1;
    std::uint64_t m_nextToken = 1;
    std::uint64_t m_nextValue = 1;

    // State of the invariant checks
    std::map<std::uint64_t, ReplicaId> m_leaderOfTerm;
    std::map<std::uint64_t, std::uint64_t> m_committed;
    std::map<std::uint64_t, std::uint64_t> m_states;
    /// Highest index that a completed call has seen.
    std::uint64_t m_highestSeenIndex = 0;
    std::uint64_t m_acknowledged = 0;
    std::uint64_t m_completedReads = 0;
    std::map<std::string, std::uint64_t> m_faults;
    std::uint64_t m_digest = 0;
    std::string m_violation;
};

} // namespace rattanrill::replication
