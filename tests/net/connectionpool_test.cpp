#include "loopthread.h"

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

const std::string address = "127.0.0.1:38472";

struct Answer
{
    std::optional<CallStatus> end;
    int status = 0;
    std::string body;
};

struct Fixture
{
    Fixture()
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
    ~Fixture()
    {
        thread.run([this] {
            pool.reset();
            kept.reset();
            server.reset();
        });
    }

    void serve(const std::shared_ptr<Exchange> &exchange)
    {
        ++served;
        const std::string path(exchange->request().path());
        if (path == "/wait") {
            kept = exchange;
            exchange->onClientDisconnected([this] { ++gone; });
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
        handlers.head = [this](const ResponseHead &head) {
            result.status = head.status;
            return true;
        };
        handlers.body = [this](std::string_view bytes) { result.body.append(bytes); };
        handlers.onEnd = [this](CallStatus status) {
            absl::MutexLock lock(&mutex);
            result.end = status;
        };
        ConnectionPool::CallId id = 0;
        thread.run([&] {
            result = Answer();
            id = pool->call(target, serialize(request), std::move(handlers));
        });
        return id;
    }

    Answer wait()
    {
        absl::MutexLock lock(&mutex);
        const auto ended = [this] { return result.end.has_value(); };
        BOOST_REQUIRE(mutex.AwaitWithTimeout(absl::Condition(&ended), absl::Seconds(10)));
        return result;
    }

    LoopThread thread;
    std::unique_ptr<Server> server;
    std::unique_ptr<ConnectionPool> pool;
    std::shared_ptr<Exchange> kept;
    std::atomic<int> served{0};
    std::atomic<int> gone{0};
    absl::Mutex mutex;
    Answer result;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ConnectionPoolTest)

BOOST_AUTO_TEST_CASE(connectionIsUsedAgain)
{
    Fixture fixture;
    for (int i = 0; i < 3; ++i) {
        fixture.start(address, "/whole");
        const Answer result = fixture.wait();
        BOOST_TEST((result.end == CallStatus::Complete));
        BOOST_TEST(result.body == "whole");
    }
    fixture.thread.run([&] { BOOST_TEST(fixture.pool->connectionsOpened() == 1u); });
}

BOOST_AUTO_TEST_CASE(cutAnswerIsBroken)
{
    Fixture fixture;
    fixture.start(address, "/cut");
    BOOST_TEST((fixture.wait().end == CallStatus::Broken));
}

// Guards against "may have run" for a request that was never sent.
BOOST_AUTO_TEST_CASE(noListenerMeansNotConnected)
{
    Fixture fixture;
    fixture.start("127.0.0.1:9", "/whole");
    BOOST_TEST((fixture.wait().end == CallStatus::NotConnected));
}

// Guards against an upstream that works on after the call was given up.
BOOST_AUTO_TEST_CASE(cancelledCallClosesItsConnection)
{
    Fixture fixture;
    const auto id = fixture.start(address, "/wait");
    for (int i = 0; i < 200 && fixture.served == 0; ++i)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    fixture.thread.run([&] { fixture.pool->cancel(id); });
    for (int i = 0; i < 200 && fixture.gone == 0; ++i)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    BOOST_TEST(fixture.gone == 1);
    BOOST_TEST(!fixture.result.end.has_value());
}

BOOST_AUTO_TEST_SUITE_END()
