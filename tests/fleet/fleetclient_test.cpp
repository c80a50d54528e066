#include "rattanrill/fleet/fleetclient.h"

#include "loopthread.h"

#include "rattanrill/peer/server.h"
#include "rattanrill/wire/codec.h"

#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::fleet;

namespace {

peer::TransportOptions transport(const std::string &instance)
{
    peer::TransportOptions options;
    options.self = {instance, "d", "control"};
    options.clusterSecret = "s";
    return options;
}

/// A control process whose responses to polls a test determines.
class FakeControl
{
public:
    /// Responds to a poll, at once, later or never.
    using Responder = std::function<void(const wire::FleetSyncRequest &, peer::ResponseCallback)>;

    explicit FakeControl(Responder responder)
        : m_responder(std::move(responder))
    {
        m_server.setHandler(wire::Method::SyncFleet, [this](const peer::PeerIdentity &,
                                                            const std::string &body,
                                                            const peer::ResponseCallback &reply) {
            ++m_polls;
            const auto request =
                    outcomeOf([&] { return wire::decode<wire::FleetSyncRequest>(body); });
            hold(reply);
            m_responder(request.value(), reply);
        });
        BOOST_REQUIRE(outcomeOf([&] { return m_server.start("127.0.0.1", 0); }).ok());
    }
    ~FakeControl() { m_server.stop(); }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_server.port()); }
    int polls() const { return m_polls; }

private:
    /// A callback that is destroyed sends a response.
    void hold(const peer::ResponseCallback &reply)
    {
        absl::MutexLock lock(&m_mutex);
        m_replies.push_back(reply);
    }

    const Responder m_responder;
    std::atomic<int> m_polls{0};
    absl::Mutex m_mutex;
    std::vector<peer::ResponseCallback> m_replies;
    peer::Server m_server{transport("control")};
};

wire::FleetSyncResponse viewWithList(std::uint64_t term)
{
    wire::FleetSyncResponse response;
    response.viewTerm = term;
    response.viewSequence = 1;
    response.upstreamsKnown = true;
    response.upstreams = {{"u", "s", "a:1", "d", 8, false}};
    response.upstreamsAgeMs = 1000;
    return response;
}

wire::FleetMemberStatus controlMember(const std::string &address)
{
    wire::FleetMemberStatus status;
    status.member.instance = address;
    status.member.role = wire::MemberRole::Control;
    status.member.peerAddress = address;
    return status;
}

/// A client and what its listeners received. The members are used on the loop only.
struct Fixture
{
    ~Fixture()
    {
        thread.run([this] {
            if (client)
                client->stop();
        });
        channels.close();
    }

    void start(const std::vector<std::string> &seeds)
    {
        thread.run([&] {
            settings.seeds = seeds;
            client = std::make_unique<FleetClient>(thread.loop(), channels, settings,
                                                   SystemClock::instance());
            client->onChange([this](const FleetState &) { ++changes; });
            client->onUpstreamsConfirmed([this](absl::Time readAt) { confirmed = readAt; });
            client->start();
        });
    }

    /// Waits until \a condition holds; returns false when it does not within \a timeout.
    bool await(const std::function<bool()> &condition, absl::Duration timeout = absl::Seconds(5))
    {
        const absl::Time end = absl::Now() + timeout;
        bool holds = false;
        while (!holds && absl::Now() < end) {
            thread.run([&] { holds = condition(); });
            absl::SleepFor(absl::Milliseconds(2));
        }
        return holds;
    }

    net::LoopThread thread;
    peer::ChannelPool channels{transport("client")};
    FleetClientSettings settings;
    std::unique_ptr<FleetClient> client;
    int changes = 0;
    absl::Time confirmed = absl::InfinitePast();
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FleetClientTest, Fixture)

// Guards against a list that counts as newer than it is: the leader's age of the list, and the time
// since the poll was sent, count.
BOOST_AUTO_TEST_CASE(readTimeOfTheListIsALowerBound)
{
    FakeControl leader([](const wire::FleetSyncRequest &request, const auto &reply) {
        if (request.viewSequence == 0)
            reply(wire::encode(viewWithList(1)));
    });
    const absl::Time before = SystemClock::instance().now();
    start({leader.address()});
    BOOST_REQUIRE(await([this] { return client->state().upstreamsKnown; }));
    thread.run([&] {
        const absl::Time readAt = client->state().upstreamsReadAt;
        BOOST_TEST((readAt >= before - absl::Seconds(1)));
        BOOST_TEST((readAt <= SystemClock::instance().now() - absl::Seconds(1)));
        BOOST_TEST((client->upstreamListAge() >= absl::Seconds(1)));
    });
}

