#include "groupsimulation.h"

#include "rattanrill/base/concat.h"

#include <algorithm>
#include <utility>

/// Faults of a GroupSimulation and their repair.
namespace rattanrill::replication {
namespace {

constexpr std::size_t maxNodes = 9;
/// Time for recovery after the faults have ended: some elections, a snapshot and a replacement.
constexpr absl::Duration recoveryTime = absl::Seconds(2);

} // namespace

// Faults

const std::vector<GroupSimulation::Fault> &GroupSimulation::faultTable()
{
    static const std::vector<Fault> table = {
            {"one-way cut", 3, &GroupSimulation::cutOneWay},
            {"isolation", 2, &GroupSimulation::isolateRandomNode},
            {"isolated leader", 2, &GroupSimulation::isolateLeader},
            {"restart", 3, &GroupSimulation::restartRandomNode},
            {"restart of all", 1, &GroupSimulation::restartAll},
            {"freeze", 2, &GroupSimulation::freezeRandomNode},
            {"slow disk", 2, &GroupSimulation::slowRandomDisk},
            {"lost disk", 2, &GroupSimulation::loseRandomDisk},
            {"transfer", 2, &GroupSimulation::transferAndIsolate},
            {"replacement", 1, &GroupSimulation::replaceRandomVoter},
    };
    return table;
}

void GroupSimulation::injectRandomFault()
{
    double total = 0;
    for (const Fault &fault : faultTable())
        total += fault.weight;
    double remainingWeight = static_cast<double>(m_random() % 100000) / 100000 * total;
    for (const Fault &fault : faultTable()) {
        remainingWeight -= fault.weight;
        if (remainingWeight >= 0)
            continue;
        ++m_faults[fault.name];
        (this->*fault.inject)();
        break;
    }
    schedule(randomDuration(absl::Milliseconds(5), m_maxFaultInterval), [this] {
        if (!m_faultsEnded)
            injectRandomFault();
    });
}

void GroupSimulation::setLinkCut(const ReplicaId &from, const ReplicaId &to, bool isCut)
{
    if (isCut)
        m_cutLinks.insert({from, to});
    else
        m_cutLinks.erase({from, to});
}

void GroupSimulation::setIsolated(const ReplicaId &id, bool isIsolated)
{
    for (const auto &[other, node] : m_nodes) {
        setLinkCut(id, other, isIsolated);
        setLinkCut(other, id, isIsolated);
    }
}

void GroupSimulation::isolateFor(const ReplicaId &id, absl::Duration time)
{
    setIsolated(id, true);
    schedule(time, [this, id] { setIsolated(id, false); });
}

void GroupSimulation::cutOneWay()
{
    const ReplicaId from = pick(m_nodes).first;
    const ReplicaId to = pick(m_nodes).first;
    setLinkCut(from, to, true);
    schedule(randomDuration(absl::Milliseconds(20), absl::Milliseconds(500)),
             [this, from, to] { setLinkCut(from, to, false); });
}

void GroupSimulation::isolateRandomNode()
{
    isolateFor(pick(m_nodes).first,
               randomDuration(absl::Milliseconds(20), absl::Milliseconds(500)));
}

void GroupSimulation::isolateLeader()
{
    if (!leader().empty())
        isolateFor(leader(), randomDuration(absl::Milliseconds(100), absl::Milliseconds(500)));
}

void GroupSimulation::restartAfter(const ReplicaId &id, absl::Duration downtime)
{
    crash(id);
    schedule(downtime, [this, id] { start(id); });
}

void GroupSimulation::restartRandomNode()
{
    restartAfter(pick(m_nodes).first,
                 randomDuration(absl::Milliseconds(1), absl::Milliseconds(200)));
}

void GroupSimulation::restartAll()
{
    for (const auto &[id, node] : m_nodes)
        restartAfter(id, randomDuration(absl::Milliseconds(1), absl::Milliseconds(100)));
}

void GroupSimulation::freezeRandomNode()
{
    Node &node = m_nodes.at(ReplicaId(pick(m_nodes).first));
    node.frozenUntil = m_now + randomDuration(absl::Milliseconds(20), absl::Milliseconds(400));
}

void GroupSimulation::slowRandomDisk()
{
    Node &node = m_nodes.at(ReplicaId(pick(m_nodes).first));
    node.disk.slowUntil = m_now + randomDuration(absl::Milliseconds(50), absl::Milliseconds(500));
}

bool GroupSimulation::isFormedEverywhere() const
{
    if (m_options.disabled.identityCheck)
        return true;
    for (const ReplicaId &id : m_initialVoters) {
        for (const auto &[voter, incarnation] : m_nodes.at(id).disk.durable.hardState.founders) {
            if (incarnation.empty())
                return false;
        }
    }
    return true;
}

bool GroupSimulation::canLoseDisk() const
{
    // An initial voter that has not exchanged identities with a replica before that replica loses
    // its disk must be replaced too. So no disk is lost before the group has formed.
    if (!isFormedEverywhere())
        return false;
    // In every membership that may be in effect, a quorum must keep its disks.
    std::size_t tolerated = SIZE_MAX;
    for (const auto &[id, node] : m_nodes) {
        if (!node.core)
            continue;
        const std::size_t voters = node.core->membership().voters.size();
        if (voters != 0)
            tolerated = std::min(tolerated, (voters - 1) / 2);
    }
    return tolerated != SIZE_MAX && m_lostDisks.size() < tolerated && m_highestSeenIndex > 0;
}

void GroupSimulation::loseRandomDisk()
{
    const ReplicaId current = leader();
    if (!canLoseDisk() || current.empty())
        return;
    const Membership &membership = core(current)->membership();
    const ReplicaId victim = pick(membership.voters).first;
    if (m_nodes.at(victim).mustNotRestart)
        return;
    loseDisk(victim);
    // The replica is started again with the empty folder, as an operator might do. This must not
    // violate an invariant.
    schedule(randomDuration(absl::Milliseconds(1), absl::Milliseconds(30)),
             [this, victim] { start(victim); });
    // Temporarily isolates the leader, which may be the only other replica with the last committed
    // entries.
    if (chance(0.5))
        isolateFor(current, randomDuration(absl::Milliseconds(100), absl::Milliseconds(300)));
}

void GroupSimulation::transferAndIsolate()
{
    const ReplicaId old = leader();
    if (old.empty())
        return;
    transfer(old);
    if (chance(0.5))
        schedule(randomDuration(absl::Milliseconds(1), absl::Milliseconds(4)),
                 [this, old] { isolateFor(old, absl::Milliseconds(150)); });
}

void GroupSimulation::replaceRandomVoter()
{
    const ReplicaId current = leader();
    if (current.empty() || !m_replacements.empty())
        return;
    m_replacements.emplace(pick(core(current)->membership().voters).first, "");
}

void GroupSimulation::replaceMembers()
{
    schedule(absl::Milliseconds(30), [this] { replaceMembers(); });
    const ReplicaId current = leader();
    if (current.empty() || m_replacements.empty())
        return;
    const ReplicaId old = m_replacements.begin()->first;
    ReplicaId &substitute = m_replacements.begin()->second;
    if (substitute.empty() && m_nodes.size() < maxNodes) {
        substitute = concat("n", m_nextNodeNumber++);
        addNode(substitute, false);
        start(substitute);
    }
    const std::uint64_t token = m_nextToken++;
    scheduleOn(current, absl::ZeroDuration(), [old, substitute, token](Node &node) {
        node.core->changeMembers(substitute, old, token);
    });
}

void GroupSimulation::endFaults()
{
    m_faultsEnded = true;
    m_cutLinks.clear();
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
    const std::vector<int> maxFaultIntervals = {120, 300, 800};
    m_maxFaultInterval = absl::Milliseconds(pick(maxFaultIntervals));
    startRandomCall();
    injectRandomFault();
    replaceMembers();
    advance(m_options.length);
    endFaults();
    advance(recoveryTime);
    checkRecovery();
}

void GroupSimulation::checkRecovery()
{
    if (!m_violation.empty() || !m_options.checkRecovery)
        return;
    const ReplicaId current = leader();
    if (current.empty()) {
        reportViolation(concat("no leader after all faults have ended:", describeNodes()));
        return;
    }
    const std::uint64_t before = m_acknowledged;
    write(current);
    advance(absl::Milliseconds(300));
    if (m_acknowledged == before && m_violation.empty())
        reportViolation(
                concat("no write is accepted after all faults have ended:", describeNodes()));
    for (const auto &[id, incarnation] : core(current)->membership().voters) {
        const Node &node = m_nodes.at(id);
        if (node.core && node.applied < m_highestSeenIndex)
            reportViolation(concat(id, " has applied ", node.applied, " of ", m_highestSeenIndex,
                                   describeNodes()));
    }
}

} // namespace rattanrill::replication
