#include "endlessserver.h"
#include "hanginglistener.h"
#include "loopthread.h"
#include "responsecuts.h"
#include "scriptedserver.h"

#include "rattanrill/net/connectionpool.h"
#include "rattanrill/net/server.h"

#include "absl/strings/str_format.h"
#include "absl/synchronization/mutex.h"
#include "absl/synchronization/notification.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <linux/filter.h>
#include <sys/socket.h>

#include <array>
#include <atomic>
#include <chrono>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

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

    /// Calls the pool on the loop. The response belongs to the call if it has the header Id with
    /// the value \a id; without \a id, each response does.
    ConnectionPool::CallId callOnLoop(const std::string &target, const std::string &path,
                                      const std::optional<std::string> &id = std::nullopt,
                                      const std::string &body = "",
                                      std::function<bool()> mayBeSent = nullptr)
    {
        Request request;
        request.method = "GET";
        request.target = path;
        request.headers.add("Host", "h");
        request.body = body;
        CallHandlers handlers;
        if (id)
            handlers.ownerOf = [id](const ResponseHead &head) {
                const std::string_view received = head.headers.value("Id");
                if (received.empty() || id->empty())
                    return ResponseOwner::Unknown;
                return received == *id ? ResponseOwner::ThisRequest : ResponseOwner::AnotherRequest;
            };
        handlers.onHead = [this](const ResponseHead &head) { result.status = head.status; };
        handlers.onBody = [this](std::string_view bytes) { result.body.append(bytes); };
        handlers.onEnd = [this](CallStatus status) {
            absl::MutexLock lock(&mutex);
            result.callStatus = status;
        };
        handlers.mayBeSent = std::move(mayBeSent);
        result = CallResult();
        return pool->call(target, serialize(request), std::move(handlers), id);
    }

    ConnectionPool::CallId start(const std::string &target, const std::string &path,
                                 const std::optional<std::string> &id = std::nullopt,
                                 const std::string &body = "",
                                 std::function<bool()> mayBeSent = nullptr)
    {
        ConnectionPool::CallId call = 0;
        thread.run([&] { call = callOnLoop(target, path, id, body, std::move(mayBeSent)); });
        return call;
    }

    /// Calls \a server and returns the result.
    CallResult call(const ScriptedServer &server, const std::string &id,
                    const std::string &body = "")
    {
        start(server.address(), "/", id, body);
        return wait();
    }

    CallResult wait()
    {
        absl::MutexLock lock(&mutex);
        const auto ended = [this] { return result.callStatus.has_value(); };
        BOOST_REQUIRE(mutex.AwaitWithTimeout(absl::Condition(&ended), absl::Seconds(10)));
        return result;
    }

    /// Waits until no connection to the server is open; returns false after 10 s.
    bool awaitNoConnection()
    {
        bool isOpen = true;
        for (int i = 0; i < 1000 && isOpen; ++i) {
            thread.run([&] { isOpen = pool->hasOpenConnections(address); });
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return !isOpen;
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

/// Response with the id \a id, or without one when it is empty.
std::string responseWithId(const std::string &id, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\n" + (id.empty() ? std::string() : "Id: " + id + "\r\n")
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Answer to a long upload whose rest is not read: a part of a body that has no length, and then a
/// reset.
ScriptedAnswer resetDuringUpload()
{
    ScriptedAnswer answer;
    answer.bytes = "HTTP/1.1 200 OK\r\nId: a\r\n\r\nhalf";
    answer.end = ConnectionEnd::Reset;
    answer.respondsToHead = true;
    return answer;
}

/// Numbers of the connections that carried the requests.
std::vector<int> connectionsOf(const ScriptedServer &server)
{
    std::vector<int> result;
    for (const auto &request : server.requests())
        result.push_back(request.connection);
    return result;
}

/// Lets only what comes from the port \a source arrive at \a socket.
void acceptArrivalsFrom(int socket, int source)
{
    std::array<sock_filter, 4> instructions = {{
            BPF_STMT(BPF_LD | BPF_H | BPF_ABS, 0),
            BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, static_cast<unsigned>(source), 0, 1),
            BPF_STMT(BPF_RET | BPF_K, 0xffff),
            BPF_STMT(BPF_RET | BPF_K, 0),
    }};
    const sock_fprog program{instructions.size(), instructions.data()};
    BOOST_REQUIRE(setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)) == 0);
}

