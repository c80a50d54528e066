#include "rattanrill/gateway/gateway.h"

#include "loopthread.h"
#include "rawcall.h"
#include "testprotocoladapter.h"

#include "absl/time/clock.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <thread>

using namespace rattanrill;
using namespace rattanrill::gateway;

namespace {

constexpr const char *entryAddress = "127.0.0.1:38491";
constexpr unsigned short entryPort = 38491;

/// An entry that has just started.
struct Fixture
{
    Fixture()
    {
        thread.run([this] {
            gateway = std::make_unique<Gateway>(context, jobs);
            server = std::make_unique<net::Server>(
                    loop, [this](auto exchange) { gateway->serve(std::move(exchange)); });
            BOOST_REQUIRE(outcomeOf([&] { return server->start(entryAddress); }).ok());
        });
    }
    ~Fixture()
    {
        thread.run([this] {
            server.reset();
            jobs.stop();
            upstreams.stop();
        });
    }

    /// The answer to one request.
    static std::string ask()
    {
        return net::rawCall(entryPort,
                            "GET /x HTTP/1.1\r\nHost: h\r\nId: 1\r\nConnection: close\r\n\r\n");
    }

    net::LoopThread thread;
    net::EventLoop &loop = thread.loop();
    Metrics metrics;
    serving::TestProtocolAdapter adapter;
    net::ConnectionPool upstreams{loop, net::ConnectionPoolOptions()};
    peer::ChannelPool channels{peer::TransportOptions()};
    serving::SlotClient slotClient{loop, channels, SystemClock::instance(),
                                   serving::SlotClientSettings()};
    jobs::JobClient jobs{loop, channels, SystemClock::instance()};
    const serving::ServingContext context{
            loop, SystemClock::instance(), metrics, adapter, upstreams, slotClient, {"e", "d"}};
    std::unique_ptr<Gateway> gateway;
    std::unique_ptr<net::Server> server;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GatewayTest, Fixture)

// Guards against requests that are sent away while the configuration of an entry that has just
// started is on its way: after a loss of power all callers would have to come back.
BOOST_AUTO_TEST_CASE(requestWaitsForTheFirstConfiguration)
{
    std::thread later([this] {
        absl::SleepFor(absl::Milliseconds(150));
        thread.run([this] {
            serving::Deployment deployment;
            deployment.version = 1;
            gateway->setDeployment(
                    std::make_shared<const serving::DeploymentIndex>(std::move(deployment)));
        });
    });
    BOOST_TEST(ask().find("no route for host") != std::string::npos);
    later.join();
}

// Guards against requests that are kept although no configuration comes.
BOOST_AUTO_TEST_CASE(requestWithoutAConfigurationIsRefused)
{
    const absl::Time start = absl::Now();
    const std::string answer = ask();
    BOOST_TEST(answer.find("503") != std::string::npos);
    BOOST_TEST(answer.find("no configuration is known yet") != std::string::npos);
    BOOST_TEST((absl::Now() - start < absl::Seconds(3)));
}

BOOST_AUTO_TEST_SUITE_END()
