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
            connections.stop();
        });
    }

    /// Applies a configuration with one route, without upstreams.
    void setRoute(absl::Duration timeout)
    {
        thread.run([&] {
            serving::Route route;
            route.pathPrefix = "/";
            route.allowsAnonymous = true;
            route.targets = {{"s", 1}};
            route.timeout = timeout;
            serving::Deployment deployment;
            deployment.version = 1;
            deployment.routes = {route};
            deployment.services.resize(1);
            deployment.services.front().name = "s";
            const auto index =
                    std::make_shared<const serving::DeploymentIndex>(std::move(deployment));
            slotClient.setDeployment(index);
            gateway->setDeployment(index);
        });
    }

    /// Puts the process into a graceful stop that began \a elapsed ago.
    void beginShutdown(absl::Duration elapsed)
    {
        thread.run([&] {
            context.shutdown.begin(SystemClock::instance().now() - elapsed, absl::Seconds(8),
                                   absl::Milliseconds(2500));
        });
    }

    /// Sends one request and returns the response.
    static std::string sendRequest()
    {
        return net::rawCall(entryPort,
                            "GET /x HTTP/1.1\r\nHost: h\r\nId: 1\r\nConnection: close\r\n\r\n");
    }

    /// Applies a configuration without routes that was the newest one \a age ago.
    void setConfigurationWithoutRoutes(absl::Duration age)
    {
        thread.run([&] {
            context.configurationAge = [age] { return age; };
            serving::Deployment deployment;
            deployment.version = 1;
            gateway->setDeployment(
                    std::make_shared<const serving::DeploymentIndex>(std::move(deployment)));
        });
    }

    net::LoopThread thread;
    net::EventLoop &loop = thread.loop();
    Metrics metrics;
    serving::TestProtocolAdapter adapter;
    net::ConnectionPool connections{loop, net::ConnectionPoolOptions()};
    peer::ChannelPool channels{peer::TransportOptions()};
    serving::ForwardingClient forwarder{loop, channels};
    serving::UpstreamCaller upstreams{loop, connections, forwarder};
    serving::SlotClient slotClient{loop, channels, SystemClock::instance(),
                                   serving::SlotClientSettings()};
    jobs::JobClient jobs{loop, channels, SystemClock::instance()};
    serving::CrashGuard crashGuard{loop.timers(), SystemClock::instance(), "e",
                                   [](const wire::CrashEvidence &, const auto &) {}};
    serving::ServingContext context{
            loop,      SystemClock::instance(), metrics, adapter, upstreams, slotClient, crashGuard,
            {"e", "d"}};
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

// Guards against a final error for a route that a newer configuration has, while this process is
// cut off or slow to receive it (DENIED).
BOOST_AUTO_TEST_CASE(unknownRouteOfAnOutdatedConfigurationIsRefusedForNow)
{
    setConfigurationWithoutRoutes(absl::Seconds(2));
    const std::string response = sendRequest();
    BOOST_TEST(response.find("503") != std::string::npos);
    BOOST_TEST(response.find("may be out of date") != std::string::npos);
    // The adapter of the tests distinguishes the errors by their text only.
    setConfigurationWithoutRoutes(absl::Milliseconds(600));
    const std::string final = sendRequest();
    BOOST_TEST(final.find("no route for host") != std::string::npos);
    BOOST_TEST(final.find("may be out of date") == std::string::npos);
}

// Guards against a request that is sent to an upstream, and abandoned there, although it arrives so
// late in a graceful stop that the process may end before its deadline.
BOOST_AUTO_TEST_CASE(requestThatMayOutlastTheProcessIsRefused)
{
    setRoute(absl::Seconds(3));
    beginShutdown(absl::Seconds(5));
    const std::string response = sendRequest();
    BOOST_TEST(response.find("503") != std::string::npos);
    BOOST_TEST(response.find("may end before the request") != std::string::npos);
}

// Guards against requests that are refused although they end before the process does.
BOOST_AUTO_TEST_CASE(requestThatEndsBeforeTheProcessIsServed)
{
    setRoute(absl::Seconds(2));
    beginShutdown(absl::Seconds(5));
    BOOST_TEST(sendRequest().find("no upstream slot") != std::string::npos);
}

// Guards against a late request that waits for a configuration that the process may not receive.
BOOST_AUTO_TEST_CASE(lateRequestDoesNotWaitForTheConfiguration)
{
    beginShutdown(absl::Seconds(5));
    const absl::Time start = absl::Now();
    BOOST_TEST(sendRequest().find("503") != std::string::npos);
    BOOST_TEST((absl::Now() - start < absl::Seconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()
