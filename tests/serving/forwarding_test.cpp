#include "hanginglistener.h"
#include "pausableupstream.h"
#include "proxyfixture.h"

#include "rattanrill/serving/forwardingservice.h"
#include "rattanrill/wire/forwardingmessages.h"

#include <array>
#include <atomic>
#include <string>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::serving;

namespace {

/// An entry that reaches the upstreams and forwards the calls of others.
struct ForwardingEntry
{
    ForwardingEntry()
    {
        service.install(server);
        BOOST_REQUIRE(outcomeOf([&] { return server.start("127.0.0.1", 0); }).ok());
    }
    ~ForwardingEntry()
    {
        server.stop();
        thread.run([this] {
            service.stop();
            upstreams.stop();
            connections.stop();
        });
        channels.close();
        thread.run([this] { loop.stop(); });
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(server.port()); }
    /// Whether a connection to \a upstream is open.
    bool isCalling(const std::string &upstream)
    {
        bool result = false;
        thread.run([&] { result = upstreams.hasOpenConnections(upstream); });
        return result;
    }

    std::atomic<bool> isListed{true};
    net::LoopThread thread;
    net::EventLoop &loop = thread.loop();
    TestProtocolAdapter adapter;
    net::ConnectionPool connections{loop, net::ConnectionPoolOptions()};
    peer::ChannelPool channels{transport("f")};
    ForwardingClient forwarder{loop, channels};
    UpstreamCaller upstreams{loop, connections, forwarder};
    CrashGuard crashGuard{
            loop.timers(), SystemClock::instance(), "f",
            [this](const wire::CrashEvidence &, auto done) { loop.post([done] { done(true); }); }};
    ForwardingService service{{loop, SystemClock::instance(), adapter, upstreams, crashGuard,
                               std::make_shared<BufferBudget>(),
                               [this](const auto &, const auto &) { return isListed.load(); },
                               [](const auto &) {}, [] { return false; }}};
    peer::Server server{transport("f")};
};

/// A server in place of a forwarding entry that pauses before it answers each message, after the
/// ones in \a prompt. It answers with the parts in turn.
class PausingForwarder
{
public:
    PausingForwarder(std::vector<wire::ForwardedPart> parts, std::size_t prompt)
        : m_parts(std::move(parts))
        , m_prompt(prompt)
    {
        for (const wire::Method method :
             {wire::Method::ForwardCall, wire::Method::ReadForwardedCall})
            m_server.setHandler(method,
                                [this](const peer::PeerIdentity &, const std::string &,
                                       const peer::ResponseCallback &reply) { answer(reply); });
        m_server.setHandler(wire::Method::CancelForwardedCall,
                            [this](const peer::PeerIdentity &, const std::string &,
                                   const peer::ResponseCallback &reply) {
                                ++cancellations;
                                reply(std::string());
                            });
        BOOST_REQUIRE(outcomeOf([&] { return m_server.start("127.0.0.1", 0); }).ok());
    }
    ~PausingForwarder()
    {
        m_thread.run([this] { m_thread.loop().stop(); });
        m_server.stop();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_server.port()); }

    /// Number of calls whose end was reported, including one that was not sent before.
    std::atomic<int> cancellations{0};

private:
    void answer(const peer::ResponseCallback &reply)
    {
        m_thread.run([this, reply] {
            if (m_next >= m_parts.size())
                return;
            const std::string part = wire::encode(m_parts[m_next]);
            const bool isPrompt = m_next++ < m_prompt;
            m_thread.loop().timers().subscribeOnce(isPrompt ? absl::ZeroDuration()
                                                            : absl::Milliseconds(1200),
                                                   [reply, part] { reply(part); });
        });
    }

    const std::vector<wire::ForwardedPart> m_parts;
    const std::size_t m_prompt;
    std::size_t m_next = 0;
    net::LoopThread m_thread;
    peer::Server m_server{transport("f")};
};

/// Returns whether \a condition holds within 10 s.
bool await(const std::function<bool()> &condition)
{
    const absl::Time deadline = absl::Now() + absl::Seconds(10);
    while (!condition() && absl::Now() < deadline)
        absl::SleepFor(absl::Milliseconds(5));
    return condition();
}

/// An entry whose upstreams all refuse connections.
struct CutOffEntry
{
    CutOffEntry()
    {
        thread.run([this] {
            for (int i = 0; i < 4; ++i) {
                const std::string address = "127.0.0.1:" + std::to_string(net::freePort());
                list.push_back({"u" + std::to_string(i), "s", address, "d", 4, false, "v"});
            }
            upstreams.setUpstreams(list);
            for (const wire::FleetUpstream &upstream : list)
                upstreams.probeSilent(upstream.id);
        });
        BOOST_REQUIRE(await([this] { return isCutOff(); }));
    }
    ~CutOffEntry()
    {
        thread.run([this] {
            upstreams.stop();
            forwarder.stop();
            connections.stop();
        });
        channels.close();
        thread.run([this] { loop.stop(); });
    }

