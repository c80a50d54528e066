#include "loopthread.h"
#include "rawsocket.h"

#include "rattanrill/net/server.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <memory>
#include <string>

using namespace rattanrill;
using namespace rattanrill::net;

namespace {

/// Serves by path: /echo answers the body, /stream two pieces, /cut breaks a stream off, /wait
/// never answers.
struct TestServer
{
    TestServer()
    {
        thread.run([this] {
            server = std::make_unique<Server>(
                    thread.loop(), [this](std::shared_ptr<Exchange> exchange) { serve(exchange); });
            ServerLimits limits;
            limits.maxHeaderBytes = 512;
            limits.maxBodyBytes = 64;
            limits.headerTimeout = absl::Milliseconds(200);
            limits.idleTimeout = absl::Milliseconds(400);
            server->setLimits(limits);
            BOOST_REQUIRE(outcomeOf([&] { return server->start("127.0.0.1:38471"); }).ok());
        });
    }
    ~TestServer()
    {
        thread.run([this] {
            kept.reset();
            server.reset();
        });
    }

    void serve(const std::shared_ptr<Exchange> &exchange)
    {
        const std::string path(exchange->request().path());
        if (path == "/wait") {
            kept = exchange;
            exchange->onClientDisconnected([this] { ++gone; });
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
        if (path == "/cut")
            return exchange->abort();
        exchange->write("two");
        exchange->finish();
    }

    LoopThread thread;
    std::unique_ptr<Server> server;
    std::shared_ptr<Exchange> kept;
    std::weak_ptr<int> handlerOwner;
    std::atomic<int> gone{0};
};

constexpr int port = 38471;

std::string statusLine(const std::string &answer)
{
    return answer.substr(0, answer.find("\r\n"));
}

bool waitFor(const std::function<bool()> &condition)
{
    for (int i = 0; i < 200 && !condition(); ++i)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    return condition();
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServerTest)

BOOST_AUTO_TEST_CASE(connectionServesOneRequestAfterAnother)
{
    TestServer server;
    RawSocket client(port);
    client.send("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
    client.readUntil("abc");
    client.send("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz");
    BOOST_TEST(client.readUntil("xyz").find("xyz") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(badInputIsAnsweredWithItsStatus)
{
    TestServer server;
    const auto answerTo = [](const std::string &bytes) {
        RawSocket client(port);
        client.send(bytes);
        return statusLine(client.readAll());
    };
    BOOST_TEST(answerTo("nonsense\r\n\r\n") == "HTTP/1.1 400 Bad Request");
    BOOST_TEST(answerTo("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n")
               == "HTTP/1.1 413 Payload Too Large");
    BOOST_TEST(answerTo("GET /" + std::string(600, 'x') + " HTTP/1.1\r\nHost: h\r\n\r\n")
               == "HTTP/1.1 431 Request Header Fields Too Large");
}

// Guards against a client that holds a connection by sending its header slowly.
BOOST_AUTO_TEST_CASE(slowHeaderEndsWithATimeout)
{
    TestServer server;
    RawSocket client(port);
    client.send("GET /echo HT");
    BOOST_TEST(statusLine(client.readAll()) == "HTTP/1.1 408 Request Timeout");
}

BOOST_AUTO_TEST_CASE(idleConnectionIsClosed)
{
    TestServer server;
    RawSocket client(port);
    BOOST_TEST(client.readAll().empty());
}

BOOST_AUTO_TEST_CASE(streamIsChunked)
{
    TestServer server;
    RawSocket client(port);
    client.send("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n");
    const std::string answer = client.readUntil("0\r\n\r\n");
    BOOST_TEST(answer.find("3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n") != std::string::npos);
}

// Guards against a stream that was broken off and looks complete.
BOOST_AUTO_TEST_CASE(brokenStreamHasNoEnd)
{
    TestServer server;
    RawSocket client(port);
    client.send("GET /cut HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(client.readAll().find("0\r\n\r\n") == std::string::npos);
}

// Guards against work that goes on after its caller has left.
BOOST_AUTO_TEST_CASE(handlerLearnsThatTheClientLeft)
{
    TestServer server;
    RawSocket client(port);
    client.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(waitFor([&] { return server.kept != nullptr; }));
    client.close();
    BOOST_TEST(waitFor([&] { return server.gone == 1; }));
}

// Guards against requests that stay in memory after their answer: the handler holds the request,
// which holds the exchange.
BOOST_AUTO_TEST_CASE(answeredExchangeForgetsItsHandler)
{
    TestServer server;
    RawSocket client(port);
    client.send("GET /held HTTP/1.1\r\nHost: h\r\n\r\n");
    client.readUntil("held");
    BOOST_TEST(waitFor([&] { return server.handlerOwner.expired(); }));
}

// Guards against a graceful stop that cuts an answer: it closes the connection behind the answer.
BOOST_AUTO_TEST_CASE(drainingServerAnswersAndCloses)
{
    TestServer server;
    RawSocket client(port);
    server.thread.run([&] { server.server->drain(); });
    client.send("POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
    const std::string answer = client.readAll();
    BOOST_TEST(answer.find("Connection: close") != std::string::npos);
    BOOST_TEST(answer.find("abc") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
