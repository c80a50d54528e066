#include "rattanrill/jobs/jobexecutor.h"

#include "scriptedserver.h"
#include "storefixture.h"
#include "testprotocoladapter.h"

#include <boost/test/unit_test.hpp>

using namespace rattanrill;
using namespace rattanrill::jobs;

namespace {

struct Fixture
{
    net::EventLoop loop;
    Metrics metrics;
    serving::TestProtocolAdapter adapter;
    net::ConnectionPool connections{loop, net::ConnectionPoolOptions()};
    peer::ChannelPool channels{peer::TransportOptions()};
    serving::ForwardingClient forwarder{loop, channels};
    serving::UpstreamCaller upstreams{loop, connections, forwarder};
    fleet::GroupReplica replica{loop, channels, fleet::GroupReplicaSettings(),
                                SystemClock::instance()};
    serving::SlotBroker broker{loop.timers(), SystemClock::instance(),
                               serving::SlotBrokerSettings()};
    serving::CrashGuard crashGuard{loop.timers(), SystemClock::instance(), "store",
                                   [](const wire::CrashEvidence &, const auto &) {}};
    JobExecutor executor{JobExecutorContext{loop, SystemClock::instance(), metrics, adapter,
                                            upstreams, broker, crashGuard, replica, "store", "d"}};

    static wire::OpenJob openJob(const std::string &id)
    {
        wire::OpenJob job;
        job.job.id = id;
        job.job.items = {{"i0", "/p", {}, "", 1}, {"i1", "/p", {}, "", 1}};
        job.finished = {"i1"};
        return job;
    }
};

struct ClosedStoreFixture : StoreFixture
{
    ClosedStoreFixture()
        : StoreFixture(false)
    {}

    /// Opens the replica without telling the service that it leads.
    void openReplica()
    {
        const std::string id = fleet::makeReplicaId("127.0.0.1:1", "a");
        thread.run([&] {
            BOOST_REQUIRE(outcomeOf([&] {
                              return replica.open({id, {id}}, makeJobStateMachine());
                          }).ok());
        });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(JobExecutorTest, Fixture)

// Guards against items that run again although their result is stored, and against items that run
// twice because their job was added twice.
BOOST_AUTO_TEST_CASE(onlyItemsWithoutAResultAreRun)
{
    executor.add(openJob("j"));
    executor.add(openJob("j"));
    BOOST_TEST(executor.openItemCount() == 1u);
    executor.cancel("j");
    BOOST_TEST(executor.openItemCount() == 0u);
}

// Guards against items that run after their job was cancelled. A new leader lists the open jobs,
// one of them is cancelled, and only then are the listed jobs added to the executor.
BOOST_AUTO_TEST_CASE(outdatedListDoesNotRestartACancelledJob)
{
    const wire::OpenJob listed = openJob("j");
    executor.cancel("j");
    executor.add(listed);
    BOOST_TEST(executor.openItemCount() == 0u);
    // After a new change of leadership, the job is run when the new list contains it.
    executor.stopAll();
    executor.add(listed);
    BOOST_TEST(executor.openItemCount() == 1u);
}

// Guards against an item that runs again while its result is being stored: its job is still listed
// as open then, and a resent submission adds it once more.
BOOST_AUTO_TEST_CASE(itemWithAnUnstoredResultIsNotRunAgain)
{
    // Items of a route that the configuration does not contain end at once. Their results can't be
    // stored, because the replica is not open.
    executor.setDeployment(std::make_shared<const serving::DeploymentIndex>(serving::Deployment()));
    executor.add(openJob("j"));
    executor.add(openJob("j"));
    BOOST_TEST(executor.contains("j"));
    BOOST_TEST(metrics.counter("rattanrill_batch_items_total", {{"outcome", "dead_lettered"}})
               == 1u);
}

// Guards against an item that is sent again before the store has its failure, so that the next
// leader grants it a further attempt, and against one that waits for ever because the failure could
// not be stored at once.
BOOST_FIXTURE_TEST_CASE(failingItemIsSentAgainOnceTheFailureIsStored, ClosedStoreFixture)
{
    net::ScriptedServer server({{"HTTP/1.1 500 X\r\nId: i0\r\nContent-Length: 0\r\n\r\n"}});
    wire::OpenJob job;
    job.job.id = "j";
    job.job.workspace = "w";
    job.job.route = "r";
    job.job.acceptedAtMs = absl::ToUnixMillis(absl::Now());
    job.job.items = {{"i0", "/p", {}, "", 1}};
    serving::Deployment repeating = deployment()->deployment();
    repeating.routes.front().maxAttempts = 2;
    thread.run([&] {
        broker.setUpstreams({{"u", "llm", server.address(), "d", 1, false}},
                            serving::CapacityShare());
        executor.setDeployment(std::make_shared<const serving::DeploymentIndex>(repeating));
        executor.add(job);
    });
    // Longer than the first backoff and several repeated proposals.
    absl::SleepFor(absl::Seconds(1));
    BOOST_TEST(server.requests().size() == 1u);
    thread.run([&] { executor.add(job); });
    openReplica();
    const absl::Time end = absl::Now() + absl::Seconds(10);
    const auto isGivenUp = [&] {
        return metrics.counter("rattanrill_batch_items_total", {{"outcome", "dead_lettered"}}) > 0;
    };
    while (!isGivenUp() && absl::Now() < end)
        absl::SleepFor(absl::Milliseconds(10));
    BOOST_TEST(isGivenUp());
    BOOST_TEST(server.requests().size() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()
