#include "rattanrill/serving/proxyrequest.h"

#include "loopthread.h"
#include "rawcall.h"
#include "resumedresponses.h"
#include "testprotocoladapter.h"

#include "rattanrill/peer/server.h"
#include "rattanrill/wire/codec.h"

#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::serving;

namespace {

constexpr const char *entryAddress = "127.0.0.1:28481";
constexpr unsigned short entryPort = 28481;
constexpr int firstUpstreamPort = 28482;
constexpr std::size_t maxUpstreams = 3;
constexpr unsigned short silentBrokerPort = 28485;

/// A scripted response.
struct Step
{
    /// Bytes that are sent, unchanged.
    std::string bytes;
    /// Closes the connection after the bytes.
    bool closes = false;
    /// Delay in milliseconds before the bytes are sent.
    int delay = 0;
    /// Sent after the bytes, without end.
    std::string filler = {};
    /// Sent before the bytes if the connection has carried an earlier request.
    std::string stale = {};
};

std::string completeResponse(const std::string &id, const std::string &body, int status = 200,
                             const std::string &extraHeaders = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nId: " + id + "\r\nSigned: s-" + id + "\r\n"
           + extraHeaders + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string event(int id)
{
    return numberedEvent(id);
}

/// Head of a stream whose end is the end of its connection.
std::string streamHeadWithoutLength(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Type: text/event-stream\r\n\r\n";
}

std::string streamHead(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSigned: s-" + id
           + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

/// Upstreams that respond by a script: the n-th request, to any of them, gets the n-th step.
class ScriptedUpstreams
{
public:
    explicit ScriptedUpstreams(std::vector<Step> steps, int count = 2)
        : m_steps(std::move(steps))
    {
        BOOST_TEST_REQUIRE(static_cast<std::size_t>(count) <= maxUpstreams);
        for (int i = 0; i < count; ++i)
            m_threads.emplace_back([this, i] { serve(firstUpstreamPort + i); });
        while (m_listening < count)
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
    /// Number of requests that the first (0) or the second upstream (1) received.
    int requestsAt(int upstream) const
    {
        absl::MutexLock lock(&m_mutex);
        return m_counts.at(static_cast<std::size_t>(upstream));
    }

private:
    using Tcp = boost::asio::ip::tcp;

    /// Accepts connections and serves each on its own thread until the connection or the test ends.
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
            connections.emplace_back([this, socket, port] {
                serveConnection(*socket, static_cast<std::size_t>(port - firstUpstreamPort));
            });
        }
        for (std::thread &connection : connections)
            connection.join();
    }

    void serveConnection(Tcp::socket &socket, std::size_t upstream)
    {
        std::string text;
        bool isKept = false;
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
            const Step step = nextStep(std::exchange(text, std::string()), upstream);
            std::this_thread::sleep_for(std::chrono::milliseconds(step.delay));
            // A write to a non-blocking socket ends when its send buffer is full.
            socket.non_blocking(false);
            const std::string bytes = (isKept ? step.stale : "") + step.bytes;
            boost::asio::write(socket, boost::asio::buffer(bytes), error);
            isKept = true;
            socket.non_blocking(true);
            if (step.closes || !sendFiller(socket, step.filler))
                return;
        }
    }

    /// Sends \a filler again and again; returns false when the peer has closed the connection.
    bool sendFiller(Tcp::socket &socket, const std::string &filler) const
    {
        while (!filler.empty() && !m_context.stopped()) {
            boost::system::error_code error;
            socket.write_some(boost::asio::buffer(filler), error);
            if (error && error != boost::asio::error::would_block)
                return false;
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return true;
    }

    Step nextStep(std::string request, std::size_t upstream)
    {
        absl::MutexLock lock(&m_mutex);
        ++m_counts.at(upstream);
        const std::size_t number = m_requests.size();
        m_requests.push_back(std::move(request));
        return number < m_steps.size() ? m_steps[number]
                                       : Step{completeResponse("x", "unexpected")};
    }

    boost::asio::io_context m_context;
    const std::vector<Step> m_steps;
    std::vector<std::thread> m_threads;
    std::atomic<int> m_listening{0};
    mutable absl::Mutex m_mutex;
    std::vector<std::string> m_requests;
    std::array<int, maxUpstreams> m_counts{};
};

peer::TransportOptions transport(const std::string &instance)
{
    peer::TransportOptions options;
    options.self = {instance, "d", "entry"};
    options.clusterSecret = "s";
    return options;
}

/// A broker without any record of announcements, like one that has just started: it grants each
/// request the first upstream that the request does not exclude.
class UnknowingBroker
{
public:
    UnknowingBroker()
    {
        m_server.setHandler(wire::Method::RequestSlot,
                            [this](const peer::PeerIdentity &, const std::string &body,
                                   const peer::ResponseCallback &reply) {
                                reply(wire::encode(grant(decode<wire::SlotRequest>(body))));
                            });
        m_server.setHandler(wire::Method::ReleaseSlot,
                            [this](const peer::PeerIdentity &, const std::string &body,
                                   const peer::ResponseCallback &reply) {
                                absl::MutexLock lock(&m_mutex);
                                m_releases.push_back(decode<wire::SlotRelease>(body));
                                reply(std::string());
                            });
        m_server.setHandler(wire::Method::ReportLoad,
                            [this](const peer::PeerIdentity &, const std::string &body,
                                   const peer::ResponseCallback &reply) {
                                absl::MutexLock lock(&m_mutex);
                                m_loads.push_back(decode<wire::UpstreamLoad>(body));
                                reply(std::string());
                            });
        BOOST_REQUIRE(outcomeOf([&] { return m_server.start("127.0.0.1", 0); }).ok());
    }
    ~UnknowingBroker() { m_server.stop(); }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_server.port()); }

    std::vector<wire::SlotRequest> requests() const
    {
        absl::MutexLock lock(&m_mutex);
        return m_requests;
    }
    /// Waits for \a count releases and returns them; fewer after 10 s.
    std::vector<wire::SlotRelease> awaitReleases(std::size_t count) const
    {
        absl::MutexLock lock(&m_mutex);
        const auto received = [&] { return m_releases.size() >= count; };
        m_mutex.AwaitWithTimeout(absl::Condition(&received), absl::Seconds(10));
        return m_releases;
    }
    /// Number of reports that an upstream leaves.
    int leavingReports() const
    {
        absl::MutexLock lock(&m_mutex);
        return static_cast<int>(std::count_if(m_loads.begin(), m_loads.end(),
                                              [](const auto &load) { return load.leaving; }));
    }

private:
    template <typename Message>
    static Message decode(const std::string &body)
    {
        return outcomeOf([&] { return wire::decode<Message>(body); }).value();
    }

