#include "rattanrill/fleet/fleetservice.h"

#include "fakediscovery.h"
#include "loopthread.h"

#include "rattanrill/fleet/fleetclient.h"
#include "rattanrill/fleet/retirement.h"
#include "rattanrill/fleet/statemachine.h"
#include "rattanrill/wire/codec.h"
#include "rattanrill/wire/decodeoutcome.h"

#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
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

std::string addressOf(const peer::Server &server)
{
    return "127.0.0.1:" + std::to_string(server.port());
}

void start(peer::Server &server)
{
    BOOST_REQUIRE(outcomeOf([&] { return server.start("127.0.0.1", 0); }).ok());
}

/// Sends a poll and returns the response; nullopt for a failure.
std::optional<wire::FleetSyncResponse> pollServer(peer::ChannelPool &channels,
                                                  const peer::Server &server,
                                                  const wire::FleetSyncRequest &request)
{
    std::optional<wire::FleetSyncResponse> response;
    absl::Notification responded;
    channels.channel(addressOf(server))
            ->call(wire::Method::SyncFleet, wire::encode(request), absl::Seconds(5),
                   [&](const Outcome<std::string> &outcome) {
                       if (outcome.ok())
                           response = wire::decodeOutcome<wire::FleetSyncResponse>(outcome).value();
                       responded.Notify();
                   });
    responded.WaitForNotification();
    return response;
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

/// drain-ms of the smallest deployment: time after which no request may reach an upstream that a
/// read of the platform's list has shown as draining.
constexpr absl::Duration drainLimit = absl::Seconds(3);

/// A fleet group of one replica, and a member that polls it.
struct LeaderFixture
{
    LeaderFixture()
    {
        service.install(server);
        start(server);
    }
    ~LeaderFixture()
    {
        thread.run([this] {
            service.stop();
            replica.stop();
        });
        server.stop();
        channels.close();
        std::filesystem::remove_all(folder);
    }

    void open()
    {
        thread.run([this] {
            service.start();
            const std::string id = makeReplicaId(addressOf(server), "a");
            BOOST_REQUIRE(outcomeOf([&] {
                              return replica.open({id, {id}}, makeFleetStateMachine());
                          }).ok());
        });
    }

    static std::string temporaryFolder()
    {
        std::string pattern =
                (std::filesystem::temp_directory_path() / "rattanrill-XXXXXX").string();
        BOOST_REQUIRE(::mkdtemp(pattern.data()) != nullptr);
        return pattern;
    }

    GroupReplicaSettings replicaSettings() const
    {
        GroupReplicaSettings settings;
        settings.group = fleetGroup;
        settings.dataFolder = folder;
        return settings;
    }

    /// Polls until a response fulfils \a condition; returns false when none does within \a timeout.
    bool awaitResponse(const std::function<bool(const wire::FleetSyncResponse &)> &condition,
                       absl::Duration timeout)
    {
        const absl::Time end = absl::Now() + timeout;
        while (absl::Now() < end) {
            if (const auto response = poll(); response && condition(*response))
                return true;
            absl::SleepFor(absl::Milliseconds(10));
        }
        return false;
    }

    std::string await(const std::function<void(GroupReplica::Callback)> &call)
    {
        std::string body;
        absl::Notification responded;
        thread.run([&] {
            call([&](const Outcome<std::string> &outcome) {
                if (outcome.ok())
                    body = outcome.value();
                responded.Notify();
            });
        });
        responded.WaitForNotification();
        return body;
    }

    void propose(wire::FleetOperation operation)
    {
        const std::string command = wire::encode(wire::FleetCommand{std::move(operation)});
        BOOST_REQUIRE(!await([&](auto done) { replica.propose(command, done); }).empty());
    }

    wire::FleetSnapshot records()
    {
        const std::string query = wire::encode(wire::FleetQuery());
        const std::string body = await([&](auto done) { replica.readOnLeader(query, done); });
        return outcomeOf([&] { return wire::decode<wire::FleetSnapshot>(body); }).value();
    }

    void report(const wire::CrashEvidence &evidence)
    {
        absl::Notification responded;
        channels.channel(addressOf(server))
                ->call(wire::Method::ReportPromptEvidence, wire::encode(evidence), absl::Seconds(5),
                       [&](const Outcome<std::string> &outcome) {
                           BOOST_TEST(outcome.ok());
                           responded.Notify();
                       });
        responded.WaitForNotification();
    }

    /// Waits until the group has recorded one block and \a trials of it are left.
    bool awaitBlock(std::int64_t trials, const std::string &process)
    {
        const absl::Time end = absl::Now() + absl::Seconds(5);
        while (absl::Now() < end) {
            const auto blocks = records().blockedPrompts;
            if (blocks.size() == 1 && blocks.front().trialsLeft == trials
                && blocks.front().trialProcess == process)
                return true;
            absl::SleepFor(absl::Milliseconds(10));
        }
        return false;
    }

    std::optional<wire::FleetSyncResponse> poll(const wire::FleetSyncRequest &request = {})
    {
        return pollServer(channels, server, request);
    }

    static bool isListed(const wire::FleetSyncResponse &response, const std::string &id,
                         bool draining)
    {
        return std::any_of(response.upstreams.begin(), response.upstreams.end(),
                           [&](const wire::FleetUpstream &upstream) {
                               return upstream.id == id && upstream.draining == draining;
                           });
    }

    const std::string folder = temporaryFolder();
    net::LoopThread thread;
    peer::ChannelPool channels{transport("c")};
    peer::Server server{transport("c")};
    GroupReplica replica{thread.loop(), channels, replicaSettings(), SystemClock::instance()};
    FakeDiscovery discovery;
    FleetService service{thread.loop(), replica, discovery, FleetServiceSettings(),
                         SystemClock::instance()};
};

/// A control process without a replica that follows the leader, and an entry that polls it.
struct RelayFixture
{
    explicit RelayFixture(const std::string &leaderAddress)
    {
        service.install(server);
        start(server);
        FleetClientSettings settings;
        settings.self.instance = "relay";
        settings.self.role = wire::MemberRole::Control;
        settings.seeds = {leaderAddress};
        client = std::make_unique<FleetClient>(thread.loop(), channels, settings,
                                               SystemClock::instance());
        thread.run([this] {
            service.relayFor(*client);
            service.start();
            client->start();
        });
    }
    ~RelayFixture()
    {
        thread.run([this] {
            client->stop();
            service.stop();
        });
        server.stop();
        channels.close();
    }

    /// Polls as an entry that has received the last response. Returns nullopt for a failure.
    std::optional<wire::FleetSyncResponse> poll()
    {
        wire::FleetSyncRequest request;
        request.self.instance = "e";
        request.self.replica = "r";
        request.acceptsRelay = true;
        request.waitMs = 100;
        return pollServer(channels, server, request);
    }

    bool awaitResponse(const std::function<bool(const wire::FleetSyncResponse &)> &condition)
    {
        const absl::Time end = absl::Now() + drainLimit;
        while (absl::Now() < end) {
            if (const auto response = poll(); response && condition(*response))
                return true;
            absl::SleepFor(absl::Milliseconds(10));
        }
        return false;
    }

    net::LoopThread thread;
    peer::ChannelPool channels{transport("relay")};
    peer::Server server{transport("relay")};
    GroupReplica replica{thread.loop(), channels, GroupReplicaSettings(), SystemClock::instance()};
    FakeDiscovery discovery;
    FleetService service{thread.loop(), replica, discovery, FleetServiceSettings(),
                         SystemClock::instance()};
    std::unique_ptr<FleetClient> client;
};

} // namespace