    bool isCutOff()
    {
        bool result = false;
        thread.run([&] { result = upstreams.isCutOff(); });
        return result;
    }

    /// What the handlers of a call received.
    struct Received
    {
        int status = 0;
        std::string body;
        std::string end;
        bool hasForwarderFailed = false;
    };

    /// Calls \a upstream by way of \a forwarderAddress. \a onBody is called on the loop after each
    /// part of the body.
    UpstreamCaller::CallId start(
            const std::string &upstream, const std::string &forwarderAddress,
            const std::function<void()> &onBody = [] {}, const std::string &headers = "")
    {
        net::CallHandlers handlers;
        handlers.onHead = [this](const net::ResponseHead &head) { received.status = head.status; };
        handlers.onBody = [this, onBody](std::string_view bytes) {
            received.body += std::string(bytes);
            onBody();
        };
        handlers.onEnd = [this](net::CallStatus status) {
            received.end = std::string(net::name(status));
            ended.Notify();
        };
        UpstreamTarget target{"u", upstream, forwarderAddress, timeout};
        const std::string request = "GET /x HTTP/1.1\r\nHost: h\r\nId: a\r\n" + headers + "\r\n";
        return upstreams.call(target, [request] { return request; }, std::move(handlers), "a",
                              {{}, [this] { received.hasForwarderFailed = true; }});
    }

    Received call(const std::string &upstream, const std::string &forwarderAddress,
                  const std::string &headers = "")
    {
        thread.run([&] {
            start(
                    upstream, forwarderAddress, [] {}, headers);
        });
        BOOST_TEST(ended.WaitForNotificationWithTimeout(absl::Seconds(10)));
        return received;
    }

    absl::Duration timeout = absl::Seconds(20);
    std::vector<wire::FleetUpstream> list;
    Received received;
    absl::Notification ended;
    net::LoopThread thread;
    net::EventLoop &loop = thread.loop();
    net::ConnectionPool connections{loop, net::ConnectionPoolOptions()};
    peer::ChannelPool channels{transport("e")};
    ForwardingClient forwarder{loop, channels};
    UpstreamCaller upstreams{loop, connections, forwarder};
};

std::vector<wire::FleetUpstream> upstreamsAt(const std::vector<std::string> &addresses)
{
    std::vector<wire::FleetUpstream> list;
    for (const std::string &address : addresses)
        list.push_back({std::to_string(list.size()), "s", address, "d", 4, false, "v"});
    return list;
}

/// What an entry takes its links for, and the one to upstream 0.
struct LinkView
{
    policy::LinkState state = policy::LinkState::Working;
    bool isLost = false;
    bool isReachable = false;
};

LinkView viewOf(ForwardingEntry &entry)
{
    LinkView view;
    entry.thread.run([&] {
        view = {entry.upstreams.linkState(), entry.upstreams.isLost("0"),
                entry.upstreams.isReachable("0")};
    });
    return view;
}

/// An entry that has an idle connection, which has carried a request, to each of its upstreams.
struct UsedUpstreams
{
    UsedUpstreams()
    {
        std::vector<std::string> addresses;
        for (const net::PausableUpstream &upstream : upstreams)
            addresses.push_back(upstream.address());
        list = upstreamsAt(addresses);
        entry.thread.run([&] { entry.upstreams.setUpstreams(list); });
        for (std::size_t i = 0; i < upstreams.size(); ++i) {
            absl::Notification ended;
            call(list[i], "a", [&](net::CallStatus) { ended.Notify(); });
            upstreams[i].serve();
            BOOST_REQUIRE(ended.WaitForNotificationWithTimeout(absl::Seconds(10)));
        }
        // Upstreams that have responded a moment ago are not probed.
        absl::SleepFor(absl::Milliseconds(150));
    }

    void call(const wire::FleetUpstream &upstream, const std::string &id,
              const std::function<void(net::CallStatus)> &onEnd)
    {
        entry.thread.run([&] {
            net::CallHandlers handlers;
            handlers.onEnd = onEnd;
            UpstreamTarget target{upstream.id, upstream.address};
            entry.upstreams.call(
                    target, [] { return std::string("GET /x HTTP/1.1\r\nHost: h\r\n\r\n"); },
                    std::move(handlers), id);
        });
    }

    void probe()
    {
        entry.thread.run([&] {
            for (const wire::FleetUpstream &upstream : list)
                entry.upstreams.probeSilent(upstream.id);
        });
    }

    /// Probes all upstreams, and sends a request to each while the probes are not answered.
    void probeAndCall()
    {
        probe();
        // Longer than the step in which the operating system measures times.
        absl::SleepFor(absl::Milliseconds(20));
        callAll();
    }

