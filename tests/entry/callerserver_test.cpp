#include "callerserver.h"

#include "exchange.h"

#include "rawsocket.h"

#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>

namespace rattanrill::entry {
namespace {

constexpr absl::Duration finishTimeout = absl::Seconds(20);
/// Time after which a thread that was started before has certainly called CallerServer::finish().
constexpr absl::Duration startTime = absl::Milliseconds(100);

constexpr std::size_t maxBodyBytes = 1000;

constexpr std::string_view quickRequest = "GET /quick HTTP/1.1\r\nHost: x\r\n\r\n";
constexpr std::string_view heldRequest = "GET /held HTTP/1.1\r\nHost: x\r\n\r\n";
constexpr std::string_view heldStreamRequest = "GET /stream HTTP/1.1\r\nHost: x\r\n\r\n";

http::ServerOptions serverOptions()
{
    http::ServerOptions options;
    options.maxConnections = 8;
    return options;
}

/// Server with a route that responds at once, and two that respond after release().
class TestServer
{
public:
    explicit TestServer(http::ServerOptions options = serverOptions())
        : m_server(options)
    {
        m_server.Get("/quick", [](const httplib::Request &, httplib::Response &response) {
            response.set_content("quick", "text/plain");
        });
        m_server.Get("/held", [this](const httplib::Request &, httplib::Response &response) {
            m_held.Notify();
            m_released.WaitForNotification();
            response.set_content("held", "text/plain");
        });
        m_server.Get("/stream", [this](const httplib::Request &, httplib::Response &response) {
            response.set_chunked_content_provider("text/plain",
                                                  [this](std::size_t, httplib::DataSink &sink) {
                                                      sink.write("begin", 5);
                                                      m_released.WaitForNotification();
                                                      sink.write("end", 3);
                                                      sink.done();
                                                      return true;
                                                  });
        });
        m_server.Post("/body", [this](const httplib::Request &request, httplib::Response &response,
                                      const httplib::ContentReader &reader) {
            Exchange exchange(request, response, &reader);
            const Outcome<std::string> body = exchange.readBody(maxBodyBytes);
            if (body.ok())
                ++m_bodies;
            else
                exchange.sendFailure(body.failure());
        });
        BOOST_REQUIRE(outcomeOf([&] { return m_server.start("127.0.0.1", 0); }).ok());
    }

    ~TestServer()
    {
        release();
        finish();
    }

    /// Number of requests to "/body" whose body was read to its end.
    std::size_t bodies() const { return m_bodies; }
    int port() const { return m_server.port(); }
    CallerServer &server() { return m_server; }
    /// Waits until a request to "/held" runs.
    void awaitHeld() { m_held.WaitForNotification(); }
    void release()
    {
        if (!m_released.HasBeenNotified())
            m_released.Notify();
    }

    /// Begins the shutdown up to the wait for running requests, which takes place on another
    /// thread.
    void beginShutdown(absl::Duration timeout = finishTimeout)
    {
        m_server.closeAfterResponses();
        m_server.closeListener();
        m_finisher = std::thread([this, timeout] { m_finished = m_server.finish(timeout); });
        absl::Notification().WaitForNotificationWithTimeout(startTime);
    }

    /// Returns whether all requests ended before the timeout.
    bool finish()
    {
        if (m_finisher.joinable())
            m_finisher.join();
        return m_finished;
    }

private:
    CallerServer m_server;
    absl::Notification m_held;
    absl::Notification m_released;
    std::atomic<std::size_t> m_bodies{0};
    std::thread m_finisher;
    bool m_finished = true;
};

/// Sends \a bytes, closes the sending side and waits until the server closes the connection.
void sendAndEnd(int port, const std::string &bytes)
{
    using boost::asio::ip::tcp;
    boost::asio::io_context context;
    tcp::socket socket(context);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(port)});
    boost::asio::write(socket, boost::asio::buffer(bytes));
    socket.shutdown(tcp::socket::shutdown_send);
    std::string response;
    boost::system::error_code end;
    boost::asio::read(socket, boost::asio::dynamic_buffer(response), end);
}

