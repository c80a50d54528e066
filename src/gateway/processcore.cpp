#include "processcore.h"

#include "rattanrill/base/logger.h"

#include <utility>

namespace rattanrill::gateway {
namespace {

/// A lost opening packet is sent again after a second; a new attempt is sooner.
constexpr absl::Duration peerConnectTimeout = absl::Milliseconds(300);
constexpr absl::Duration peerMaxBackoff = absl::Milliseconds(200);
constexpr absl::Duration peerKeepAlive = absl::Milliseconds(500);

/// Upstreams come back within seconds, and a try at one that has not costs a part of the latency
/// objective.
const policy::OutlierSettings upstreamOutlier = [] {
    policy::OutlierSettings settings;
    settings.failuresInRow = 2;
    settings.firstEjection = absl::Milliseconds(500);
    settings.maxEjection = absl::Seconds(3);
    settings.rampUpTime = absl::Seconds(1);
    return settings;
}();

peer::TransportOptions transport(const ProcessSettings &settings, wire::MemberRole role,
                                 const std::string &replica)
{
    peer::TransportOptions options;
    options.self = peer::PeerIdentity{replica, settings.failureDomain, std::string(name(role))};
    options.clusterSecret = settings.clusterSecret;
    options.connectTimeout = peerConnectTimeout;
    options.maxBackoff = peerMaxBackoff;
    options.keepAlivePeriod = peerKeepAlive;
    return options;
}

fleet::FleetClientSettings followerSettings(const ProcessSettings &settings, wire::MemberRole role,
                                            const std::string &replica)
{
    fleet::FleetClientSettings result;
    result.self.instance = settings.instance;
    result.self.role = role;
    result.self.failureDomain = settings.failureDomain;
    result.self.peerAddress = settings.peerAddress();
    result.self.replica = replica;
    result.seeds = settings.seedPeers();
    return result;
}

} // namespace

ProcessCore::ProcessCore(const ProcessSettings &settings, const ProcessContext &parts,
                         wire::MemberRole role, const std::string &replica)
    : m_settings(settings)
    , m_parts(parts)
    , m_channels(std::make_unique<peer::ChannelPool>(transport(settings, role, replica)))
    , m_peerServer(std::make_unique<peer::Server>(transport(settings, role, replica)))
    , m_follower(std::make_unique<fleet::FleetClient>(
              parts.loop, *m_channels, followerSettings(settings, role, replica), clock()))
{}

ProcessCore::~ProcessCore()
{
    stop();
}

Result<void> ProcessCore::start()
{
    BOOST_LEAF_CHECK(m_peerServer->start(m_settings.peerHost, m_settings.peerPort));
    if (!m_settings.metricsAddress.empty()) {
        m_metricsServer = std::make_unique<net::Server>(
                m_parts.loop,
                [this](const std::shared_ptr<net::Exchange> &exchange) { serveMetrics(exchange); });
        BOOST_LEAF_CHECK(m_metricsServer->start(m_settings.metricsAddress));
    }
    m_follower->start();
    return {};
}

void ProcessCore::stop()
{
    m_follower->stop();
    m_metricsServer.reset();
    m_peerServer->stop();
    m_channels->close();
}

void ProcessCore::serveMetrics(const std::shared_ptr<net::Exchange> &exchange)
{
    exchange->respond(net::textResponse(200, m_metrics.exposition(), "text/plain; version=0.0.4"));
}

std::shared_ptr<const serving::DeploymentIndex>
ProcessCore::newerDeployment(const fleet::FleetState &state,
                             const std::shared_ptr<const serving::DeploymentIndex> &current) const
{
    if (state.configuration.empty()
        || (current && current->version() >= state.configurationVersion))
        return nullptr;
    auto deployment = outcomeOf(
            [&] { return m_parts.operatorProtocol.parseConfiguration(state.configuration); });
    if (!deployment.ok()) {
        log(LogLevel::Error, "configuration-unreadable",
            {{"configurationVersion", state.configurationVersion},
             {"detail", deployment.failure().detail}});
        return nullptr;
    }
    log(LogLevel::Info, "configuration-in-force",
        {{"configurationVersion", state.configurationVersion},
         {"formerVersion", current ? current->version() : 0},
         {"routes", static_cast<std::int64_t>(deployment.value().routes.size())},
         {"ageMs", absl::ToInt64Milliseconds(m_follower->staleness())}});
    return std::make_shared<const serving::DeploymentIndex>(std::move(deployment.value()));
}

serving::SlotBrokerSettings brokerSettings(const ProcessSettings &settings)
{
    serving::SlotBrokerSettings result;
    result.rateWindow = settings.rateWindow;
    result.rateToleranceFraction = settings.rateToleranceFraction;
    result.rateToleranceRequests = settings.rateToleranceRequests;
    result.scheduler.outlier = upstreamOutlier;
    return result;
}

StoreAddresses storeAddresses(const fleet::FleetState &state)
{
    StoreAddresses stores;
    for (const wire::FleetMemberStatus &live : state.members) {
        if (live.member.role != wire::MemberRole::Store || !live.alive)
            continue;
        stores.all.push_back(live.member.peerAddress);
        if (live.leadsStores)
            stores.leader = live.member.peerAddress;
    }
    return stores;
}

std::vector<std::string> livingEntries(const fleet::FleetState &state)
{
    std::vector<std::string> entries;
    for (const wire::FleetMemberStatus &live : state.members) {
        if (live.member.role == wire::MemberRole::Entry && live.alive)
            entries.push_back(live.member.instance);
    }
    return entries;
}

} // namespace rattanrill::gateway