    wire::SlotResponse grant(const wire::SlotRequest &request)
    {
        absl::MutexLock lock(&m_mutex);
        m_requests.push_back(request);
        wire::SlotResponse response;
        for (int i = 1; i <= 2; ++i) {
            const std::string upstream = "u" + std::to_string(i);
            const auto &excluded = request.excluded;
            if (std::find(excluded.begin(), excluded.end(), upstream) != excluded.end())
                continue;
            response.verdict = wire::SlotOutcome::Granted;
            response.upstream = upstream;
            response.address = "127.0.0.1:" + std::to_string(firstUpstreamPort + i - 1);
            break;
        }
        return response;
    }

    peer::Server m_server{transport("broker")};
    mutable absl::Mutex m_mutex;
    std::vector<wire::SlotRequest> m_requests;
    std::vector<wire::SlotRelease> m_releases;
    std::vector<wire::UpstreamLoad> m_loads;
};

/// Settings with which a busy machine does not make the entry use its local share, and with which
/// the entry has known the list of upstreams for as long as callers resume streams.
SlotClientSettings slotClientSettings()
{
    SlotClientSettings settings;
    settings.roundTripAllowance = absl::Seconds(5);
    settings.localBroker.resumptionMargin = -absl::InfiniteDuration();
    return settings;
}

/// An entry process with one route. Without a broker, its slots come from the local share.
struct Entry
{
    Entry(Route route, const std::string &broker)
        : Entry(std::move(route), 2, broker)
    {}
    explicit Entry(Route route, int upstreamCount = 2, const std::string &broker = "")
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
        thread.run([this, upstreamCount, &broker] {
            slotClient.setDeployment(index);
            slotClient.setUpstreams(upstreamList(upstreamCount), 1);
            slotClient.setBroker(broker);
            server = std::make_unique<net::Server>(loop, [this](auto exchange) {
                RoutedRequest request;
                request.deployment = index;
                request.route = &index->deployment().routes.front();
                request.caller = outcomeOf([&] {
                                     return adapter.parseRequest(exchange->request());
                                 }).value();
                proxyRequest(context, std::move(request), std::move(exchange));
                if (onProxied)
                    onProxied();
            });
            BOOST_REQUIRE(outcomeOf([&] { return server->start(entryAddress); }).ok());
        });
    }
    ~Entry()
    {
        thread.run([this] {
            server.reset();
            upstreams.stop();
            slotClient.stop();
            channels.close();
        });
        // The loop first runs the callbacks of the closed channels. It must not use the timers
        // while the members, which use them too, are destroyed.
        thread.run([this] { loop.stop(); });
    }

    static std::vector<wire::FleetUpstream> upstreamList(int count)
    {
        return upstreamList(std::vector<std::string>(static_cast<std::size_t>(count)));
    }

    /// Returns an upstream of each of \a versions.
    static std::vector<wire::FleetUpstream> upstreamList(const std::vector<std::string> &versions)
    {
        std::vector<wire::FleetUpstream> list;
        int number = 0;
        for (const std::string &version : versions) {
            const std::string address = "127.0.0.1:" + std::to_string(firstUpstreamPort + number);
            list.push_back({"u" + std::to_string(++number), "s", address, "d", 4, false, version});
        }
        return list;
    }

    void setVersions(const std::vector<std::string> &versions)
    {
        thread.run([&] { slotClient.setUpstreams(upstreamList(versions), 1); });
    }

    /// Sends one request and returns the response. \a headers end with a line break each.
    static std::string sendRequest(const std::string &id, const std::string &headers = "")
    {
        return net::rawCall(entryPort,
                            "POST /x HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n" + headers
                                    + "Connection: close\r\nContent-Length: 2\r\n\r\nhi");
    }

    /// Returns the reports after the time in which the crash of an upstream is confirmed.
    std::vector<wire::CrashEvidence> allReports()
    {
        absl::SleepFor(absl::Milliseconds(100));
        std::vector<wire::CrashEvidence> result;
        thread.run([&] { result = reports; });
        return result;
    }

    net::LoopThread thread;
    net::EventLoop &loop = thread.loop();
    Metrics metrics;
    TestProtocolAdapter adapter;
    net::ConnectionPool upstreams{loop, net::ConnectionPoolOptions()};
    peer::ChannelPool channels{transport("e")};
    SlotClient slotClient{loop, channels, SystemClock::instance(), slotClientSettings()};
    CrashGuard crashGuard{loop.timers(), SystemClock::instance(), "e",
                          [this](const wire::CrashEvidence &evidence, auto done) {
                              reports.push_back(evidence);
                              loop.post([done] { done(true); });
                          }};
    std::vector<wire::CrashEvidence> reports;
    const ServingContext context{
            loop,      SystemClock::instance(), metrics, adapter, upstreams, slotClient, crashGuard,
            {"e", "d"}};
    std::shared_ptr<const DeploymentIndex> index;
    /// Called in the same task of the loop, after a request was passed on.
    std::function<void()> onProxied;
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

/// Body of a response in chunks.
struct StreamBody
{
    std::string text;
    /// Whether the last chunk was received and nothing follows it.
    bool isComplete = false;
};

StreamBody streamBody(const std::string &response)
{
    StreamBody body;
    const std::size_t head = response.find("\r\n\r\n");
    std::size_t at = head == std::string::npos ? response.size() : head + 4;
    while (at < response.size()) {
        const std::size_t line = response.find("\r\n", at);
        const std::size_t size = std::strtoul(response.c_str() + at, nullptr, 16);
        if (line == std::string::npos || size == 0) {
            body.isComplete = response.substr(at) == lastChunk;
            break;
        }
        body.text += response.substr(line + 2, size);
        at = line + 2 + size + 2;
    }
    return body;
}

/// First two events of a stream whose upstream then closes its connection.
Step brokenOffStream()
{
    return {streamHead("a") + chunk(event(1)) + chunk(event(2)), true};
}

/// The rest of the stream, as sent by an upstream that resumes it.
Step restOfStream()
{
    return {streamHead("a") + chunk(event(3)) + chunk(event(4)) + lastChunk};
}

} // namespace

