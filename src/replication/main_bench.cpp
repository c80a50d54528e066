#include "rattanrill/base/clock.h"
#include "rattanrill/base/concat.h"
#include "rattanrill/base/json.h"
#include "rattanrill/base/logger.h"
#include "rattanrill/replication/raftnode.h"
#include "rattanrill/wire/codec.h"
#include "rattanrill/wire/envelope.h"

#include "absl/synchronization/mutex.h"
#include "absl/synchronization/notification.h"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <map>

/// rattanrill-bench-replication: measures a group whose replicas run in this process. Files and
/// syncs are real; messages are direct calls. Prints one JSON line for each measurement.
/// Usage: rattanrill-bench-replication [FOLDER]
namespace rattanrill::replication {
namespace {

constexpr std::size_t commandBytes = 200;
constexpr absl::Duration measurementTime = absl::Seconds(3);
constexpr absl::Duration leaderTimeout = absl::Seconds(30);
constexpr int failoverRuns = 9;

/// State machine that keeps the last 1024 commands, so that the size of a snapshot is bounded.
class BenchStateMachine : public StateMachine
{
public:
    std::string apply(std::uint64_t index, std::string_view command) override
    {
        m_values[index % 1024] = command;
        return wire::encode(wire::CommandResult());
    }
    std::string query(std::string_view) const override
    {
        return wire::encode(wire::CommandResult());
    }
    std::string snapshot() const override
    {
        std::string bytes;
        for (const auto &[key, value] : m_values)
            bytes += value;
        return bytes;
    }
    Result<void> restore(std::string_view) override { return {}; }

private:
    std::map<std::uint64_t, std::string> m_values;
};

/// A group whose replicas run in this process.
class BenchGroup
{
public:
    BenchGroup(std::string folder, std::size_t replicas, std::uint64_t snapshotAfterBytes)
        : m_folder(std::move(folder))
        , m_snapshotAfterBytes(snapshotAfterBytes)
    {
        for (std::size_t i = 0; i < replicas; ++i)
            m_ids.push_back(concat("r", i));
        for (const ReplicaId &id : m_ids)
            open(id);
    }
    ~BenchGroup()
    {
        for (const ReplicaId &id : m_ids)
            close(id);
    }

    void open(const ReplicaId &id)
    {
        RaftNodeOptions options;
        options.group = "bench";
        options.self = id;
        options.initialVoters = m_ids;
        options.dataFolder = concat(m_folder, "/", id);
        options.snapshotAfterBytes = m_snapshotAfterBytes;
        Link &link = m_links[id];
        link.from = id;
        link.group = this;
        auto opened = outcomeOf([&] {
            return startRaftNode(options, std::make_unique<BenchStateMachine>(), link,
                                 SystemClock::instance());
        });
        if (!opened.ok()) {
            std::cerr << describe(opened.failure()) << "\n";
            std::exit(1);
        }
        absl::MutexLock lock(&m_mutex);
        m_replicas[id] = std::move(opened.value());
    }

    void close(const ReplicaId &id)
    {
        std::shared_ptr<RaftNode> replica;
        {
            absl::MutexLock lock(&m_mutex);
            replica = std::move(m_replicas[id]);
        }
        if (replica)
            replica->stop();
    }

    std::shared_ptr<RaftNode> replica(const ReplicaId &id)
    {
        absl::MutexLock lock(&m_mutex);
        return m_replicas[id];
    }

    ReplicaId waitForLeader()
    {
        const absl::Time deadline = absl::Now() + leaderTimeout;
        while (absl::Now() < deadline) {
            for (const ReplicaId &id : m_ids) {
                const auto node = replica(id);
                if (node && node->status().role == Role::Leader)
                    return id;
            }
            absl::SleepFor(absl::Milliseconds(1));
        }
        std::cerr << "no leader was elected within 30 s\n";
        std::exit(1);
    }

    /// Proposes until one command succeeds.
    void writeOnce()
    {
        while (true) {
            absl::Notification done;
            bool ok = false;
            replica(waitForLeader())
                    ->propose(std::string(commandBytes, 'x'),
                              [&](const Outcome<std::string> &outcome) {
                                  ok = outcome.ok();
                                  done.Notify();
                              });
            done.WaitForNotification();
            if (ok)
                return;
        }
    }

private:
    struct Link : RaftTransport
    {
        void send(const ReplicaId &to, const std::string &, std::string message) override
        {
            const auto receiver = group->replica(to);
            if (receiver)
                receiver->receive(from, std::move(message));
        }
        ReplicaId from;
        BenchGroup *group = nullptr;
    };

    const std::string m_folder;
    const std::uint64_t m_snapshotAfterBytes;
    std::vector<ReplicaId> m_ids;
    std::map<ReplicaId, Link> m_links;
    absl::Mutex m_mutex;
    std::map<ReplicaId, std::shared_ptr<RaftNode>> m_replicas ABSL_GUARDED_BY(m_mutex);
};

/// Closed-loop load: each client always has one open write.
class WriteLoad
{
public:
    WriteLoad(std::shared_ptr<RaftNode> leader, int clients)
        : m_leader(std::move(leader))
        , m_openWrites(clients)
    {
        for (int i = 0; i < clients; ++i)
            startWrite();
    }

