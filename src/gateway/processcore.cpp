#include "processcore.h"

#include "rattanrill/base/hash.h"
#include "rattanrill/base/logger.h"

#include <utility>

namespace rattanrill::gateway {
namespace {

/// Maximum number of connections to an address for the platform or operators.
constexpr std::size_t maxInternalConnections = 64;

/// Timeout of an attempt to connect to another process. The kernel resends a lost SYN packet after
/// one second; a new attempt is faster.
constexpr absl::Duration peerConnectTimeout = absl::Milliseconds(300);
/// Longest timeout when attempts time out one after another. Control processes connect to few
/// others and must find them again at once after a partition. Entries and stores are many: when
/// they all connect to the same process, it needs seconds for all of them.
constexpr absl::Duration controlMaxConnectTimeout = absl::Milliseconds(600);
constexpr absl::Duration memberMaxConnectTimeout = absl::Milliseconds(2400);
constexpr absl::Duration peerMaxBackoff = absl::Milliseconds(200);
constexpr absl::Duration peerKeepAlive = absl::Milliseconds(500);

/// Ejections are limited to a few seconds because upstreams recover within seconds. An attempt at
/// an upstream that has not recovered costs a part of the latency objective.
const policy::OutlierSettings upstreamOutlier = [] {
    policy::OutlierSettings settings;
    settings.consecutiveFailures = 2;
    settings.firstEjection = absl::Milliseconds(500);
    settings.maxEjection = absl::Seconds(3);
    settings.rampUpTime = absl::Seconds(1);
    return settings;
}();

peer::TransportOptions transportOptions(const ProcessSettings &settings, wire::MemberRole role,
                                        const std::string &replica)
{
    peer::TransportOptions options;
    options.self = peer::PeerIdentity{replica, settings.failureDomain, std::string(name(role))};
    options.clusterSecret = settings.clusterSecret;
    options.connectTimeout = peerConnectTimeout;
    options.maxConnectTimeout =
            role == wire::MemberRole::Control ? controlMaxConnectTimeout : memberMaxConnectTimeout;
    options.maxBackoff = peerMaxBackoff;
    options.keepAlivePeriod = peerKeepAlive;
    return options;
}

/// A server accepts the handshakes of all members, however long they wait.
peer::TransportOptions serverOptions(const ProcessSettings &settings, wire::MemberRole role,
                                     const std::string &replica)
{
    peer::TransportOptions options = transportOptions(settings, role, replica);
    options.maxConnectTimeout = memberMaxConnectTimeout;
    return options;
}

fleet::FleetClientSettings fleetClientSettings(const ProcessSettings &settings,
                                               wire::MemberRole role, const std::string &replica)
{
    fleet::FleetClientSettings result;
    result.self.instance = settings.instance;
    result.self.role = role;
    result.self.failureDomain = settings.failureDomain;
    result.self.peerAddress = settings.peerAddress();
    result.self.replica = replica;
    result.seeds = settings.seedPeers();
    // Entries are many and only read the state. Stores and control processes depend on their
    // leaders in time, and are few enough to poll the fleet leader themselves.
    if (role == wire::MemberRole::Entry) {
        result.self.forwardsCalls = true;
        result.usesRelays = true;
        result.maxParallelPolls = 1;
    }
    return result;
}

} // namespace

net::ServerLimits internalServerLimits()
{
    net::ServerLimits limits;
    limits.maxConnections = maxInternalConnections;
    return limits;
}

ProcessCore::ProcessCore(const ProcessSettings &settings, const ProcessContext &processContext,
                         wire::MemberRole role, const std::string &replica)
    : m_settings(settings)
    , m_processContext(processContext)
    , m_memory(std::make_shared<net::MemoryBudget>(net::memoryLimitsOf(settings.memoryBytes)))
    , m_channels(std::make_unique<peer::ChannelPool>(transportOptions(settings, role, replica)))
    , m_peerServer(std::make_unique<peer::Server>(serverOptions(settings, role, replica)))
    , m_fleetClient(std::make_unique<fleet::FleetClient>(
              processContext.loop, *m_channels, fleetClientSettings(settings, role, replica),
              clock()))
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
                m_processContext.loop,
                [this](const std::shared_ptr<net::Exchange> &exchange) { serveMetrics(exchange); });
        m_metricsServer->setMemoryBudget(m_memory);
        m_metricsServer->setLimits(internalServerLimits());
        BOOST_LEAF_CHECK(m_metricsServer->start(m_settings.metricsAddress));
    }
    m_fleetClient->onChange([this](const fleet::FleetState &state) {
        m_metrics.set("rattanrill_evacuated_domains", {},
                      static_cast<double>(state.evacuatedDomains.size()));
    });
    m_fleetClient->start();
    return {};
}