BOOST_AUTO_TEST_SUITE(ProxyRequestTest)

BOOST_AUTO_TEST_CASE(responseIsForwardedUnchanged)
{
    ScriptedUpstreams upstreams({{completeResponse("a", "body")}});
    Entry entry(routeOf(RouteKind::NonIdempotent, 1));
    const std::string response = entry.sendRequest("a");
    BOOST_TEST(contains(response, "HTTP/1.1 200"));
    BOOST_TEST(contains(response, "Signed: s-a"));
    BOOST_TEST(contains(response, "\r\n\r\nbody"));
    BOOST_TEST(contains(upstreams.requests().at(0), "\r\n\r\nhi"));
}

// Guards against a request that runs twice although its route allows one run only: it is sent again
// after a connection broke while it may have run.
BOOST_AUTO_TEST_CASE(nonIdempotentRequestIsNotRepeated)
{
    ScriptedUpstreams upstreams({{"", true}});
    Entry entry(routeOf(RouteKind::NonIdempotent, 3));
    BOOST_TEST(contains(entry.sendRequest("a"), "HTTP/1.1 502"));
    BOOST_TEST(upstreams.requests().size() == 1u);
}

// Guards against an error response although the request did not run and another upstream is free.
BOOST_AUTO_TEST_CASE(requestRefusedByAnUpstreamRunsAtAnother)
{
    ScriptedUpstreams upstreams({{completeResponse("a", "full", 503, "Not-Run: 1\r\n")},
                                 {completeResponse("a", "done")}});
    Entry entry(routeOf(RouteKind::NonIdempotent, 3));
    BOOST_TEST(contains(entry.sendRequest("a"), "done"));
    BOOST_TEST(upstreams.requests().size() == 2u);
}

// Guards against a truncated response that reaches the caller although the request may run again.
BOOST_AUTO_TEST_CASE(idempotentRequestIsRetriedAfterATruncatedResponse)
{
    ScriptedUpstreams upstreams({{"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nha", true},
                                 {completeResponse("a", "whole")}});
    Entry entry(routeOf(RouteKind::Idempotent, 2));
    const std::string response = entry.sendRequest("a");
    BOOST_TEST(contains(response, "\r\n\r\nwhole"));
    BOOST_TEST(!contains(response, "\r\n\r\nha"));
}

// Guards against a response that reaches the wrong caller: the upstream sends the response to
// another request first on the same connection.
BOOST_AUTO_TEST_CASE(responseToAnotherRequestIsNotDelivered)
{
    ScriptedUpstreams upstreams(
            {{completeResponse("other", "foreign") + completeResponse("a", "mine")}});
    Entry entry(routeOf(RouteKind::NonIdempotent, 1));
    const std::string response = entry.sendRequest("a");
    BOOST_TEST(contains(response, "mine"));
    BOOST_TEST(!contains(response, "foreign"));
}

// Guards against a stream in which an event is missing, repeated or truncated after the connection
// to its upstream broke in the middle of an event.
BOOST_AUTO_TEST_CASE(resumableStreamContinuesAtAnotherUpstream)
{
    ScriptedUpstreams upstreams(
            {{streamHead("a") + chunk(event(1)) + chunk(event(2) + "id: 3\nda"), true},
             {streamHead("a") + chunk(event(3)) + chunk(event(4)) + "0\r\n\r\n"}});
    Entry entry(routeOf(RouteKind::Streaming, 2, true));
    const std::string response = entry.sendRequest("a");
    std::string joined;
    for (int id = 1; id <= 4; ++id) {
        const std::size_t first = response.find(event(id));
        BOOST_TEST((first != std::string::npos));
        BOOST_TEST((response.find(event(id), first + 1) == std::string::npos));
    }
    BOOST_TEST(contains(response, "\r\n0\r\n\r\n"));
    BOOST_TEST(contains(upstreams.requests().at(1), "After: 2"));
}

// Guards against requests that get no response, or a wrong statement whether they ran, when the
// process ends: one runs at an upstream, the other one waits for the response of a silent broker.
BOOST_AUTO_TEST_CASE(openRequestsGetAResponseWhenTheProcessEnds)
{
    ScriptedUpstreams upstreams({{completeResponse("a", "late"), false, 2000}});
    Entry entry(routeOf(RouteKind::NonIdempotent, 1));
    std::string running;
    std::thread first([&] { running = entry.sendRequest("a"); });
    while (upstreams.requests().empty())
        std::this_thread::yield();
    boost::asio::io_context context;
    const boost::asio::ip::tcp::acceptor silentBroker(
            context, {boost::asio::ip::make_address("127.0.0.1"), silentBrokerPort});
    entry.thread.run(
            [&] { entry.slotClient.setBroker("127.0.0.1:" + std::to_string(silentBrokerPort)); });
    std::string waiting;
    std::thread second([&] { waiting = entry.sendRequest("b"); });
    bool areOpen = false;
    while (!areOpen) {
        entry.thread.run([&] {
            areOpen = entry.server->openExchanges().size() == 2;
            if (areOpen)
                entry.server->endRequests();
        });
    }
    first.join();
    second.join();
    BOOST_TEST(contains(running, "HTTP/1.1 502"));
    BOOST_TEST(contains(waiting, "HTTP/1.1 503"));
    BOOST_TEST(contains(waiting, "the process ends"));
    BOOST_TEST(upstreams.requests().size() == 1u);
}

// Guards against a truncated stream that looks complete to the caller.
BOOST_AUTO_TEST_CASE(nonResumableStreamIsAborted)
{
    ScriptedUpstreams upstreams({{streamHead("a") + chunk(event(1)), true}});
    Entry entry(routeOf(RouteKind::Streaming, 2, false));
    const std::string response = entry.sendRequest("a");
    BOOST_TEST(contains(response, event(1)));
    BOOST_TEST(!contains(response, "\r\n0\r\n\r\n"));
    BOOST_TEST(upstreams.requests().size() == 1u);
}

// Guards against a caller that waits until the deadline for an upstream that does not respond.
BOOST_AUTO_TEST_CASE(unresponsiveUpstreamIsReplacedByAFreeOne)
{
    ScriptedUpstreams upstreams(
            {{completeResponse("a", "late"), false, 2000}, {completeResponse("a", "soon")}});
    Entry entry(routeOf(RouteKind::Idempotent, 2));
    BOOST_TEST(contains(entry.sendRequest("a"), "soon"));
}

