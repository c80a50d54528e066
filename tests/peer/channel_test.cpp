#include "callresult.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/peer/channelpool.h"
#include "rattanrill/peer/server.h"

#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <memory>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::peer;

namespace {

TransportOptions optionsOf(const std::string &instance, const std::string &secret = "secret")
{
    TransportOptions options;
    options.self = PeerIdentity{instance, "d1", "test"};
    options.clusterSecret = secret;
    options.connectTimeout = absl::Milliseconds(500);
    return options;
}

std::string addressOf(int port)
{
    return concat("127.0.0.1:", port);
}

/// Server on which Read returns the instance of the caller and the body, Raft returns the body
/// twice, Propose stores its reply callback, PollChanges discards it, Heartbeat fails with
/// NotLeader, and GrantRate blocks the network thread.
struct EchoServer
{
    explicit EchoServer(TransportOptions options = optionsOf("server"), int port = 0)
        : server(std::move(options))
    {
        server.setHandler(wire::Method::Read, [this](const PeerIdentity &from, std::string body,
                                                     ResponseCallback reply) {
            ++calls;
            reply(concat(from.instance, "=", body));
        });
        server.setHandler(wire::Method::Propose,
                          [this](const PeerIdentity &, std::string, ResponseCallback reply) {
                              absl::MutexLock lock(&mutex);
                              pendingReplies.push_back(std::move(reply));
                          });
        server.setHandler(wire::Method::Raft, [](const PeerIdentity &, std::string body,
                                                 ResponseCallback reply) { reply(body + body); });
        server.setHandler(wire::Method::PollChanges,
                          [](const PeerIdentity &, std::string, ResponseCallback) {});
        server.setHandler(wire::Method::Heartbeat,
                          [](const PeerIdentity &, std::string, ResponseCallback reply) {
                              reply(notRun(ErrorCode::NotLeader, "127.0.0.9:1"));
                          });
        server.setHandler(wire::Method::GrantRate,
                          [this](const PeerIdentity &, std::string, ResponseCallback reply) {
                              unblockGrant.WaitForNotification();
                              reply(std::string());
                          });
        BOOST_REQUIRE(outcomeOf([&] { return server.start("127.0.0.1", port); }).ok());
    }
    ~EchoServer()
    {
        if (!unblockGrant.HasBeenNotified())
            unblockGrant.Notify();
        server.stop();
    }

    void awaitPendingReply()
    {
        absl::MutexLock lock(&mutex);
        const auto hasReply = [this] { return !pendingReplies.empty(); };
        BOOST_REQUIRE(mutex.AwaitWithTimeout(absl::Condition(&hasReply), absl::Seconds(10)));
    }

    absl::Mutex mutex;
    std::vector<ResponseCallback> pendingReplies;
    std::atomic<int> calls{0};
    absl::Notification unblockGrant;
    Server server;
};

void checkFailure(const Outcome<std::string> &outcome, ErrorCode code, EffectState effect)
{
    BOOST_REQUIRE(!outcome.ok());
    BOOST_TEST(name(outcome.failure().code) == name(code), describe(outcome.failure()));
    BOOST_TEST(name(outcome.failure().effect) == name(effect), describe(outcome.failure()));
}

} // namespace

BOOST_AUTO_TEST_SUITE(ChannelTest)

// Guards against a failure whose code, effect state or detail is lost between server and client.
BOOST_AUTO_TEST_CASE(callReturnsTheResponseOrTheTypedFailure)
{
    EchoServer echo;
    Channel channel(optionsOf("client"), addressOf(echo.server.port()));
    BOOST_TEST(callAndWait(channel, "body").value() == "client=body");
    BOOST_TEST(channel.connected());
    const auto failed = callAndWait(channel, "", absl::Seconds(10), wire::Method::Heartbeat);
    checkFailure(failed, ErrorCode::NotLeader, EffectState::NotRun);
    BOOST_TEST(failed.failure().detail == "127.0.0.9:1");
    checkFailure(callAndWait(channel, "", absl::Seconds(10), wire::Method::Hello),
                 ErrorCode::UnknownMethod, EffectState::NotRun);
}

