#include "freeport.h"
#include "loopthread.h"
#include "rawsocket.h"

#include "rattanrill/net/server.h"

#include "absl/time/clock.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::net;

/// What happens to connections beyond ServerLimits::maxConnections; see docs/design/memory.md.
namespace {

constexpr const char *request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr const char *waitingRequest = "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr const char *body = "served";
/// Time after which no request is on its way on a new connection or, after a response, on a kept
/// one, with a margin.
constexpr absl::Duration unusedAge = absl::Milliseconds(700);

/// Server that responds at once, except to /wait, which the test responds to.
struct Fixture
{
    Fixture()
    {
        thread.run([this] {
            server = std::make_unique<Server>(
                    thread.loop(),
                    [this](const std::shared_ptr<Exchange> &exchange) { serve(exchange); });
            const std::string address = "127.0.0.1:" + std::to_string(port);
            BOOST_REQUIRE(outcomeOf([&] { return server->start(address); }).ok());
        });
    }
    ~Fixture()
    {
        thread.run([this] {
            waiting.reset();
            server.reset();
        });
    }

    void serve(const std::shared_ptr<Exchange> &exchange)
    {
        ++requests;
        if (exchange->request().path() == "/wait")
            waiting = exchange;
        else
            exchange->respond(textResponse(200, body, "text/plain"));
    }

    void setLimit(std::size_t maxConnections)
    {
        thread.run([&] {
            ServerLimits limits;
            limits.maxConnections = maxConnections;
            server->setLimits(limits);
        });
    }

    std::size_t connectionCount()
    {
        std::size_t count = 0;
        thread.run([&] { count = server->connectionCount(); });
        return count;
    }

    bool hasWaitingRequest()
    {
        bool result = false;
        thread.run([&] { result = waiting != nullptr; });
        return result;
    }

    /// Polls \a condition; returns false when a generous time limit passes first.
    static bool eventually(const std::function<bool()> &condition)
    {
        for (int i = 0; i < 1000 && !condition(); ++i)
            absl::SleepFor(absl::Milliseconds(10));
        return condition();
    }

    /// Opens a connection and waits until the server has accepted it.
    std::unique_ptr<RawSocket> open()
    {
        const std::size_t former = connectionCount();
        auto socket = std::make_unique<RawSocket>(port);
        BOOST_TEST_REQUIRE(eventually([&] { return connectionCount() > former; }));
        return socket;
    }

    /// Sends a request and returns whether it is served.
    static bool isServed(RawSocket &socket)
    {
        socket.send(request);
        return socket.readUntil(body).find(body) != std::string::npos;
    }

