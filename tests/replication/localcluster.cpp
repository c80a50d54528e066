#include "localcluster.h"

#include "rattanrill/base/clock.h"
#include "rattanrill/base/concat.h"

#include "absl/synchronization/notification.h"

#include <cstdlib>
#include <filesystem>

namespace rattanrill::replication {
namespace {

constexpr absl::Duration waitTimeout = absl::Seconds(10);

} // namespace

Outcome<std::string> await(const std::function<void(RaftNode::Callback)> &call)
{
    struct State
    {
        absl::Notification done;
        Outcome<std::string> outcome =
                mayHaveRun(ErrorCode::Timeout, "callback was not called in time");
    };
    const auto state = std::make_shared<State>();
    call([state](Outcome<std::string> outcome) {
        state->outcome = std::move(outcome);
        state->done.Notify();
    });
    if (!state->done.WaitForNotificationWithTimeout(waitTimeout))
        return mayHaveRun(ErrorCode::Timeout, "callback was not called in time");
    return state->outcome;
}

class LocalCluster::Link : public RaftTransport
{
public:
    Link(LocalCluster &cluster, ReplicaId from)
        : m_cluster(cluster)
        , m_from(std::move(from))
    {}

    void send(const ReplicaId &to, const std::string &, std::string message) override
    {
        m_cluster.deliver(m_from, to, std::move(message));
    }

private:
    LocalCluster &m_cluster;
    const ReplicaId m_from;
};

LocalCluster::LocalCluster()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "rattanrill-XXXXXX").string();
    m_folder = ::mkdtemp(pattern.data());
}

LocalCluster::~LocalCluster()
{
    for (auto &[id, replica] : m_replicas)
        replica->stop();
    m_replicas.clear();
    std::filesystem::remove_all(m_folder);
}

Outcome<Done> LocalCluster::open(const ReplicaId &id, const std::vector<ReplicaId> &voters)
{
    RaftNodeOptions options;
    options.group = "directory";
    options.self = id;
    options.initialVoters = voters;
    options.dataFolder = folder(id);
    options.snapshotAfterBytes = 4096;
    options.heartbeatPeriod = absl::Milliseconds(20);
    options.electionTimeout = absl::Milliseconds(200);
    auto &link = m_links[id];
    if (!link)
        link = std::make_unique<Link>(*this, id);
    auto replica = outcomeOf([&] {
        return startRaftNode(options, std::make_unique<RegisterMachine>(), *link,
                             SystemClock::instance());
    });
    if (!replica.ok())
        return replica.failure();
    m_replicas[id] = std::move(replica.value());
    setDisconnected(id, false);
    return Done{};
}

void LocalCluster::close(const ReplicaId &id)
{
    setDisconnected(id, true);
    m_replicas.at(id)->stop();
    m_replicas.erase(id);
}

void LocalCluster::setDisconnected(const ReplicaId &id, bool isDisconnected)
{
    absl::MutexLock lock(&m_mutex);
    m_reachable[id] = isDisconnected ? nullptr : m_replicas.at(id).get();
}

void LocalCluster::deliver(const ReplicaId &from, const ReplicaId &to, std::string message)
{
    absl::MutexLock lock(&m_mutex);
    const auto receiver = m_reachable.find(to);
    if (receiver != m_reachable.end() && receiver->second != nullptr
        && m_reachable[from] != nullptr)
        receiver->second->receive(from, std::move(message));
}

std::string LocalCluster::folder(const ReplicaId &id) const
{
    return concat(m_folder, "/", id);
}

bool LocalCluster::waitUntil(const std::function<bool()> &condition)
{
    const absl::Time deadline = absl::Now() + waitTimeout;
    while (!condition()) {
        if (absl::Now() > deadline)
            return false;
        absl::SleepFor(absl::Milliseconds(2));
    }
    return true;
}

ReplicaId LocalCluster::waitForLeader()
{
    ReplicaId leader;
    waitUntil([&] {
        for (const auto &[id, replica] : m_replicas) {
            if (replica->status().role == Role::Leader)
                leader = id;
        }
        return !leader.empty();
    });
    return leader;
}

Outcome<std::string> LocalCluster::write(const std::string &command)
{
    Outcome<std::string> outcome = mayHaveRun(ErrorCode::Timeout, "no leader");
    waitUntil([&] {
        for (const auto &[id, replica] : m_replicas) {
            if (replica->status().role == Role::Leader)
                outcome = propose(id, command);
            if (outcome.ok())
                return true;
        }
        return false;
    });
    return outcome;
}

Outcome<std::string> LocalCluster::propose(const ReplicaId &id, const std::string &command)
{
    return await([&](RaftNode::Callback done) { at(id).propose(command, std::move(done)); });
}

Outcome<std::string> LocalCluster::linearizableRead(const ReplicaId &id, const std::string &query)
{
    return await([&](RaftNode::Callback done) { at(id).readOnAnyReplica(query, std::move(done)); });
}

Outcome<std::vector<ReplicaId>> LocalCluster::readMembership(const ReplicaId &id)
{
    const auto membership = std::make_shared<std::vector<ReplicaId>>();
    const Outcome<std::string> outcome = await([&](const RaftNode::Callback &done) {
        at(id).readMembership([membership, done](const Outcome<std::vector<ReplicaId>> &read) {
            if (!read.ok())
                return done(read.failure());
            *membership = read.value();
            done(std::string());
        });
    });
    if (!outcome.ok())
        return outcome.failure();
    return *membership;
}

Outcome<std::string> LocalCluster::addReplica(const ReplicaId &leader, const ReplicaId &member,
                                              const ReplicaId &replaced)
{
    return await([&](RaftNode::Callback done) {
        at(leader).addReplica(member, replaced, std::move(done));
    });
}

} // namespace rattanrill::replication