BOOST_AUTO_TEST_SUITE(FleetServiceTest)

// Guards against an upstream that is passed on as ready although the platform has shown it as
// draining, because a later page of each read fails.
BOOST_AUTO_TEST_CASE(drainingUpstreamIsPassedOnAlthoughALaterPageFails)
{
    for (const ErrorCode code : {ErrorCode::UpstreamUnavailable, ErrorCode::RateLimited}) {
        LeaderFixture fixture;
        fixture.discovery.setPage("", {upstream("u", false)}, "p");
        fixture.discovery.setPage("p", {upstream("v", false)}, "");
        fixture.open();
        BOOST_REQUIRE(fixture.awaitResponse(
                [](const auto &response) {
                    return LeaderFixture::isListed(response, "u", false)
                           && LeaderFixture::isListed(response, "v", false);
                },
                absl::Seconds(10)));
        fixture.thread.run([&] {
            fixture.discovery.setPage("", {upstream("u", true)}, "p");
            fixture.discovery.failPage("p", code);
        });
        BOOST_TEST(fixture.awaitResponse(
                [](const auto &response) {
                    return LeaderFixture::isListed(response, "u", true)
                           && LeaderFixture::isListed(response, "v", false);
                },
                drainLimit));
    }
}

// Guards against a new leader that forgets which upstreams leave: the previous leader has read it
// and passed it on, and its own first read takes long.
BOOST_AUTO_TEST_CASE(newLeaderNamesTheDrainingUpstreamsThatItKnewAsAMember)
{
    LeaderFixture fixture;
    fixture.discovery.holdCalls();
    fixture.service.setMemberListSource([] {
        return std::vector<wire::FleetUpstream>{upstream("u", true), upstream("v", false)};
    });
    fixture.open();
    BOOST_TEST(fixture.awaitResponse(
            [](const auto &response) {
                return !response.upstreamsKnown
                       && response.drainingUpstreams == std::vector<std::string>{"u"};
            },
            absl::Seconds(10)));
}