    void callAll()
    {
        for (const wire::FleetUpstream &upstream : list)
            call(upstream, "b", [](net::CallStatus) {});
    }

    std::array<net::PausableUpstream, 5> upstreams;
    std::vector<wire::FleetUpstream> list;
    ForwardingEntry entry;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ForwardingTest)

// Guards against callers of an entry without links that are not served while other entries reach
// the upstreams, and against a response that is changed on the way.
BOOST_AUTO_TEST_CASE(responseArrivesByWayOfAnotherEntry)
{
    const std::string body("\x00\xff line\r\n", 9);
    ScriptedUpstreams upstreams({{completeResponse("a", body)}});
    ForwardingEntry linked;
    CutOffEntry entry;
    const auto received = entry.call(upstreams.address(0), linked.address());
    BOOST_TEST(received.status == 200);
    BOOST_TEST(received.body == body);
    BOOST_TEST(received.end == "complete");
    BOOST_TEST(!received.hasForwarderFailed);
}

// Guards against an upstream that is told the time which was left when the call was passed on, not
// when it is sent.
BOOST_AUTO_TEST_CASE(forwardedRequestStatesTheTimeLeft)
{
    ScriptedUpstreams upstreams({{completeResponse("a", "x")}});
    ForwardingEntry linked;
    CutOffEntry entry;
    entry.call(upstreams.address(0), linked.address(), "Left: 99999\r\n");
    const auto requests = upstreams.requests();
    BOOST_TEST_REQUIRE(requests.size() == 1u);
    const std::size_t value = requests.front().find("Left: ") + 6;
    const long left = std::strtol(requests.front().c_str() + value, nullptr, 10);
    BOOST_TEST(left <= 20000);
    BOOST_TEST(left > 10000);
}

// Guards against a caller that receives the response to another request.
BOOST_AUTO_TEST_CASE(responseToAnotherRequestIsNotForwarded)
{
    ScriptedUpstreams upstreams({{completeResponse("other", "x"), true}});
    ForwardingEntry linked;
    CutOffEntry entry;
    const auto received = entry.call(upstreams.address(0), linked.address());
    BOOST_TEST(received.body.empty());
    BOOST_TEST(received.end == "broken");
}

// Guards against a stream whose events wait for its end.
BOOST_AUTO_TEST_CASE(partsArriveBeforeTheEnd)
{
    ScriptedUpstreams upstreams({{streamHead("a") + chunk(event(1))}});
    ForwardingEntry linked;
    CutOffEntry entry;
    absl::Notification begun;
    entry.thread.run(
            [&] { entry.start(upstreams.address(0), linked.address(), [&] { begun.Notify(); }); });
    BOOST_TEST(begun.WaitForNotificationWithTimeout(absl::Seconds(10)));
    BOOST_TEST(!entry.ended.HasBeenNotified());
}

// Guards against an upstream that works on for a caller that has left.
BOOST_AUTO_TEST_CASE(cancellationReachesTheUpstream)
{
    ScriptedUpstreams upstreams({{streamHead("a") + chunk(event(1))}});
    ForwardingEntry linked;
    CutOffEntry entry;
    absl::Notification begun;
    UpstreamCaller::CallId id = 0;
    entry.thread.run([&] {
        id = entry.start(upstreams.address(0), linked.address(), [&] { begun.Notify(); });
    });
    BOOST_TEST(begun.WaitForNotificationWithTimeout(absl::Seconds(10)));
    entry.thread.run([&] { entry.upstreams.cancel(id); });
    BOOST_TEST(await([&] { return !linked.isCalling(upstreams.address(0)); }));
}

// Guards against an upstream that gets the request of a caller which left before the other entry
// had the call, because the cancellation overtook the call.
BOOST_AUTO_TEST_CASE(cancellationBeforeTheCallArrivesReachesTheUpstream)
{
    ScriptedUpstreams upstreams({{streamHead("a") + chunk(event(1))}});
    ForwardingEntry linked;
    CutOffEntry entry;
    entry.thread.run(
            [&] { entry.upstreams.cancel(entry.start(upstreams.address(0), linked.address())); });
    absl::SleepFor(absl::Milliseconds(600));
    BOOST_TEST(!linked.isCalling(upstreams.address(0)));
}

// Guards against an upstream that works on for an entry that has ended or stands still.
BOOST_AUTO_TEST_CASE(callWhoseSenderIsLostIsCancelled)
{
    ScriptedUpstreams upstreams({{streamHead("a") + chunk(event(1))}});
    ForwardingEntry linked;
    {
        CutOffEntry entry;
        absl::Notification begun;
        entry.thread.run([&] {
            entry.start(upstreams.address(0), linked.address(), [&] { begun.Notify(); });
        });
        BOOST_TEST(begun.WaitForNotificationWithTimeout(absl::Seconds(10)));
        BOOST_TEST(linked.isCalling(upstreams.address(0)));
        entry.thread.run([&] { entry.forwarder.stop(); });
    }
    const absl::Time lostAt = absl::Now();
    BOOST_TEST(await([&] { return !linked.isCalling(upstreams.address(0)); }));
    BOOST_TEST((absl::Now() - lostAt < absl::Seconds(1)));
}

