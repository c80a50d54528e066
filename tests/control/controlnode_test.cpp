#include "controlcluster.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/wire/codec.h"

#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <thread>

using namespace rattanrill;
using namespace rattanrill::control;

namespace {

using Tcp = boost::asio::ip::tcp;

/// Control client with the objects that it uses, in the order of their construction.
struct Client
{
    explicit Client(const ControlCluster &cluster, std::vector<std::string> addresses)
        : channels(cluster.transport())
        , control(channels, std::move(addresses), timers, SystemClock::instance())
    {}

    Outcome<wire::PollChangesResponse> poll(std::uint64_t after, std::int64_t waitMs)
    {
        absl::Notification done;
        std::optional<Outcome<wire::PollChangesResponse>> response;
        control.pollDirectory({"entry-1", after, waitMs}, absl::Seconds(3),
                              [&](const auto &outcome) {
                                  response = outcome;
                                  done.Notify();
                              });
        done.WaitForNotification();
        return *response;
    }

    Outcome<std::string> append(const std::string &group, const std::string &fileId)
    {
        wire::BatchCommand command;
        command.operation = wire::AppendItems{fileId, "w1", 0, {{"c1", "/v1/completions", "{}"}}};
        absl::Notification done;
        std::optional<Outcome<std::string>> response;
        control.propose(group, wire::encode(command), true, absl::Seconds(15),
                        [&](const auto &outcome) {
                            response = outcome;
                            done.Notify();
                        });
        done.WaitForNotification();
        return *response;
    }

    ThreadTimerService timers;
    peer::ChannelPool channels;
    controlclient::ControlClient control;
};

std::string codeOf(const ControlCluster::Response &response)
{
    return response.status == 200 ? "ok" : response.body.at("error").at("code").get<std::string>();
}

} // namespace

BOOST_AUTO_TEST_SUITE(ControlNodeTest)

// Guards against lost updates, which occur when more than one of several concurrent writes with the
// same base revision is accepted, and against a resend that gets a different response.
BOOST_AUTO_TEST_CASE(concurrentWritesFromTheSameRevisionHaveOneWinner)
{
    ControlCluster cluster(3);
    BOOST_REQUIRE(codeOf(cluster.putContract(1, 0, "first")) == "ok");
    std::vector<ControlCluster::Response> responses(8);
    std::vector<std::thread> operators;
    for (std::size_t i = 0; i < responses.size(); ++i)
        operators.emplace_back([&, i] {
            responses[i] = cluster.putContract(2 + static_cast<double>(i), 1, concat("race-", i));
        });
    for (std::thread &thread : operators)
        thread.join();
    std::size_t acceptedWrites = 0;
    for (std::size_t i = 0; i < responses.size(); ++i) {
        const std::string code = codeOf(responses[i]);
        acceptedWrites += code == "ok" ? 1 : 0;
        BOOST_TEST((code == "ok" || code == "conflict"));
        // A resend gets the response to the first request, whether that was accepted or refused.
        const auto again = cluster.putContract(2 + static_cast<double>(i), 1, concat("race-", i));
        BOOST_TEST(again.body == responses[i].body);
    }
    BOOST_TEST(acceptedWrites == 1u);
}

// Guards against applying a write twice when it is resent to a new leader because the old leader
// failed before its response arrived.
BOOST_AUTO_TEST_CASE(resendAfterLeaderFailureGetsTheFirstResponse)
{
    ControlCluster cluster(3);
    const auto first = cluster.putContract(1, 0, "write-1");
    BOOST_REQUIRE(codeOf(first) == "ok");
    const int oldLeader = cluster.leader();
    const auto key = cluster.request(oldLeader, "POST", "keys",
                                     Json{{"workspace", "w1"}, {"request_id", "key-1"}});
    BOOST_REQUIRE(codeOf(key) == "ok");
    BOOST_TEST(key.body.contains("key"));
    cluster.stop(oldLeader);
    BOOST_TEST(cluster.putContract(1, 0, "write-1").body == first.body);
    const auto again = cluster.request(cluster.leader(), "POST", "keys",
                                       Json{{"workspace", "w1"}, {"request_id", "key-1"}});
    BOOST_TEST(again.body.at("key_id") == key.body.at("key_id"));
    BOOST_TEST(!again.body.contains("key"));
    // The restarted replica still has the accepted writes.
    cluster.start(oldLeader);
    const auto listed = cluster.request(cluster.leader(), "GET", "keys");
    BOOST_TEST(listed.body.at("items").size() == 1u);
}

// Guards against a follower that serves stale records instead of redirecting to the leader, and
// against accepting a wrong token, an unknown member or a write without a request id.
BOOST_AUTO_TEST_CASE(followersRedirectToTheLeaderAndInvalidRequestsAreRefused)
{
    ControlCluster cluster(3);
    const int leader = cluster.leader();
    BOOST_REQUIRE(codeOf(cluster.putContract(1, 0, "first")) == "ok");
    const int other = (leader + 1) % 3;
    ControlCluster::Response redirect;
    // A follower cannot redirect before it has received the leader's first heartbeat.
    for (int poll = 0; poll < 500 && redirect.status != 307; ++poll) {
        redirect = cluster.request(other, "GET", "contracts");
        absl::SleepFor(absl::Milliseconds(10));
    }
    BOOST_TEST(redirect.status == 307);
    BOOST_TEST(redirect.location.find("/operator/v1/contracts") != std::string::npos);
    const auto refused = cluster.request(leader, "GET", "contracts", Json(), "another token");
    BOOST_TEST(refused.status == 401);
    const auto unknown = cluster.request(
            leader, "PUT", "contracts/w2",
            Json{{"rate_per_second", 1}, {"burst", 1}, {"bursts", 2}, {"request_id", "x"}});
    BOOST_TEST(codeOf(unknown) == "invalid_request");
    const auto withoutRequestId = cluster.request(leader, "DELETE", "contracts/w1", Json::object());
    BOOST_TEST(codeOf(withoutRequestId) == "invalid_request");
}

