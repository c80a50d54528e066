#pragma once

#include "rattanrill/serving/proxyrequest.h"

#include "freeport.h"
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
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

/// An entry process between scripted upstreams and its callers.
namespace rattanrill::serving {

constexpr std::size_t maxUpstreams = 3;

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
    /// Sent after the bytes and a pause in milliseconds.
    std::string rest = {};
    int pause = 0;
};

inline std::string completeResponse(const std::string &id, const std::string &body,
                                    int status = 200, const std::string &extraHeaders = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nId: " + id + "\r\nSigned: s-" + id + "\r\n"
           + extraHeaders + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string event(int id)
{
    return numberedEvent(id);
}

/// Head of a stream whose end is the end of its connection.
inline std::string streamHeadWithoutLength(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Type: text/event-stream\r\n\r\n";
}

inline std::string streamHead(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSigned: s-" + id
           + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

/// Upstreams that respond by a script: the n-th request, to any of them, gets the n-th step.
class ScriptedUpstreams
{
public:
    using Tcp = boost::asio::ip::tcp;

    explicit ScriptedUpstreams(std::vector<Step> steps, int count = 2)
        : m_steps(std::move(steps))
    {
        BOOST_TEST_REQUIRE(static_cast<std::size_t>(count) <= maxUpstreams);
        for (int i = 0; i < count; ++i)
            m_acceptors.emplace_back(m_context,
                                     Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        for (std::size_t i = 0; i < m_acceptors.size(); ++i)
            m_threads.emplace_back([this, i] { serve(i); });
    }
    ~ScriptedUpstreams()
    {
        m_context.stop();
        for (std::thread &thread : m_threads)
            thread.join();
    }

    int count() const { return static_cast<int>(m_acceptors.size()); }
    /// Address of the first (0), second (1) or third upstream (2).
    std::string address(int upstream) const
    {
        const auto &acceptor = m_acceptors.at(static_cast<std::size_t>(upstream));
        return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
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
    /// Accepts connections and serves each on its own thread until the connection or the test ends.
    void serve(std::size_t upstream)
    {
        Tcp::acceptor &acceptor = m_acceptors[upstream];
        std::vector<std::thread> connections;
        acceptor.non_blocking(true);
        while (!m_context.stopped()) {
            boost::system::error_code error;
            auto socket = std::make_shared<Tcp::socket>(m_context);
            acceptor.accept(*socket, error);
            if (error) {
                std::this_thread::sleep_for(std::chrono::milliseconds(2));
                continue;
            }
            connections.emplace_back(
                    [this, socket, upstream] { serveConnection(*socket, upstream); });
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
            std::this_thread::sleep_for(std::chrono::milliseconds(step.pause));
            boost::asio::write(socket, boost::asio::buffer(step.rest), error);
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
    std::vector<Tcp::acceptor> m_acceptors;
    const std::vector<Step> m_steps;
    std::vector<std::thread> m_threads;
    mutable absl::Mutex m_mutex;
    std::vector<std::string> m_requests;
    std::array<int, maxUpstreams> m_counts{};
};

inline peer::TransportOptions transport(const std::string &instance)
{
    peer::TransportOptions options;
    options.self = {instance, "d", "entry"};
    options.clusterSecret = "s";
    return options;
}

/// A broker without any record, like one that has just started: it grants each request the first
/// upstream that the request does not exclude. The upstreams have the versions v1 and v2.
class UnknowingBroker
{
public:
    explicit UnknowingBroker(const ScriptedUpstreams &upstreams)
        : m_addresses{upstreams.address(0), upstreams.address(1)}
    {
        m_server.setHandler(wire::Method::RequestSlot,
                            [this](const peer::PeerIdentity &, const std::string &body,
                                   const peer::ResponseCallback &reply) {
                                if (!requests().empty())
                                    absl::SleepFor(furtherGrantDelay);
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

    /// Address of the entry that forwards the call of each grant; empty for none.
    std::string forwarderAddress;
    /// Versions of the upstreams.
    std::array<std::string, 2> versions{"v1", "v2"};
    /// Delay of all grants but the first one.
    absl::Duration furtherGrantDelay = absl::ZeroDuration();

    std::string address() const { return "127.0.0.1:" + std::to_string(m_server.port()); }
    /// Sets the addresses of the upstreams.
    void setAddresses(const std::array<std::string, 2> &addresses)
    {
        absl::MutexLock lock(&m_mutex);
        m_addresses = addresses;
    }

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
            response.version = versions[static_cast<std::size_t>(i - 1)];
            response.address = m_addresses[static_cast<std::size_t>(i - 1)];
            response.forwarder = forwarderAddress.empty() ? "" : "f";
            response.forwarderAddress = forwarderAddress;
            break;
        }
        return response;
    }

    peer::Server m_server{transport("broker")};
    mutable absl::Mutex m_mutex;
    /// Of the upstreams.
    std::array<std::string, 2> m_addresses;
    std::vector<wire::SlotRequest> m_requests;
    std::vector<wire::SlotRelease> m_releases;
    std::vector<wire::UpstreamLoad> m_loads;
};

/// Settings by which the entries that are created from now on eject upstreams.
inline policy::OutlierSettings outlierSettings;

/// Settings with which a busy machine does not make the entry use its local share, and with which
/// the entry has known the list of upstreams for as long as callers resume streams.
inline SlotClientSettings slotClientSettings()
{
    SlotClientSettings settings;
    settings.roundTripAllowance = absl::Seconds(5);
    settings.localBroker.resumptionMargin = -absl::InfiniteDuration();
    settings.localBroker.scheduler.outlier = outlierSettings;
    return settings;
}

/// An entry process with one route. Without a broker, its slots come from the local share.
struct Entry
{
    explicit Entry(const ScriptedUpstreams &upstreamServers, Route route,
                   const std::string &broker = "")
        : upstreamServers(upstreamServers)
    {
        route.name = "r";
        route.host = "h";
        route.pathPrefix = "/";
        route.targets = {{"s", 1}};
        Deployment deployment;
        deployment.version = 1;
        deployment.routes = {route};
        index = std::make_shared<const DeploymentIndex>(std::move(deployment));
        thread.run([this, &broker] {
            slotClient.setDeployment(index);
            setUpstreams(std::vector<std::string>(
                    static_cast<std::size_t>(this->upstreamServers.count())));
            // The list is read again and again, as in a deployment.
            loop.timers().subscribeEvery(absl::Milliseconds(20), [this] {
                slotClient.confirmUpstreams(SystemClock::instance().now());
            });
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
            BOOST_REQUIRE(outcomeOf([&] {
                              return server->start("127.0.0.1:" + std::to_string(port));
                          }).ok());
        });
    }
    ~Entry()
    {
        thread.run([this] {
            server.reset();
            upstreams.stop();
            forwarder.stop();
            connections.stop();
            slotClient.stop();
            channels.close();
        });
        // The loop first runs the callbacks of the closed channels. It must not use the timers
        // while the members, which use them too, are destroyed.
        thread.run([this] { loop.stop(); });
    }

    /// Sets the upstreams, with a version each. Call on the event loop.
    void setUpstreams(const std::vector<std::string> &versions)
    {
        std::vector<wire::FleetUpstream> list;
        int number = 0;
        for (const std::string &version : versions) {
            const std::string address = upstreamServers.address(number);
            list.push_back({"u" + std::to_string(++number), "s", address, "d", 4, false, version});
        }
        slotClient.setUpstreams(list, 1, SystemClock::instance().now());
    }

    void setVersions(const std::vector<std::string> &versions)
    {
        thread.run([&] { setUpstreams(versions); });
    }

    /// Report of the first (0) or the second upstream (1) that it leaves.
    wire::UpstreamLoad leaving(int upstream) const
    {
        return {"u" + std::to_string(upstream + 1), -1, 0, true, 0,
                upstreamServers.address(upstream)};
    }

    /// Lists upstreams at \a addresses, to which this process may connect in order to find out
    /// whether a silent one can be reached.
    void setReachable(const std::vector<std::string> &addresses)
    {
        std::vector<wire::FleetUpstream> list;
        for (const std::string &address : addresses)
            list.push_back(
                    {"u" + std::to_string(list.size() + 1), "s", address, "d", 4, false, ""});
        thread.run([&] { upstreams.setUpstreams(list); });
    }

    /// Sends one request and returns the response. \a headers end with a line break each.
    std::string sendRequest(const std::string &id, const std::string &headers = "") const
    {
        return net::rawCall(port, "POST /x HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n" + headers
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

    const ScriptedUpstreams &upstreamServers;
    const unsigned short port = net::freePort();
    const unsigned short peerPort = net::freePort();
    net::LoopThread thread;
    net::EventLoop &loop = thread.loop();
    Metrics metrics;
    TestProtocolAdapter adapter;
    net::ConnectionPool connections{loop, net::ConnectionPoolOptions()};
    peer::ChannelPool channels{transport("e")};
    ForwardingClient forwarder{loop, channels};
    UpstreamCaller upstreams{loop, connections, forwarder};
    SlotClient slotClient{loop, channels, SystemClock::instance(), slotClientSettings()};
    CrashGuard crashGuard{loop.timers(), SystemClock::instance(), "e",
                          [this](const wire::CrashEvidence &evidence, auto done) {
                              reports.push_back(evidence);
                              loop.post([done] { done(true); });
                          }};
    std::vector<wire::CrashEvidence> reports;
    ServingContext context{
            loop,      SystemClock::instance(), metrics, adapter, upstreams, slotClient, crashGuard,
            {"e", "d"}};
    std::shared_ptr<const DeploymentIndex> index;
    /// Called in the same task of the loop, after a request was passed on.
    std::function<void()> onProxied;
    std::unique_ptr<net::Server> server;
};

inline Route routeOf(RouteKind kind, int attempts, bool resumable = false)
{
    Route route;
    route.kind = kind;
    route.maxAttempts = attempts;
    route.resumable = resumable;
    route.latencyObjective = absl::Milliseconds(300);
    route.interEventObjective = absl::Milliseconds(300);
    return route;
}

/// A resumable stream whose upstreams are not silent for longer than its objectives allow, even on
/// a busy machine, so that each attempt is made after the former one has ended.
inline Route unhurriedStream(int attempts)
{
    Route route = routeOf(RouteKind::Streaming, attempts, true);
    route.latencyObjective = absl::Seconds(10);
    route.interEventObjective = absl::Seconds(10);
    return route;
}

inline bool contains(const std::string &text, const std::string &part)
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

inline StreamBody streamBody(const std::string &response)
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
inline Step brokenOffStream()
{
    return {streamHead("a") + chunk(event(1)) + chunk(event(2)), true};
}

/// The rest of the stream, as sent by an upstream that resumes it.
inline Step restOfStream()
{
    return {streamHead("a") + chunk(event(3)) + chunk(event(4)) + lastChunk};
}

} // namespace rattanrill::serving