// Guards against a call that is cancelled although its sender only pauses.
BOOST_AUTO_TEST_CASE(callWhoseSenderPausesContinues)
{
    const std::string whole = streamHead("a") + chunk(event(1));
    Step step;
    step.bytes = whole;
    step.pause = 900;
    step.rest = chunk(event(2)) + lastChunk;
    ScriptedUpstreams upstreams({step});
    ForwardingEntry linked;
    CutOffEntry entry;
    bool hasPaused = false;
    entry.thread.run([&] {
        entry.start(upstreams.address(0), linked.address(), [&] {
            if (!std::exchange(hasPaused, true))
                absl::SleepFor(absl::Milliseconds(700));
        });
    });
    BOOST_TEST(entry.ended.WaitForNotificationWithTimeout(absl::Seconds(10)));
    BOOST_TEST(entry.received.end == "complete");
    BOOST_TEST(entry.received.body == event(1) + event(2));
}

// Guards against a sender that pauses for good, whose connection its operating system keeps open.
BOOST_AUTO_TEST_CASE(callWhoseSenderStandsStillIsCancelled)
{
    ScriptedUpstreams upstreams({{streamHead("a") + chunk(event(1))}});
    ForwardingEntry linked;
    CutOffEntry entry;
    absl::Notification begun;
    entry.thread.run([&] {
        entry.start(upstreams.address(0), linked.address(), [&] {
            begun.Notify();
            // Ends before the fixtures do.
            absl::SleepFor(absl::Seconds(3));
        });
    });
    BOOST_TEST(begun.WaitForNotificationWithTimeout(absl::Seconds(10)));
    const absl::Time pausedAt = absl::Now();
    BOOST_TEST(await([&] { return !linked.isCalling(upstreams.address(0)); }));
    BOOST_TEST((absl::Now() - pausedAt < absl::Milliseconds(2500)));
}

// Guards against a response that is cut because it does not fit into the queue of one message.
BOOST_AUTO_TEST_CASE(longResponseArrivesWhole)
{
    const std::string body(std::size_t(4) << 20, 'x');
    ScriptedUpstreams upstreams({{completeResponse("a", body)}});
    ForwardingEntry linked;
    CutOffEntry entry;
    const auto received = entry.call(upstreams.address(0), linked.address());
    BOOST_TEST(received.end == "complete");
    BOOST_TEST(received.body.size() == body.size());
}

// Guards against a request that waits for an entry which was lost after it had taken the call.
BOOST_AUTO_TEST_CASE(callEndsWhenTheForwarderIsLostLater)
{
    ScriptedUpstreams upstreams({{streamHead("a") + chunk(event(1))}});
    ForwardingEntry linked;
    CutOffEntry entry;
    absl::Notification begun;
    entry.thread.run(
            [&] { entry.start(upstreams.address(0), linked.address(), [&] { begun.Notify(); }); });
    BOOST_TEST(begun.WaitForNotificationWithTimeout(absl::Seconds(10)));
    linked.server.stop();
    BOOST_TEST(entry.ended.WaitForNotificationWithTimeout(absl::Seconds(10)));
    BOOST_TEST(entry.received.end == "broken");
    BOOST_TEST(entry.received.hasForwarderFailed);
}

// Guards against a request that may run and counts as not sent, because a later read of its
// response was not taken.
BOOST_AUTO_TEST_CASE(callThatWasTakenMayHaveRunWhenItsReadIsRefused)
{
    peer::Server forwarder(transport("f"));
    forwarder.setHandler(wire::Method::ForwardCall,
                         [](const peer::PeerIdentity &, const std::string &,
                            const peer::ResponseCallback &reply) {
                             reply(wire::encode(wire::ForwardedPart()));
                         });
    forwarder.setHandler(wire::Method::ReadForwardedCall,
                         [](const peer::PeerIdentity &, const std::string &,
                            const peer::ResponseCallback &reply) {
                             reply(notRun(ErrorCode::Stopped, "the process ends"));
                         });
    BOOST_REQUIRE(outcomeOf([&] { return forwarder.start("127.0.0.1", 0); }).ok());
    {
        CutOffEntry entry;
        const auto received =
                entry.call("127.0.0.1:1", "127.0.0.1:" + std::to_string(forwarder.port()));
        BOOST_TEST(received.end == "broken");
        BOOST_TEST(received.hasForwarderFailed);
    }
    forwarder.stop();
}

