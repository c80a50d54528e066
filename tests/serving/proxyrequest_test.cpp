#include "rattanrill/serving/proxyrequest.h"

#include "loopthread.h"
#include "rawcall.h"
#include "testprotocoladapter.h"

#include "absl/synchronization/mutex.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

using namespace rattanrill;
using namespace rattanrill::serving;

namespace {

constexpr const char *entryAddress = "127.0.0.1:38481";
constexpr unsigned short entryPort = 38481;
constexpr int firstUpstreamPort = 38482;

/// An upstream that follows a script: the n-th request to any upstream gets the n-th answer.
struct Step
{
    /// Bytes that are sent, with {id} for the id of the request.
    std::string bytes;
    bool closes = false;
    /// Milliseconds before the bytes.
    int delay = 0;
};

std::string whole(const std::string &id, const std::string &body, int status = 200,
                  const std::string &more = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nId: " + id + "\r\nSigned: s-" + id + "\r\n"
           + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string chunk(const std::string &text)
{
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    return size + text + "\r\n";
}

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: d" + std::to_string(id) + "\n\n";
}

std::string streamHead(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSigned: s-" + id
           + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

class ScriptedUpstreams
{
public:
    explicit ScriptedUpstreams(std::vector<Step> steps)
        : m_steps(std::move(steps))
    {
        for (int i = 0; i < 2; ++i)
            m_threads.emplace_back([this, i] { serve(firstUpstreamPort + i); });
        while (m_listening < 2)
            std::this_thread::yield();
    }
    ~ScriptedUpstreams()
    {
        m_context.stop();
        for (std::thread &thread : m_threads)
            thread.join();
    }

    std::vector<std::string> requests() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_requests;
    }

private:
    using Tcp = boost::asio::ip::tcp;

    /// Each connection is served on a thread of its own until it or the test ends.
    void serve(int port)
    {
        boost::asio::io_context context;
        Tcp::acceptor acceptor(context, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"),
                                                      static_cast<unsigned short>(port)));
        ++m_listening;
        std::vector<std::thread> connections;
        acceptor.non_blocking(true);
        while (!m_context.stopped()) {
            boost::system::error_code error;
            auto socket = std::make_shared<Tcp::socket>(context);
            acceptor.accept(*socket, error);
            if (error) {
                std::this_thread::sleep_for(std::chrono::milliseconds(2));
                continue;
            }
            connections.emplace_back([this, socket] { talk(*socket); });
        }
        for (std::thread &connection : connections)
            connection.join();
    }

    void talk(Tcp::socket &socket)
    {
        std::string text;
        socket.non_blocking(true);
        while (!m_context.stopped()) {
            char buffer[4096];
            boost::system::error_code error;
            const std::size_t size = socket.read_some(boost::asio::buffer(buffer), error);
            if (error == boost::asio::error::would_block) {
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
                continue;
            }
            if (error)
                return;
            text.append(buffer, size);
            if (text.find("\r\n\r\n") == std::string::npos)
                continue;
            const Step step = nextStep(std::exchange(text, std::string()));
            std::this_thread::sleep_for(std::chrono::milliseconds(step.delay));
            boost::asio::write(socket, boost::asio::buffer(step.bytes), error);
            if (step.closes)
                return;
        }
    }

    Step nextStep(std::string request)
    {
        absl::MutexLock lock(&m_mutex);
        const std::size_t number = m_requests.size();
        m_requests.push_back(std::move(request));
        return number < m_steps.size() ? m_steps[number] : Step{whole("x", "unexpected")};
    }

    boost::asio::io_context m_context;
    const std::vector<Step> m_steps;
    std::vector<std::thread> m_threads;
    std::atomic<int> m_listening{0};
    mutable absl::Mutex m_mutex;
    std::vector<std::string> m_requests;
};

/// An entry with one route, whose places come from its own share.
struct Entry
{
    explicit Entry(Route route)
    {
        route.name = "r";
        route.host = "h";
        route.pathPrefix = "/";
        route.targets = {{"s", 1}};
        route.latencyObjective = absl::Milliseconds(300);
        route.interEventObjective = absl::Milliseconds(300);
        Deployment deployment;
        deployment.version = 1;
        deployment.routes = {route};
        index = std::make_shared<const DeploymentIndex>(std::move(deployment));
        thread.run([this] {
            slotClient.setDeployment(index);
            slotClient.setUpstreams({{"u1", "s", "127.0.0.1:38482", "d", 4, false},
                                     {"u2", "s", "127.0.0.1:38483", "d", 4, false}},
                                    1);
            server = std::make_unique<net::Server>(loop, [this](auto exchange) {
                RoutedRequest request;
                request.deployment = index;
                request.route = &index->deployment().routes.front();
                request.caller = outcomeOf([&] {
                                     return adapter.parseRequest(exchange->request());
                                 }).value();
                proxyRequest(context, std::move(request), std::move(exchange));
            });
            BOOST_REQUIRE(outcomeOf([&] { return server->start(entryAddress); }).ok());
        });
    }
    ~Entry()
    {
        thread.run([this] {
            server.reset();
            upstreams.stop();
        });
    }

    /// The answer to one request.
    static std::string ask(const std::string &id)
    {
        return net::rawCall(entryPort,
                            "POST /x HTTP/1.1\r\nHost: h\r\nId: " + id
                                    + "\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi");
    }

