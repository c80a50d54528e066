#include "rattanrill/fleet/syncservice.h"

#include "rattanrill/fleet/fleetfollower.h"
#include "rattanrill/wire/codec.h"

#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
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

class NoList : public UpstreamList
{
public:
    void read(Callback callback) override { callback(notRun(ErrorCode::Timeout, "")); }
};

struct Loop
{
    ~Loop()
    {
        loop.stop();
        thread.join();
    }

    void run(const std::function<void()> &task)
    {
        absl::Notification done;
        loop.post([&] {
            task();
            done.Notify();
        });
        done.WaitForNotification();
    }

    net::EventLoop loop;
    std::thread thread{[this] { loop.run(); }};
};

} // namespace

BOOST_AUTO_TEST_SUITE(SyncServiceTest)

// Guards against processes that ask again and again, and find a new leader only with the next
// question: after a loss of power all of them wait for the first leader.
BOOST_AUTO_TEST_CASE(pollIsHeldWhileNoLeaderIsKnown)
{
    Loop on;
    peer::ChannelPool channels(transport("c"));
    // Never opened, so that it knows no leader.
    GroupReplica replica(on.loop, channels, GroupReplicaSettings(), SystemClock::instance());
    NoList list;
    SyncService service(on.loop, replica, list, SyncSettings(), SystemClock::instance());
    peer::Server server(transport("c"));
    service.install(server);
    BOOST_REQUIRE(outcomeOf([&] { return server.start("127.0.0.1", 0); }).ok());
    on.run([&] { service.start(); });

    wire::SyncRequest request;
    request.waitMs = 300;
    const absl::Time start = absl::Now();
    absl::Notification answered;
    ErrorCode code = ErrorCode::Internal;
    channels.channel("127.0.0.1:" + std::to_string(server.port()))
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
    Loop on;
    std::atomic<bool> isAsked{false};
    peer::Server leader(transport("leader"));
    leader.handle(wire::Method::Sync,
                  [&](const peer::PeerIdentity &, const std::string &, const peer::Reply &reply) {
                      isAsked = true;
                      reply(notRun(ErrorCode::Timeout, ""));
                  });
    BOOST_REQUIRE(outcomeOf([&] { return leader.start("127.0.0.1", 0); }).ok());
    const std::string leaderAddress = "127.0.0.1:" + std::to_string(leader.port());
    peer::Server other(transport("other"));
    other.handle(wire::Method::Sync,
                 [&](const peer::PeerIdentity &, const std::string &, const peer::Reply &reply) {
                     reply(notRun(ErrorCode::NotLeader, leaderAddress + "/replica"));
                 });
    BOOST_REQUIRE(outcomeOf([&] { return other.start("127.0.0.1", 0); }).ok());

    peer::ChannelPool channels(transport("f"));
    FollowerSettings settings;
    settings.seeds = {"127.0.0.1:" + std::to_string(other.port())};
    // Longer than the test, so that only an immediate question arrives.
    settings.minBackoff = absl::Minutes(10);
    settings.maxBackoff = absl::Minutes(10);
    FleetFollower follower(on.loop, channels, settings, SystemClock::instance());
    on.run([&] { follower.start(); });
    const absl::Time end = absl::Now() + absl::Seconds(5);
    while (!isAsked && absl::Now() < end)
        absl::SleepFor(absl::Milliseconds(5));
    BOOST_TEST(isAsked);
    on.run([&] { follower.stop(); });
    leader.stop();
    other.stop();
}

// Guards against a search for the leader that stands still at a process that is down.
BOOST_AUTO_TEST_CASE(silentSeedDoesNotHoldUpTheSearch)
{
    Loop on;
    // A reply that is dropped would be answered.
    std::vector<peer::Reply> kept;
    peer::Server silent(transport("silent"));
    silent.handle(wire::Method::Sync, [&](const peer::PeerIdentity &, const std::string &,
                                          const peer::Reply &reply) { kept.push_back(reply); });
    BOOST_REQUIRE(outcomeOf([&] { return silent.start("127.0.0.1", 0); }).ok());
    std::atomic<bool> isAsked{false};
    peer::Server leader(transport("leader"));
    leader.handle(wire::Method::Sync,
                  [&](const peer::PeerIdentity &, const std::string &, const peer::Reply &reply) {
                      isAsked = true;
                      reply(notRun(ErrorCode::Timeout, ""));
                  });
    BOOST_REQUIRE(outcomeOf([&] { return leader.start("127.0.0.1", 0); }).ok());

    peer::ChannelPool channels(transport("f"));
    FollowerSettings settings;
    settings.seeds = {"127.0.0.1:" + std::to_string(silent.port()),
                      "127.0.0.1:" + std::to_string(leader.port())};
    settings.pollTimeout = absl::Minutes(10);
    FleetFollower follower(on.loop, channels, settings, SystemClock::instance());
    on.run([&] { follower.start(); });
    const absl::Time end = absl::Now() + absl::Seconds(5);
    while (!isAsked && absl::Now() < end)
        absl::SleepFor(absl::Milliseconds(5));
    BOOST_TEST(isAsked);
    on.run([&] { follower.stop(); });
    leader.stop();
    silent.stop();
}

BOOST_AUTO_TEST_SUITE_END()