// Guards against an unanswered connection of a forwarder that is reported as refused: the
// upstream would be ejected because of a pause.
BOOST_AUTO_TEST_CASE(forwardedUnansweredConnectionIsToldFromARefusedOne)
{
    for (const bool isUnanswered : {false, true}) {
        peer::Server forwarder(transport("f"));
        forwarder.setHandler(wire::Method::ForwardCall,
                             [isUnanswered](const peer::PeerIdentity &, const std::string &,
                                            const peer::ResponseCallback &reply) {
                                 wire::ForwardedPart part;
                                 part.end = "not_connected";
                                 part.isUnanswered = isUnanswered;
                                 reply(wire::encode(part));
                             });
        BOOST_REQUIRE(outcomeOf([&] { return forwarder.start("127.0.0.1", 0); }).ok());
        {
            CutOffEntry entry;
            const auto received =
                    entry.call("127.0.0.1:1", "127.0.0.1:" + std::to_string(forwarder.port()));
            BOOST_TEST(received.end == (isUnanswered ? "unanswered" : "not_connected"));
        }
        forwarder.stop();
    }
}

// Guards against a response whose status is none, which an entry of an earlier version passes on.
BOOST_AUTO_TEST_CASE(forwardedStatusOutsideOfItsRangeIsMalformed)
{
    for (const int status : {0, 99, 600, 999}) {
        BOOST_TEST_INFO_SCOPE(status);
        peer::Server forwarder(transport("f"));
        forwarder.setHandler(wire::Method::ForwardCall,
                             [status](const peer::PeerIdentity &, const std::string &,
                                      const peer::ResponseCallback &reply) {
                                 wire::ForwardedPart part;
                                 part.hasHead = true;
                                 part.status = status;
                                 part.body = "x";
                                 part.end = "complete";
                                 reply(wire::encode(part));
                             });
        BOOST_REQUIRE(outcomeOf([&] { return forwarder.start("127.0.0.1", 0); }).ok());
        {
            CutOffEntry entry;
            const auto received =
                    entry.call("127.0.0.1:1", "127.0.0.1:" + std::to_string(forwarder.port()));
            BOOST_TEST(received.end == "broken");
            BOOST_TEST(received.status == 0);
            BOOST_TEST(received.body.empty());
        }
        forwarder.stop();
    }
}

// Guards against a request that counts as sent although the other entry did not take it, and
// against an upstream that is blamed for that.
BOOST_AUTO_TEST_CASE(refusedCallWasNotSent)
{
    ScriptedUpstreams upstreams({{completeResponse("a", "x")}});
    ForwardingEntry linked;
    linked.isListed = false;
    CutOffEntry entry;
    const auto received = entry.call(upstreams.address(0), linked.address());
    BOOST_TEST(received.end == "not_connected");
    BOOST_TEST(received.hasForwarderFailed);
    BOOST_TEST(upstreams.requests().empty());
}

// Guards against a forwarded call that is ended, although its response would have arrived, because
// the entry that forwards it pauses for 1.2 s: between two parts, or before the first one. The
// pause is still reported, so that further calls go by way of another entry.
BOOST_AUTO_TEST_CASE(callGoesOnWhenItsForwarderPauses)
{
    wire::ForwardedPart head;
    head.hasHead = true;
    head.status = 200;
    head.body = "first ";
    wire::ForwardedPart rest;
    rest.body = "second";
    rest.end = "complete";
    for (const std::size_t prompt : {0, 1, 2}) {
        BOOST_TEST_INFO_SCOPE(prompt);
        PausingForwarder forwarder({wire::ForwardedPart(), head, rest}, prompt);
        CutOffEntry entry;
        const auto received = entry.call("127.0.0.1:1", forwarder.address());
        BOOST_TEST(received.end == "complete");
        BOOST_TEST(received.body == "first second");
        BOOST_TEST(received.hasForwarderFailed);
        BOOST_TEST(forwarder.cancellations == 1);
    }
}

// Guards against a request that counts as sent, and ends, because the entry that is to forward it
// accepts connections but does not respond.
BOOST_AUTO_TEST_CASE(callIsNotSentToAForwarderThatDoesNotRespond)
{
    boost::asio::io_context context;
    const boost::asio::ip::tcp::acceptor standing(context,
                                                  {boost::asio::ip::make_address("127.0.0.1"), 0});
    CutOffEntry entry;
    const auto received = entry.call(
            "127.0.0.1:1", "127.0.0.1:" + std::to_string(standing.local_endpoint().port()));
    BOOST_TEST(received.end == "not_connected");
    BOOST_TEST(received.hasForwarderFailed);
}

// Guards against a call that waits for its forwarder beyond the time of its request.
BOOST_AUTO_TEST_CASE(callEndsInTimeWhenItsForwarderStaysSilent)
{
    PausingForwarder forwarder({wire::ForwardedPart()}, 1);
    CutOffEntry entry;
    entry.timeout = absl::Milliseconds(500);
    const absl::Time begin = absl::Now();
    const auto received = entry.call("127.0.0.1:1", forwarder.address());
    BOOST_TEST((absl::Now() - begin < absl::Seconds(2)));
    BOOST_TEST(received.end == "broken");
    BOOST_TEST(received.hasForwarderFailed);
}

