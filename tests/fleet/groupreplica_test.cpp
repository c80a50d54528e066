#include "rattanrill/fleet/groupreplica.h"

#include "loopthread.h"
#include "registermachine.h"

#include "rattanrill/fleet/replicaidentity.h"

#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::fleet;

namespace {

peer::TransportOptions transport(const std::string &instance)
{
    peer::TransportOptions options;
    options.self = {instance, "d", "store"};
    options.clusterSecret = "s";
    return options;
}

int freePort()
{
    boost::asio::io_context context;
    const boost::asio::ip::tcp::acceptor acceptor(context,
                                                  {boost::asio::ip::make_address("127.0.0.1"), 0});
    return acceptor.local_endpoint().port();
}

/// A replica with its own server and data folder.
struct Node
{
    Node(net::LoopThread &thread, const std::string &incarnation)
        : thread(thread)
        , port(freePort())
        , id(makeReplicaId("127.0.0.1:" + std::to_string(port), incarnation))
        , channels(transport(id))
        , server(transport(id))
        , replica(thread.loop(), channels, settings(), SystemClock::instance())
    {
        replica.install(server);
        BOOST_REQUIRE(outcomeOf([&] { return server.start("127.0.0.1", port); }).ok());
    }
    ~Node()
    {
        replica.stop();
        server.stop();
        channels.close();
        std::filesystem::remove_all(folder);
    }

    static std::string temporaryFolder()
    {
        std::string pattern =
                (std::filesystem::temp_directory_path() / "rattanrill-XXXXXX").string();
        BOOST_REQUIRE(::mkdtemp(pattern.data()) != nullptr);
        return pattern;
    }

    GroupReplicaSettings settings() const
    {
        GroupReplicaSettings result;
        result.group = "group";
        result.dataFolder = folder;
        return result;
    }

    void open(const std::vector<replication::ReplicaId> &voters)
    {
        thread.run([&] {
            const auto opened = outcomeOf([&] {
                return replica.open({id, voters}, std::make_unique<replication::RegisterMachine>());
            });
            BOOST_REQUIRE(opened.ok());
        });
    }

    bool leads()
    {
        bool result = false;
        thread.run([&] { result = replica.isLeader(); });
        return result;
    }

    bool knowsLeader()
    {
        bool result = false;
        thread.run([&] { result = !replica.status().leader.empty(); });
        return result;
    }

    using Propose = void (GroupReplica::*)(std::string, GroupReplica::Callback);

    Outcome<std::string> propose(Propose method, const std::string &command)
    {
        Outcome<std::string> result = std::string();
        absl::Notification done;
        thread.run([&] {
            (replica.*method)(command, [&](const Outcome<std::string> &outcome) {
                result = outcome;
                done.Notify();
            });
        });
        done.WaitForNotification();
        return result;
    }

    net::LoopThread &thread;
    const int port;
    const replication::ReplicaId id;
    const std::string folder = temporaryFolder();
    peer::ChannelPool channels;
    peer::Server server;
    GroupReplica replica;
};

struct Fixture
{
    Fixture()
    {
        const std::vector<replication::ReplicaId> voters = {first.id, second.id};
        first.open(voters);
        second.open(voters);
        const absl::Time end = absl::Now() + absl::Seconds(20);
        while (absl::Now() < end && !isReady())
            absl::SleepFor(absl::Milliseconds(10));
        BOOST_REQUIRE(isReady());
    }

    bool isReady()
    {
        return (first.leads() || second.leads()) && first.knowsLeader() && second.knowsLeader();
    }

    Node &leader() { return first.leads() ? first : second; }
    Node &follower() { return first.leads() ? second : first; }

    net::LoopThread thread;
    Node first{thread, "a"};
    Node second{thread, "b"};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(GroupReplicaTest, Fixture)

// Guards against a command after which a replica acts as the leader although another one committed
// it, because leadership moved before the proposal.
BOOST_AUTO_TEST_CASE(proposalOfALeaderIsNotForwarded)
{
    const auto refused = follower().propose(&GroupReplica::proposeAsLeader, "r=1");
    BOOST_TEST_REQUIRE(!refused.ok());
    BOOST_TEST((refused.failure().code == ErrorCode::NotLeader));
    BOOST_TEST((refused.failure().effect == EffectState::NotRun));
    BOOST_TEST(refused.failure().detail == leader().id);
    const auto accepted = leader().propose(&GroupReplica::proposeAsLeader, "r=2");
    BOOST_TEST_REQUIRE(accepted.ok());
    BOOST_TEST(accepted.value().empty());
    const auto forwarded = follower().propose(&GroupReplica::propose, "r=3");
    BOOST_TEST_REQUIRE(forwarded.ok());
    BOOST_TEST(forwarded.value() == "2");
}

BOOST_AUTO_TEST_SUITE_END()
