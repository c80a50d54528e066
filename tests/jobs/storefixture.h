#pragma once

#include "rattanrill/jobs/jobservice.h"

#include "loopthread.h"
#include "testprotocoladapter.h"

#include "rattanrill/jobs/jobclient.h"
#include "rattanrill/jobs/statemachine.h"
#include "rattanrill/peer/server.h"
#include "rattanrill/wire/codec.h"

#include "absl/synchronization/mutex.h"
#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace rattanrill::jobs {

/// Counts the queries that list open jobs and the bytes of their responses.
struct ListCounter
{
    std::atomic<int> queries{0};
    std::atomic<std::size_t> bytes{0};
    /// Delays the application of commands while it is held.
    absl::Mutex applyGate;
};

/// State machine of the store group that counts the queries which list open jobs.
class CountingStateMachine : public replication::StateMachine
{
public:
    explicit CountingStateMachine(ListCounter &counter)
        : m_counter(counter)
        , m_machine(makeJobStateMachine())
    {}

    std::string apply(std::uint64_t index, std::string_view command) override
    {
        absl::MutexLock lock(&m_counter.applyGate);
        return m_machine->apply(index, command);
    }
    std::string query(std::string_view query) const override
    {
        std::string response = m_machine->query(query);
        const auto decoded = outcomeOf([&] { return wire::decode<wire::JobQuery>(query); });
        if (decoded.ok() && std::holds_alternative<wire::ListOpenJobs>(decoded.value().query)) {
            ++m_counter.queries;
            m_counter.bytes += response.size();
        }
        return response;
    }
    std::string snapshot() const override { return m_machine->snapshot(); }
    Result<void> restore(std::string_view snapshot) override
    {
        return m_machine->restore(snapshot);
    }

private:
    ListCounter &m_counter;
    std::unique_ptr<replication::StateMachine> m_machine;
};

inline peer::TransportOptions transport(const std::string &instance)
{
    peer::TransportOptions options;
    options.self = {instance, "d", "store"};
    options.clusterSecret = "s";
    return options;
}

inline wire::SubmitJobRequest submission(const std::string &id)
{
    wire::SubmitJobRequest request;
    request.job.id = id;
    request.job.workspace = "w";
    request.job.route = "r";
    for (int i = 0; i < 10; ++i)
        request.job.items.push_back({"i" + std::to_string(i), "/p", {}, std::string(100, 'b'), 1});
    return request;
}

inline std::shared_ptr<const serving::DeploymentIndex> deployment()
{
    serving::Deployment result;
    result.version = 1;
    serving::Route route;
    route.name = "r";
    route.kind = serving::RouteKind::Batch;
    route.targets = {{"llm", 1}};
    result.routes = {route};
    return std::make_shared<const serving::DeploymentIndex>(std::move(result));
}

/// A store group of one replica with its job service, and a client of it. No upstream is known, so
/// that items wait for a slot.
struct StoreFixture
{
    /// Without \a isOpen, neither the replica is opened nor the service started.
    explicit StoreFixture(bool isOpen = true,
                          net::ConnectionPoolOptions options = net::ConnectionPoolOptions())
        : connections(loop, options)
    {
        if (!isOpen)
            return;
        thread.run([this] { open(); });
        BOOST_REQUIRE(outcomeOf([&] { return server.start("127.0.0.1", 0); }).ok());
        thread.run(
                [this] { client.setStores({"127.0.0.1:" + std::to_string(server.port())}, ""); });
        // The take-over of the open jobs ends before the tests count. A job without items is
        // never open.
        wire::SubmitJobRequest first = submission("first");
        first.job.items.clear();
        submit(first);
        absl::SleepFor(absl::Seconds(1));
    }
    ~StoreFixture()
    {
        thread.run([this] {
            client.stop();
            service.handleLeadershipChange(false);
            service.stop();
            upstreams.stop();
            forwarder.stop();
            connections.stop();
        });
        replica.stop();
        server.stop();
        channels.close();
        std::filesystem::remove_all(folder);
    }

    void open()
    {
        const std::string id = fleet::makeReplicaId("127.0.0.1:1", "a");
        const auto opened = outcomeOf([&] {
            return replica.open({id, {id}}, std::make_unique<CountingStateMachine>(lists));
        });
        BOOST_REQUIRE(opened.ok());
        replica.onLeadershipChange([this](bool leads) { service.handleLeadershipChange(leads); });
        service.install(server);
        service.setDeployment(deployment());
        executor.setDeployment(deployment());
    }