// Guards against a request that waits for an entry which has stopped.
BOOST_AUTO_TEST_CASE(callEndsWhenTheForwarderIsLost)
{
    CutOffEntry entry;
    const auto received = entry.call("127.0.0.1:1", "127.0.0.1:" + std::to_string(net::freePort()));
    BOOST_TEST(received.hasForwarderFailed);
}

// Guards against an entry that goes on forwarding its calls after its own links are back, because
// it connects to one upstream only, which is gone.
BOOST_AUTO_TEST_CASE(linksAreFoundAgainByConnectingToAnyUpstream)
{
    for (std::size_t live = 0; live < 4; ++live) {
        ScriptedUpstreams upstreams({});
        CutOffEntry entry;
        BOOST_TEST(entry.isCutOff());
        entry.thread.run([&] {
            entry.list[live].address = upstreams.address(0);
            entry.upstreams.setUpstreams(entry.list);
        });
        BOOST_TEST(await([&] { return !entry.isCutOff(); }));
        BOOST_TEST(upstreams.requests().empty());
    }
}

// Guards against an entry that takes itself for cut off, and refuses requests, because several
// sound upstreams pause at once.
BOOST_AUTO_TEST_CASE(upstreamsThatPauseAreNoLostLink)
{
    ScriptedUpstreams upstreams({});
    ForwardingEntry entry;
    bool wasCutOff = false;
    bool isReachable = false;
    entry.thread.run([&] {
        const auto list = upstreamsAt(std::vector<std::string>(5, upstreams.address(0)));
        entry.upstreams.setUpstreams(list);
        for (const wire::FleetUpstream &upstream : list)
            entry.upstreams.probeSilent(upstream.id);
        wasCutOff = entry.upstreams.isCutOff();
    });
    BOOST_TEST(await([&] {
        entry.thread.run([&] {
            wasCutOff = wasCutOff || entry.upstreams.isCutOff();
            isReachable = entry.upstreams.isReachable("4");
        });
        return isReachable;
    }));
    BOOST_TEST(!wasCutOff);
}

// Guards against an entry that does not notice a cut whose connections hang, because the new ones
// are neither established nor refused.
BOOST_AUTO_TEST_CASE(unansweredConnectionsAreALostLink)
{
    const net::HangingListener hanging;
    ForwardingEntry entry;
    entry.thread.run([&] {
        entry.upstreams.setUpstreams(upstreamsAt(std::vector<std::string>(12, hanging.address())));
        entry.upstreams.probeSilent("0");
        entry.upstreams.probeSilent("1");
    });
    bool isCutOff = false;
    const absl::Time begin = absl::Now();
    BOOST_TEST(await([&] {
        entry.thread.run([&] { isCutOff = entry.upstreams.isCutOff(); });
        return isCutOff;
    }));
    // Connections fail by themselves after 1 s.
    BOOST_TEST(absl::Now() - begin < absl::Seconds(1));
}

// Guards against running calls that are given up because connections hang, which may mean that the
// upstreams pause.
BOOST_AUTO_TEST_CASE(unansweredConnectionsAloneAreNoCertainLoss)
{
    const net::HangingListener hanging;
    ForwardingEntry entry;
    const auto list = upstreamsAt(std::vector<std::string>(12, hanging.address()));
    LinkView view;
    bool isNotified = false;
    entry.thread.run([&] {
        entry.upstreams.setUpstreams(list);
        entry.upstreams.awaitLinkChange([&] { isNotified = true; });
        entry.upstreams.probeSilent("0");
        entry.upstreams.probeSilent("1");
    });
    BOOST_TEST(await([&] {
        view = viewOf(entry);
        return view.state == policy::LinkState::Unanswered;
    }));
    // Longer than an attempt to connect.
    for (const absl::Time end = absl::Now() + absl::Milliseconds(1200); absl::Now() < end;) {
        view = viewOf(entry);
        BOOST_TEST_REQUIRE((view.state == policy::LinkState::Unanswered));
        BOOST_TEST_REQUIRE(!view.isLost);
        absl::SleepFor(absl::Milliseconds(5));
    }
    BOOST_TEST(isNotified);
}

// Guards against an entry that takes itself for cut off, and ends streams, because the accept
// queues of upstreams that pause are full.
BOOST_AUTO_TEST_CASE(fullAcceptQueuesAreNoLostLink)
{
    UsedUpstreams used;
    for (net::PausableUpstream &upstream : used.upstreams)
        upstream.fill();
    bool wasCutOff = false;
    used.probeAndCall();
    LinkView view;
    for (const absl::Time end = absl::Now() + absl::Milliseconds(1500); absl::Now() < end;) {
        view = viewOf(used.entry);
        wasCutOff = wasCutOff || view.state != policy::LinkState::Working;
        absl::SleepFor(absl::Milliseconds(5));
    }
    BOOST_TEST(!wasCutOff);
    BOOST_TEST(view.isReachable);
}