// Guards against an unchanged list whose age grows although the leader reads it again and again,
// and against listeners that apply an unchanged state with each poll.
BOOST_AUTO_TEST_CASE(laterReadOfAnUnchangedListIsConfirmed)
{
    FakeControl leader([](const wire::FleetSyncRequest &request, const auto &reply) {
        wire::FleetSyncResponse response = viewWithList(1);
        if (request.viewSequence == 1) {
            response.upstreams.clear();
            response.upstreamsKnown = false;
            response.upstreamsAgeMs = 700;
            response.heldMs = 500;
        }
        reply(wire::encode(response));
    });
    start({leader.address()});
    BOOST_REQUIRE(await([this] { return confirmed != absl::InfinitePast(); }));
    thread.run([&] {
        BOOST_TEST(changes == 1);
        BOOST_TEST(client->state().upstreams.size() == 1u);
        BOOST_TEST((client->state().upstreamsReadAt >= confirmed));
        BOOST_TEST((client->upstreamListAge() < absl::Seconds(1)));
    });
}

// Guards against a process that can't use the responses of one that does not send the age, or that
// takes its list for a new one.
BOOST_AUTO_TEST_CASE(listWithoutAnAgeHasAnUnknownAge)
{
    const auto response =
            outcomeOf([] { return wire::fromJsonText<wire::FleetSyncResponse>("{}"); });
    BOOST_REQUIRE(response.ok());
    BOOST_TEST(response.value().upstreamsAgeMs == -1);
    FakeControl leader([](const wire::FleetSyncRequest &request, const auto &reply) {
        wire::FleetSyncResponse oldResponse = viewWithList(1);
        oldResponse.upstreamsAgeMs = -1;
        if (request.viewSequence == 0)
            reply(wire::encode(oldResponse));
    });
    start({leader.address()});
    BOOST_REQUIRE(await([this] { return client->state().upstreamsKnown; }));
    thread.run([&] { BOOST_TEST((client->upstreamListAge() == absl::InfiniteDuration())); });
}

// Guards against a leave that is forgotten with the leader that read it: the next one names the
// upstream before it has read the list.
BOOST_AUTO_TEST_CASE(markOfALeaderWithoutAListIsApplied)
{
    FakeControl leader([](const wire::FleetSyncRequest &request, const auto &reply) {
        wire::FleetSyncResponse response;
        response.viewTerm = 2;
        response.viewSequence = 1;
        response.drainingUpstreams = {"u"};
        if (request.viewTerm < 2)
            reply(wire::encode(request.viewTerm == 0 ? viewWithList(1) : response));
    });
    start({leader.address()});
    BOOST_TEST(await([this] {
        const auto &upstreams = client->state().upstreams;
        return upstreams.size() == 1 && upstreams.front().draining;
    }));
}

// Guards against a leave that is forgotten because the list of a new leader was read earlier than
// the one of the previous leader.
BOOST_AUTO_TEST_CASE(earlierListOfANewLeaderDoesNotRevokeALeave)
{
    FakeControl leader([](const wire::FleetSyncRequest &request, const auto &reply) {
        wire::FleetSyncResponse response = viewWithList(request.viewTerm + 1);
        response.upstreams.front().draining = request.viewTerm == 0;
        response.upstreamsAgeMs = request.viewTerm == 0 ? 100 : 1500;
        if (request.viewTerm == 2)
            response.upstreamsAgeMs = 0;
        if (request.viewTerm < 3)
            reply(wire::encode(response));
    });
    std::vector<bool> seen;
    thread.run([&] {
        settings.seeds = {leader.address()};
        client = std::make_unique<FleetClient>(thread.loop(), channels, settings,
                                               SystemClock::instance());
        client->onChange(
                [&](const FleetState &state) { seen.push_back(state.upstreams.front().draining); });
        client->start();
    });
    BOOST_REQUIRE(await([&] { return seen.size() == 3; }));
    // The read of the third leader is later.
    BOOST_TEST(seen == (std::vector<bool>{true, true, false}), boost::test_tools::per_element());
}

