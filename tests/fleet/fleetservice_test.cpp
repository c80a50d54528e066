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

class NoList : public UpstreamDiscovery
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

/// A control process that only notes that it was asked.
class AskedServer
{
public:
    AskedServer()
    {
        m_server.handle(wire::Method::Sync, [this](const peer::PeerIdentity &, const std::string &,
                                                   const peer::ResponseCallback &reply) {
            if (!m_asked.HasBeenNotified())
                m_asked.Notify();
            reply(notRun(ErrorCode::Timeout, ""));
        });
        start(m_server);
    }
    ~AskedServer() { m_server.stop(); }

    std::string address() const { return addressOf(m_server); }
    bool awaitAsked() { return m_asked.WaitForNotificationWithTimeout(absl::Seconds(5)); }

private:
    absl::Notification m_asked;
    peer::Server m_server{transport("leader")};
};

} // namespace

BOOST_AUTO_TEST_SUITE(FleetServiceTest)

// Guards against processes that ask again and again, and find a new leader only with the next
// question: after a loss of power all of them wait for the first leader.
BOOST_AUTO_TEST_CASE(pollIsHeldWhileNoLeaderIsKnown)
{
    net::LoopThread on;
    peer::ChannelPool channels(transport("c"));
    // Never opened, so that it knows no leader.
    GroupReplica replica(on.loop(), channels, GroupReplicaSettings(), SystemClock::instance());
    NoList list;
    FleetService service(on.loop(), replica, list, FleetServiceSettings(), SystemClock::instance());
    peer::Server server(transport("c"));
    service.install(server);
    start(server);
    on.run([&] { service.start(); });

    wire::FleetSyncRequest request;
    request.waitMs = 300;
    const absl::Time start = absl::Now();
    absl::Notification answered;
    ErrorCode code = ErrorCode::Internal;
    channels.channel(addressOf(server))
            ->call(wire::Method::Sync, wire::encode(request), absl::Seconds(5),
                   [&](const Outcome<std::string> &outcome) {
                       code = outcome.ok() ? ErrorCode::Internal : outcome.failure().code;
                       answered.Notify();
                   });
    answered.WaitForNotification();
    BOOST_TEST((code == ErrorCode::NotLeader));
    BOOST_TEST((absl::Now() - start >= absl::Milliseconds(250)));
    on.run([&] { service.stop(); });
    server.stop();
}

// Guards against a follower that backs off although it has just been told who leads.
BOOST_AUTO_TEST_CASE(followerGoesToTheNamedLeaderAtOnce)
{
    net::LoopThread on;
    AskedServer leader;
    peer::Server other(transport("other"));
    other.handle(wire::Method::Sync, [&](const peer::PeerIdentity &, const std::string &,
                                         const peer::ResponseCallback &reply) {
        reply(notRun(ErrorCode::NotLeader, leader.address() + "/replica"));
    });
    start(other);

    peer::ChannelPool channels(transport("f"));
    FleetClientSettings settings;
    settings.seeds = {addressOf(other)};
    // Longer than the test, so that only an immediate question arrives.
    settings.minBackoff = absl::Minutes(10);
    settings.maxBackoff = absl::Minutes(10);
    FleetClient follower(on.loop(), channels, settings, SystemClock::instance());
    on.run([&] { follower.start(); });
    BOOST_TEST(leader.awaitAsked());
    on.run([&] { follower.stop(); });
    other.stop();
}

// Guards against a search for the leader that stands still at a process that is down.
BOOST_AUTO_TEST_CASE(silentSeedDoesNotHoldUpTheSearch)
{
    net::LoopThread on;
    // A reply that is dropped would be answered.
    std::vector<peer::ResponseCallback> kept;
    peer::Server silent(transport("silent"));
    silent.handle(wire::Method::Sync,
                  [&](const peer::PeerIdentity &, const std::string &,
                      const peer::ResponseCallback &reply) { kept.push_back(reply); });
    start(silent);
    AskedServer leader;

    peer::ChannelPool channels(transport("f"));
    FleetClientSettings settings;
    settings.seeds = {addressOf(silent), leader.address()};
    settings.pollTimeout = absl::Minutes(10);
    FleetClient follower(on.loop(), channels, settings, SystemClock::instance());
    on.run([&] { follower.start(); });
    BOOST_TEST(leader.awaitAsked());
    on.run([&] { follower.stop(); });
    silent.stop();
}

BOOST_AUTO_TEST_SUITE_END()