// Guards against a server that runs requests of a client without the cluster secret.
BOOST_AUTO_TEST_CASE(wrongSecretFailsAuthenticationAndRunsNothing)
{
    EchoServer echo;
    Channel channel(optionsOf("client", "guess"), addressOf(echo.server.port()));
    checkFailure(callAndWait(channel, "body"), ErrorCode::AuthenticationFailed,
                 EffectState::NotRun);
    BOOST_TEST(!channel.connected());
    BOOST_TEST(echo.calls == 0);
}

// Guards against a request or response above the size limit that is sent or fails with the wrong
// effect state.
BOOST_AUTO_TEST_CASE(oversizeMessagesFailInBothDirections)
{
    TransportOptions small = optionsOf("server");
    small.maxMessageBytes = 64 << 10;
    EchoServer echo(small);
    Channel limited(small, addressOf(echo.server.port()));
    checkFailure(callAndWait(limited, std::string(70000, 'x')), ErrorCode::MessageTooLarge,
                 EffectState::NotRun);
    BOOST_TEST(echo.calls == 0);
    // The request is within the limit and runs. Its response of twice the size is above the limit.
    checkFailure(
            callAndWait(limited, std::string(40000, 'x'), absl::Seconds(10), wire::Method::Raft),
            ErrorCode::MessageTooLarge, EffectState::MayHaveRun);
    BOOST_TEST(callAndWait(limited, "next").ok());
    // A client with a larger limit loses the connection instead of exhausting the server.
    Channel unlimited(optionsOf("client"), addressOf(echo.server.port()));
    checkFailure(callAndWait(unlimited, std::string(70000, 'x')), ErrorCode::ConnectionLost,
                 EffectState::MayHaveRun);
}

// Guards against a call that waits forever for a process that accepts the connection but never
// answers the handshake.
BOOST_AUTO_TEST_CASE(listenerWithoutHandshakeFailsTheCall)
{
    boost::asio::io_context service;
    boost::asio::ip::tcp::acceptor listener(service,
                                            {boost::asio::ip::make_address("127.0.0.1"), 0});
    Channel channel(optionsOf("client"), addressOf(listener.local_endpoint().port()));
    checkFailure(callAndWait(channel, "", absl::Seconds(60)), ErrorCode::ConnectionLost,
                 EffectState::NotRun);
}

// Guards against a failure with the effect state NotRun for a call that was sent, when its handler
// does not reply in time or discards the reply callback.
BOOST_AUTO_TEST_CASE(unansweredCallTimesOutAsMayHaveRun)
{
    EchoServer echo;
    Channel channel(optionsOf("client"), addressOf(echo.server.port()));
    BOOST_REQUIRE(callAndWait(channel, "").ok());
    checkFailure(callAndWait(channel, "", absl::Milliseconds(50), wire::Method::Propose),
                 ErrorCode::Timeout, EffectState::MayHaveRun);
    checkFailure(callAndWait(channel, "", absl::Seconds(10), wire::Method::PollChanges),
                 ErrorCode::Internal, EffectState::MayHaveRun);
}

// Guards against a call with a long timeout that waits for a process that no longer answers pings.
BOOST_AUTO_TEST_CASE(unresponsivePeerIsDetectedByKeepAlive)
{
    EchoServer echo;
    Channel channel(optionsOf("client"), addressOf(echo.server.port()));
    checkFailure(callAndWait(channel, "", absl::Minutes(5), wire::Method::GrantRate),
                 ErrorCode::ConnectionLost, EffectState::MayHaveRun);
}