// Guards against a leave that is forgotten because a former leader, whose clock stood still while
// its machine was suspended, hands out its old list with too low an age.
BOOST_AUTO_TEST_CASE(listOfAFormerLeaderDoesNotRevokeALeave)
{
    // Responds to the polls in turn as the leader of term 2, as a former one, and as the leader.
    FakeControl leader([poll = 0](const wire::FleetSyncRequest &, const auto &reply) mutable {
        const bool isFormer = ++poll == 2;
        wire::FleetSyncResponse response = viewWithList(isFormer ? 1 : 2);
        response.viewSequence = poll;
        response.upstreams.front().draining = !isFormer;
        response.upstreamsAgeMs = isFormer ? 0 : 1000;
        if (poll <= 3)
            reply(wire::encode(response));
    });
    std::vector<bool> seen;
    std::vector<absl::Duration> ages;
    thread.run([&] {
        settings.seeds = {leader.address()};
        client = std::make_unique<FleetClient>(thread.loop(), channels, settings,
                                               SystemClock::instance());
        client->onChange([&](const FleetState &state) {
            seen.push_back(state.upstreams.front().draining);
            ages.push_back(client->upstreamListAge());
        });
        client->start();
    });
    BOOST_REQUIRE(await([&] { return client->state().upstreamsKnown && leader.polls() > 3; }));
    thread.run([&] {
        BOOST_TEST(seen == std::vector<bool>(seen.size(), true), boost::test_tools::per_element());
        // Announcements of upstreams that leave end by the time of the read.
        for (const absl::Duration age : ages)
            BOOST_TEST((age >= absl::Seconds(1)));
    });
}

// Guards against a store that grants slots by its old list for more than 3 s (drain-ms) because the
// leader was lost silently and several of the processes that it polls next do not respond either.
BOOST_AUTO_TEST_CASE(newLeaderIsFoundInTimeBesideUnresponsiveProcesses)
{
    const auto ignore = [](const wire::FleetSyncRequest &, const peer::ResponseCallback &) {};
    std::vector<std::unique_ptr<FakeControl>> unresponsive;
    for (int i = 0; i < 6; ++i)
        unresponsive.push_back(std::make_unique<FakeControl>(ignore));
    FakeControl newLeader([](const wire::FleetSyncRequest &request, const auto &reply) {
        wire::FleetSyncResponse response = viewWithList(2);
        response.upstreams.front().draining = true;
        if (request.viewTerm < 2)
            reply(wire::encode(response));
    });
    FakeControl lostLeader([&](const wire::FleetSyncRequest &request, const auto &reply) {
        wire::FleetSyncResponse response = viewWithList(1);
        for (const auto &control : unresponsive)
            response.members.push_back(controlMember(control->address()));
        response.members.push_back(controlMember(newLeader.address()));
        if (request.viewTerm == 0)
            reply(wire::encode(response));
    });
    start({lostLeader.address()});
    BOOST_REQUIRE(await([this] { return client->state().upstreamsKnown; }));
    const absl::Time lostAt = absl::Now();
    BOOST_TEST(await([this] { return client->state().upstreams.front().draining; },
                     absl::Seconds(10)));
    BOOST_TEST((absl::Now() - lostAt <= absl::Seconds(3)));
}

// Guards against a client that leaves a leader which is only slow, and against one that polls the
// others again and again meanwhile.
BOOST_AUTO_TEST_CASE(slowLeaderIsKept)
{
    std::string leaderAddress;
    FakeControl other([&](const wire::FleetSyncRequest &, const auto &reply) {
        reply(notRun(ErrorCode::NotLeader, leaderAddress + "/replica"));
    });
    std::atomic<int> responses{0};
    FakeControl leader([&](const wire::FleetSyncRequest &request, const auto &reply) {
        wire::FleetSyncResponse response = viewWithList(1);
        response.viewSequence = request.viewSequence + 1;
        response.members.push_back(controlMember(other.address()));
        // Later than the hedge delay.
        const absl::Duration delay =
                request.viewSequence == 0 ? absl::ZeroDuration() : absl::Milliseconds(950);
        thread.loop().post([&, reply, response, delay] {
            thread.loop().timers().subscribeOnce(delay, [&, reply, response] {
                ++responses;
                reply(wire::encode(response));
            });
        });
    });
    leaderAddress = leader.address();
    settings.pollTimeout = absl::Seconds(10);
    start({leader.address()});
    BOOST_REQUIRE(await([&] { return changes == 4; }, absl::Seconds(10)));
    thread.run([&] {
        BOOST_TEST(client->sourceAddress() == leader.address());
        client->stop();
    });
    BOOST_TEST(leader.polls() <= 5);
    BOOST_TEST(other.polls() <= 3);
    // The timers that are still pending refer to the fakes.
    absl::SleepFor(absl::Seconds(1));
}

