#include "loopthread.h"
#include "rawsocket.h"

#include "rattanrill/net/server.h"

#include "absl/time/clock.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <string_view>

using namespace rattanrill;
using namespace rattanrill::net;

namespace {

constexpr absl::Duration idleTimeout = absl::Seconds(1);
/// Time after a response after which a connection counts as idle, with a margin.
constexpr absl::Duration idleDelay = absl::Milliseconds(600);
/// Share of the announced time for which clients reuse an idle connection.
constexpr double reusedShare = 0.8;

/// Server whose behavior depends on the path: /echo returns the request body, /stream sends a
/// stream of two parts, /cut aborts a stream, /late-error responds with an error in the middle of a
/// stream, /wait never responds, /begin starts a stream that the test ends, and /held registers a
/// disconnect handler that holds the exchange before it responds.
struct TestServer
{
    TestServer()
    {
        thread.run([this] {
            server = std::make_unique<Server>(
                    thread.loop(),
                    [this](const std::shared_ptr<Exchange> &exchange) { serve(exchange); });
            ServerLimits limits;
            limits.maxHeaderBytes = 512;
            limits.maxBodyBytes = 64;
            limits.headerTimeout = absl::Milliseconds(200);
            limits.idleTimeout = idleTimeout;
            server->setLimits(limits);
            BOOST_REQUIRE(outcomeOf([&] { return server->start("127.0.0.1:28471"); }).ok());
        });
    }
    ~TestServer()
    {
        thread.run([this] {
            openExchange.reset();
            server.reset();
        });
    }

    void serve(const std::shared_ptr<Exchange> &exchange)
    {
        ++nestedCalls;
        maxNestedCalls = std::max(maxNestedCalls.load(), nestedCalls);
        respond(exchange);
        --nestedCalls;
    }

    void respond(const std::shared_ptr<Exchange> &exchange)
    {
        ++requestCount;
        const std::string path(exchange->request().path());
        if (path == "/wait") {
            openExchange = exchange;
            exchange->onClientDisconnected([this] { ++disconnectCount; });
            return;
        }
        if (path == "/held") {
            auto owner = std::make_shared<int>();
            handlerOwner = owner;
            exchange->onClientDisconnected([owner, exchange] {});
            return exchange->respond(textResponse(200, "held", "text/plain"));
        }
        if (path == "/echo")
            return exchange->respond(textResponse(200, exchange->request().body, "text/plain"));
        ResponseHead head;
        head.status = 200;
        exchange->startStream(head);
        exchange->write("one");
        if (path == "/begin") {
            openExchange = exchange;
            return;
        }
        if (path == "/cut")
            return exchange->abort();
        if (path == "/late-error")
            return exchange->respond(textResponse(500, "error", "text/plain"));
        exchange->write("two");
        exchange->finish();
    }

