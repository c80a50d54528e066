#include "rattanrill/fakes/balancer.h"

#include <boost/test/unit_test.hpp>
#include <httplib.h>

#include <atomic>
#include <thread>

using namespace rattanrill;
using namespace rattanrill::fakes;

namespace {

const std::string loopback = "127.0.0.1";
constexpr absl::Duration healthPeriod = absl::Seconds(1);

/// HTTP server of an instance. Serves the health check, and the name of the instance at "/name".
class InstanceServer
{
public:
    explicit InstanceServer(const std::string &name)
    {
        m_server.Get("/readyz", [this](const httplib::Request &, httplib::Response &response) {
            response.status = m_ready ? 200 : 503;
        });
        m_server.Get("/name", [name](const httplib::Request &, httplib::Response &response) {
            response.set_content(name, "text/plain");
        });
        m_instance.name = name;
        m_instance.role = "entry";
        m_instance.host = loopback;
        m_instance.port = m_server.bind_to_any_port(loopback);
        m_thread = std::thread([this] { m_server.listen_after_bind(); });
        while (!m_server.is_running())
            std::this_thread::yield();
    }

    ~InstanceServer()
    {
        m_server.stop();
        m_thread.join();
    }

    const Instance &instance() const { return m_instance; }
    void setReady(bool ready) { m_ready = ready; }

private:
    httplib::Server m_server;
    std::atomic<bool> m_ready{true};
    Instance m_instance;
    std::thread m_thread;
};

struct Fixture
{
    Fixture()
        : timers(clock)
        , first("first")
        , second("second")
        , listed({first.instance(), second.instance()})
        , balancer(
                  settings(), [this] { return instances(); }, timers)
        , port(outcomeOf([this] { return balancer.start(); }).value())
    {}

    static BalancerSettings settings()
    {
        BalancerSettings settings;
        settings.listen = {loopback, 0};
        settings.healthPeriod = healthPeriod;
        settings.healthTimeout = absl::Seconds(10);
        settings.unhealthyAfter = 1;
        return settings;
    }

    std::vector<Instance> instances()
    {
        absl::MutexLock lock(&mutex);
        return listed;
    }

    void setState(std::size_t index, InstanceState state)
    {
        absl::MutexLock lock(&mutex);
        listed[index].state = state;
    }

    /// Runs health checks until \a expected instances are healthy.
    bool checkUntilHealthy(int expected)
    {
        for (int round = 0; round < 1000; ++round) {
            timers.advance(healthPeriod);
            int healthy = 0;
            for (const BalancerTarget &target : balancer.targets())
                healthy += target.healthy ? 1 : 0;
            if (healthy == expected)
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        return false;
    }

    /// Number of responses by instance, over four new connections.
    std::map<std::string, int> responseCounts() const
    {
        std::map<std::string, int> responseCounts;
        for (int i = 0; i < 4; ++i) {
            const auto result = httplib::Client(loopback, port).Get("/name");
            ++responseCounts[result ? result->body : "(refused)"];
        }
        return responseCounts;
    }

    ManualClock clock;
    ManualTimerService timers;
    InstanceServer first;
    InstanceServer second;
    absl::Mutex mutex;
    std::vector<Instance> listed;
    Balancer balancer;
    int port;
};

using CountsByInstance = std::map<std::string, int>;

} // namespace

BOOST_FIXTURE_TEST_SUITE(BalancerTest, Fixture)

// Guards against connections to an instance whose first health check has not passed yet or whose
// health check fails.
BOOST_AUTO_TEST_CASE(connectionsSpreadOverHealthyInstances)
{
    BOOST_TEST((responseCounts() == CountsByInstance{{"(refused)", 4}}));
    BOOST_TEST_REQUIRE(checkUntilHealthy(2));
    BOOST_TEST((responseCounts() == CountsByInstance{{"first", 2}, {"second", 2}}));
    second.setReady(false);
    BOOST_TEST_REQUIRE(checkUntilHealthy(1));
    BOOST_TEST((responseCounts() == CountsByInstance{{"first", 4}}));
}

// Guards against a drain that closes connections which are in use (R12) or assigns new ones to the
// leaving instance (R11).
BOOST_AUTO_TEST_CASE(leavingInstanceKeepsOldConnectionsAndGetsNoNewOnes)
{
    setState(1, InstanceState::Leaving);
    BOOST_TEST_REQUIRE(checkUntilHealthy(1));
    setState(1, InstanceState::Live);
    setState(0, InstanceState::Leaving);
    BOOST_TEST_REQUIRE(checkUntilHealthy(2));
    httplib::Client persistent(loopback, port);
    persistent.set_keep_alive(true);
    BOOST_TEST(persistent.Get("/name")->body == "second");
    setState(0, InstanceState::Live);
    setState(1, InstanceState::Leaving);
    BOOST_TEST((responseCounts() == CountsByInstance{{"first", 4}}));
    BOOST_TEST(persistent.Get("/name")->body == "second");
}

BOOST_AUTO_TEST_SUITE_END()