// Guards against an upstream that pauses and whose accept queue is filled by probes: each silent
// call leads to one, and is noticed several times a second.
BOOST_AUTO_TEST_CASE(silentUpstreamIsProbedOnceASecond)
{
    ScriptedUpstreams upstreams({});
    ForwardingEntry entry;
    std::uint64_t opened = 0;
    entry.thread.run([&] { entry.upstreams.setUpstreams(upstreamsAt({upstreams.address(0)})); });
    for (int i = 0; i < 9; ++i) {
        entry.thread.run([&] { entry.upstreams.probeSilent("0"); });
        absl::SleepFor(absl::Milliseconds(100));
        BOOST_TEST(viewOf(entry).isReachable);
    }
    entry.thread.run([&] { opened = entry.connections.connectionsOpened(); });
    BOOST_TEST(opened == 1u);
}

// Guards against connections to an upstream that pauses, although its operating system shows that
// the link works.
BOOST_AUTO_TEST_CASE(upstreamThatAcknowledgesIsNotProbed)
{
    UsedUpstreams used;
    std::uint64_t opened = 0;
    used.callAll();
    absl::SleepFor(absl::Milliseconds(70));
    used.probe();
    used.entry.thread.run([&] { opened = used.entry.connections.connectionsOpened(); });
    BOOST_TEST(opened == used.upstreams.size());
    BOOST_TEST(viewOf(used.entry).isReachable);
}

// Guards against requests that go to upstreams which this entry knows to be silent, or no longer to
// ones which respond again.
BOOST_AUTO_TEST_CASE(silentUpstreamsAreListedUntilTheyRespond)
{
    UsedUpstreams used;
    absl::Notification ended;
    const auto silent = [&] {
        std::vector<std::string> result;
        used.entry.thread.run([&] { result = used.entry.upstreams.silentUpstreams(); });
        return result;
    };
    BOOST_TEST(silent().empty());
    used.probe();
    const std::vector<std::string> all = {"0", "1", "2", "3", "4"};
    BOOST_TEST(silent() == all, boost::test_tools::per_element());
    used.call(used.list[3], "b", [&](net::CallStatus) { ended.Notify(); });
    used.upstreams[3].serve();
    BOOST_TEST(ended.WaitForNotificationWithTimeout(absl::Seconds(10)));
    const std::vector<std::string> others = {"0", "1", "2", "4"};
    BOOST_TEST(silent() == others, boost::test_tools::per_element());
}

// Guards against a cut that is found late, or never for certain, because the established
// connections stay open.
BOOST_AUTO_TEST_CASE(unacknowledgedRequestsAreALostLink)
{
    UsedUpstreams used;
    for (net::PausableUpstream &upstream : used.upstreams)
        upstream.cut();
    const absl::Time begin = absl::Now();
    used.probeAndCall();
    LinkView view;
    BOOST_TEST(await([&] {
        view = viewOf(used.entry);
        return view.state == policy::LinkState::Lost;
    }));
    BOOST_TEST(view.isLost);
    // The next keep-alive probe would be due after 1 s.
    BOOST_TEST(absl::Now() - begin < absl::Milliseconds(900));
}

// Guards against a request on an established connection that may be lost, although another entry
// would forward it, and against one that is refused although such a connection exists.
BOOST_AUTO_TEST_CASE(forwarderIsPreferredWhileTheLinksAreUncertain)
{
    UsedUpstreams used;
    const wire::FleetUpstream other = used.list.back();
    used.list.pop_back();
    for (std::size_t i = 0; i < used.list.size(); ++i)
        used.upstreams[i].fill();
    used.entry.thread.run([&] { used.entry.upstreams.setUpstreams(used.list); });
    used.probe();
    BOOST_TEST(await([&] { return viewOf(used.entry).state == policy::LinkState::Unanswered; }));
    used.entry.thread.run([&] {
        UpstreamCaller &upstreams = used.entry.upstreams;
        const auto isForwarded = [&](const std::string &forwarder) {
            const UpstreamTarget target{other.id, other.address, forwarder};
            BOOST_TEST(upstreams.canCall(target, "b"));
            net::CallHandlers handlers;
            handlers.onEnd = [](net::CallStatus) {};
            const auto id = upstreams.call(
                    target, [] { return std::string("GET /x HTTP/1.1\r\n\r\n"); }, handlers, "b");
            return upstreams.isForwarded(id);
        };
        BOOST_TEST(isForwarded("127.0.0.1:1"));
        BOOST_TEST(!isForwarded(""));
    });
    used.entry.thread.run([&] { used.entry.forwarder.stop(); });
}