    /// Runs the load for \a time and returns the sorted latencies of its writes in seconds.
    std::vector<double> run(absl::Duration time)
    {
        absl::SleepFor(time);
        m_stopping = true;
        m_finished.WaitForNotification();
        std::sort(m_latencies.begin(), m_latencies.end());
        return std::move(m_latencies);
    }

private:
    void startWrite()
    {
        const absl::Time start = absl::Now();
        m_leader->propose(std::string(commandBytes, 'x'),
                          [this, start](const Outcome<std::string> &outcome) {
                              if (outcome.ok())
                                  m_latencies.push_back(absl::ToDoubleSeconds(absl::Now() - start));
                              if (!m_stopping && outcome.ok())
                                  startWrite();
                              else if (--m_openWrites == 0)
                                  m_finished.Notify();
                          });
    }

    const std::shared_ptr<RaftNode> m_leader;
    std::atomic<int> m_openWrites;
    std::atomic<bool> m_stopping = false;
    absl::Notification m_finished;
    /// Needs no mutex: all callbacks run on the same thread.
    std::vector<double> m_latencies;
};

double quantile(const std::vector<double> &sorted, double share)
{
    if (sorted.empty())
        return 0;
    return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

void print(const Json &line)
{
    std::cout << dumpJson(line) << std::endl;
}

void measureWrites(const std::string &folder, std::size_t replicas, int clients)
{
    BenchGroup group(folder, replicas, 64u << 20);
    group.writeOnce();
    WriteLoad load(group.replica(group.waitForLeader()), clients);
    const std::vector<double> latencies = load.run(measurementTime);
    print({{"measure", "writes"},
           {"replicas", replicas},
           {"clients", clients},
           {"command_bytes", commandBytes},
           {"writes_per_s",
            static_cast<double>(latencies.size()) / absl::ToDoubleSeconds(measurementTime)},
           {"p50_ms", quantile(latencies, 0.5) * 1e3},
           {"p99_ms", quantile(latencies, 0.99) * 1e3}});
}

void measureFailover(const std::string &folder, std::size_t replicas)
{
    BenchGroup group(folder, replicas, 64u << 20);
    std::vector<double> times;
    for (int i = 0; i < failoverRuns; ++i) {
        group.writeOnce();
        const ReplicaId leader = group.waitForLeader();
        group.close(leader);
        const absl::Time start = absl::Now();
        group.writeOnce();
        times.push_back(absl::ToDoubleSeconds(absl::Now() - start));
        group.open(leader);
    }
    std::sort(times.begin(), times.end());
    print({{"measure", "failover_to_first_write"},
           {"replicas", replicas},
           {"runs", failoverRuns},
           {"election_timeout_ms", 400},
           {"median_s", quantile(times, 0.5)},
           {"max_s", times.back()}});
}

void fillLog(RaftNode &replica, std::uint64_t megabytes)
{
    constexpr std::size_t largeCommandBytes = 16u << 10;
    const std::uint64_t count = (megabytes << 20) / largeCommandBytes;
    std::atomic<std::uint64_t> done = 0;
    for (std::uint64_t i = 0; i < count; ++i) {
        // Limits the open proposals, so that the group does not refuse them with QueueFull.
        while (i - done > 512)
            absl::SleepFor(absl::Microseconds(200));
        replica.propose(std::string(largeCommandBytes, 'x'),
                        [&done](const Outcome<std::string> &) { ++done; });
    }
    while (done < count)
        absl::SleepFor(absl::Milliseconds(1));
}

void measureRestart(const std::string &folder, std::uint64_t megabytes, bool snapshots)
{
    const std::uint64_t snapshotAfter = snapshots ? 16u << 20 : UINT64_MAX;
    BenchGroup group(folder, 1, snapshotAfter);
    group.writeOnce();
    fillLog(*group.replica("r0"), megabytes);
    group.close("r0");
    const absl::Time start = absl::Now();
    group.open("r0");
    group.writeOnce();
    print({{"measure", "restart_to_first_write"},
           {"log_mb", megabytes},
           {"snapshots", snapshots},
           {"seconds", absl::ToDoubleSeconds(absl::Now() - start)}});
}

void runAll(const std::string &parent)
{
    int next = 0;
    const auto folder = [&] { return concat(parent, "/", next++); };
    for (const std::size_t replicas : {3, 5}) {
        for (const int clients : {1, 16, 256})
            measureWrites(folder(), replicas, clients);
    }
    for (const std::size_t replicas : {3, 5})
        measureFailover(folder(), replicas);
    for (const std::uint64_t megabytes : {8, 64, 256}) {
        for (const bool snapshots : {false, true})
            measureRestart(folder(), megabytes, snapshots);
    }
}

} // namespace
} // namespace rattanrill::replication

int main(int argc, char **argv)
{
    const std::filesystem::path base =
            argc > 1 ? std::filesystem::path(argv[1]) : std::filesystem::temp_directory_path();
    std::string folder = (base / "rattanrill-bench-XXXXXX").string();
    if (::mkdtemp(folder.data()) == nullptr) {
        std::cerr << "cannot create a folder in " << base << "\n";
        return 1;
    }
    rattanrill::LogSettings logSettings;
    logSettings.level = rattanrill::LogLevel::Error;
    rattanrill::initLogging(logSettings);
    rattanrill::replication::runAll(folder);
    std::filesystem::remove_all(folder);
    return 0;
}