    LoopThread thread;
    std::unique_ptr<Server> server;
    std::shared_ptr<Exchange> openExchange;
    std::weak_ptr<int> handlerOwner;
    std::atomic<int> requestCount{0};
    std::atomic<int> disconnectCount{0};
    /// Calls of the handler that have not returned; used on the event loop.
    int nestedCalls = 0;
    std::atomic<int> maxNestedCalls{0};
    /// Steps of closeIdleConnections() that have not been made.
    std::atomic<int> remainingSteps{0};
};

constexpr int port = 28471;
constexpr const char *echoRequest =
        "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc";

std::string statusLine(const std::string &response)
{
    return response.substr(0, response.find("\r\n"));
}

bool waitFor(const std::function<bool()> &condition)
{
    for (int i = 0; i < 200 && !condition(); ++i)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    return condition();
}

std::size_t connectionCount(TestServer &server)
{
    std::size_t count = 0;
    server.thread.run([&] { count = server.server->connectionCount(); });
    return count;
}

void setIdleTimeout(TestServer &server, absl::Duration timeout)
{
    server.thread.run([&] {
        ServerLimits limits;
        limits.idleTimeout = timeout;
        server.server->setLimits(limits);
    });
}

/// Closes the idle connections before each of the next \a steps of the event loop.
void closeIdleConnections(TestServer &server, int steps)
{
    server.server->closeIdleConnections();
    server.remainingSteps = steps - 1;
    if (steps > 1)
        server.thread.loop().post([&server, steps] { closeIdleConnections(server, steps - 1); });
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServerTest)

// Guards against a connection that is closed or stops reading after its first response.
BOOST_AUTO_TEST_CASE(connectionServesOneRequestAfterAnother)
{
    TestServer server;
    RawSocket client(port);
    client.send("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
    client.readUntil("abc");
    client.send("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz");
    BOOST_TEST(client.readUntil("xyz").find("xyz") != std::string::npos);
}

// Guards against a body whose rest is never read, because a connection reads only a part at once.
BOOST_AUTO_TEST_CASE(longBodyArrivesWhole)
{
    TestServer server;
    const std::string body(std::size_t(1) << 20, 'z');
    server.thread.run([&] {
        ServerLimits limits;
        limits.maxBodyBytes = body.size();
        server.server->setLimits(limits);
    });
    RawSocket client(port);
    client.send("POST /echo HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: "
                + std::to_string(body.size()) + "\r\n\r\n" + body);
    BOOST_TEST(client.readAll().size() > body.size());
}

// Guards against a process that runs out of memory because it reads bodies for which it has none,
// and against ordinary requests that are refused with them.
BOOST_AUTO_TEST_CASE(bodyBeyondTheMemoryIsRefusedBeforeItIsRead)
{
    TestServer server;
    const auto memory = std::make_shared<MemoryBudget>(MemoryLimits{4096, 4096});
    server.thread.run([&] {
        server.server->setLimits(ServerLimits());
        server.server->setMemoryBudget(memory);
    });
    RawSocket large(port);
    large.send("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 8192\r\n\r\n");
    const std::string refusal = large.readAll();
    BOOST_TEST(statusLine(refusal) == "HTTP/1.1 503 Service Unavailable");
    BOOST_TEST(refusal.find("Retry-After: 1") != std::string::npos);
    RawSocket ordinary(port);
    ordinary.send(echoRequest);
    BOOST_TEST(ordinary.readUntil("abc").find("200") != std::string::npos);
    BOOST_TEST(waitFor([&] {
        std::size_t bytes = 0;
        server.thread.run([&] { bytes = memory->requestBytes(); });
        return bytes == 0;
    }));
}

// Guards against a stack that grows with each pipelined request that is answered at once.
BOOST_AUTO_TEST_CASE(pipelinedRequestsAreNotServedInsideEachOther)
{
    constexpr int pipelinedRequests = 1000;
    TestServer server;
    RawSocket client(port);
    client.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST_REQUIRE(waitFor([&] { return server.requestCount == 1; }));
    std::string requests;
    for (int i = 0; i < pipelinedRequests; ++i)
        requests += "GET /echo HTTP/1.1\r\nHost:\r\n\r\n";
    client.send(requests + "GET /echo HTTP/1.1\r\nHost:\r\nConnection: close\r\n\r\n");
    server.thread.run([&] { server.openExchange->respond(textResponse(200, "", "text/plain")); });
    client.readAll();
    BOOST_TEST(server.requestCount == pipelinedRequests + 2);
    BOOST_TEST(server.maxNestedCalls == 1);
}

// Guards against headers of many short fields whose memory is not counted, while the body is
// received and while the request runs.
BOOST_AUTO_TEST_CASE(headerFieldsAreCountedUntilTheRequestEnds)
{
    constexpr std::size_t fields = 4000;
    /// Smallest memory of a field: two strings.
    constexpr std::size_t minFieldBytes = 64;
    TestServer server;
    const auto memory = std::make_shared<MemoryBudget>(
            MemoryLimits{std::size_t(16) << 20, std::size_t(16) << 20});
    server.thread.run([&] {
        server.server->setLimits(ServerLimits());
        server.server->setMemoryBudget(memory);
    });
    const auto requestBytes = [&] {
        std::size_t bytes = 0;
        server.thread.run([&] { bytes = memory->requestBytes(); });
        return bytes;
    };
    std::string head = "POST /wait HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n";
    for (std::size_t i = 0; i < fields; ++i)
        head += "a:\r\n";
    RawSocket client(port);
    client.send(head + "\r\nb");
    BOOST_TEST(waitFor([&] { return requestBytes() >= fields * minFieldBytes; }));
    client.send("b");
    BOOST_TEST_REQUIRE(waitFor([&] { return server.requestCount == 1; }));
    BOOST_TEST(requestBytes() >= fields * minFieldBytes);
    server.thread.run([&] {
        server.openExchange->respond(textResponse(200, "", "text/plain"));
        server.openExchange.reset();
    });
    BOOST_TEST(waitFor([&] { return requestBytes() == 0; }));
}

// Guards against bytes behind a request that are counted as a part of it and once more as the next
// one, so that pipelined requests are refused while memory is free.
BOOST_AUTO_TEST_CASE(bytesBehindARequestAreCountedOnce)
{
    constexpr std::size_t pipelinedBytes = 8000;
    TestServer server;
    const auto memory = std::make_shared<MemoryBudget>(
            MemoryLimits{std::size_t(16) << 20, std::size_t(16) << 20});
    server.thread.run([&] {
        server.server->setLimits(ServerLimits());
        server.server->setMemoryBudget(memory);
    });
    RawSocket client(port);
    client.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\nGET /echo HTTP/1.1\r\nX: "
                + std::string(pipelinedBytes, 'x'));
    BOOST_TEST_REQUIRE(waitFor([&] { return server.requestCount == 1; }));
    client.send("x");
    const auto requestBytes = [&] {
        std::size_t bytes = 0;
        server.thread.run([&] { bytes = memory->requestBytes(); });
        return bytes;
    };
    BOOST_TEST(waitFor([&] { return requestBytes() > pipelinedBytes; }));
    absl::SleepFor(absl::Milliseconds(50));
    BOOST_TEST(requestBytes() < pipelinedBytes * 3 / 2);
}

// Guards against a refusal that is lost because the client still sends its body over a slow link
// when a fixed time has passed, and against a refused connection that stays open as long as bytes
// arrive.
BOOST_AUTO_TEST_CASE(refusedConnectionStaysOpenWhileTheClientSends)
{
    constexpr absl::Duration sendingTime = absl::Seconds(4);
    TestServer server;
    RawSocket client(port);
    client.send("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n");
    const absl::Time end = absl::Now() + sendingTime;
    while (absl::Now() < end) {
        BOOST_CHECK_NO_THROW(client.send("b"));
        absl::SleepFor(absl::Milliseconds(250));
    }
    BOOST_TEST(connectionCount(server) == 1u);
    BOOST_TEST(statusLine(client.readAll()) == "HTTP/1.1 413 Payload Too Large");
    const absl::Time deadline = absl::Now() + absl::Seconds(20);
    while (connectionCount(server) == 1 && absl::Now() < deadline) {
        try {
            client.send("b");
        } catch (const boost::system::system_error &) {
        }
        absl::SleepFor(absl::Milliseconds(250));
    }
    BOOST_TEST(connectionCount(server) == 0u);
}

// Guards against malformed or oversized requests that reach the handler or get no response.
BOOST_AUTO_TEST_CASE(invalidRequestIsAnsweredWithAnErrorStatus)
{
    TestServer server;
    const auto statusLineFor = [](const std::string &bytes) {
        RawSocket client(port);
        client.send(bytes);
        return statusLine(client.readAll());
    };
    BOOST_TEST(statusLineFor("nonsense\r\n\r\n") == "HTTP/1.1 400 Bad Request");
    BOOST_TEST(statusLineFor("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n")
               == "HTTP/1.1 413 Payload Too Large");
    BOOST_TEST(statusLineFor("GET /" + std::string(600, 'x') + " HTTP/1.1\r\nHost: h\r\n\r\n")
               == "HTTP/1.1 431 Request Header Fields Too Large");
}

// Guards against a client that occupies a connection by sending its header slowly.
BOOST_AUTO_TEST_CASE(slowHeaderEndsWithATimeout)
{
    TestServer server;
    RawSocket client(port);
    client.send("GET /echo HT");
    BOOST_TEST(statusLine(client.readAll()) == "HTTP/1.1 408 Request Timeout");
}

// Guards against clients that occupy connections without sending a request.
BOOST_AUTO_TEST_CASE(idleConnectionIsClosed)
{
    TestServer server;
    RawSocket client(port);
    BOOST_TEST(client.readAll().empty());
}

// Guards against a connection that is closed earlier than the head of a stream announced, because
// the idle timeout was lowered while the stream ran.
BOOST_AUTO_TEST_CASE(connectionStaysOpenForTheAnnouncedTimeAfterTheTimeoutIsLowered)
{
    TestServer server;
    setIdleTimeout(server, absl::Seconds(1));
    RawSocket client(port);
    client.send("GET /begin HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(client.readUntil("one").find("Keep-Alive: timeout=1\r\n") != std::string::npos);
    setIdleTimeout(server, absl::Milliseconds(100));
    server.thread.run([&] { server.openExchange->finish(); });
    client.readUntil("0\r\n\r\n");
    absl::SleepFor(reusedShare * absl::Seconds(1));
    client.send(echoRequest);
    BOOST_TEST(client.readUntil("abc").find("abc") != std::string::npos);
}

// Guards against a raised idle timeout that does not apply to the connections of running streams.
BOOST_AUTO_TEST_CASE(raisedIdleTimeoutAppliesToRunningStreams)
{
    TestServer server;
    setIdleTimeout(server, absl::Seconds(1));
    RawSocket client(port);
    client.send("GET /begin HTTP/1.1\r\nHost: h\r\n\r\n");
    client.readUntil("one");
    setIdleTimeout(server, absl::Seconds(3));
    server.thread.run([&] { server.openExchange->finish(); });
    client.readUntil("0\r\n\r\n");
    absl::SleepFor(absl::Milliseconds(1500));
    client.send(echoRequest);
    BOOST_TEST(client.readUntil("abc").find("abc") != std::string::npos);
}

// Guards against an announced timeout of 0, which says nothing about how long the client may use
// the connection: whole seconds are all that can be announced.
BOOST_AUTO_TEST_CASE(idleTimeoutBelowOneSecondIsAnnouncedAsClose)
{
    TestServer server;
    setIdleTimeout(server, absl::Milliseconds(900));
    for (const char *request : {echoRequest, "GET /stream HTTP/1.1\r\nHost: h\r\n\r\n"}) {
        RawSocket client(port);
        client.send(request);
        const std::string response = client.readAll();
        BOOST_TEST(response.find("Keep-Alive") == std::string::npos);
        BOOST_TEST(response.find("Connection: close") != std::string::npos);
    }
    RawSocket client(port);
    client.send(std::string(echoRequest) + echoRequest);
    const std::string responses = client.readAll();
    BOOST_TEST(responses.find("abc") != responses.rfind("abc"));
    BOOST_TEST(responses.find("Keep-Alive") == std::string::npos);
    BOOST_TEST(responses.find("Connection: close") > responses.find("abc"));
}

// Guards against an announced time that is longer than the idle timeout.
BOOST_AUTO_TEST_CASE(announcedTimeIsNotLongerThanTheIdleTimeout)
{
    TestServer server;
    setIdleTimeout(server, absl::Milliseconds(1900));
    RawSocket client(port);
    client.send(echoRequest);
    BOOST_TEST(client.readUntil("abc").find("Keep-Alive: timeout=1\r\n") != std::string::npos);
}

// Guards against streams that a client cannot frame: each write is one chunk, and the last chunk
// ends the stream.
BOOST_AUTO_TEST_CASE(streamIsChunked)
{
    TestServer server;
    RawSocket client(port);
    client.send("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n");
    const std::string response = client.readUntil("0\r\n\r\n");
    BOOST_TEST(response.find("3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n") != std::string::npos);
}

// Guards against an aborted stream that the client takes for a complete one.
BOOST_AUTO_TEST_CASE(abortedStreamHasNoLastChunk)
{
    TestServer server;
    RawSocket client(port);
    client.send("GET /cut HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(client.readAll().find("0\r\n\r\n") == std::string::npos);
}

// Guards against an error response in the middle of a stream.
BOOST_AUTO_TEST_CASE(responseAfterTheStartOfAStreamAbortsIt)
{
    TestServer server;
    RawSocket client(port);
    client.send("GET /late-error HTTP/1.1\r\nHost: h\r\n\r\n");
    const std::string response = client.readAll();
    BOOST_TEST(response.find("one") != std::string::npos);
    BOOST_TEST(response.find("500") == std::string::npos);
    BOOST_TEST(response.find("error") == std::string::npos);
}

// Guards against processing that continues after the client has disconnected.
BOOST_AUTO_TEST_CASE(handlerIsNotifiedWhenTheClientDisconnects)
{
    TestServer server;
    RawSocket client(port);
    client.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(waitFor([&] { return server.openExchange != nullptr; }));
    client.close();
    BOOST_TEST(waitFor([&] { return server.disconnectCount == 1; }));
}

// Guards against a memory leak: the disconnect handler holds its owner and the exchange, which
// holds the handler, so an exchange that keeps the handler after the end is never freed.
BOOST_AUTO_TEST_CASE(answeredExchangeReleasesItsHandler)
{
    TestServer server;
    RawSocket client(port);
    client.send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n");
    client.readUntil("held");
    BOOST_TEST(waitFor([&] { return server.handlerOwner.expired(); }));
}

// Guards against a request that was cut in the middle and is passed on, or answered as if it were
// complete.
BOOST_AUTO_TEST_CASE(requestCutAtAnyByteIsNotServed)
{
    TestServer server;
    const std::string head = "POST /echo HTTP/1.1\r\nHost: h\r\n";
    for (const std::string &request :
         {head + "Content-Length: 3\r\n\r\nabc",
          head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nSum: 1\r\n\r\n"}) {
        for (std::size_t cut = 0; cut < request.size(); ++cut) {
            for (const auto end :
                 {&RawSocket::close, &RawSocket::reset, &RawSocket::shutdownSend}) {
                RawSocket client(port);
                client.send(std::string_view(request).substr(0, cut));
                (client.*end)();
                if (end == &RawSocket::shutdownSend)
                    BOOST_TEST(client.readAll().find("200 OK") == std::string::npos);
            }
        }
    }
    BOOST_TEST(server.requestCount == 0);
    RawSocket client(port);
    client.send(head + "Content-Length: 3\r\n\r\nabc");
    client.readUntil("abc");
    BOOST_TEST(server.requestCount == 1);
}

// Guards against a graceful stop that truncates a response: the connection must be closed only
// after the response is sent.
BOOST_AUTO_TEST_CASE(drainingServerRespondsBeforeItCloses)
{
    TestServer server;
    RawSocket client(port);
    server.thread.run([&] { server.server->drain(); });
    client.send("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
    const std::string response = client.readAll();
    BOOST_TEST(response.find("Connection: close") != std::string::npos);
    BOOST_TEST(response.find("abc") != std::string::npos);
}

// Guards against a request that gets no response because the server drains, although the head of
// the stream before it announced keep-alive, and against a connection that serves requests until
// the process ends and is then cut: the response to that request is the last one.
BOOST_AUTO_TEST_CASE(requestAfterAStreamOfADrainingServerIsTheLastOneOfItsConnection)
{
    TestServer server;
    RawSocket client(port);
    client.send("GET /begin HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(client.readUntil("one").find("Keep-Alive: timeout=") != std::string::npos);
    server.thread.run([&] {
        server.server->drain();
        server.openExchange->finish();
    });
    client.readUntil("0\r\n\r\n");
    client.send(echoRequest);
    client.readUntil("abc");
    client.send(echoRequest);
    const std::string responses = client.readAll();
    BOOST_TEST(responses.find("abc") != std::string::npos);
    BOOST_TEST(responses.find("abc") == responses.rfind("abc"));
    BOOST_TEST(responses.find("Connection: close") > responses.find("0\r\n\r\n"));
    BOOST_TEST(server.requestCount == 2);
}

// Guards against a process that ends while the next request is on its way, and against one that
// waits for it without end.
BOOST_AUTO_TEST_CASE(keptConnectionIsNotIdleUntilItsNextRequestCouldHaveArrived)
{
    TestServer server;
    RawSocket client(port);
    client.send(echoRequest);
    client.readUntil("abc");
    server.thread.run([&] {
        server.server->closeIdleConnections();
        BOOST_TEST(server.server->hasActiveConnections());
        BOOST_TEST(server.server->connectionCount() == 1u);
        absl::SleepFor(idleDelay);
        BOOST_TEST(!server.server->hasActiveConnections());
        server.server->closeIdleConnections();
        BOOST_TEST(server.server->connectionCount() == 0u);
    });
}

// Guards against a pipelined request that the server has read and never answers, because the
// response before it ends while the server drains.
BOOST_AUTO_TEST_CASE(drainingServerAnswersAPipelinedRequest)
{
    for (const char *path : {"/wait", "/begin"}) {
        TestServer server;
        RawSocket client(port);
        client.send(std::string("GET ") + path + " HTTP/1.1\r\nHost: h\r\n\r\n" + echoRequest);
        BOOST_TEST(waitFor([&] { return server.requestCount == 1; }));
        server.thread.run([&] {
            server.server->drain();
            if (server.openExchange->streamStarted())
                server.openExchange->finish();
            else
                server.openExchange->respond(textResponse(200, "first", "text/plain"));
        });
        const std::string responses = client.readAll();
        BOOST_TEST_CONTEXT(path << ": " << responses)
        {
            BOOST_TEST(responses.find("abc") != std::string::npos);
            BOOST_TEST(responses.find("Connection: close") > responses.find("HTTP/1.1", 1));
        }
    }
}

// Guards against a connection that counts as idle and is closed although a request has arrived that
// the event loop has not read yet.
BOOST_AUTO_TEST_CASE(connectionWithAnUnreadRequestIsNotIdle)
{
    TestServer server;
    RawSocket client(port);
    client.send(echoRequest);
    client.readUntil("abc");
    server.thread.run([&] {
        absl::SleepFor(idleDelay);
        client.send("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz");
        absl::SleepFor(absl::Milliseconds(20));
        server.server->closeIdleConnections();
    });
    BOOST_TEST(client.readUntil("xyz").find("xyz") != std::string::npos);
}

// Guards against a request that is dropped because the idle timeout expired while the event loop
// was busy: its handler is called after the request has been read.
BOOST_AUTO_TEST_CASE(requestThatIsReadAsTheIdleTimeoutExpiresIsServed)
{
    TestServer server;
    RawSocket client(port);
    client.send(echoRequest);
    client.readUntil("abc");
    server.thread.run([&] {
        absl::SleepFor(idleTimeout * 1.1);
        client.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
    });
    BOOST_REQUIRE(waitFor([&] { return server.requestCount == 2; }));
    server.thread.run(
            [&] { server.openExchange->respond(textResponse(200, "xyz", "text/plain")); });
    BOOST_TEST(client.readUntil("xyz").find("xyz") != std::string::npos);
    BOOST_TEST(server.disconnectCount == 0);
}

// Guards against an idle timeout that closes a connection although a request has arrived, which a
// busy event loop has not read yet.
BOOST_AUTO_TEST_CASE(requestThatArrivesBeforeTheIdleTimeoutIsHandledIsServed)
{
    TestServer server;
    RawSocket client(port);
    client.send(echoRequest);
    client.readUntil("abc");
    server.thread.run([&] {
        absl::SleepFor(idleTimeout * 1.1);
        // Runs after the event loop has found the expired timer and before it calls its handler.
        server.thread.loop().post([&] {
            client.send("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz");
            absl::SleepFor(absl::Milliseconds(20));
        });
    });
    BOOST_TEST(client.readUntil("xyz").find("xyz") != std::string::npos);
}

// Guards against a new connection that counts as idle and is closed although its request has
// arrived, because the event loop has received the bytes and not passed them on yet.
BOOST_AUTO_TEST_CASE(newConnectionWithAReceivedRequestIsNotIdle)
{
    TestServer server;
    std::unique_ptr<RawSocket> client;
    server.thread.run([&] {
        client = std::make_unique<RawSocket>(port);
        client->send(echoRequest);
        absl::SleepFor(absl::Milliseconds(20));
        // The event loop accepts the connection and reads from it in these steps.
        closeIdleConnections(server, 20);
    });
    BOOST_TEST(client->readUntil("abc").find("abc") != std::string::npos);
    // The steps use the server.
    BOOST_TEST(waitFor([&] { return server.remainingSteps == 0; }));
}

// Guards against a new connection that is closed while its first request is on its way, and against
// one that never counts as idle.
BOOST_AUTO_TEST_CASE(newConnectionIsNotIdleUntilItsRequestCouldHaveArrived)
{
    TestServer server;
    RawSocket client(port);
    RawSocket silent(port);
    BOOST_REQUIRE(waitFor([&] { return connectionCount(server) == 2; }));
    server.thread.run([&] {
        server.server->closeIdleConnections();
        BOOST_TEST(server.server->hasActiveConnections());
    });
    client.send(echoRequest);
    BOOST_TEST(client.readUntil("abc").find("abc") != std::string::npos);
    server.thread.run([&] {
        absl::SleepFor(absl::Milliseconds(250));
        server.server->closeIdleConnections();
        // The other client may send its next request.
        BOOST_TEST(server.server->connectionCount() == 1u);
    });
    BOOST_TEST(silent.readAll().empty());
}

// Guards against the same loss at the end of a stream of a draining server.
BOOST_AUTO_TEST_CASE(drainingServerAnswersAnUnreadRequestAfterAStream)
{
    TestServer server;
    RawSocket client(port);
    client.send("GET /begin HTTP/1.1\r\nHost: h\r\n\r\n");
    client.readUntil("one");
    server.thread.run([&] {
        server.server->drain();
        client.send(echoRequest);
        absl::SleepFor(absl::Milliseconds(20));
        server.openExchange->finish();
    });
    BOOST_TEST(client.readAll().find("abc") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