void ProcessCore::stop()
{
    m_fleetClient->stop();
    m_metricsServer.reset();
    m_peerServer->stop();
    m_channels->close();
}

/// Updates the metrics of the memory budget, which keeps its own counts.
void ProcessCore::recordMemory()
{
    const auto record = [this](const std::string &part, std::size_t limitBytes,
                               std::size_t usedBytes, std::uint64_t refusals) {
        const MetricLabels labels = {{"part", part}};
        m_metrics.set("rattanrill_memory_budget_bytes", labels, static_cast<double>(limitBytes));
        m_metrics.set("rattanrill_memory_used_bytes", labels, static_cast<double>(usedBytes));
        m_metrics.count("rattanrill_memory_refusals_total", labels,
                        refusals - m_metrics.counter("rattanrill_memory_refusals_total", labels));
    };
    const net::MemoryLimits &limits = m_memory->limits();
    record("requests", limits.requestBytes, m_memory->requestBytes(), m_memory->refusedRequests());
    record("responses", limits.responseBytes, m_memory->responseBytes(),
           m_memory->refusedResponses());
}

void ProcessCore::setMetricsPathHandler(std::string path, net::Server::Handler handler)
{
    m_metricsPathHandlers[std::move(path)] = std::move(handler);
}

void ProcessCore::serveMetrics(const std::shared_ptr<net::Exchange> &exchange)
{
    const auto handler = m_metricsPathHandlers.find(exchange->request().path());
    if (handler != m_metricsPathHandlers.end())
        return handler->second(exchange);
    recordMemory();
    exchange->respond(net::textResponse(200, m_metrics.exposition(), "text/plain; version=0.0.4"));
}

std::shared_ptr<const serving::DeploymentIndex>
ProcessCore::newerDeployment(const fleet::FleetState &state,
                             const std::shared_ptr<const serving::DeploymentIndex> &current) const
{
    if (state.configuration.empty()
        || (current && current->version() >= state.configurationVersion))
        return nullptr;
    auto deployment = outcomeOf([&] {
        return m_processContext.operatorProtocol.parseConfiguration(state.configuration);
    });
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
         {"ageMs", absl::ToInt64Milliseconds(m_fleetClient->staleness())}});
    return std::make_shared<const serving::DeploymentIndex>(std::move(deployment.value()));
}

serving::SlotBrokerSettings brokerSettings(const ProcessSettings &settings)
{
    serving::SlotBrokerSettings result;
    result.rateWindow = settings.rateWindow;
    result.rateToleranceFraction = settings.rateToleranceFraction;
    result.rateToleranceRequests = settings.rateToleranceRequests;
    result.scheduler.outlier = upstreamOutlier;
    result.scheduler.turnSeed = stableHash(settings.instance);
    return result;
}

StoreAddresses storeAddresses(const fleet::FleetState &state)
{
    StoreAddresses stores;
    for (const wire::FleetMemberStatus &status : state.members) {
        if (status.member.role != wire::MemberRole::Store || !status.alive)
            continue;
        stores.all.push_back(status.member.peerAddress);
        if (status.leadsStores)
            stores.leader = status.member.peerAddress;
    }
    return stores;
}

std::vector<policy::Forwarder> liveEntries(const fleet::FleetState &state)
{
    std::vector<policy::Forwarder> entries;
    for (const wire::FleetMemberStatus &status : state.members) {
        if (status.member.role == wire::MemberRole::Entry && status.alive)
            entries.push_back({status.member.instance, status.member.failureDomain,
                               status.member.peerAddress, status.member.forwardsCalls});
    }
    return entries;
}

} // namespace rattanrill::gateway