// Guards against a retirement that runs for ever because the report of the store leader does not
// become a record, and against one that is completed without a report.
BOOST_AUTO_TEST_CASE(reportOfTheStoreLeaderCompletesARetirement)
{
    LeaderFixture fixture;
    fixture.open();
    BOOST_REQUIRE(fixture.awaitResponse([](const auto &) { return true; }, absl::Seconds(10)));
    fixture.propose(wire::RetireStore{"s:1/x", "s"});
    BOOST_REQUIRE(fixture.awaitResponse(
            [](const auto &response) {
                return response.openRetirements == std::vector<std::string>{"s:1/x"};
            },
            absl::Seconds(10)));
    BOOST_TEST((retirementState(fixture.records(), "s") == RetirementState::Running));
    wire::FleetSyncRequest report;
    report.self.instance = "s2";
    report.self.role = wire::MemberRole::Store;
    report.leadsStores = true;
    report.retiredStores = {"s:1/x"};
    fixture.poll(report);
    const absl::Time end = absl::Now() + absl::Seconds(10);
    while (retirementState(fixture.records(), "s") != RetirementState::Completed
           && absl::Now() < end)
        absl::SleepFor(absl::Milliseconds(10));
    BOOST_TEST((retirementState(fixture.records(), "s") == RetirementState::Completed));
}

// Guards against a new leader that adds a store which an earlier leader has reported as retired,
// because its own list of members is from before the order.
BOOST_AUTO_TEST_CASE(voterIsAddedOnlyByAListFromTheLeadersOwnTime)
{
    LeaderFixture fixture;
    absl::Time asOf = SystemClock::instance().now();
    fixture.thread.run([&] {
        fixture.replica.setCandidateSource([&] {
            CandidateList list;
            for (const char *id : {"a", "b", "c"})
                list.candidates.push_back(
                        {makeReplicaId(addressOf(fixture.server), id), "d", true, false});
            list.asOf = asOf;
            return list;
        });
    });
    fixture.open();
    BOOST_REQUIRE(fixture.awaitResponse([](const auto &) { return true; }, absl::Seconds(10)));
    absl::SleepFor(absl::Milliseconds(300));
    const auto learners = [&] {
        std::size_t count = 0;
        fixture.thread.run([&] { count = fixture.replica.status().learners.size(); });
        return count;
    };
    BOOST_TEST(learners() == 0u);
    fixture.thread.run([&] { asOf = absl::InfiniteFuture(); });
    BOOST_TEST(fixture.awaitResponse([&](const auto &) { return learners() == 1u; },
                                     absl::Seconds(10)));
}

