#include "rattanrill/fleet/fleetclient.h"

#include "loopthread.h"

#include "rattanrill/peer/server.h"
#include "rattanrill/wire/codec.h"

#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
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

BOOST_AUTO_TEST_SUITE_END()
