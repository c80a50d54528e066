#include "callerserver.h"

#include "rawsocket.h"

#include "absl/synchronization/notification.h"

#include <boost/test/unit_test.hpp>

namespace rattanrill::entry {
namespace {

constexpr absl::Duration finishTimeout = absl::Seconds(20);
/// Time after which a thread that was started before has certainly called CallerServer::finish().
constexpr absl::Duration startTime = absl::Milliseconds(100);

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
    TestServer()
        : m_server(serverOptions())
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
        BOOST_REQUIRE(outcomeOf([&] { return m_server.start("127.0.0.1", 0); }).ok());
    }

    ~TestServer()
    {
        release();
        finish();
    }

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
    void beginShutdown()
    {
        m_server.closeAfterResponses();
        m_server.closeListener();
        m_finisher = std::thread([this] { m_finished = m_server.finish(finishTimeout); });
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
    std::thread m_finisher;
    bool m_finished = true;
};

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
    // Connections that were kept are closed at once.
    BOOST_TEST(contains(used.readAll(), "quick"));
    for (net::RawSocket *caller : {&used, &unused, &later})
        caller->close();
    BOOST_TEST(server.finish());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattanrill::entry