// Guards against an upstream that sends bytes without end which never complete an event. The
// request must neither keep its slot there until the deadline nor collect the bytes.
BOOST_AUTO_TEST_CASE(streamWithoutEventsIsReplaced)
{
    const std::string head = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Type: text/event-stream\r\n\r\n";
    ScriptedUpstreams upstreams(
            {{head, false, 0, std::string(10000, 'z')},
             {streamHead("a") + chunk(event(1)) + chunk(event(2)) + "0\r\n\r\n"}});
    Entry entry(routeOf(RouteKind::Streaming, 2, true));
    const absl::Time start = absl::Now();
    const std::string response = entry.sendRequest("a");
    BOOST_TEST(contains(response, event(2)));
    BOOST_TEST(contains(response, "\r\n0\r\n\r\n"));
    BOOST_TEST(!contains(response, "zzz"));
    BOOST_TEST((absl::Now() - start < absl::Seconds(2)));
}

// Guards against bytes that never complete an event and are collected until the deadline, when no
// further attempt is allowed.
BOOST_AUTO_TEST_CASE(eventWithoutEndFailsTheRequest)
{
    ScriptedUpstreams upstreams(
            {{"HTTP/1.1 200 OK\r\nId: a\r\nContent-Type: text/event-stream\r\n\r\n", false, 0,
              std::string(10000, 'z')}});
    Entry entry(routeOf(RouteKind::Streaming, 1, true));
    const absl::Time start = absl::Now();
    BOOST_TEST(contains(entry.sendRequest("a"), "HTTP/1.1 502"));
    BOOST_TEST((absl::Now() - start < absl::Seconds(2)));
}

// Guards against a non-idempotent request that runs twice, or is refused as not run, because the
// body of its response exceeds the size limit.
BOOST_AUTO_TEST_CASE(requestWithATooLongResponseIsNotRepeated)
{
    ScriptedUpstreams upstreams(
            {{"HTTP/1.1 200 OK\r\nId: a\r\n\r\n", false, 0, std::string(65536, 'z')},
             {completeResponse("a", "second run")}});
    Entry entry(routeOf(RouteKind::NonIdempotent, 3));
    BOOST_TEST(contains(entry.sendRequest("a"), "HTTP/1.1 502"));
    BOOST_TEST(upstreams.requests().size() == 1u);
}

// Guards against an upstream that is given more time because it sends comments, which contain no
// event of the stream.
BOOST_AUTO_TEST_CASE(streamOfCommentsIsReplaced)
{
    std::vector<Step> steps = {
            {streamHead("a"), false, 0, chunk(": wait\n\n")},
            {streamHead("a") + chunk(event(1)) + "0\r\n\r\n"},
    };
    ScriptedUpstreams upstreams(std::move(steps));
    Entry entry(routeOf(RouteKind::Streaming, 2, true));
    BOOST_TEST(contains(entry.sendRequest("a"), event(1)));
}

// Guards against a legitimate long stream that a bound on bytes cuts off.
BOOST_AUTO_TEST_CASE(longStreamIsNotCutOff)
{
    constexpr int events = 4000;
    std::string stream = streamHead("a");
    for (int id = 1; id <= events; ++id)
        stream += chunk("id: " + std::to_string(id) + "\ndata: " + std::string(1000, 'y') + "\n\n");
    ScriptedUpstreams upstreams({{stream + "0\r\n\r\n"}});
    Entry entry(routeOf(RouteKind::Streaming, 1, true));
    const std::string response = entry.sendRequest("a");
    BOOST_TEST(contains(response, "id: 4000\n"));
    BOOST_TEST(contains(response, "\r\n0\r\n\r\n"));
}

// Guards against a stream without a length that was broken off inside an event and looks complete
// to the caller.
BOOST_AUTO_TEST_CASE(streamWithoutLengthThatEndsInsideAnEventIsNotComplete)
{
    ScriptedUpstreams upstreams(
            {{streamHeadWithoutLength("a") + event(1) + "id: 2\ndata: d", true}});
    Entry entry(routeOf(RouteKind::Streaming, 2, false));
    const std::string response = entry.sendRequest("a");
    BOOST_TEST(contains(response, event(1)));
    BOOST_TEST(!contains(response, "id: 2"));
    BOOST_TEST(!contains(response, "\r\n0\r\n\r\n"));
    BOOST_TEST(upstreams.requests().size() == 1u);
}

// Guards against a stream without a length that is not resumed although it was broken off inside
// an event, and against one that is resumed although it is complete.
BOOST_AUTO_TEST_CASE(streamWithoutLengthIsResumedOnlyWhenBrokenOff)
{
    ScriptedUpstreams upstreams({{streamHeadWithoutLength("a") + event(1) + "id: 2\ndata: d", true},
                                 {streamHeadWithoutLength("a") + event(2) + event(3), true}});
    Entry entry(routeOf(RouteKind::Streaming, 3, true));
    const std::string response = entry.sendRequest("a");
    BOOST_TEST(contains(response, event(3)));
    BOOST_TEST(contains(response, "\r\n0\r\n\r\n"));
    BOOST_TEST(upstreams.requests().size() == 2u);
}

// Guards against a crash before the first event that looks like a complete, empty stream.
BOOST_AUTO_TEST_CASE(streamWithoutLengthAndEventsIsNotComplete)
{
    ScriptedUpstreams upstreams({{streamHeadWithoutLength("a"), true},
                                 {streamHead("a") + chunk(event(1)) + "0\r\n\r\n"}});
    Entry entry(routeOf(RouteKind::Streaming, 2, true));
    BOOST_TEST(contains(entry.sendRequest("a", "Part: p\r\n"), event(1)));
    const auto reports = entry.allReports();
    BOOST_TEST_REQUIRE(!reports.empty());
    BOOST_TEST(reports.front().crashes.size() == 1u);
}

// Guards against a whole response without a length that is refused or cut.
BOOST_AUTO_TEST_CASE(wholeResponseWithoutLengthIsForwarded)
{
    ScriptedUpstreams upstreams({{"HTTP/1.1 200 OK\r\nId: a\r\n\r\nall of it", true}});
    Entry entry(routeOf(RouteKind::NonIdempotent, 1));
    BOOST_TEST(contains(entry.sendRequest("a"), "\r\n\r\nall of it"));
}