/// Sends \a bytes and resets the connection once the server has had the time to read them.
void sendAndReset(int port, const std::string &bytes)
{
    using boost::asio::ip::tcp;
    boost::asio::io_context context;
    tcp::socket socket(context);
    socket.connect({boost::asio::ip::make_address("127.0.0.1"), static_cast<unsigned short>(port)});
    boost::asio::write(socket, boost::asio::buffer(bytes));
    absl::SleepFor(absl::Milliseconds(20));
    socket.set_option(tcp::socket::linger(true, 0));
    socket.close();
}

bool contains(const std::string &text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CallerServerTest)

// R12: guards against a response that announces keep-alive although the server closes the
// connection after it, because the request began before the shutdown.
BOOST_AUTO_TEST_CASE(responseOfARunningRequestAnnouncesTheClose)
{
    TestServer server;
    net::RawSocket caller(server.port());
    caller.send(heldRequest);
    server.awaitHeld();
    server.beginShutdown();
    server.release();
    const std::string response = caller.readAll();
    BOOST_TEST(contains(response, "Connection: close"), response);
    BOOST_TEST(!contains(response, "Keep-Alive"), response);
    caller.close();
    BOOST_TEST(server.finish());
}

// R12: guards against a server that reads and discards a request on a connection whose last
// response promised that the connection stays open.
BOOST_AUTO_TEST_CASE(requestAfterAStreamThatBeganBeforeTheShutdownIsServed)
{
    TestServer server;
    net::RawSocket caller(server.port());
    caller.send(heldStreamRequest);
    BOOST_TEST(contains(caller.readUntil("begin"), "Keep-Alive"));
    server.beginShutdown();
    server.release();
    (void)caller.readUntil("0\r\n\r\n");
    caller.send(quickRequest);
    const std::string response = caller.readAll();
    BOOST_TEST(contains(response, "quick"), response);
    BOOST_TEST(contains(response, "Connection: close"), response);
    caller.close();
    BOOST_TEST(server.finish());
}

// R12: guards against a reset of a connection that was accepted just before the listener closed and
// whose request arrives just after.
BOOST_AUTO_TEST_CASE(requestOnAConnectionAcceptedBeforeTheListenerClosedIsServed)
{
    TestServer server;
    net::RawSocket used(server.port());
    used.send(quickRequest);
    (void)used.readUntil("quick");
    net::RawSocket unused(server.port());
    // The server accepts connections in order, so it has accepted the second one as well.
    net::RawSocket later(server.port());
    later.send(quickRequest);
    (void)later.readUntil("quick");
    server.beginShutdown();
    unused.send(quickRequest);
    const std::string response = unused.readAll();
    BOOST_TEST(contains(response, "quick"), response);
    BOOST_TEST(contains(response, "Connection: close"), response);
    // Connections that were kept are closed when no request is expected any more.
    BOOST_TEST(contains(used.readAll(), "quick"));
    for (net::RawSocket *caller : {&used, &unused, &later})
        caller->close();
    BOOST_TEST(server.finish());
}

// R12: guards against a connection that is closed while the request which follows its last response
// is on its way: the response announced that the connection is kept.
BOOST_AUTO_TEST_CASE(requestShortlyAfterAResponseIsServedDuringTheShutdown)
{
    TestServer server;
    net::RawSocket caller(server.port());
    caller.send(quickRequest);
    BOOST_TEST(contains(caller.readUntil("quick"), "Keep-Alive"));
    server.beginShutdown();
    caller.send(heldRequest);
    server.release();
    const std::string response = caller.readAll();
    BOOST_TEST(contains(response, "held"), response);
    BOOST_TEST(contains(response, "Connection: close"), response);
    caller.close();
    BOOST_TEST(server.finish());
}

