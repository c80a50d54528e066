#include "groupdriver.h"
#include "localcluster.h"

#include <boost/test/unit_test.hpp>

using namespace rattanrill;
using namespace rattanrill::replication;

namespace {

/// Storage that discards writes, and whose writes and syncs a test can block or make fail.
class FaultyStorage : public Storage
{
public:
    struct Faults
    {
        std::atomic<bool> isBlocked = false;
        std::atomic<bool> hasSpace = true;
        std::atomic<bool> failsSync = false;
    };

    explicit FaultyStorage(Faults &faults)
        : m_faults(faults)
    {}

    Result<void> write(const std::vector<PersistRequest> &) override
    {
        LocalCluster::waitUntil([this] { return !m_faults.isBlocked; });
        if (m_faults.failsSync)
            return fail(notRun(ErrorCode::FsyncFailed, "injected"));
        return {};
    }
    Result<void> install(const PersistRequest &) override { return {}; }
    Result<void> saveSnapshot(const InstalledSnapshot &) override { return {}; }
    Result<SnapshotPart> readSnapshot(std::uint64_t, std::uint64_t, std::uint64_t) override
    {
        return SnapshotPart();
    }
    bool hasSpace() override { return m_faults.hasSpace; }

private:
    Faults &m_faults;
};

/// A group of three drivers that exchange messages by direct calls.
class FaultyGroup
{
public:
    FaultyGroup()
    {
        for (const ReplicaId &id : m_ids) {
            m_links[id].from = id;
            m_links[id].group = this;
            open(id);
        }
        for (const ReplicaId &id : m_ids)
            m_links[id].isOpen = true;
    }
    ~FaultyGroup()
    {
        for (auto &[id, driver] : drivers)
            driver->stop();
    }

    ReplicaId leader()
    {
        ReplicaId found;
        LocalCluster::waitUntil([&] {
            for (const auto &[id, driver] : drivers) {
                if (driver->status().role == Role::Leader)
                    found = id;
            }
            return !found.empty();
        });
        return found;
    }

    std::map<ReplicaId, FaultyStorage::Faults> faults;
    std::map<ReplicaId, std::unique_ptr<GroupDriver>> drivers;

private:
    struct Link : RaftTransport
    {
        void send(const ReplicaId &to, const std::string &, std::string message) override
        {
            if (isOpen)
                group->drivers.at(to)->receive(from, std::move(message));
        }
        ReplicaId from;
        FaultyGroup *group = nullptr;
        std::atomic<bool> isOpen = false;
    };

    void open(const ReplicaId &id)
    {
        RaftNodeOptions options;
        options.group = "directory";
        options.heartbeatPeriod = absl::Milliseconds(20);
        options.electionTimeout = absl::Milliseconds(300);
        GroupDriver::Parts parts;
        parts.storage = std::make_unique<FaultyStorage>(faults[id]);
        parts.machine = std::make_unique<RegisterMachine>();
        parts.raft.self = id;
        parts.raft.incarnation = id;
        parts.raft.heartbeatPeriod = options.heartbeatPeriod;
        parts.raft.electionTimeout = options.electionTimeout;
        parts.raft.seed = std::hash<std::string>()(id);
        for (const ReplicaId &other : m_ids)
            parts.start.hardState.founders[other] = other;
        drivers[id] = std::make_unique<GroupDriver>(options, std::move(parts), m_links[id],
                                                    SystemClock::instance());
    }

    const std::vector<ReplicaId> m_ids = {"a", "b", "c"};
    std::map<ReplicaId, Link> m_links;
};

} // namespace

BOOST_AUTO_TEST_SUITE(GroupDriverTest)

// Guards against a slow sync that blocks heartbeats, so that the leader loses its leadership.
BOOST_AUTO_TEST_CASE(slowSyncDoesNotStopHeartbeats)
{
    FaultyGroup group;
    const ReplicaId leader = group.leader();
    const std::uint64_t term = group.drivers.at(leader)->status().term;
    group.faults[leader].isBlocked = true;
    group.drivers.at(leader)->propose("key=1", [](const Outcome<std::string> &) {});
    // More than six election timeouts.
    const absl::Time end = absl::Now() + absl::Seconds(2);
    while (absl::Now() < end) {
        BOOST_REQUIRE(group.drivers.at(leader)->status().role == Role::Leader);
        BOOST_REQUIRE_EQUAL(group.drivers.at(leader)->status().term, term);
        absl::SleepFor(absl::Milliseconds(10));
    }
    // The two followers have stored the command, so it is committed.
    BOOST_TEST(group.drivers.at(leader)->status().commitIndex >= 2u);
    group.faults[leader].isBlocked = false;
}

// Guards against a leader with a full disk that accepts writes or refuses reads.
BOOST_AUTO_TEST_CASE(fullDiskRefusesWritesAsNotRunAndServesReads)
{
    FaultyGroup group;
    const ReplicaId leader = group.leader();
    group.faults[leader].hasSpace = false;
    const auto refusal = [&] {
        const auto outcome = await([&](RaftNode::Callback done) {
            group.drivers.at(leader)->propose("key=1", std::move(done));
        });
        return !outcome.ok() && outcome.failure().code == ErrorCode::DiskFull
               && outcome.failure().effect == EffectState::NotRun;
    };
    BOOST_TEST(LocalCluster::waitUntil(refusal));
    const auto value = await([&](RaftNode::Callback done) {
        group.drivers.at(leader)->readOnLeader("key", std::move(done));
    });
    BOOST_TEST(value.ok());
}

// Guards against a replica that continues after a failed sync, although its disk may have lost
// writes.
BOOST_AUTO_TEST_CASE(failedSyncStopsTheReplica)
{
    FaultyGroup group;
    const ReplicaId leader = group.leader();
    group.faults[leader].failsSync = true;
    group.drivers.at(leader)->propose("key=1", [](const Outcome<std::string> &) {});
    BOOST_TEST(LocalCluster::waitUntil([&] { return group.drivers.at(leader)->status().stopped; }));
    const auto outcome = await([&](RaftNode::Callback done) {
        group.drivers.at(leader)->propose("key=2", std::move(done));
    });
    BOOST_REQUIRE(!outcome.ok());
    BOOST_TEST((outcome.failure().code == ErrorCode::Stopped));
    BOOST_TEST(LocalCluster::waitUntil([&] { return group.leader() != leader; }));
}

BOOST_AUTO_TEST_SUITE_END()
