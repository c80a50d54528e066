#include "controlcluster.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"

#include "absl/time/clock.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

#include <httplib.h>

#include <filesystem>

namespace rattanrill::control {
namespace {

constexpr int maxLeaderPolls = 1000;
constexpr absl::Duration leaderPollPeriod = absl::Milliseconds(10);

/// Returns a port that is currently free at \a host. Each cluster uses its own loopback addresses,
/// so that no other process binds the port before the cluster does.
int freePort(const std::string &host)
{
    boost::asio::io_context service;
    boost::asio::ip::tcp::acceptor acceptor(service, {boost::asio::ip::make_address(host), 0});
    return acceptor.local_endpoint().port();
}

} // namespace

ControlCluster::ControlCluster(int count)
    : m_folder(concat("control-cluster-", randomHex(8)))
{
    const std::uint64_t subnet = stableHash(m_folder);
    std::vector<Replica> replicas;
    for (int i = 0; i < count; ++i) {
        const std::string host =
                concat("127.", subnet % 200 + 20, ".", subnet / 256 % 250 + 1, ".", i + 1);
        ControlSettings settings;
        settings.instance = concat("control-", i);
        settings.failureDomain = concat("d", i);
        settings.dataFolder = concat(m_folder, "/", i);
        settings.peer = {host, freePort(host)};
        settings.operatorHttp = {host, freePort(host)};
        settings.operatorToken = operatorToken;
        settings.clusterSecret = clusterSecret;
        settings.partitions = 2;
        settings.electionTimeout = absl::Milliseconds(300);
        replicas.push_back({settings.instance, concat(host, ":", settings.peer.port),
                            concat(host, ":", settings.operatorHttp.port), "d"});
        m_settings.push_back(settings);
    }
    m_nodes.resize(m_settings.size());
    for (int i = 0; i < count; ++i) {
        m_settings[static_cast<std::size_t>(i)].replicas = replicas;
        start(i);
    }
}

ControlCluster::~ControlCluster()
{
    for (auto &node : m_nodes)
        node.reset();
    std::filesystem::remove_all(m_folder);
}

void ControlCluster::start(int i)
{
    const auto index = static_cast<std::size_t>(i);
    std::filesystem::create_directories(m_folder);
    m_nodes[index] = std::make_unique<ControlNode>(m_settings[index], SystemClock::instance(),
                                                   replication::startRaftNode);
    const auto started = outcomeOf([&] { return m_nodes[index]->start(); });
    BOOST_REQUIRE_MESSAGE(started.ok(), (started.ok() ? "" : describe(started.failure())));
}

void ControlCluster::stop(int i)
{
    m_nodes[static_cast<std::size_t>(i)].reset();
}

int ControlCluster::leader()
{
    for (int poll = 0; poll < maxLeaderPolls; ++poll) {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (m_nodes[i] && m_nodes[i]->groups().isLeader(controlclient::directoryGroupName))
                return static_cast<int>(i);
        }
        absl::SleepFor(leaderPollPeriod);
    }
    BOOST_FAIL("no leader within 10 s");
    return 0;
}

std::vector<std::string> ControlCluster::peerAddresses() const
{
    std::vector<std::string> addresses;
    for (const Replica &replica : m_settings.front().replicas)
        addresses.push_back(replica.peerAddress);
    return addresses;
}

const ListenAddress &ControlCluster::operatorAddress(int i) const
{
    return m_settings[static_cast<std::size_t>(i)].operatorHttp;
}

peer::TransportOptions ControlCluster::transport(const std::string &secret) const
{
    peer::TransportOptions options;
    options.self = {"entry-1", "d1", "entry"};
    options.clusterSecret = secret;
    return options;
}

ControlCluster::Response ControlCluster::request(int i, const std::string &method,
                                                 const std::string &path, const Json &body,
                                                 const std::string &token)
{
    const ListenAddress &address = m_settings[static_cast<std::size_t>(i)].operatorHttp;
    httplib::Client client(address.host, address.port);
    client.set_read_timeout(20);
    httplib::Request request;
    request.method = method;
    request.path = concat("/operator/v1/", path);
    request.set_header("Authorization", concat("Bearer ", token));
    if (method != "GET")
        request.body = dumpJson(body);
    const httplib::Result result = client.send(request);
    if (!result)
        return {};
    const auto json = outcomeOf([&] { return parseJson(result->body, "answer"); });
    return Response{result->status, json.ok() ? json.value() : Json(),
                    result->get_header_value("Location")};
}

ControlCluster::Response ControlCluster::putContract(double rate, std::uint64_t baseRevision,
                                                     const std::string &requestId)
{
    return request(leader(), "PUT", "contracts/w1",
                   Json{{"rate_per_second", rate},
                        {"burst", 5},
                        {"base_revision", baseRevision},
                        {"request_id", requestId}});
}

} // namespace rattanrill::control