// R12: guards against a kept connection that is closed while the shutdown waits for other requests.
BOOST_AUTO_TEST_CASE(idleConnectionIsServedWhileTheShutdownWaitsForRequests)
{
    TestServer server;
    net::RawSocket idle(server.port());
    idle.send(quickRequest);
    (void)idle.readUntil("quick");
    net::RawSocket unused(server.port());
    net::RawSocket streaming(server.port());
    streaming.send(heldStreamRequest);
    (void)streaming.readUntil("begin");
    server.beginShutdown();
    // Longer than the time for which the shutdown waits for a request on an idle connection.
    absl::SleepFor(absl::Milliseconds(1500));
    idle.send(heldRequest);
    server.release();
    const std::string response = idle.readAll();
    BOOST_TEST(contains(response, "held"), response);
    BOOST_TEST(contains(response, "Connection: close"), response);
    for (net::RawSocket *caller : {&idle, &streaming, &unused})
        caller->close();
    BOOST_TEST(server.finish());
}

// Guards against a kept connection that holds the shutdown for its whole idle timeout.
BOOST_AUTO_TEST_CASE(idleConnectionsAreClosedWhenNoRequestRuns)
{
    TestServer server;
    net::RawSocket caller(server.port());
    caller.send(quickRequest);
    (void)caller.readUntil("quick");
    const absl::Time begin = absl::Now();
    server.beginShutdown();
    (void)caller.readAll();
    BOOST_TEST((absl::Now() - begin < http::ServerOptions().keepAliveTimeout / 3));
    caller.close();
    BOOST_TEST(server.finish());
}

// Guards against an announced timeout of 0: only whole seconds can be announced.
BOOST_AUTO_TEST_CASE(keepAliveTimeoutBelowOneSecondIsAnnouncedAsClose)
{
    http::ServerOptions options = serverOptions();
    options.keepAliveTimeout = absl::Milliseconds(900);
    TestServer server(options);
    net::RawSocket caller(server.port());
    caller.send(quickRequest);
    const std::string response = caller.readAll();
    BOOST_TEST(contains(response, "Connection: close"), response);
    BOOST_TEST(!contains(response, "Keep-Alive"), response);
}

// Guards against a shutdown that counts as cut off because a caller keeps its idle connection open.
BOOST_AUTO_TEST_CASE(connectionThatItsCallerKeepsOpenIsNoRunningRequest)
{
    TestServer server;
    net::RawSocket caller(server.port());
    caller.send(quickRequest);
    (void)caller.readUntil("quick");
    server.beginShutdown(absl::Milliseconds(200));
    BOOST_TEST(server.finish());
}

// R8: guards against running a request whose body broke off, in particular within the framing of a
// chunk.
BOOST_AUTO_TEST_CASE(requestThatIsCutAtAnyByteIsNotRun)
{
    const std::string head = "POST /body HTTP/1.1\r\nHost: x\r\nConnection: close\r\n";
    const std::string requests[] = {
            head + "Content-Length: 7\r\n\r\nabcdefg",
            head + "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n3\r\nefg\r\n0\r\n\r\n"};
    for (const std::string &request : requests) {
        TestServer server;
        for (std::size_t cut = 0; cut <= request.size(); ++cut) {
            sendAndEnd(server.port(), request.substr(0, cut));
            BOOST_TEST(server.bodies() == (cut < request.size() ? 0u : 1u), request.substr(0, cut));
        }
    }
}

// R8: guards against running a part of a request whose connection was reset within its body.
BOOST_AUTO_TEST_CASE(requestThatIsResetIsNotRun)
{
    const std::string head = "POST /body HTTP/1.1\r\nHost: x\r\nConnection: close\r\n";
    const std::string requests[] = {
            head + "Content-Length: 7\r\n\r\nabcd",
            head + "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n",
    };
    for (const std::string &request : requests) {
        TestServer server;
        sendAndReset(server.port(), request);
        // Gives the first request the time of another one to end.
        sendAndEnd(server.port(), head + "Content-Length: 1\r\n\r\nx");
        BOOST_TEST(server.bodies() == 1u, request);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanrill::entry
