#include "endlessserver.h"
#include "loopthread.h"
#include "responsecuts.h"
#include "scriptedserver.h"

#include "rattanrill/net/connectionpool.h"
#include "rattanrill/net/server.h"

#include "absl/synchronization/mutex.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <memory>
#include <optional>
#include <string>

using namespace rattanrill;
using namespace rattanrill::net;

namespace {

const std::string address = "127.0.0.1:28472";

struct CallResult
{
    std::optional<CallStatus> callStatus;
    int status = 0;
    std::string body;
};

struct ConnectionPoolFixture
{
    ConnectionPoolFixture()
    {
        thread.run([this] {
            server = std::make_unique<Server>(
                    thread.loop(), [this](std::shared_ptr<Exchange> exchange) { serve(exchange); });
            BOOST_REQUIRE(outcomeOf([&] { return server->start(address); }).ok());
            ConnectionPoolOptions options;
            options.connectTimeout = absl::Milliseconds(300);
            pool = std::make_unique<ConnectionPool>(thread.loop(), options);
        });
    }
    ~ConnectionPoolFixture()
    {
        thread.run([this] {
            pool.reset();
            openExchange.reset();
            server.reset();
        });
    }

    void serve(const std::shared_ptr<Exchange> &exchange)
    {
        ++requestCount;
        const std::string path(exchange->request().path());
        if (path == "/wait") {
            openExchange = exchange;
            exchange->onClientDisconnected([this] { ++disconnectCount; });
            return;
        }
        if (path == "/cut") {
            exchange->startStream(ResponseHead{200, "", {}});
            exchange->write("part");
            return exchange->abort();
        }
        exchange->respond(textResponse(200, "whole", "text/plain"));
    }

    ConnectionPool::CallId start(const std::string &target, const std::string &path)
    {
        Request request;
        request.method = "GET";
        request.target = path;
        request.headers.add("Host", "h");
        CallHandlers handlers;
        handlers.onHead = [this](const ResponseHead &head) {
            result.status = head.status;
            return head.headers.value("Id") != "other";
        };
        handlers.onBody = [this](std::string_view bytes) { result.body.append(bytes); };
        handlers.onEnd = [this](CallStatus status) {
            absl::MutexLock lock(&mutex);
            result.callStatus = status;
        };
        ConnectionPool::CallId id = 0;
        thread.run([&] {
            result = CallResult();
            id = pool->call(target, serialize(request), std::move(handlers));
        });
        return id;
    }

    CallResult wait()
    {
        absl::MutexLock lock(&mutex);
        const auto ended = [this] { return result.callStatus.has_value(); };
        BOOST_REQUIRE(mutex.AwaitWithTimeout(absl::Condition(&ended), absl::Seconds(10)));
        return result;
    }

    LoopThread thread;
    std::unique_ptr<Server> server;
    std::unique_ptr<ConnectionPool> pool;
    std::shared_ptr<Exchange> openExchange;
    std::atomic<int> requestCount{0};
    std::atomic<int> disconnectCount{0};
    absl::Mutex mutex;
    CallResult result;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ConnectionPoolTest)

// Guards against a pool that opens a new connection for each call instead of reusing the idle one.
BOOST_AUTO_TEST_CASE(connectionIsReused)
{
    ConnectionPoolFixture fixture;
    for (int i = 0; i < 3; ++i) {
        fixture.start(address, "/whole");
        const CallResult result = fixture.wait();
        BOOST_TEST((result.callStatus == CallStatus::Complete));
        BOOST_TEST(result.body == "whole");
    }
    fixture.thread.run([&] { BOOST_TEST(fixture.pool->connectionsOpened() == 1u); });
}

// Guards against an incomplete response that is reported as complete: the server closes the
// connection in the middle of a stream.
BOOST_AUTO_TEST_CASE(abortedResponseIsBroken)
{
    ConnectionPoolFixture fixture;
    fixture.start(address, "/cut");
    BOOST_TEST((fixture.wait().callStatus == CallStatus::Broken));
}

// Guards against reporting that a request may have run although it was never sent, because nothing
// listens on the address.
BOOST_AUTO_TEST_CASE(callWithoutListenerIsNotConnected)
{
    ConnectionPoolFixture fixture;
    fixture.start("127.0.0.1:9", "/whole");
    BOOST_TEST((fixture.wait().callStatus == CallStatus::NotConnected));
}

// Guards against an upstream that continues to process a cancelled call: it detects the
// cancellation only by the closed connection.
BOOST_AUTO_TEST_CASE(cancelledCallClosesItsConnection)
{
    ConnectionPoolFixture fixture;
    const auto id = fixture.start(address, "/wait");
    for (int i = 0; i < 200 && fixture.requestCount == 0; ++i)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    fixture.thread.run([&] { fixture.pool->cancel(id); });
    for (int i = 0; i < 200 && fixture.disconnectCount == 0; ++i)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    BOOST_TEST(fixture.disconnectCount == 1);
    BOOST_TEST(!fixture.result.callStatus.has_value());
}

// Guards against an upstream whose head has no end: the call must fail after a bounded number of
// bytes and close the connection.
BOOST_AUTO_TEST_CASE(headWithoutEndFailsTheCall)
{
    ConnectionPoolFixture fixture;
    EndlessServer upstream("HTTP/1.1 200 OK\r\nX: ", std::string(1024, 'x'));
    fixture.start(upstream.address(), "/whole");
    BOOST_TEST((fixture.wait().callStatus == CallStatus::Broken));
    BOOST_TEST(upstream.awaitClose());
}

// Guards against a response that was cut at any byte, by an orderly close or a reset, and is
// reported as complete.
BOOST_AUTO_TEST_CASE(responseCutAtAnyByteIsNotComplete)
{
    ConnectionPoolFixture fixture;
    const std::vector<ResponseCut> cuts = responseCuts();
    ScriptedServer server(answersOf(cuts));
    for (const ResponseCut &cut : cuts) {
        fixture.start(server.address(), "/");
        const CallResult result = fixture.wait();
        cut.check(result.callStatus == CallStatus::Complete, result.body);
        fixture.thread.run([&] { fixture.pool->closeIdleConnections(server.address()); });
    }
}

BOOST_AUTO_TEST_SUITE_END()