/// Returns the local port of the first connection that is being established to \a port on loopback.
int connectingPort(int port)
{
    const std::string remote = absl::StrFormat("0100007F:%04X 02", port);
    std::ifstream table("/proc/net/tcp");
    std::string line;
    while (std::getline(table, line)) {
        const std::size_t found = line.find(remote);
        if (found != std::string::npos)
            return std::stoi(line.substr(found - 5, 4), nullptr, 16);
    }
    BOOST_FAIL("no connection is being established");
    return 0;
}

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

// Guards against a request that reaches its upstream long after the call was cancelled, because the
// operating system delivers what it holds.
BOOST_AUTO_TEST_CASE(bytesOfACancelledCallAreNotDeliveredLater)
{
    using Tcp = boost::asio::ip::tcp;
    ConnectionPoolFixture fixture;
    boost::asio::io_context context;
    Tcp::acceptor acceptor(context, Tcp::v4());
    // With a small receive buffer, most of the request stays with the sender.
    acceptor.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
    acceptor.listen();
    const std::string target = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    const std::string body(std::size_t(128) << 10, 'b');
    const auto id = fixture.start(target, "/whole", std::nullopt, body);
    Tcp::socket peer = acceptor.accept();
    std::size_t received = 0;
    for (int stable = 0; stable < 20; ++stable) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        stable = received > 0 && received == peer.available() ? stable : 0;
        received = peer.available();
    }
    BOOST_TEST_REQUIRE(received < body.size());
    fixture.thread.run([&] { fixture.pool->cancel(id); });
    std::size_t read = 0;
    boost::system::error_code error;
    while (!error) {
        char buffer[4096];
        read += peer.read_some(boost::asio::buffer(buffer), error);
    }
    BOOST_TEST(read <= received);
}

// Guards against a request that is sent although it must not be sent any more when its connection
// is established.
BOOST_AUTO_TEST_CASE(requestThatMayNotBeSentIsNotConnected)
{
    ConnectionPoolFixture fixture;
    fixture.start(address, "/whole", std::nullopt, "", [] { return false; });
    BOOST_TEST((fixture.wait().callStatus == CallStatus::NotConnected));
    fixture.start(address, "/whole", std::nullopt, "", [] { return true; });
    BOOST_TEST((fixture.wait().callStatus == CallStatus::Complete));
    BOOST_TEST(fixture.requestCount == 1);
}

// Guards against connections to an upstream that leaves which stay open without use, and against
// calls that are cut off there.
BOOST_AUTO_TEST_CASE(retiredAddressIsClosedOnceItsCallsHaveEnded)
{
    ConnectionPoolFixture fixture;
    fixture.start(address, "/wait");
    for (int i = 0; i < 200 && fixture.requestCount == 0; ++i)
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    fixture.thread.run([&] { fixture.pool->retire(address); });
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    fixture.thread.run([&] {
        BOOST_TEST(fixture.pool->hasOpenConnections(address));
        fixture.openExchange->respond(textResponse(200, "late", "text/plain"));
    });
    BOOST_TEST(fixture.wait().body == "late");
    BOOST_TEST(fixture.awaitNoConnection());
    fixture.start(address, "/whole");
    BOOST_TEST((fixture.wait().callStatus == CallStatus::Complete));
    fixture.thread.run([&] {
        BOOST_TEST(fixture.pool->connectionsOpened() == 2u);
        // The address belongs to another upstream now.
        BOOST_TEST(fixture.pool->hasOpenConnections(address));
        fixture.pool->retire(address);
    });
    BOOST_TEST(fixture.awaitNoConnection());
}

// Guards against a connection to an upstream that left which carries a request to its successor at
// the address, and against a successor whose connections are closed after each call.
BOOST_AUTO_TEST_CASE(callEndsTheRetirementOfItsAddress)
{
    ConnectionPoolFixture fixture;
    fixture.start(address, "/whole");
    BOOST_TEST((fixture.wait().callStatus == CallStatus::Complete));
    fixture.thread.run([&] { fixture.pool->retire(address); });
    fixture.start(address, "/whole");
    BOOST_TEST((fixture.wait().callStatus == CallStatus::Complete));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    fixture.thread.run([&] {
        BOOST_TEST(fixture.pool->connectionsOpened() == 2u);
        BOOST_TEST(fixture.pool->hasOpenConnections(address));
    });
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
        fixture.start(server.address(), "/", "own");
        const CallResult result = fixture.wait();
        cut.check(result.callStatus == CallStatus::Complete, result.body);
        fixture.thread.run([&] { fixture.pool->closeIdleConnections(server.address()); });
    }
}

