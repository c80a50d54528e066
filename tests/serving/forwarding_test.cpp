#include "forwardingentry.h"
#include "hanginglistener.h"
#include "proxyfixture.h"

#include "rattanrill/wire/forwardingmessages.h"

#include <algorithm>
#include <string>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::serving;

namespace {

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

// Guards against a request behind a forwarded one, which the upstream would run: UNASKED.
BOOST_AUTO_TEST_CASE(callOfTwoRequestsIsNotForwarded)
{
    ScriptedUpstreams upstreams({{completeResponse("a", "x")}});
    ForwardingEntry linked;
    CutOffEntry entry;
    const auto received = entry.call(upstreams.address(0), linked.address(),
                                     "\r\nGET /y HTTP/1.1\r\nHost: h\r\n");
    BOOST_TEST(received.end == "not_connected");
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

BOOST_AUTO_TEST_SUITE_END()
