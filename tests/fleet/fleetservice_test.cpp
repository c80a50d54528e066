#include "rattanrill/fleet/fleetservice.h"

#include "loopthread.h"

#include "rattanrill/fleet/fleetclient.h"
#include "rattanrill/wire/codec.h"

#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::fleet;

namespace {

constexpr const char *secret = "s";

peer::TransportOptions transport(const std::string &instance)
{
    peer::TransportOptions options;
    options.self = {instance, "d", "control"};
    options.clusterSecret = secret;
    return options;
}

class FailingDiscovery : public UpstreamDiscovery
{
public:
    void read(Callback callback) override { callback(notRun(ErrorCode::Timeout, "")); }
};

std::string addressOf(const peer::Server &server)
{
    return "127.0.0.1:" + std::to_string(server.port());
}

void start(peer::Server &server)
{
    BOOST_REQUIRE(outcomeOf([&] { return server.start("127.0.0.1", 0); }).ok());
}

/// A control process that records whether it was polled. Its responses are failures.
class PolledServer
{
public:
    PolledServer()
    {
        m_server.setHandler(wire::Method::SyncFleet,
                            [this](const peer::PeerIdentity &, const std::string &,
                                   const peer::ResponseCallback &reply) {
                                if (!m_polled.HasBeenNotified())
                                    m_polled.Notify();
                                reply(notRun(ErrorCode::Timeout, ""));
                            });
        start(m_server);
    }
    ~PolledServer() { m_server.stop(); }

    std::string address() const { return addressOf(m_server); }
    bool awaitPoll() { return m_polled.WaitForNotificationWithTimeout(absl::Seconds(5)); }

private:
    absl::Notification m_polled;
    peer::Server m_server{transport("leader")};
};

} // namespace

BOOST_AUTO_TEST_SUITE(FleetServiceTest)

// Guards against a control process that fails polls at once while the leader is unknown. After a
// power loss all processes wait for the election of a leader; they would poll repeatedly and find
// the leader only with their next poll.
BOOST_AUTO_TEST_CASE(pollIsHeldWhileNoLeaderIsKnown)
{
    net::LoopThread loopThread;
    peer::ChannelPool channels(transport("c"));
    // The replica is never opened, so that its leader stays unknown.
    GroupReplica replica(loopThread.loop(), channels, GroupReplicaSettings(),
                         SystemClock::instance());
    FailingDiscovery discovery;
    FleetService service(loopThread.loop(), replica, discovery, FleetServiceSettings(),
                         SystemClock::instance());
    peer::Server server(transport("c"));
    service.install(server);
    start(server);
    loopThread.run([&] { service.start(); });

    wire::FleetSyncRequest request;
    request.waitMs = 300;
    const absl::Time startTime = absl::Now();
    absl::Notification responded;
    ErrorCode code = ErrorCode::Internal;
    channels.channel(addressOf(server))
            ->call(wire::Method::SyncFleet, wire::encode(request), absl::Seconds(5),
                   [&](const Outcome<std::string> &outcome) {
                       code = outcome.ok() ? ErrorCode::Internal : outcome.failure().code;
                       responded.Notify();
                   });
    responded.WaitForNotification();
    BOOST_TEST((code == ErrorCode::NotLeader));
    BOOST_TEST((absl::Now() - startTime >= absl::Milliseconds(250)));
    loopThread.run([&] { service.stop(); });
    server.stop();
}

// Guards against a client that backs off although the response to its poll named the leader.
BOOST_AUTO_TEST_CASE(clientPollsTheNamedLeaderAtOnce)
{
    net::LoopThread loopThread;
    PolledServer leader;
    peer::Server nonLeader(transport("other"));
    nonLeader.setHandler(wire::Method::SyncFleet,
                         [&](const peer::PeerIdentity &, const std::string &,
                             const peer::ResponseCallback &reply) {
                             reply(notRun(ErrorCode::NotLeader, leader.address() + "/replica"));
                         });
    start(nonLeader);

    peer::ChannelPool channels(transport("f"));
    FleetClientSettings settings;
    settings.seeds = {addressOf(nonLeader)};
    // Longer than the test, so that a poll arrives only when it is sent without a delay.
    settings.minBackoff = absl::Minutes(10);
    settings.maxBackoff = absl::Minutes(10);
    FleetClient client(loopThread.loop(), channels, settings, SystemClock::instance());
    loopThread.run([&] { client.start(); });
    BOOST_TEST(leader.awaitPoll());
    loopThread.run([&] { client.stop(); });
    nonLeader.stop();
}

// Guards against a search for the leader that waits for a process that does not respond before it
// polls the next one.
BOOST_AUTO_TEST_CASE(unresponsiveSeedDoesNotDelayTheSearchForTheLeader)
{
    net::LoopThread loopThread;
    // The callbacks are stored because destroying one would send a response.
    std::vector<peer::ResponseCallback> pendingReplies;
    peer::Server unresponsive(transport("silent"));
    unresponsive.setHandler(
            wire::Method::SyncFleet,
            [&](const peer::PeerIdentity &, const std::string &,
                const peer::ResponseCallback &reply) { pendingReplies.push_back(reply); });
    start(unresponsive);
    PolledServer leader;

    peer::ChannelPool channels(transport("f"));
    FleetClientSettings settings;
    settings.seeds = {addressOf(unresponsive), leader.address()};
    settings.pollTimeout = absl::Minutes(10);
    FleetClient client(loopThread.loop(), channels, settings, SystemClock::instance());
    loopThread.run([&] { client.start(); });
    BOOST_TEST(leader.awaitPoll());
    loopThread.run([&] { client.stop(); });
    unresponsive.stop();
}

BOOST_AUTO_TEST_SUITE_END()