    const unsigned short port = freePort();
    LoopThread thread;
    std::unique_ptr<Server> server;
    std::shared_ptr<Exchange> waiting;
    /// Requests that the server has passed on; used on the event loop.
    int requests = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ConnectionLimitTest, Fixture)

// Load pattern: clients open connections and send nothing. Guards against callers that are kept
// out by them, and against a connection that is closed although it was announced as kept.
BOOST_AUTO_TEST_CASE(longestUnusedConnectionIsClosedForANewOne)
{
    setLimit(3);
    const auto kept = open();
    BOOST_TEST_REQUIRE(isServed(*kept));
    const auto first = open();
    const auto second = open();
    absl::SleepFor(unusedAge);
    RawSocket caller(port);
    BOOST_TEST(isServed(caller));
    BOOST_TEST(first->readAll().empty());
    BOOST_TEST(connectionCount() == 3u);
    BOOST_TEST(isServed(*second));
    kept->send(waitingRequest);
    BOOST_TEST(eventually([this] { return hasWaitingRequest(); }));
}

// Guards against a new connection that takes the place of one with a request, of one that receives
// a request or of one that was announced as kept, and against callers that are kept out for good.
BOOST_AUTO_TEST_CASE(newConnectionIsClosedWhileTheOthersAreInUse)
{
    setLimit(3);
    const auto kept = open();
    BOOST_TEST_REQUIRE(isServed(*kept));
    const auto running = open();
    running->send(waitingRequest);
    const auto receiving = open();
    receiving->send("GET /x HTTP/1.1\r\n");
    // Without a part of a request, the connection could be closed after this time.
    absl::SleepFor(unusedAge);
    RawSocket refused(port);
    BOOST_TEST(refused.readAll().empty());
    BOOST_TEST(connectionCount() == 3u);
    receiving->send("Host: h\r\n\r\n");
    BOOST_TEST(receiving->readUntil(body).find(body) != std::string::npos);
    BOOST_TEST_REQUIRE(eventually([this] { return hasWaitingRequest(); }));
    thread.run([this] {
        waiting->respond(textResponse(200, body, "text/plain"));
        waiting.reset();
    });
    BOOST_TEST(running->readUntil(body).find(body) != std::string::npos);
    kept->close();
    BOOST_TEST_REQUIRE(eventually([this] { return connectionCount() == 2; }));
    RawSocket caller(port);
    BOOST_TEST(isServed(caller));
}

// Guards against a connection that is closed for a new one while its first request is on its way,
// and against a request that runs although its connection is refused.
BOOST_AUTO_TEST_CASE(connectionWhoseRequestMayBeOnItsWayStaysOpen)
{
    setLimit(1);
    std::unique_ptr<RawSocket> first;
    std::unique_ptr<RawSocket> refused;
    // The event loop accepts both connections in one step.
    thread.run([&] {
        first = std::make_unique<RawSocket>(port);
        refused = std::make_unique<RawSocket>(port);
        refused->send(request);
    });
    BOOST_TEST(refused->readAll().empty());
    BOOST_TEST(isServed(*first));
    thread.run([this] { BOOST_TEST(requests == 1); });
}

// Load pattern: clients send a part of a body and then little or nothing. Guards against callers
// that are kept out by them, and against the loss of an upload that moves.
BOOST_AUTO_TEST_CASE(connectionWithAStalledBodyIsClosedForANewOne)
{
    constexpr int steps = 12;
    constexpr std::size_t stepBytes = 4096;
    const std::string step(stepBytes, 'b');
    setLimit(3);
    const auto head = [](std::size_t size) {
        return "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(size)
               + "\r\n\r\n";
    };
    const auto trickling = open();
    trickling->send(head(stepBytes) + "b");
    const auto stalled = open();
    stalled->send(head(stepBytes) + "b");
    const auto moving = open();
    moving->send(head(steps * stepBytes));
    for (int i = 0; i < steps - 1; ++i) {
        moving->send(step);
        trickling->send("b");
        absl::SleepFor(absl::Milliseconds(200));
    }
    RawSocket first(port);
    BOOST_TEST(isServed(first));
    RawSocket second(port);
    BOOST_TEST(isServed(second));
    BOOST_TEST(trickling->readAll().empty());
    BOOST_TEST(stalled->readAll().empty());
    moving->send(step);
    BOOST_TEST(moving->readUntil(body).find(body) != std::string::npos);
}

// Load pattern: clients connect without end. Guards against an event loop that only accepts
// connections until there is none left.
BOOST_AUTO_TEST_CASE(eventLoopTurnsToOtherWorkBetweenConnections)
{
    constexpr std::size_t clients = 400;
    constexpr int steps = 1000;
    constexpr std::size_t maxAcceptedAtOnce = 128;
    std::vector<std::unique_ptr<RawSocket>> sockets;
    std::size_t lastCount = 0;
    std::size_t mostAtOnce = 0;
    std::atomic<int> remainingSteps{steps};
    std::function<void(int)> observe = [&](int left) {
        const std::size_t count = server->connectionCount();
        mostAtOnce = std::max(mostAtOnce, count - lastCount);
        lastCount = count;
        remainingSteps = left;
        if (left > 0)
            thread.loop().post([&observe, left] { observe(left - 1); });
    };
    // The event loop finds all connections in the queue of the operating system.
    thread.run([&] {
        for (std::size_t i = 0; i < clients; ++i)
            sockets.push_back(std::make_unique<RawSocket>(port));
        observe(steps);
    });
    BOOST_TEST(eventually([&] { return connectionCount() == clients; }));
    BOOST_TEST_REQUIRE(eventually([&] { return remainingSteps == 0; }));
    thread.run([&] {
        BOOST_TEST(lastCount > 0u);
        BOOST_TEST(mostAtOnce <= maxAcceptedAtOnce);
    });
}

BOOST_AUTO_TEST_SUITE_END()
