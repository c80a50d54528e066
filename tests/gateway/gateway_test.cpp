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

constexpr const char *entryAddress = "127.0.0.1:28491";
constexpr unsigned short entryPort = 28491;

/// An entry process that has just started and has no configuration yet.
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

    /// Sends one request and returns the response.
    static std::string sendRequest()
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
    serving::PromptGuard promptGuard{loop.timers(), SystemClock::instance(), "e",
                                     [](const wire::PromptEvidence &, const auto &) {}};
    const serving::ServingContext context{loop,        SystemClock::instance(),
                                          metrics,     adapter,
                                          upstreams,   slotClient,
                                          promptGuard, {"e", "d"}};
    std::unique_ptr<Gateway> gateway;
    std::unique_ptr<net::Server> server;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GatewayTest, Fixture)

// Guards against requests that are refused although the first configuration of an entry process
// that has just started is about to arrive: after a power failure all callers would have to retry.
BOOST_AUTO_TEST_CASE(requestWaitsForTheFirstConfiguration)
{
    std::thread configurationThread([this] {
        absl::SleepFor(absl::Milliseconds(150));
        thread.run([this] {
            serving::Deployment deployment;
            deployment.version = 1;
            gateway->setDeployment(
                    std::make_shared<const serving::DeploymentIndex>(std::move(deployment)));
        });
    });
    BOOST_TEST(sendRequest().find("no route for host") != std::string::npos);
    configurationThread.join();
}

// Guards against requests that are held without end because no configuration arrives.
BOOST_AUTO_TEST_CASE(requestWithoutAConfigurationIsRefused)
{
    const absl::Time start = absl::Now();
    const std::string response = sendRequest();
    BOOST_TEST(response.find("503") != std::string::npos);
    BOOST_TEST(response.find("no configuration has been received yet") != std::string::npos);
    BOOST_TEST((absl::Now() - start < absl::Seconds(3)));
}

BOOST_AUTO_TEST_SUITE_END()