// Guards against a call that never fails, or gets two replies, when its connection is lost.
BOOST_AUTO_TEST_CASE(lostConnectionFailsTheCallInFlightOnce)
{
    EchoServer echo;
    Channel channel(optionsOf("client"), addressOf(echo.server.port()));
    CallResult result;
    channel.call(wire::Method::Propose, "", absl::Seconds(20), result.reply());
    echo.awaitPendingReply();
    echo.server.stop();
    checkFailure(result.wait(), ErrorCode::ConnectionLost, EffectState::MayHaveRun);
    // A late reply of the handler is ignored.
    echo.pendingReplies.front()(std::string("late"));
    echo.pendingReplies.clear();
    checkFailure(callAndWait(channel, ""), ErrorCode::ConnectionLost, EffectState::NotRun);
    BOOST_TEST(result.count() == 1);
}

// Guards against a channel that stays disconnected after the server has restarted.
BOOST_AUTO_TEST_CASE(channelReconnectsAfterTheServerRestarts)
{
    auto first = std::make_unique<EchoServer>();
    const int port = first->server.port();
    Channel channel(optionsOf("client"), addressOf(port));
    BOOST_REQUIRE(callAndWait(channel, "").ok());
    first.reset();
    EchoServer second(optionsOf("server"), port);
    bool succeeded = false;
    for (int attempt = 0; attempt < 500 && !succeeded; ++attempt) {
        succeeded = callAndWait(channel, "").ok();
        if (!succeeded)
            absl::SleepFor(absl::Milliseconds(20));
    }
    BOOST_TEST(succeeded);
}

// Guards against a use after free: a reply that runs after close() accesses objects that its owner
// has destroyed.
BOOST_AUTO_TEST_CASE(closeFailsOpenAndLaterCallsWithStopped)
{
    EchoServer echo;
    Channel channel(optionsOf("client"), addressOf(echo.server.port()));
    CallResult result;
    channel.call(wire::Method::Propose, "", absl::Seconds(20), result.reply());
    echo.awaitPendingReply();
    channel.close();
    BOOST_TEST(result.count() == 1);
    checkFailure(result.wait(), ErrorCode::Stopped, EffectState::MayHaveRun);
    checkFailure(callAndWait(channel, ""), ErrorCode::Stopped, EffectState::NotRun);
}

// Guards against memory that grows without bound while a peer does not read.
BOOST_AUTO_TEST_CASE(fullQueueFailsTheCall)
{
    EchoServer echo;
    TransportOptions options = optionsOf("client");
    options.maxQueuedBytes = 1 << 20;
    Channel channel(options, addressOf(echo.server.port()));
    BOOST_REQUIRE(callAndWait(channel, "").ok());
    CallResult blocked;
    channel.call(wire::Method::GrantRate, "", absl::Seconds(20), blocked.reply());
    int full = 0;
    // The socket buffers hold a few MiB before the channel's own queue fills.
    for (int i = 0; i < 64 && full == 0; ++i) {
        const auto outcome =
                callAndWait(channel, std::string(512 << 10, 'x'), absl::Milliseconds(20));
        BOOST_REQUIRE(!outcome.ok());
        if (outcome.failure().code == ErrorCode::QueueFull) {
            BOOST_TEST(name(outcome.failure().effect) == name(EffectState::NotRun));
            ++full;
        }
    }
    BOOST_TEST(full == 1);
}

// Guards against the same error code for an address in use and for an invalid host.
BOOST_AUTO_TEST_CASE(usedPortAndInvalidHostFailWithTheirCodes)
{
    EchoServer echo;
    Server second(optionsOf("second"));
    const auto used = outcomeOf([&] { return second.start("127.0.0.1", echo.server.port()); });
    BOOST_REQUIRE(!used.ok());
    BOOST_TEST((used.failure().code == ErrorCode::AddressInUse));
    Server third(optionsOf("third"));
    const auto invalidHost = outcomeOf([&] { return third.start("somewhere", 0); });
    BOOST_TEST((invalidHost.failure().code == ErrorCode::InvalidArgument));
}

