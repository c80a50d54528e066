#include "rattanrill/gateway/serverdrain.h"

#include "loopthread.h"
#include "rawsocket.h"

#include "absl/time/clock.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <memory>
#include <string>

using namespace rattanrill;
using namespace rattanrill::gateway;

namespace {

constexpr const char *address = "127.0.0.1:28493";
constexpr int port = 28493;
constexpr absl::Duration timeout = absl::Seconds(8);
constexpr absl::Duration admissionTime = absl::Milliseconds(2500);
/// Larger than the buffers of a connection.
constexpr std::size_t largeBodyBytes = std::size_t(32) << 20;
constexpr const char *request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

/// A server whose handler only keeps the exchange, and the drain of it in virtual time.
struct Fixture
{
    Fixture()
    {
        thread.run([this] {
            server = std::make_unique<net::Server>(thread.loop(), [this](auto newExchange) {
                exchange = std::move(newExchange);
                ++requestCount;
            });
            drain = std::make_unique<ServerDrain>(thread.loop().timers(), clock, *server, shutdown);
            BOOST_REQUIRE(outcomeOf([&] { return server->start(address); }).ok());
        });
    }
    ~Fixture()
    {
        thread.run([this] {
            exchange.reset();
            drain.reset();
            server.reset();
        });
    }

    void start()
    {
        thread.run([this] {
            shutdown.begin(clock.now(), timeout, admissionTime);
            drain->start(
                    [this](const ServerDrain::AbandonedRequests &abandoned) {
                        abandonedCount = static_cast<int>(abandoned.size());
                    },
                    [this] { return hasOtherWork.load(); });
        });
    }

    /// Starts a stream whose head announces keep-alive.
    void startStream(net::RawSocket &client)
    {
        const int before = requestCount;
        client.send(request);
        BOOST_REQUIRE(waitFor([&] { return requestCount == before + 1; }));
        thread.run([&] {
            net::ResponseHead head;
            head.status = 200;
            exchange->startStream(head);
        });
        BOOST_REQUIRE(client.readUntil("\r\n\r\n").find("Keep-Alive: ") != std::string::npos);
    }

    void respond(const std::string &body)
    {
        thread.run([&] { exchange->respond(net::textResponse(200, body, "text/plain")); });
    }

    static bool waitFor(const std::function<bool()> &condition)
    {
        for (int i = 0; i < 300 && !condition(); ++i)
            absl::SleepFor(absl::Milliseconds(10));
        return condition();
    }

    bool isDrained() const { return abandonedCount >= 0; }

    /// Waits for several checks of the drain.
    static void waitForChecks() { absl::SleepFor(absl::Milliseconds(200)); }