// Guards against prompt parts that are accused of a crash although the response had begun, against
// a crash that is not reported, and against a request that a response clears before it crashes.
BOOST_AUTO_TEST_CASE(onlyAttemptsThatHadNotBegunAccuseTheirPromptParts)
{
    ScriptedUpstreams upstreams({{streamHead("a") + chunk(event(1)), true},
                                 {streamHead("a"), true},
                                 {streamHead("b") + chunk(event(1)) + "0\r\n\r\n"}});
    Entry entry(routeOf(RouteKind::Streaming, 2, true));
    entry.sendRequest("a", "Part: p\r\n");
    BOOST_TEST(entry.allReports().size() == 2u);
    entry.sendRequest("b", "Part: p\r\n");
    const auto reports = entry.allReports();
    BOOST_TEST_REQUIRE(reports.size() == 4u);
    BOOST_TEST_REQUIRE(reports[0].crashes.size() == 1u);
    const std::string fingerprint = reports[0].crashes[0].promptParts.back();
    BOOST_TEST((reports[0].crashes[0].promptParts == std::vector<std::string>{fingerprint}));
    BOOST_TEST_REQUIRE(reports[1].crashes.size() == 1u);
    BOOST_TEST((reports[1].crashes[0].promptParts == std::vector<std::string>{"p", fingerprint}));
    BOOST_TEST(reports[1].begun.empty());
    // The begin of the response clears the part, and its end the request.
    BOOST_TEST_REQUIRE(reports[2].begun.size() == 1u);
    BOOST_TEST(reports[2].begun[0].part == "p");
    BOOST_TEST_REQUIRE(reports[3].begun.size() == 1u);
    BOOST_TEST(reports[3].begun[0].part == fingerprint);
}

// Guards against a crash that nobody remembers because the request has no prompt, and against a
// request that is sent again although it crashes upstreams.
BOOST_AUTO_TEST_CASE(requestWithoutPromptIsRecognizedByItsFingerprint)
{
    ScriptedUpstreams upstreams({{"", true}});
    Entry entry(routeOf(RouteKind::Idempotent, 1));
    entry.sendRequest("a");
    const auto reports = entry.allReports();
    BOOST_TEST_REQUIRE(reports.size() == 1u);
    BOOST_TEST_REQUIRE(reports[0].crashes.size() == 1u);
    const std::vector<std::string> &traits = reports[0].crashes[0].promptParts;
    BOOST_TEST_REQUIRE(traits.size() == 1u);
    entry.thread.run([&] { entry.crashGuard.setBlocks(1, {{traits}}, traits); });
    BOOST_TEST(contains(entry.sendRequest("b"), "HTTP/1.1 503"));
    BOOST_TEST(upstreams.requests().size() == 1u);
}

// Guards against a sound request that stays a suspect because its upstream responds with an error
// or without a body.
BOOST_AUTO_TEST_CASE(anyCompleteResponseClearsItsRequest)
{
    for (const std::string &response :
         {completeResponse("b", "no such record", 404), completeResponse("b", "")}) {
        ScriptedUpstreams upstreams({{"", true}, {response}});
        Entry entry(routeOf(RouteKind::Idempotent, 1));
        entry.sendRequest("a");
        BOOST_TEST(entry.allReports().size() == 1u);
        entry.sendRequest("b");
        const auto reports = entry.allReports();
        BOOST_TEST_REQUIRE(reports.size() == 2u);
        BOOST_TEST(reports[1].begun.size() == 1u);
    }
}

// Guards against prompts that no response clears because their route has no streams.
BOOST_AUTO_TEST_CASE(wholeResponseClearsItsPrompt)
{
    ScriptedUpstreams upstreams({{completeResponse("a", "whole")}});
    Entry entry(routeOf(RouteKind::Idempotent, 1));
    entry.thread.run([&] { entry.crashGuard.setBlocks(1, {}, {"p"}); });
    entry.sendRequest("a", "Part: p\r\n");
    const auto reports = entry.allReports();
    BOOST_TEST_REQUIRE(reports.size() == 1u);
    BOOST_TEST(reports[0].begun.size() == 1u);
}

// Guards against prompts that are accused of a crash because an upstream reset one connection while
// it ran on.
BOOST_AUTO_TEST_CASE(resetOfOneConnectionIsNotReportedAsCrash)
{
    ScriptedUpstreams upstreams({{completeResponse("0", "slow"), false, 500},
                                 {completeResponse("1", "slow"), false, 500},
                                 {"", true}});
    Entry entry(routeOf(RouteKind::NonIdempotent, 1));
    std::vector<std::thread> callers;
    // Each upstream runs one of the first two requests; the third one is sent to the first
    // upstream.
    for (std::size_t i = 0; i < 2; ++i) {
        callers.emplace_back([&entry, i] { entry.sendRequest(std::to_string(i)); });
        while (upstreams.requests().size() <= i)
            std::this_thread::yield();
    }
    BOOST_TEST(contains(entry.sendRequest("2", "Part: p\r\n"), "HTTP/1.1 502"));
    BOOST_TEST(entry.allReports().empty());
    for (std::thread &caller : callers)
        caller.join();
}

// Guards against a blocked prompt that reaches an upstream, at first or as a further attempt.
BOOST_AUTO_TEST_CASE(requestWithABlockedPromptIsNotSent)
{
    ScriptedUpstreams upstreams({{"", true, 50}});
    Entry entry(routeOf(RouteKind::Streaming, 2, true));
    std::string failed;
    std::thread caller([&] { failed = entry.sendRequest("a", "Part: p\r\n"); });
    while (upstreams.requests().empty())
        std::this_thread::yield();
    entry.thread.run([&] { entry.crashGuard.setBlocks(1, {{{"p"}}}, {"p"}); });
    caller.join();
    BOOST_TEST(contains(failed, "HTTP/1.1 502"));
    BOOST_TEST(contains(entry.sendRequest("b", "Part: p\r\n"), "HTTP/1.1 503"));
    BOOST_TEST(upstreams.requests().size() == 1u);
}