// Guards against a search that has many polls open at once. All processes of the deployment search
// at the same time when the leader is lost.
BOOST_AUTO_TEST_CASE(numberOfPollsWithoutAResponseIsBounded)
{
    const auto ignore = [](const wire::FleetSyncRequest &, const peer::ResponseCallback &) {};
    std::vector<std::unique_ptr<FakeControl>> unresponsive;
    std::vector<std::string> addresses;
    for (int i = 0; i < 14; ++i) {
        unresponsive.push_back(std::make_unique<FakeControl>(ignore));
        addresses.push_back(unresponsive.back()->address());
    }
    settings.pollTimeout = absl::Minutes(10);
    start(addresses);
    const auto polls = [&] {
        int sum = 0;
        for (const auto &control : unresponsive)
            sum += control->polls();
        return sum;
    };
    BOOST_TEST(await([&] { return polls() == 9; }));
    absl::SleepFor(absl::Seconds(1));
    BOOST_TEST(polls() == 9);
}

// Guards against a search that sends ever more polls while the whole fleet is slow: hundreds of
// members that do so keep the control processes slow.
BOOST_AUTO_TEST_CASE(searchSlowsDownWhileNothingResponds)
{
    const auto ignore = [](const wire::FleetSyncRequest &, const peer::ResponseCallback &) {};
    std::vector<std::unique_ptr<FakeControl>> unresponsive;
    std::vector<std::string> addresses;
    for (int i = 0; i < 8; ++i) {
        unresponsive.push_back(std::make_unique<FakeControl>(ignore));
        addresses.push_back(unresponsive.back()->address());
    }
    settings.usesRelays = true;
    settings.maxParallelPolls = 1;
    settings.pollTimeout = absl::Minutes(10);
    start(addresses);
    absl::SleepFor(absl::Seconds(3));
    int polls = 0;
    for (const auto &control : unresponsive)
        polls += control->polls();
    // At 0, 0.2, 0.6, 1.4 and 3.0 s.
    BOOST_TEST(polls >= 2);
    BOOST_TEST(polls <= 5);
}

// Guards against lists that a member gets wrong, because it receives only what has changed.
BOOST_AUTO_TEST_CASE(changesAreAppliedToTheLists)
{
    FakeControl leader([](const wire::FleetSyncRequest &request, const auto &reply) {
        wire::FleetSyncResponse response = viewWithList(1);
        response.upstreams.push_back({"v", "s", "b:1", "d", 8, false});
        response.members = {controlMember("1"), controlMember("3")};
        if (request.viewSequence == 1) {
            response.viewSequence = 2;
            response.containsChangesOnly = true;
            response.upstreams = {{"v", "s", "b:1", "d", 8, true},
                                  {"w", "s", "c:1", "d", 8, false}};
            response.removedUpstreams = {"u@a:1"};
            response.members = {controlMember("2")};
            response.removedMembers = {"1"};
        }
        if (request.viewSequence < 2)
            reply(wire::encode(response));
    });
    start({leader.address()});
    BOOST_REQUIRE(await([this] { return client->state().viewSequence == 2; }));
    thread.run([this] {
        const FleetState &state = client->state();
        BOOST_TEST_REQUIRE(state.upstreams.size() == 2u);
        BOOST_TEST(state.upstreams[0].id == "v");
        BOOST_TEST(state.upstreams[0].draining);
        BOOST_TEST(state.upstreams[1].id == "w");
        BOOST_TEST_REQUIRE(state.members.size() == 2u);
        BOOST_TEST(state.members[0].member.instance == "2");
        BOOST_TEST(state.members[1].member.instance == "3");
    });
}