    net::LoopThread thread;
    ManualClock clock;
    serving::ShutdownState shutdown;
    std::unique_ptr<net::Server> server;
    std::unique_ptr<ServerDrain> drain;
    std::shared_ptr<net::Exchange> exchange;
    std::atomic<int> requestCount{0};
    std::atomic<bool> hasOtherWork{false};
    /// -1 until the drain has ended.
    std::atomic<int> abandonedCount{-1};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerDrainTest, Fixture)

// Guards against a process that ends without a response to an open request.
BOOST_AUTO_TEST_CASE(openRequestIsAnsweredAtTheEnd)
{
    net::RawSocket client(port);
    client.send(request);
    BOOST_REQUIRE(waitFor([&] { return requestCount == 1; }));
    start();
    clock.advance(timeout * 0.9);
    waitForChecks();
    BOOST_TEST(!isDrained());
    clock.advance(timeout * 0.05);
    const std::string response = client.readAll();
    BOOST_TEST(response.find("HTTP/1.1 502") != std::string::npos);
    BOOST_TEST(response.find("Connection: close") != std::string::npos);
    BOOST_TEST(response.find("the server is stopping\n") != std::string::npos);
    BOOST_TEST(waitFor([&] { return isDrained(); }));
    BOOST_TEST(abandonedCount == 1);
}

// Guards against a stream that looks complete although the process ended it.
BOOST_AUTO_TEST_CASE(openStreamIsAbortedAtTheEnd)
{
    net::RawSocket client(port);
    client.send(request);
    BOOST_REQUIRE(waitFor([&] { return requestCount == 1; }));
    thread.run([&] {
        net::ResponseHead head;
        head.status = 200;
        exchange->startStream(head);
        exchange->write("one");
    });
    start();
    clock.advance(timeout * 0.95);
    const std::string response = client.readAll();
    BOOST_TEST(response.find("one") != std::string::npos);
    BOOST_TEST(response.find("0\r\n\r\n") == std::string::npos);
    BOOST_TEST(waitFor([&] { return isDrained(); }));
}

// Guards against a request that the process drops because it had arrived in part only when no other
// request was open.
BOOST_AUTO_TEST_CASE(partOfARequestKeepsTheProcessRunning)
{
    net::RawSocket client(port);
    client.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na");
    waitForChecks();
    start();
    clock.advance(admissionTime + absl::Seconds(1));
    waitForChecks();
    BOOST_TEST(!isDrained());
    client.send("bc");
    BOOST_REQUIRE(waitFor([&] { return requestCount == 1; }));
    respond("whole");
    BOOST_TEST(client.readAll().find("whole") != std::string::npos);
    BOOST_TEST(waitFor([&] { return isDrained(); }));
    BOOST_TEST(abandonedCount == 0);
}

BOOST_AUTO_TEST_CASE(partOfARequestIsRefusedAtTheEnd)
{
    net::RawSocket client(port);
    client.send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na");
    waitForChecks();
    start();
    clock.advance(timeout * 0.95);
    BOOST_TEST(client.readAll().find("HTTP/1.1 503") != std::string::npos);
    BOOST_TEST(waitFor([&] { return isDrained(); }));
}

// Guards against a response that is truncated because the process ends when the handler has
// completed it, before all of it has been sent.
BOOST_AUTO_TEST_CASE(processWaitsUntilResponsesHaveBeenSent)
{
    net::RawSocket client(port);
    client.send(request);
    BOOST_REQUIRE(waitFor([&] { return requestCount == 1; }));
    start();
    respond(std::string(largeBodyBytes, 'z'));
    clock.advance(admissionTime + absl::Seconds(1));
    waitForChecks();
    BOOST_TEST(!isDrained());
    BOOST_TEST(client.readAll().size() > largeBodyBytes);
    BOOST_TEST(waitFor([&] { return isDrained(); }));
}

// Guards against a process that is killed while it waits for a client that reads no response.
BOOST_AUTO_TEST_CASE(processEndsBeforeItIsKilled)
{
    net::RawSocket client(port);
    client.send(request);
    BOOST_REQUIRE(waitFor([&] { return requestCount == 1; }));
    start();
    respond(std::string(largeBodyBytes, 'z'));
    clock.advance(timeout * 0.98);
    BOOST_TEST(waitFor([&] { return isDrained(); }));
}

// Guards against a stop that idle connections delay, and against idle connections that are closed
// while the platform still sends connections.
BOOST_AUTO_TEST_CASE(idleConnectionIsClosedAfterTheAdmission)
{
    net::RawSocket client(port);
    start();
    clock.advance(admissionTime * 0.9);
    waitForChecks();
    BOOST_TEST(!isDrained());
    clock.advance(admissionTime * 0.2);
    BOOST_TEST(client.readAll().empty());
    BOOST_TEST(waitFor([&] { return isDrained(); }));
}

// Guards against a process that ends, or closes the connection, while the request that a client
// sends after the end of a stream is on its way: the head of the stream announced keep-alive.
BOOST_AUTO_TEST_CASE(requestShortlyAfterTheLastStreamIsAnswered)
{
    net::RawSocket client(port);
    startStream(client);
    start();
    clock.advance(admissionTime * 1.1);
    waitForChecks();
    thread.run([&] { exchange->finish(); });
    client.readUntil("0\r\n\r\n");
    waitForChecks();
    client.send(request);
    BOOST_REQUIRE(waitFor([&] { return requestCount == 2; }));
    respond("whole");
    const std::string responses = client.readAll();
    BOOST_TEST(responses.find("whole") != std::string::npos);
    BOOST_TEST(responses.find("Connection: close") > responses.find("0\r\n\r\n"));
    BOOST_TEST(waitFor([&] { return isDrained(); }));
}

// Guards against a process that a kept connection holds until the end of the shutdown timeout.
BOOST_AUTO_TEST_CASE(keptConnectionWithoutARequestDelaysTheEndOnlyShortly)
{
    net::RawSocket client(port);
    startStream(client);
    start();
    clock.advance(admissionTime * 1.1);
    thread.run([&] { exchange->finish(); });
    BOOST_TEST(waitFor([&] { return isDrained(); }));
    BOOST_TEST(abandonedCount == 0);
}

// Guards against a kept connection that is closed while other requests still run: a request that
// arrives at the moment of the close would get no response.
BOOST_AUTO_TEST_CASE(idleConnectionIsServedWhileTheProcessRuns)
{
    net::RawSocket idle(port);
    idle.send(request);
    BOOST_REQUIRE(waitFor([&] { return requestCount == 1; }));
    respond("first");
    idle.readUntil("first");
    net::RawSocket client(port);
    startStream(client);
    const std::shared_ptr<net::Exchange> stream = exchange;
    start();
    clock.advance(admissionTime * 1.1);
    absl::SleepFor(absl::Seconds(1));
    idle.send(request);
    BOOST_REQUIRE(waitFor([&] { return requestCount == 3; }));
    respond("second");
    const std::string responses = idle.readAll();
    BOOST_TEST(responses.find("second") != std::string::npos);
    BOOST_TEST(responses.find("Connection: close") > responses.find("first"));
    BOOST_TEST(!isDrained());
    thread.run([&] { stream->finish(); });
    BOOST_TEST(waitFor([&] { return isDrained(); }));
}

// Guards against a process that serves no requests while it still forwards calls of other
// processes, and against one that waits for these calls until it is killed.
BOOST_AUTO_TEST_CASE(requestIsServedWhileTheProcessHasOtherWork)
{
    net::RawSocket idle(port);
    idle.send(request);
    BOOST_REQUIRE(waitFor([&] { return requestCount == 1; }));
    respond("first");
    idle.readUntil("first");
    hasOtherWork = true;
    start();
    clock.advance(admissionTime * 1.1);
    absl::SleepFor(absl::Seconds(1));
    idle.send(request);
    BOOST_REQUIRE(waitFor([&] { return requestCount == 2; }));
    respond("second");
    BOOST_TEST(idle.readAll().find("second") != std::string::npos);
    net::RawSocket newClient(port);
    newClient.send(request);
    BOOST_REQUIRE(waitFor([&] { return requestCount == 3; }));
    respond("third");
    BOOST_TEST(newClient.readAll().find("third") != std::string::npos);
    BOOST_TEST(!isDrained());
    clock.advance(timeout);
    BOOST_TEST(waitFor([&] { return isDrained(); }));
}

// Guards against a process that ends without a response to a request whose connection it has not
// accepted yet, because the event loop was busy.
BOOST_AUTO_TEST_CASE(connectionThatWaitsToBeAcceptedKeepsTheProcessRunning)
{
    start();
    clock.advance(admissionTime * 1.1);
    std::unique_ptr<net::RawSocket> idle;
    std::unique_ptr<net::RawSocket> client;
    thread.run([&] {
        idle = std::make_unique<net::RawSocket>(port);
        client = std::make_unique<net::RawSocket>(port);
        client->send(request);
        // The drain checks its connections as soon as the event loop goes on.
        absl::SleepFor(absl::Milliseconds(100));
    });
    BOOST_REQUIRE(waitFor([&] { return requestCount == 1; }));
    respond("whole");
    BOOST_TEST(client->readAll().find("whole") != std::string::npos);
    BOOST_TEST(waitFor([&] { return isDrained(); }));
}

BOOST_AUTO_TEST_SUITE_END()