// Guards against requests to an upstream after it announced that it leaves: in a refusal, in the
// head of a stream, in an error response, or in the response to another request.
BOOST_AUTO_TEST_CASE(announcementInAnyResponseKeepsRequestsAway)
{
    const std::string announced = "Leaving: 1\r\n";
    const std::string head = streamHead("0");
    const std::vector<std::string> responses = {
            completeResponse("0", "full", 503, "Not-Run: 1\r\n" + announced),
            completeResponse("0", "failed", 500, announced),
            head.substr(0, head.size() - 2) + announced + "\r\n" + chunk(event(1)) + "0\r\n\r\n",
            completeResponse("former", "late", 200, announced) + completeResponse("0", "own")};
    for (const std::string &response : responses) {
        ScriptedUpstreams upstreams({{response},
                                     {completeResponse("1", "done")},
                                     {completeResponse("2", "done")},
                                     {completeResponse("3", "done")}});
        Entry entry(routeOf(RouteKind::Streaming, 1, false));
        for (int i = 0; i < 4; ++i)
            entry.sendRequest(std::to_string(i));
        BOOST_TEST(upstreams.requestsAt(0) == 1, response);
        BOOST_TEST(upstreams.requestsAt(1) == 3, response);
    }
}

// Guards against an answer that is joined from two software versions, and against a stream that
// does not go on although its version serves.
BOOST_AUTO_TEST_CASE(streamGoesOnAtItsVersionOnly)
{
    ScriptedUpstreams upstreams({brokenOffStream(), restOfStream(), brokenOffStream()}, 3);
    Entry entry(routeOf(RouteKind::Streaming, 3, true), 3);
    entry.setVersions({"v1", "v2", "v1"});
    const std::string joined = entry.sendRequest("a");
    BOOST_TEST(contains(joined, event(4)), joined);
    BOOST_TEST(upstreams.requestsAt(1) == 0);
    BOOST_TEST(upstreams.requestsAt(2) == 1);
    entry.setVersions({"v1", "v2", "v3"});
    const std::string cut = entry.sendRequest("a");
    BOOST_TEST(!streamBody(cut).isComplete);
    BOOST_TEST(upstreams.requests().size() == 3u);
}

// Guards against a caller's resumption that goes on at another version than the one that began the
// stream, or at any version when that is not known.
BOOST_AUTO_TEST_CASE(resumedStreamGoesOnAtItsVersionOnly)
{
    ScriptedUpstreams upstreams(
            {brokenOffStream(), {streamHead("b") + chunk(event(3)) + lastChunk}});
    Entry entry(routeOf(RouteKind::Streaming, 1, true));
    entry.setVersions({"v1", "v2"});
    BOOST_TEST(!streamBody(entry.sendRequest("a")).isComplete);
    const int first = upstreams.requestsAt(0) == 1 ? 0 : 1;
    BOOST_TEST(contains(entry.sendRequest("c", "After: 2\r\nResumes: other\r\n"), "HTTP/1.1 503"));
    BOOST_TEST(upstreams.requests().size() == 1u);
    BOOST_TEST(contains(entry.sendRequest("b", "After: 2\r\nResumes: a\r\n"), event(3)));
    BOOST_TEST(upstreams.requestsAt(first) == 2);
}

// Guards against an upstream that gets no requests although it did not announce that it leaves: the
// header was in an interim response, or in a response of another instance at its address.
BOOST_AUTO_TEST_CASE(announcementThatIsNotTheUpstreamsDoesNotCount)
{
    const std::vector<std::string> responses = {
            "HTTP/1.1 103 X\r\nLeaving: 1\r\n\r\n" + completeResponse("0", "own"),
            completeResponse("0", "", 421, "Other-Instance: 1\r\nLeaving: 1\r\n")};
    for (const std::string &response : responses) {
        ScriptedUpstreams upstreams({{response}});
        Entry entry(routeOf(RouteKind::NonIdempotent, 1));
        entry.sendRequest("0");
        entry.thread.run([&] {
            BOOST_TEST(!entry.slotClient.isLeaving("u1", "127.0.0.1:28482"), response);
        });
    }
}

// Guards against requests that a broker without a record of the announcement sends to an upstream
// that leaves, and against a second charge to the caller's rate.
BOOST_AUTO_TEST_CASE(slotOfAnUpstreamThatLeavesIsNotUsed)
{
    ScriptedUpstreams upstreams({{completeResponse("0", "first", 200, "Leaving: 1\r\n")},
                                 {completeResponse("1", "second")}});
    UnknowingBroker broker;
    Entry entry(routeOf(RouteKind::NonIdempotent, 1), broker.address());
    BOOST_TEST(contains(entry.sendRequest("0"), "first"));
    BOOST_TEST(contains(entry.sendRequest("1"), "second"));
    BOOST_TEST(upstreams.requestsAt(0) == 1);
    BOOST_TEST(upstreams.requestsAt(1) == 1);
    const auto releases = broker.awaitReleases(3);
    BOOST_TEST_REQUIRE(releases.size() == 3u);
    BOOST_TEST(releases[1].requestId == "1");
    BOOST_TEST(releases[1].upstream == "u1");
    BOOST_TEST(releases[1].end == "abandoned");
    const auto requests = broker.requests();
    BOOST_TEST_REQUIRE(requests.size() == 3u);
    BOOST_TEST(requests[1].chargesRate);
    BOOST_TEST(!requests[2].chargesRate);
    BOOST_TEST(broker.leavingReports() == 2);
}

// Guards against a request that is sent to an upstream which announced that it leaves while the
// connection was being established.
BOOST_AUTO_TEST_CASE(requestThatWaitsForAConnectionIsNotSentToAnUpstreamThatLeaves)
{
    ScriptedUpstreams upstreams({{completeResponse("0", "done")}});
    Entry entry(routeOf(RouteKind::NonIdempotent, 1));
    // The local share grants the slot while the request is parsed, before it is connected.
    entry.onProxied = [&] {
        entry.slotClient.reportLoad({"u1", -1, 0, true, 0, "127.0.0.1:28482"});
    };
    BOOST_TEST(contains(entry.sendRequest("0"), "done"));
    BOOST_TEST(upstreams.requestsAt(0) == 0);
    BOOST_TEST(upstreams.requestsAt(1) == 1);
}