// R6, R13: guards against a control instance that has lost its quorum but still serves polls, so
// that entries continue to accept a withdrawn key.
BOOST_AUTO_TEST_CASE(instanceWithoutQuorumAnswersNoPoll)
{
    ControlCluster cluster(3);
    BOOST_REQUIRE(codeOf(cluster.putContract(1, 0, "first")) == "ok");
    const int last = (cluster.leader() + 1) % 3;
    const auto lastAddress = cluster.peerAddresses()[static_cast<std::size_t>(last)];
    Client client(cluster, {lastAddress});
    BOOST_REQUIRE(client.poll(0, 100).ok());
    cluster.stop((last + 1) % 3);
    cluster.stop((last + 2) % 3);
    for (int round = 0; round < 3; ++round)
        BOOST_TEST(!client.poll(1, 100).ok());
    const auto status = cluster.request(last, "GET", "status");
    BOOST_TEST(status.status == 200);
    BOOST_TEST(!status.body.contains("revision"));
    cluster.start((last + 1) % 3);
    bool served = false;
    for (int round = 0; round < 10 && !served; ++round)
        served = client.poll(0, 100).ok();
    BOOST_TEST(served);
}

// Guards against a client that keeps calling a stopped leader or assumes one leader for all groups.
BOOST_AUTO_TEST_CASE(clientReachesTheLeadersOfAllGroupsAfterAStop)
{
    ControlCluster cluster(3);
    Client client(cluster, cluster.peerAddresses());
    for (const char *group : {"batch-0", "batch-1"})
        BOOST_TEST(client.append(group, concat("file-1-", group)).ok());
    cluster.stop(cluster.leader());
    for (const char *group : {"batch-0", "batch-1"}) {
        const auto outcome = client.append(group, concat("file-2-", group));
        BOOST_TEST(outcome.ok(), (outcome.ok() ? "" : describe(outcome.failure())));
    }
    BOOST_TEST(client.poll(0, 0).ok());
    const auto unknown = client.append("batch-7", "file");
    BOOST_REQUIRE(!unknown.ok());
    BOOST_TEST(name(unknown.failure().code) == name(ErrorCode::NotFound));
}

// Guards against serving a process that does not have the cluster secret.
BOOST_AUTO_TEST_CASE(processWithAnotherSecretIsRefused)
{
    ControlCluster cluster(1);
    cluster.leader();
    peer::ChannelPool channels(cluster.transport("another-secret"));
    absl::Notification done;
    std::optional<Outcome<std::string>> response;
    channels.channel(cluster.peerAddresses().front())
            ->call(wire::Method::Propose, "", absl::Seconds(5), [&](const auto &outcome) {
                response = outcome;
                done.Notify();
            });
    done.WaitForNotification();
    BOOST_REQUIRE(!response->ok());
    BOOST_TEST(name(response->failure().code) == name(ErrorCode::AuthenticationFailed));
}

// R12: guards against an operator's request that gets no complete response because the instance
// stops while it arrives, and against a response that promises to keep a connection that is then
// closed.
BOOST_AUTO_TEST_CASE(requestThatArrivesDuringTheStopGetsACompleteResponse)
{
    ControlCluster cluster(1);
    BOOST_REQUIRE(cluster.leader() == 0);
    const ListenAddress &address = cluster.operatorAddress(0);
    const Tcp::endpoint endpoint(boost::asio::ip::make_address(address.host),
                                 static_cast<unsigned short>(address.port));
    boost::asio::io_context context;
    Tcp::socket caller(context);
    caller.connect(endpoint);
    // A first request makes sure that the server has accepted the connection.
    const std::string request = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
    std::string response;
    boost::asio::write(caller, boost::asio::buffer(request));
    boost::asio::read_until(caller, boost::asio::dynamic_buffer(response), "\"}");
    BOOST_TEST(response.find("Keep-Alive") != std::string::npos, response);
    response.clear();
    constexpr std::size_t half = 10;
    boost::asio::write(caller, boost::asio::buffer(request, half));
    std::thread stopper([&] { cluster.stop(0); });
    boost::system::error_code refused;
    while (!refused) {
        Tcp::socket other(context);
        other.connect(endpoint, refused);
        absl::SleepFor(absl::Milliseconds(10));
    }
    boost::system::error_code end;
    boost::asio::write(caller, boost::asio::buffer(request.substr(half)), end);
    boost::asio::read(caller, boost::asio::dynamic_buffer(response), end);
    stopper.join();
    BOOST_TEST((end == boost::asio::error::eof));
    BOOST_TEST(response.substr(0, 15) == "HTTP/1.1 200 OK");
    BOOST_TEST(response.find(R"({"status":"ok"})") != std::string::npos, response);
    BOOST_TEST(response.find("Connection: close") != std::string::npos, response);
    BOOST_TEST(response.find("Keep-Alive") == std::string::npos, response);
}

BOOST_AUTO_TEST_SUITE_END()