// Guards against a cut that stays uncertain because the running calls have nothing to send.
BOOST_AUTO_TEST_CASE(unacknowledgedKeepAliveProbesAreALostLink)
{
    UsedUpstreams used;
    for (net::PausableUpstream &upstream : used.upstreams)
        upstream.cut();
    used.probe();
    BOOST_TEST(await([&] { return viewOf(used.entry).state == policy::LinkState::Unanswered; }));
    BOOST_TEST(await([&] { return viewOf(used.entry).state == policy::LinkState::Lost; }));
}

// Guards against an entry that stays uncertain of its links until a new connection is accepted,
// although the upstreams' systems respond to keep-alive probes.
BOOST_AUTO_TEST_CASE(acknowledgedKeepAliveProbesEndTheDoubt)
{
    UsedUpstreams used;
    for (net::PausableUpstream &upstream : used.upstreams)
        upstream.fill();
    used.probe();
    BOOST_TEST(await([&] { return viewOf(used.entry).state == policy::LinkState::Unanswered; }));
    BOOST_TEST(await([&] { return viewOf(used.entry).state == policy::LinkState::Working; }));
}

// Guards against sound upstreams that are ejected because the entries that forward calls to them
// stand still.
BOOST_AUTO_TEST_CASE(silenceOfAForwarderSaysNothingAboutTheUpstream)
{
    peer::Server silent(transport("f"));
    // A callback that is dropped fails the call.
    std::vector<peer::ResponseCallback> unanswered;
    silent.setHandler(
            wire::Method::ForwardCall,
            [&unanswered](const peer::PeerIdentity &, const std::string &,
                          const peer::ResponseCallback &reply) { unanswered.push_back(reply); });
    BOOST_REQUIRE(outcomeOf([&] { return silent.start("127.0.0.1", 0); }).ok());
    ScriptedUpstreams upstreams({});
    {
        UnknowingBroker broker(upstreams);
        broker.forwarderAddress = "127.0.0.1:" + std::to_string(silent.port());
        Entry entry(upstreams, routeOf(RouteKind::Streaming, 2, true), broker.address());
        entry.setReachable(std::vector<std::string>(4, "127.0.0.1:1"));
        bool isCutOff = false;
        entry.thread.run([&] {
            for (const std::string upstream : {"u1", "u2", "u3", "u4"})
                entry.upstreams.probeSilent(upstream);
        });
        BOOST_REQUIRE(await([&] {
            entry.thread.run([&] { isCutOff = entry.upstreams.isCutOff(); });
            return isCutOff;
        }));
        entry.sendRequest("a");
        const auto releases = broker.awaitReleases(1);
        BOOST_TEST_REQUIRE(!releases.empty());
        BOOST_TEST(releases.front().forwarder == "f");
        BOOST_TEST(!releases.front().isWitness);
        BOOST_TEST(upstreams.requests().empty());
    }
    silent.stop();
}

// Guards against a cut that is found late because each upstream accepted a connection shortly
// before it: the latency objective is 300 ms.
BOOST_AUTO_TEST_CASE(cutAfterAcceptedProbesIsFoundWithinTheObjective)
{
    UsedUpstreams used;
    used.probe();
    absl::SleepFor(absl::Milliseconds(50));
    for (net::PausableUpstream &upstream : used.upstreams)
        upstream.cut();
    const absl::Time begin = absl::Now();
    BOOST_TEST(await([&] {
        used.probe();
        return viewOf(used.entry).state != policy::LinkState::Working;
    }));
    const absl::Duration duration = absl::Now() - begin;
    BOOST_TEST_MESSAGE("found after " << absl::ToInt64Milliseconds(duration) << " ms");
    BOOST_TEST((duration < absl::Milliseconds(300)));
}

// Guards against a second attempt that is ended for the sake of one on a link that was cut: the
// probe that was accepted before the cut must not outweigh a later one without an answer.
BOOST_AUTO_TEST_CASE(upstreamThatDoesNotAnswerAProbeIsNotReachable)
{
    UsedUpstreams used;
    used.probe();
    absl::SleepFor(absl::Milliseconds(50));
    for (net::PausableUpstream &upstream : used.upstreams)
        upstream.cut();
    absl::SleepFor(absl::Milliseconds(210));
    bool isReachable = false;
    absl::Notification probed;
    used.entry.thread.run([&] {
        used.entry.upstreams.probeSilent("0", [&] {
            isReachable = used.entry.upstreams.isReachable("0");
            probed.Notify();
        });
    });
    BOOST_REQUIRE(probed.WaitForNotificationWithTimeout(absl::Seconds(10)));
    BOOST_TEST(!isReachable);
}

BOOST_AUTO_TEST_SUITE_END()