    net::LoopThread thread;
    net::EventLoop &loop = thread.loop();
    Metrics metrics;
    TestProtocolAdapter adapter;
    net::ConnectionPool upstreams{loop, net::ConnectionPoolOptions()};
    peer::ChannelPool channels{peer::TransportOptions()};
    SlotClient slotClient{loop, channels, SystemClock::instance(), SlotClientSettings()};
    const ServingContext context{
            loop, SystemClock::instance(), metrics, adapter, upstreams, slotClient, {"e", "d"}};
    std::shared_ptr<const DeploymentIndex> index;
    std::unique_ptr<net::Server> server;
};

Route routeOf(RouteKind kind, int attempts, bool resumable = false)
{
    Route route;
    route.kind = kind;
    route.maxAttempts = attempts;
    route.resumable = resumable;
    return route;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ProxyRequestTest)

BOOST_AUTO_TEST_CASE(answerIsPassedOnUnchanged)
{
    ScriptedUpstreams upstreams({{whole("a", "body")}});
    Entry entry(routeOf(RouteKind::NonIdempotent, 1));
    const std::string answer = entry.ask("a");
    BOOST_TEST(contains(answer, "HTTP/1.1 200"));
    BOOST_TEST(contains(answer, "Signed: s-a"));
    BOOST_TEST(contains(answer, "\r\n\r\nbody"));
    BOOST_TEST(contains(upstreams.requests().at(0), "\r\n\r\nhi"));
}

// Guards against a request that may run once only and is sent again after it may have run.
BOOST_AUTO_TEST_CASE(nonIdempotentRequestIsNotRepeated)
{
    ScriptedUpstreams upstreams({{"", true}});
    Entry entry(routeOf(RouteKind::NonIdempotent, 3));
    BOOST_TEST(contains(entry.ask("a"), "HTTP/1.1 502"));
    BOOST_TEST(upstreams.requests().size() == 1u);
}

BOOST_AUTO_TEST_CASE(refusedRequestRunsElsewhere)
{
    ScriptedUpstreams upstreams(
            {{whole("a", "full", 503, "Not-Run: 1\r\n")}, {whole("a", "done")}});
    Entry entry(routeOf(RouteKind::NonIdempotent, 3));
    BOOST_TEST(contains(entry.ask("a"), "done"));
    BOOST_TEST(upstreams.requests().size() == 2u);
}

BOOST_AUTO_TEST_CASE(idempotentRequestRunsAgainAfterACutAnswer)
{
    ScriptedUpstreams upstreams({{"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nha", true},
                                 {whole("a", "whole")}});
    Entry entry(routeOf(RouteKind::Idempotent, 2));
    const std::string answer = entry.ask("a");
    BOOST_TEST(contains(answer, "\r\n\r\nwhole"));
    BOOST_TEST(!contains(answer, "\r\n\r\nha"));
}

// Guards against an answer of another request that reaches the caller.
BOOST_AUTO_TEST_CASE(foreignAnswerIsNotDelivered)
{
    ScriptedUpstreams upstreams({{whole("other", "foreign") + whole("a", "mine")}});
    Entry entry(routeOf(RouteKind::NonIdempotent, 1));
    const std::string answer = entry.ask("a");
    BOOST_TEST(contains(answer, "mine"));
    BOOST_TEST(!contains(answer, "foreign"));
}

// Guards against a stream in which an event is missing, doubled or cut after its upstream broke
// off in the middle of one.
BOOST_AUTO_TEST_CASE(resumableStreamGoesOnAtAnotherUpstream)
{
    ScriptedUpstreams upstreams(
            {{streamHead("a") + chunk(event(1)) + chunk(event(2) + "id: 3\nda"), true},
             {streamHead("a") + chunk(event(3)) + chunk(event(4)) + "0\r\n\r\n"}});
    Entry entry(routeOf(RouteKind::Streaming, 2, true));
    const std::string answer = entry.ask("a");
    std::string joined;
    for (int id = 1; id <= 4; ++id) {
        const std::size_t first = answer.find(event(id));
        BOOST_TEST((first != std::string::npos));
        BOOST_TEST((answer.find(event(id), first + 1) == std::string::npos));
    }
    BOOST_TEST(contains(answer, "\r\n0\r\n\r\n"));
    BOOST_TEST(contains(upstreams.requests().at(1), "After: 2"));
}

// Guards against a broken stream that looks complete.
BOOST_AUTO_TEST_CASE(streamThatMayNotGoOnIsCutOff)
{
    ScriptedUpstreams upstreams({{streamHead("a") + chunk(event(1)), true}});
    Entry entry(routeOf(RouteKind::Streaming, 2, false));
    const std::string answer = entry.ask("a");
    BOOST_TEST(contains(answer, event(1)));
    BOOST_TEST(!contains(answer, "\r\n0\r\n\r\n"));
    BOOST_TEST(upstreams.requests().size() == 1u);
}

// Guards against a silent upstream for which a caller waits until the deadline.
BOOST_AUTO_TEST_CASE(silentUpstreamIsLeftForAFreeOne)
{
    ScriptedUpstreams upstreams({{whole("a", "late"), false, 2000}, {whole("a", "soon")}});
    Entry entry(routeOf(RouteKind::Idempotent, 2));
    BOOST_TEST(contains(entry.ask("a"), "soon"));
}

// Guards against a failure of the upstream that is replaced by one of our own.
BOOST_AUTO_TEST_CASE(failureOfTheUpstreamIsPassedOn)
{
    ScriptedUpstreams upstreams({{whole("a", "it failed", 500)}});
    Entry entry(routeOf(RouteKind::NonIdempotent, 3));
    const std::string answer = entry.ask("a");
    BOOST_TEST(contains(answer, "HTTP/1.1 500"));
    BOOST_TEST(contains(answer, "Signed: s-a"));
}

BOOST_AUTO_TEST_SUITE_END()