// Guards against a request that is refused because an attempt counts although nothing was sent.
BOOST_AUTO_TEST_CASE(attemptThatWasNotSentDoesNotCount)
{
    ScriptedUpstreams upstreams({{completeResponse("0", "full", 503, "Not-Run: 1\r\n")},
                                 {completeResponse("0", "done")}});
    Entry entry(routeOf(RouteKind::NonIdempotent, 2));
    entry.thread.run([&] {
        entry.slotClient.setUpstreams({{"u1", "s", "127.0.0.1:28482", "d", 4, false},
                                       {"u2", "s", "127.0.0.1:28483", "d", 4, false},
                                       {"u3", "s", "127.0.0.1:28483", "d", 4, false}},
                                      1);
    });
    entry.onProxied = [&] {
        entry.slotClient.reportLoad({"u1", -1, 0, true, 0, "127.0.0.1:28482"});
    };
    BOOST_TEST(contains(entry.sendRequest("0"), "done"));
    BOOST_TEST(upstreams.requestsAt(0) == 0);
    BOOST_TEST(upstreams.requestsAt(1) == 2);
}

// Guards against a response that is lost because its unresponsive upstream is abandoned for a slot
// at an upstream that leaves.
BOOST_AUTO_TEST_CASE(unresponsiveUpstreamIsKeptWhenTheOtherLeaves)
{
    ScriptedUpstreams upstreams({{completeResponse("0", "late"), false, 1200}});
    UnknowingBroker broker;
    Entry entry(routeOf(RouteKind::Idempotent, 3), broker.address());
    entry.thread.run([&] {
        entry.slotClient.reportLoad({"u2", -1, 0, true, 0, "127.0.0.1:28483"});
    });
    BOOST_TEST(contains(entry.sendRequest("0"), "late"));
    BOOST_TEST(upstreams.requestsAt(0) == 1);
    BOOST_TEST(upstreams.requestsAt(1) == 0);
    BOOST_TEST(broker.requests().size() >= 3u);
}

// Guards against callers that wait, or whose requests are sent, when all upstreams leave: with the
// broker's knowledge or without.
BOOST_AUTO_TEST_CASE(requestIsRefusedAsNotRunWhenAllUpstreamsLeave)
{
    UnknowingBroker broker;
    for (const std::string &address : {std::string(), broker.address()}) {
        ScriptedUpstreams upstreams({});
        Entry entry(routeOf(RouteKind::Idempotent, 3), address);
        entry.thread.run([&] {
            entry.slotClient.reportLoad({"u1", -1, 0, true, 0, "127.0.0.1:28482"});
            entry.slotClient.reportLoad({"u2", -1, 0, true, 0, "127.0.0.1:28483"});
        });
        BOOST_TEST(contains(entry.sendRequest("0"), "HTTP/1.1 503"));
        BOOST_TEST(upstreams.requests().empty());
    }
}

// Guards against an upstream's error response that is replaced by one of the serving system.
BOOST_AUTO_TEST_CASE(errorResponseOfAnUpstreamIsForwarded)
{
    ScriptedUpstreams upstreams({{completeResponse("a", "it failed", 500)}});
    Entry entry(routeOf(RouteKind::NonIdempotent, 3));
    const std::string response = entry.sendRequest("a");
    BOOST_TEST(contains(response, "HTTP/1.1 500"));
    BOOST_TEST(contains(response, "Signed: s-a"));
}

// Guards against callers that are told that a request did not run, because its upstream responded
// with a status that says so but did not state it: they would send the request again.
BOOST_AUTO_TEST_CASE(unstatedPromiseOfAnUpstreamIsNotForwarded)
{
    ScriptedUpstreams upstreams({{completeResponse("a", "busy", 503)}});
    Entry entry(routeOf(RouteKind::NonIdempotent, 3));
    const std::string response = entry.sendRequest("a");
    BOOST_TEST(contains(response, "HTTP/1.1 502"));
    BOOST_TEST(!contains(response, "Signed:"));
    BOOST_TEST(upstreams.requests().size() == 1u);
}

// Guards against a repeated response on a kept connection that is taken for the response to the
// next request: its caller would be told that the request did not run, or get another response.
BOOST_AUTO_TEST_CASE(repeatedResponseIsNotTakenForTheNextOne)
{
    struct Row
    {
        const char *name;
        std::string firstId;
        std::string first;
        std::string secondId;
        std::string repeated;
    };
    const auto response = [](const std::string &id, const std::string &status) {
        return "HTTP/1.1 " + status + "\r\n" + id + "Content-Length: 3\r\n\r\nold";
    };
    const std::string refused = "503 X\r\nNot-Run: 1";
    const std::string idA = "Id: a\r\n";
    const Row rows[] = {
            {"refusal of another request", "a", response(idA, refused), "b",
             response(idA, refused)},
            {"refusal without an id", "a", response("", refused), "b", response("", refused)},
            {"refusal repeated without its id", "a", response(idA, refused), "b",
             response("", refused)},
            {"refusal of a request that is sent again", "a", response(idA, refused), "a",
             response(idA, refused)},
            {"response without an id", "a", response("", "200 OK"), "b", response("", "200 OK")},
            {"response repeated without its id", "a", response(idA, "200 OK"), "b",
             response("", "200 OK")},
            {"response to a request that is sent again", "a", response(idA, "200 OK"), "a",
             response(idA, "200 OK")},
            {"response to a request without an id", "", response("", "200 OK"), "",
             response("", "200 OK")},
    };
    for (const Row &row : rows) {
        BOOST_TEST_INFO_SCOPE(row.name);
        ScriptedUpstreams upstreams(
                {{row.first}, {completeResponse(row.secondId, "mine"), false, 0, {}, row.repeated}},
                1);
        Entry entry(routeOf(RouteKind::NonIdempotent, 1), 1);
        entry.sendRequest(row.firstId);
        const std::string second = entry.sendRequest(row.secondId);
        BOOST_TEST(contains(second, "HTTP/1.1 200"));
        BOOST_TEST(contains(second, "\r\n\r\nmine"));
        BOOST_TEST(upstreams.requests().size() == 2u);
    }
}

// Guards against a request that is refused as not run, because the only response on its connection
// is a repeated refusal without an id.
BOOST_AUTO_TEST_CASE(requestWithOnlyARepeatedRefusalMayHaveRun)
{
    const std::string refusal = "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
    ScriptedUpstreams upstreams({{completeResponse("a", "first")}, {"", true, 0, {}, refusal}}, 1);
    Entry entry(routeOf(RouteKind::NonIdempotent, 2), 1);
    entry.sendRequest("a");
    BOOST_TEST(contains(entry.sendRequest("b"), "HTTP/1.1 502"));
    BOOST_TEST(upstreams.requests().size() == 2u);
}