// Guards against a second connection to the same address, and against channels that stay open after
// they were removed or the pool was closed.
BOOST_AUTO_TEST_CASE(poolKeepsOneChannelForEachAddress)
{
    EchoServer echo;
    ChannelPool pool(optionsOf("client"));
    const std::string address = addressOf(echo.server.port());
    const auto channel = pool.channel(address);
    BOOST_TEST(channel == pool.channel(address));
    BOOST_TEST(callAndWait(*channel, "").ok());
    pool.remove(address);
    checkFailure(callAndWait(*channel, ""), ErrorCode::Stopped, EffectState::NotRun);
    BOOST_TEST(callAndWait(*pool.channel(address), "").ok());
    pool.close();
    checkFailure(callAndWait(*pool.channel(address), ""), ErrorCode::Stopped, EffectState::NotRun);
}

// Guards against hundreds of processes that keep a slow one busy with attempts to connect which
// they have already given up: the attempts become longer, and with them rarer.
BOOST_AUTO_TEST_CASE(attemptsToASlowServerBecomeLonger)
{
    namespace asio = boost::asio;
    asio::io_context context;
    // The kernel establishes the connections, and nothing accepts them.
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    acceptor.non_blocking(true);
    TransportOptions options = optionsOf("client");
    options.connectTimeout = absl::Milliseconds(100);
    options.maxConnectTimeout = absl::Milliseconds(800);
    options.maxBackoff = absl::Milliseconds(20);
    ChannelPool channels(options);
    channels.channel(addressOf(acceptor.local_endpoint().port()))
            ->sendOneWay(wire::Method::Read, "x");
    absl::SleepFor(absl::Milliseconds(2500));
    channels.close();
    int attempts = 0;
    boost::system::error_code error;
    while (!error) {
        asio::ip::tcp::socket socket(context);
        acceptor.accept(socket, error);
        attempts += error ? 0 : 1;
    }
    // At 0, 0.1, 0.3, 0.7, 1.5 and 2.3 s.
    BOOST_TEST(attempts >= 3);
    BOOST_TEST(attempts <= 6);
}

// Guards against a silent process that is only unread: messages that had arrived must be handled
// before the silence of their senders counts.
BOOST_AUTO_TEST_CASE(pendingReadsAreHandledFirst)
{
    constexpr int senders = 40;
    std::atomic<int> calls{0};
    absl::Notification blocked;
    absl::Notification released;
    Server server(optionsOf("server"));
    server.setHandler(wire::Method::Read,
                      [&](const PeerIdentity &, std::string body, ResponseCallback reply) {
                          ++calls;
                          reply(std::move(body));
                      });
    server.setHandler(wire::Method::GrantRate, [&](const PeerIdentity &, const std::string &,
                                                   const ResponseCallback &reply) {
        blocked.Notify();
        released.WaitForNotification();
        reply(std::string());
    });
    BOOST_REQUIRE(outcomeOf([&] { return server.start("127.0.0.1", 0); }).ok());
    const std::string address = addressOf(server.port());
    std::vector<std::unique_ptr<ChannelPool>> pools;
    for (int i = 0; i < senders; ++i) {
        pools.push_back(std::make_unique<ChannelPool>(optionsOf("client")));
        BOOST_REQUIRE(callAndWait(*pools.back()->channel(address), "x").ok());
    }
    pools.front()->channel(address)->sendOneWay(wire::Method::GrantRate, "");
    blocked.WaitForNotification();
    for (const auto &pool : pools)
        pool->channel(address)->sendOneWay(wire::Method::Read, "y");
    absl::SleepFor(absl::Milliseconds(200));
    absl::Notification done;
    int callsWhenDone = 0;
    server.afterPendingReads([&] {
        callsWhenDone = calls;
        done.Notify();
    });
    released.Notify();
    done.WaitForNotification();
    BOOST_TEST(callsWhenDone == 2 * senders);
    server.stop();
    for (const auto &pool : pools)
        pool->close();
}

BOOST_AUTO_TEST_SUITE_END()