    /// Submits a job \a count times at once and waits for all responses.
    void submit(const std::string &id, int count = 1) { submit(submission(id), count); }
    void submit(const wire::SubmitJobRequest &request, int count = 1)
    {
        std::atomic<int> accepted{0};
        absl::Notification done;
        thread.run([&] {
            for (int i = 0; i < count; ++i) {
                client.submit(request, absl::Seconds(10), [&](const Outcome<Done> &outcome) {
                    BOOST_TEST(outcome.ok());
                    if (++accepted == count)
                        done.Notify();
                });
            }
        });
        BOOST_REQUIRE(done.WaitForNotificationWithTimeout(absl::Seconds(20)));
    }

    /// Returns the failure of a submission that must not succeed.
    Failure submitFailure(const wire::SubmitJobRequest &request)
    {
        Failure failure;
        absl::Notification done;
        thread.run([&] {
            client.submit(request, absl::Milliseconds(300), [&](const Outcome<Done> &outcome) {
                BOOST_TEST(!outcome.ok());
                if (!outcome.ok())
                    failure = outcome.failure();
                done.Notify();
            });
        });
        BOOST_REQUIRE(done.WaitForNotificationWithTimeout(absl::Seconds(20)));
        return failure;
    }

    /// Commits \a operation without the job service, as a store does that forwards it.
    void commit(const wire::JobOperation &operation)
    {
        absl::Notification done;
        thread.run([&] {
            replica.propose(wire::encode(wire::JobCommand{operation}),
                            [&](const Outcome<std::string> &outcome) {
                                BOOST_TEST(outcome.ok());
                                done.Notify();
                            });
        });
        BOOST_REQUIRE(done.WaitForNotificationWithTimeout(absl::Seconds(20)));
    }

    /// Waits until \a condition, which is evaluated on the loop, is true.
    template <typename Condition>
    void await(const Condition &condition)
    {
        const absl::Time end = absl::Now() + absl::Seconds(10);
        bool isTrue = false;
        while (!isTrue && absl::Now() < end) {
            absl::SleepFor(absl::Milliseconds(1));
            thread.run([&] { isTrue = condition(); });
        }
        BOOST_REQUIRE(isTrue);
    }

    /// Waits until the reads that the service has started are complete; a later read follows them.
    void awaitReads()
    {
        absl::Notification done;
        thread.run([&] {
            client.read({"w", "first", 0, 0}, absl::Seconds(10),
                        [&](const Outcome<wire::ReadJobResponse> &) { done.Notify(); });
        });
        BOOST_REQUIRE(done.WaitForNotificationWithTimeout(absl::Seconds(20)));
    }

    static std::string temporaryFolder()
    {
        std::string pattern =
                (std::filesystem::temp_directory_path() / "rattanrill-XXXXXX").string();
        BOOST_REQUIRE(::mkdtemp(pattern.data()) != nullptr);
        return pattern;
    }

    fleet::GroupReplicaSettings replicaSettings() const
    {
        fleet::GroupReplicaSettings settings;
        settings.group = "stores";
        settings.dataFolder = folder;
        return settings;
    }

    static constexpr absl::Duration jobRetention = absl::Minutes(2);
    const std::string folder = temporaryFolder();
    ListCounter lists;
    net::LoopThread thread;
    net::EventLoop &loop = thread.loop();
    Metrics metrics;
    serving::TestProtocolAdapter adapter;
    net::ConnectionPool connections;
    peer::ChannelPool channels{transport("client")};
    serving::ForwardingClient forwarder{loop, channels};
    serving::UpstreamCaller upstreams{loop, connections, forwarder};
    peer::Server server{transport("store")};
    fleet::GroupReplica replica{loop, channels, replicaSettings(), SystemClock::instance()};
    serving::SlotBroker broker{loop.timers(), SystemClock::instance(),
                               serving::SlotBrokerSettings()};
    std::vector<wire::CrashEvidence> crashReports;
    /// Called on the loop after each crash report.
    std::function<void()> onCrashReport = [] {};
    serving::CrashGuard crashGuard{loop.timers(), SystemClock::instance(), "store",
                                   [this](const wire::CrashEvidence &evidence, auto done) {
                                       crashReports.push_back(evidence);
                                       loop.post(onCrashReport);
                                       loop.post([done] { done(true); });
                                   }};
    const JobExecutorContext context{loop,
                                     SystemClock::instance(),
                                     metrics,
                                     adapter,
                                     upstreams,
                                     broker,
                                     crashGuard,
                                     replica,
                                     "store",
                                     "d",
                                     [] { return absl::InfiniteDuration(); },
                                     std::make_shared<serving::BufferBudget>(),
                                     jobRetention};
    JobExecutor executor{context};
    JobService service{context, executor};
    JobClient client{loop, channels, SystemClock::instance()};
};

} // namespace rattanrill::jobs