// Guards against a repeated response that is taken for the response to the next request on the
// connection, at once after the request or before the request was sent completely.
BOOST_AUTO_TEST_CASE(repeatedResponseIsSkipped)
{
    const std::string longBody(std::size_t(16) << 20, 'x');
    const std::string repeated = responseWithId("a", "old");
    const std::string withoutId = responseWithId("", "old");
    for (const std::string &stale : {repeated, withoutId, repeated + withoutId}) {
        for (const bool isLong : {false, true}) {
            ConnectionPoolFixture fixture;
            ScriptedAnswer second{responseWithId("b", "own"), ConnectionEnd::KeptOpen, stale};
            second.respondsToHead = isLong;
            ScriptedServer server({{responseWithId("a", "old")}, second});
            fixture.call(server, "a");
            const CallResult result = fixture.call(server, "b", isLong ? longBody : "");
            BOOST_TEST((result.callStatus == CallStatus::Complete));
            BOOST_TEST(result.body == "own");
            BOOST_TEST((connectionsOf(server) == std::vector<int>{0, 0}));
        }
    }
}

// Guards against a repeated response that is taken for the response to a request that is sent
// again with the same id.
BOOST_AUTO_TEST_CASE(connectionCarriesEachIdOnce)
{
    ConnectionPoolFixture fixture;
    ScriptedServer server({{responseWithId("a", "")},
                           {responseWithId("b", "")},
                           {responseWithId("a", "")},
                           {responseWithId("b", "")},
                           {responseWithId("a", "")}});
    for (const char *id : {"a", "b", "a", "b", "a"})
        fixture.call(server, id);
    BOOST_TEST((connectionsOf(server) == std::vector<int>{0, 0, 1, 1, 2}));
}

// Guards against memory that grows with each request on a connection.
BOOST_AUTO_TEST_CASE(connectionCarriesABoundedNumberOfRequests)
{
    constexpr int requests = 300;
    ConnectionPoolFixture fixture;
    std::vector<ScriptedAnswer> answers;
    for (int i = 0; i < requests; ++i)
        answers.push_back({responseWithId(std::to_string(i), "")});
    ScriptedServer server(answers);
    for (int i = 0; i < requests; ++i)
        fixture.call(server, std::to_string(i));
    BOOST_TEST(connectionsOf(server)[255] == 0);
    BOOST_TEST(connectionsOf(server)[256] == 1);
}

// Guards against a connection that is reused although its next response may be one to an earlier
// request: after a response to another request, or one that names no request.
BOOST_AUTO_TEST_CASE(connectionOutOfStepIsNotReused)
{
    struct Row
    {
        std::string id;
        std::string response;
    };
    const Row rows[] = {
            {"a", responseWithId("x", "foreign") + responseWithId("a", "own")},
            {"a", responseWithId("", "own")},
            {"", responseWithId("", "own")},
            {"", responseWithId("x", "own")},
    };
    for (const Row &row : rows) {
        ConnectionPoolFixture fixture;
        ScriptedServer server({{row.response}, {responseWithId("b", "next")}});
        BOOST_TEST(fixture.call(server, row.id).body == "own");
        BOOST_TEST(fixture.call(server, "b").body == "next");
        BOOST_TEST((connectionsOf(server) == std::vector<int>{0, 1}));
    }
}

// Guards against a response without an id that is taken for the own one after a response to another
// request came first on a new connection.
BOOST_AUTO_TEST_CASE(responseWithoutIdAfterAForeignOneIsSkipped)
{
    ConnectionPoolFixture fixture;
    ScriptedServer server({{responseWithId("x", "foreign") + responseWithId("", "old")
                            + responseWithId("a", "own")}});
    BOOST_TEST(fixture.call(server, "a").body == "own");
}

// Guards against the rest of a request that becomes part of the next one, because the upstream
// responded before it had received the request completely.
BOOST_AUTO_TEST_CASE(connectionIsNotReusedAfterAnEarlyResponse)
{
    ConnectionPoolFixture fixture;
    ScriptedAnswer early{responseWithId("a", "early")};
    early.respondsToHead = true;
    ScriptedServer server({early, {responseWithId("b", "next")}});
    BOOST_TEST(fixture.call(server, "a", std::string(std::size_t(16) << 20, 'x')).body == "early");
    BOOST_TEST(fixture.call(server, "b").body == "next");
    BOOST_TEST((connectionsOf(server) == std::vector<int>{0, 1}));
}