// Guards against a member that goes back to an older state, or stays without a response, when its
// preferred relay is behind the process that it polled before.
BOOST_AUTO_TEST_CASE(relayThatIsBehindIsNotUsed)
{
    const auto newView = [](const wire::FleetSyncRequest &request, const auto &reply,
                            const std::string &relay) {
        wire::FleetSyncResponse response = viewWithList(1);
        response.viewSequence = std::max<std::uint64_t>(request.viewSequence, 4) + 1;
        response.members = {controlMember(relay)};
        response.members.front().alive = true;
        reply(wire::encode(response));
    };
    FakeControl relay([](const wire::FleetSyncRequest &, const auto &reply) {
        wire::FleetSyncResponse response = viewWithList(1);
        response.viewSequence = 3;
        response.upstreams.clear();
        reply(wire::encode(response));
    });
    FakeControl seed([&](const wire::FleetSyncRequest &request, const auto &reply) {
        newView(request, reply, relay.address());
    });
    settings.usesRelays = true;
    start({seed.address()});
    BOOST_REQUIRE(await([&] { return relay.polls() > 0; }));
    std::uint64_t sequence = 0;
    thread.run([&] { sequence = client->state().viewSequence; });
    BOOST_TEST(await([&] { return client->state().viewSequence > sequence + 2; },
                     absl::Milliseconds(500)));
    thread.run([this] { BOOST_TEST(client->state().upstreams.size() == 1u); });
}

// Guards against entries that each take too large a share of the rates while there is no slot
// broker (QUOTA), because a new leader has not heard of all of them yet.
BOOST_AUTO_TEST_CASE(entriesAreCountedOnlyByACompleteList)
{
    std::atomic<std::uint64_t> term{1};
    std::atomic<std::int64_t> entries{3};
    std::atomic<bool> isComplete{false};
    FakeControl leader(
            [&](const wire::FleetSyncRequest &request, const peer::ResponseCallback &reply) {
                wire::FleetSyncResponse response = viewWithList(term);
                response.liveEntries = entries;
                response.membersSettled = isComplete;
                response.viewSequence =
                        request.viewTerm == response.viewTerm ? request.viewSequence + 1 : 1;
                reply(wire::encode(response));
            });
    start({leader.address()});
    const auto sequence = [&] { return client->state().viewSequence; };
    BOOST_REQUIRE(await([&] { return sequence() > 2; }));
    BOOST_TEST(await([&] { return client->state().liveEntries == 0; }));
    isComplete = true;
    entries = 9;
    BOOST_REQUIRE(await([&] { return client->state().liveEntries == 9; }));
    isComplete = false;
    entries = 1;
    term = 2;
    BOOST_REQUIRE(await([&] { return client->state().leaderTerm == 2 && sequence() > 2; }));
    thread.run([&] { BOOST_TEST(client->state().liveEntries == 9); });
    entries = 10;
    BOOST_TEST(await([&] { return client->state().liveEntries == 10; }));
    isComplete = true;
    entries = 4;
    BOOST_TEST(await([&] { return client->state().liveEntries == 4; }));
}

// Guards against a decision by a list of members that lacks live processes, or shows lost ones,
// because its leader has just been elected or has fallen silent.
BOOST_AUTO_TEST_CASE(membersAreCurrentOnlyWhileACompleteListIsConfirmed)
{
    std::atomic<bool> isComplete{false};
    std::atomic<bool> isSilent{false};
    FakeControl leader(
            [&](const wire::FleetSyncRequest &request, const peer::ResponseCallback &reply) {
                if (isSilent)
                    return;
                wire::FleetSyncResponse response = viewWithList(1);
                response.membersSettled = isComplete;
                response.viewSequence = request.viewSequence + 1;
                reply(wire::encode(response));
            });
    start({leader.address()});
    BOOST_REQUIRE(await([&] { return client->state().viewSequence > 2; }));
    thread.run([&] { BOOST_TEST(!client->hasCurrentMembers()); });
    isComplete = true;
    BOOST_TEST(await([&] { return client->hasCurrentMembers(); }));
    isSilent = true;
    BOOST_TEST(await([&] { return !client->hasCurrentMembers(); }));
}

BOOST_AUTO_TEST_SUITE_END()