// Guards against a list whose age members can't determine.
BOOST_AUTO_TEST_CASE(responseStatesTheAgeOfTheList)
{
    LeaderFixture fixture;
    fixture.discovery.setPage("", {upstream("u", false)}, "");
    fixture.open();
    BOOST_REQUIRE(fixture.awaitResponse(
            [](const auto &response) { return response.upstreamsKnown; }, absl::Seconds(10)));
    fixture.thread.run([&] { fixture.discovery.holdCalls(); });
    BOOST_TEST(fixture.awaitResponse(
            [](const auto &response) { return response.upstreamsAgeMs >= 1200; },
            absl::Seconds(10)));
}

// Guards against a leader that serves each of hundreds of members itself, against a relay that
// keeps a change to itself, and against one that goes on with an old state after it has lost the
// leader.
BOOST_AUTO_TEST_CASE(relayServesMembersWhileItIsInTouchWithTheLeader)
{
    LeaderFixture leader;
    leader.discovery.setPage("", {upstream("u", false)}, "");
    leader.open();
    BOOST_REQUIRE(leader.awaitResponse([](const auto &response) { return response.upstreamsKnown; },
                                       absl::Seconds(10)));
    RelayFixture relay(addressOf(leader.server));
    BOOST_REQUIRE(relay.awaitResponse(
            [](const auto &response) { return LeaderFixture::isListed(response, "u", false); }));
    // The leader knows the member from the relay.
    BOOST_TEST(leader.awaitResponse([](const auto &response) { return response.liveEntries == 1; },
                                    absl::Seconds(5)));
    leader.thread.run([&] { leader.discovery.setPage("", {upstream("u", true)}, ""); });
    BOOST_TEST(relay.awaitResponse(
            [](const auto &response) { return LeaderFixture::isListed(response, "u", true); }));
    leader.server.stop();
    const absl::Time end = absl::Now() + absl::Seconds(5);
    while (relay.poll() && absl::Now() < end)
        absl::SleepFor(absl::Milliseconds(20));
    BOOST_TEST(!relay.poll().has_value());
}

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
    FakeDiscovery discovery;
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
    settings.hedgeDelay = absl::Minutes(10);
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

// Guards against a trial that the record names as open for ever, or that is used up, because the
// leader drops what the owner reports of it.
BOOST_AUTO_TEST_CASE(returnedTrialIsRecorded)
{
    LeaderFixture fixture;
    fixture.open();
    wire::CrashEvidence evidence;
    evidence.process = "p";
    for (int i = 0; i < 3; ++i)
        evidence.crashes.push_back(
                {"u" + std::to_string(i), {"a"}, 9000 - i * 1000, 8900 - i * 1000});
    BOOST_REQUIRE(fixture.awaitResponse([](const auto &) { return true; }, absl::Seconds(5)));
    fixture.report(evidence);
    BOOST_TEST_REQUIRE(fixture.awaitBlock(2, ""));
    evidence.crashes.clear();
    evidence.rejected = {{{"a"}}};
    fixture.report(evidence);
    BOOST_TEST_REQUIRE(fixture.awaitBlock(1, "p"));
    evidence.rejected.clear();
    evidence.trials = {{{"a"}, fixture.records().blockedPrompts.front().trialNumber, false, true}};
    fixture.report(evidence);
    BOOST_TEST(fixture.awaitBlock(2, ""));
    // Not by the timeout of a lost owner.
    BOOST_TEST(!fixture.records().blockedPrompts.front().isLostTrialReplaced);
}

BOOST_AUTO_TEST_SUITE_END()