// Guards against bytes that arrived on an idle connection and are taken for the response to the
// next request, and against a request that is sent on a connection that its upstream has closed.
// The loop is busy when the bytes or the close arrive, so that no handler has run for them.
BOOST_AUTO_TEST_CASE(connectionWithUnreadBytesIsNotReused)
{
    constexpr absl::Duration delay = absl::Milliseconds(50);
    const std::string rows[] = {responseWithId("b", "old"), responseWithId("", "old"), "x", ""};
    for (const std::string &late : rows) {
        for (const bool isLoopBusy : {true, false}) {
            ConnectionPoolFixture fixture;
            const ConnectionEnd end =
                    late.empty() ? ConnectionEnd::Closed : ConnectionEnd::KeptOpen;
            ScriptedServer server({{responseWithId("a", "own"), end, {}, late, delay},
                                   {responseWithId("b", "next")}});
            fixture.call(server, "a");
            if (!isLoopBusy)
                absl::SleepFor(2 * delay);
            fixture.thread.run([&] {
                if (isLoopBusy)
                    absl::SleepFor(2 * delay);
                fixture.callOnLoop(server.address(), "/", "b");
            });
            const CallResult result = fixture.wait();
            BOOST_TEST((result.callStatus == CallStatus::Complete));
            BOOST_TEST(result.body == "next");
            BOOST_TEST((connectionsOf(server) == std::vector<int>{0, 1}));
        }
    }
}

// Guards against bytes that arrive after the next request was sent and are taken for its response.
BOOST_AUTO_TEST_CASE(bytesBehindAResponseAreNotTheNextOne)
{
    const std::pair<std::string, CallStatus> rows[] = {
            {responseWithId("", "old"), CallStatus::Complete},
            {"\r\n\r\nx", CallStatus::Broken},
            {"HTTP/1.1 503 X\r\n", CallStatus::Broken},
    };
    for (const auto &[late, expected] : rows) {
        ConnectionPoolFixture fixture;
        ScriptedServer server({{responseWithId("a", "own")},
                               {responseWithId("b", "next"), ConnectionEnd::KeptOpen, late}});
        fixture.call(server, "a");
        const CallResult result = fixture.call(server, "b");
        BOOST_TEST((result.callStatus == expected));
        BOOST_TEST(result.body == (expected == CallStatus::Complete ? "next" : ""));
    }
}

// Guards against a process that reads hundreds of slow streams event by event and has time for
// nothing else.
BOOST_FIXTURE_TEST_CASE(partsOfAResponseAreReadTogether, ConnectionPoolFixture)
{
    EndlessServer upstream("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n",
                           absl::Milliseconds(5));
    ConnectionPoolOptions options;
    options.readInterval = absl::Milliseconds(100);
    std::unique_ptr<ConnectionPool> slowPool;
    int parts = 0;
    std::size_t bytes = 0;
    thread.run([&] {
        slowPool = std::make_unique<ConnectionPool>(thread.loop(), options);
        CallHandlers handlers;
        handlers.onBody = [&](std::string_view part) {
            ++parts;
            bytes += part.size();
        };
        handlers.onEnd = [](CallStatus) {};
        Request request;
        request.method = "GET";
        request.target = "/";
        request.headers.add("Host", "h");
        slowPool->call(upstream.address(), serialize(request), std::move(handlers));
    });
    absl::SleepFor(absl::Milliseconds(1050));
    thread.run([&] {
        BOOST_TEST(parts >= 2);
        BOOST_TEST(parts <= 11);
        BOOST_TEST(bytes > 2 * static_cast<std::size_t>(parts));
        slowPool.reset();
    });
}