// Guards against a response that reaches the caller as whole although its upstream stopped in the
// middle of its head or its body.
BOOST_AUTO_TEST_CASE(responseCutAtAnyByteIsNotDelivered)
{
    const std::string whole = completeResponse("a", "body");
    for (std::size_t cut = 0; cut < whole.size(); ++cut) {
        BOOST_TEST_INFO_SCOPE(cut << " bytes");
        ScriptedUpstreams upstreams({{whole.substr(0, cut), true}}, 1);
        Entry entry(routeOf(RouteKind::NonIdempotent, 1), 1);
        BOOST_TEST(contains(entry.sendRequest("a"), "HTTP/1.1 502"));
    }
}

// Guards against bytes of another response in the middle of a stream, and against a stream that
// ends as if it were complete, because the response to the attempt that resumes it does not
// continue it.
BOOST_AUTO_TEST_CASE(wrongResponseToAResumedAttemptEndsInAnAbort)
{
    std::vector<ResumedResponse> rows = wrongResumedResponses();
    rows.push_back(unprocessableResponse());
    for (const ResumedResponse &row : rows) {
        BOOST_TEST_INFO_SCOPE(row.name);
        ScriptedUpstreams upstreams({brokenOffStream(), {row.bytes, row.closes}});
        Entry entry(routeOf(RouteKind::Streaming, 2, true));
        const StreamBody body = streamBody(entry.sendRequest("a"));
        BOOST_TEST(body.text == event(1) + event(2));
        BOOST_TEST(!body.isComplete);
        BOOST_TEST(upstreams.requests().size() == 2u);
    }
}

// Guards against a stream that is aborted after a response that does not continue it, although a
// further attempt is allowed.
BOOST_AUTO_TEST_CASE(streamIsResumedAfterAWrongResponse)
{
    std::vector<ResumedResponse> rows = wrongResumedResponses();
    rows.push_back(unprocessableResponse());
    for (const ResumedResponse &row : rows) {
        BOOST_TEST_INFO_SCOPE(row.name);
        ScriptedUpstreams upstreams({brokenOffStream(), {row.bytes, row.closes}, restOfStream()},
                                    3);
        Entry entry(routeOf(RouteKind::Streaming, 3, true), 3);
        const StreamBody body = streamBody(entry.sendRequest("a"));
        BOOST_TEST(body.text == event(1) + event(2) + event(3) + event(4));
        BOOST_TEST(body.isComplete);
    }
}

// Guards against an error response in the middle of a stream whose upstream stalled instead of
// closing its connection.
BOOST_AUTO_TEST_CASE(errorAfterAStalledStreamEndsInAnAbort)
{
    Step stalled = brokenOffStream();
    stalled.closes = false;
    ScriptedUpstreams upstreams({stalled, {completeResponse("a", "oops", 500)}});
    Entry entry(routeOf(RouteKind::Streaming, 2, true));
    const StreamBody body = streamBody(entry.sendRequest("a"));
    BOOST_TEST(body.text == event(1) + event(2));
    BOOST_TEST(!body.isComplete);
}

// Guards against a sound continuation that is not accepted: from the next event on, from the first
// event on, or only up to the last event that was delivered.
BOOST_AUTO_TEST_CASE(continuationIsAcceptedFromAnyEarlierEvent)
{
    const std::string rest = event(3) + event(4);
    const std::pair<std::string, std::string> rows[] = {
            {rest, rest},
            {": comment\n\n" + rest, rest},
            {event(1) + event(2) + rest, rest},
            {event(1) + event(2), ""},
            {event(3) + "data: end\n\n", event(3) + "data: end\n\n"},
    };
    for (const auto &[sent, expected] : rows) {
        BOOST_TEST_INFO_SCOPE(sent);
        ScriptedUpstreams upstreams(
                {brokenOffStream(), {streamHead("a") + chunk(sent) + lastChunk}});
        Entry entry(routeOf(RouteKind::Streaming, 2, true));
        const StreamBody body = streamBody(entry.sendRequest("a"));
        BOOST_TEST(body.text == event(1) + event(2) + expected);
        BOOST_TEST(body.isComplete);
    }
}

// Guards against text that is delivered twice: a stream whose last events have no id can't be
// resumed after them.
BOOST_AUTO_TEST_CASE(streamIsNotResumedAfterAnEventWithoutAnId)
{
    const std::string unnumbered = "data: x\n\n";
    for (const std::string &delivered : {unnumbered, event(1) + unnumbered}) {
        for (const bool closes : {true, false}) {
            ScriptedUpstreams upstreams({{streamHead("a") + chunk(delivered), closes},
                                         {streamHead("a") + chunk(unnumbered) + lastChunk}});
            Entry entry(routeOf(RouteKind::Streaming, 2, true));
            const StreamBody body = streamBody(entry.sendRequest("a"));
            BOOST_TEST(body.text == delivered);
            BOOST_TEST(!body.isComplete);
            BOOST_TEST(upstreams.requests().size() == 1u);
        }
    }
}

// Guards against a caller that resumes its stream and gets an error as a part of it, an apparent
// end after a crash, or no end although the stream had ended.
BOOST_AUTO_TEST_CASE(streamResumedByItsCallerIsCheckedLikeOneResumedHere)
{
    struct Row
    {
        std::string response;
        bool closes;
        bool isDelivered;
    };
    const Row rows[] = {
            {streamHead("a") + lastChunk, false, true},
            {streamHead("a") + chunk(event(3)) + lastChunk, false, true},
            {streamHead("a") + chunk(event(1) + event(2)) + lastChunk, false, true},
            {streamHead("a") + chunk(event(1)) + lastChunk, false, false},
            {streamHead("a") + chunk("data: oops\n\n") + lastChunk, false, false},
            {streamHead("a") + chunk(event(5)) + lastChunk, false, false},
            {streamHeadWithoutLength("a"), true, false},
    };
    for (const Row &row : rows) {
        BOOST_TEST_INFO_SCOPE(row.response);
        ScriptedUpstreams upstreams({{row.response, row.closes}});
        Entry entry(routeOf(RouteKind::Streaming, 1, true));
        const std::string response = entry.sendRequest("a", "After: 2\r\n");
        BOOST_TEST(contains(response, row.isDelivered ? "HTTP/1.1 200" : "HTTP/1.1 502"));
        BOOST_TEST(streamBody(response).isComplete == row.isDelivered);
        BOOST_TEST(!contains(response, "oops"));
    }
}

BOOST_AUTO_TEST_SUITE_END()