// Guards against an upstream that is told more time than is left, because the request was written
// before its connection was established.
BOOST_AUTO_TEST_CASE(requestIsWrittenWhenTheConnectionIsEstablished)
{
    HangingListener upstream;
    LoopThread thread;
    ConnectionPoolOptions options;
    options.connectTimeout = absl::Seconds(10);
    ConnectionPool pool(thread.loop(), options);
    std::atomic<bool> isDrained{false};
    std::atomic<int> earlyWrites{0};
    absl::Notification written;
    thread.run([&] {
        const RequestWriter writer = [&] {
            earlyWrites += isDrained ? 0 : 1;
            written.Notify();
            return std::string("GET / HTTP/1.1\r\n\r\n");
        };
        pool.call(upstream.address(), writer, {{}, {}, {}, [](CallStatus) {}});
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    isDrained = true;
    upstream.drain();
    BOOST_TEST(written.WaitForNotificationWithTimeout(absl::Seconds(9)));
    BOOST_TEST(earlyWrites == 0);
    thread.run([&] { pool.stop(); });
}

// Guards against a call that fails although its upstream accepts connections again within the time
// to connect: the operating system repeats an attempt that meets a full accept queue after 1 s.
BOOST_AUTO_TEST_CASE(connectionIsEstablishedSoonAfterAFullAcceptQueue)
{
    HangingListener upstream;
    LoopThread thread;
    ConnectionPool pool(thread.loop(), ConnectionPoolOptions());
    absl::Notification written;
    std::atomic<int> failures{0};
    thread.run([&] {
        const RequestWriter writer = [&] {
            written.Notify();
            return std::string("GET / HTTP/1.1\r\n\r\n");
        };
        pool.call(upstream.address(), writer, {{}, {}, {}, [&](CallStatus) { ++failures; }});
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    upstream.drain();
    BOOST_TEST(written.WaitForNotificationWithTimeout(absl::Seconds(10)));
    BOOST_TEST(failures == 0);
    // The handshakes before left no connection behind.
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    BOOST_TEST(upstream.otherConnections() == 1u);
    thread.run([&] { pool.stop(); });
}

// Guards against a connection that is never established because the answer to its handshake takes
// longer than the time until the next one. Only what the first handshake sends arrives, and first
// when the operating system repeats it after 1 s.
BOOST_AUTO_TEST_CASE(lateAnswerToTheFirstHandshakeIsUsed)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor upstream(context, {boost::asio::ip::address_v4::loopback(), 0});
    const int port = upstream.local_endpoint().port();
    acceptArrivalsFrom(upstream.native_handle(), 0);
    LoopThread thread;
    ConnectionPoolOptions options;
    options.connectTimeout = absl::Seconds(3);
    ConnectionPool pool(thread.loop(), options);
    absl::Notification connected;
    bool isConnected = false;
    thread.run([&] {
        pool.connect("127.0.0.1:" + std::to_string(port), [&](bool result) {
            isConnected = result;
            connected.Notify();
        });
    });
    acceptArrivalsFrom(upstream.native_handle(), connectingPort(port));
    BOOST_TEST(connected.WaitForNotificationWithTimeout(absl::Seconds(10)));
    BOOST_TEST(isConnected);
    thread.run([&] { pool.stop(); });
}

// Guards against a full accept queue that is reported like a refused connection, which proves that
// nothing listens on the address.
BOOST_FIXTURE_TEST_CASE(callToAFullAcceptQueueIsUnanswered, ConnectionPoolFixture)
{
    const HangingListener upstream;
    start(upstream.address(), "/whole");
    BOOST_TEST((wait().callStatus == CallStatus::Unanswered));
}

// Guards against a part of a response that counts as the whole one, because the write of a long
// upload has taken the error of the reset, and the read then sees an orderly close.
BOOST_FIXTURE_TEST_CASE(responseThatIsResetDuringAnUploadIsBroken, ConnectionPoolFixture)
{
    constexpr int calls = 20;
    ScriptedServer upstream({resetDuringUpload()});
    for (int i = 0; i < calls; ++i) {
        const CallResult received = call(upstream, "a", std::string(std::size_t(8) << 20, 'x'));
        BOOST_TEST((received.callStatus == CallStatus::Broken));
    }
}

// Guards against a whole response that counts as broken because its upstream resets the connection
// afterwards, with a long upload unread.
BOOST_FIXTURE_TEST_CASE(responseWithLengthIsCompleteBeforeTheUploadIsReset, ConnectionPoolFixture)
{
    ScriptedAnswer answer = resetDuringUpload();
    answer.bytes = responseWithId("a", "whole");
    answer.late = "x";
    answer.lateDelay = absl::Milliseconds(200);
    ScriptedServer upstream({answer});
    const CallResult received = call(upstream, "a", std::string(std::size_t(8) << 20, 'x'));
    BOOST_TEST((received.callStatus == CallStatus::Complete));
    BOOST_TEST(received.body == "whole");
}

// Guards against bytes that reach an upstream although the request is malformed, and against a call
// that does not end, on a new connection and on an idle one.
BOOST_FIXTURE_TEST_CASE(malformedRequestIsNotSent, ConnectionPoolFixture)
{
    for (const bool isIdle : {false, true}) {
        ScriptedServer server({{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}});
        if (isIdle)
            BOOST_TEST((call(server, "a").callStatus == CallStatus::Complete));
        start(server.address(), "/b\r\nX: 1", "b");
        BOOST_TEST((wait().callStatus == CallStatus::Malformed));
        BOOST_TEST(server.requests().size() == (isIdle ? 1u : 0u));
    }
}

BOOST_AUTO_TEST_SUITE_END()
