#include "processcore.h"

#include "rattanrill/base/hash.h"
#include "rattanrill/base/logger.h"
#include "rattanrill/fleet/replicaidentity.h"
#include "rattanrill/gateway/gateway.h"
#include "rattanrill/gateway/serverdrain.h"
#include "rattanrill/serving/forwardingservice.h"

#include "absl/strings/str_join.h"

#include <sys/resource.h>

#include <algorithm>
#include <set>
#include <utility>

namespace rattanrill::gateway {
namespace {

/// The platform probes the readiness of this entry every second and stops sending connections after
/// two negative responses. Until then, the retry of a refused request may reach this entry again,
/// so requests are served even if their deadline lies after the end of the process: most of them
/// end much earlier.
constexpr absl::Duration admissionTime = absl::Milliseconds(2500);
/// A new leader of the fleet group reads the platform's list of upstreams within this time. After
/// that time, requests are served even without the list, so that those which the configuration does
/// not allow can be refused.
constexpr absl::Duration upstreamListTimeout = absl::Milliseconds(500);
/// Maximum number of connections from callers, unless the process has too few file descriptors; an
/// idle connection needs little memory.
constexpr std::size_t maxCallerConnections = 3000;
/// File descriptors for files, other processes and the other listening addresses.
constexpr std::size_t reservedDescriptors = 256;
/// Smallest number of file descriptors with which the process serves callers; a lower limit of the
/// system is not taken into account.
constexpr std::size_t minDescriptors = 2 * reservedDescriptors;
/// Inverse of the part of the descriptors that is left for connections to upstreams.
constexpr std::size_t upstreamDescriptorDivisor = 3;
/// Calls of other processes are broken off when less of the time to stop is left.
constexpr absl::Duration minStopTime = absl::Seconds(1);
/// Maximum number of request ids in one log line.
constexpr std::size_t maxLoggedIds = 20;

serving::SlotClientSettings slotClientSettings(const ProcessSettings &settings)
{
    serving::SlotClientSettings result;
    result.localBroker = brokerSettings(settings);
    return result;
}

/// Returns the maximum number of connections from callers. A third of the file descriptors is left
/// for connections to upstreams, of which a request may need two; many connections are idle.
std::size_t callerConnectionLimit()
{
    rlimit descriptors = {};
    if (getrlimit(RLIMIT_NOFILE, &descriptors) != 0 || descriptors.rlim_cur == RLIM_INFINITY)
        return maxCallerConnections;
    const auto limit = std::max<std::size_t>(descriptors.rlim_cur, minDescriptors);
    const std::size_t available = limit - reservedDescriptors;
    return std::min(maxCallerConnections, available - available / upstreamDescriptorDivisor);
}

class EntryProcess : public Process
{
public:
    EntryProcess(const ProcessSettings &settings, const ProcessContext &processContext)
        : m_settings(settings)
        , m_processContext(processContext)
        , m_core(settings, processContext, wire::MemberRole::Entry,
                 fleet::makeReplicaId(settings.peerAddress(), randomHex(6)))
        , m_connections(processContext.loop, net::ConnectionPoolOptions())
        , m_forwardingClient(processContext.loop, m_core.channels())
        , m_upstreams(processContext.loop, m_connections, m_forwardingClient)
        , m_slotClient(processContext.loop, m_core.channels(), m_core.clock(),
                       slotClientSettings(settings))
        , m_crashGuard(processContext.loop.timers(), m_core.clock(), settings.instance,
                       [this](const wire::CrashEvidence &evidence, auto done) {
                           m_core.fleetClient().reportCrashEvidence(evidence, std::move(done));
                       })
        , m_jobs(processContext.loop, m_core.channels(), m_core.clock())
        , m_context{processContext.loop,
                    m_core.clock(),
                    m_core.metrics(),
                    processContext.protocol,
                    m_upstreams,
                    m_slotClient,
                    m_crashGuard,
                    {settings.instance, settings.failureDomain},
                    [this] { return m_core.fleetClient().upstreamListAge(); },
                    serving::ShutdownState(),
                    [this] { return m_core.fleetClient().staleness(); },
                    std::make_shared<serving::BufferBudget>(m_core.memory())}
        , m_forwardingService(forwardingContext())
        , m_gateway(m_context, m_jobs)
        , m_callerServer(processContext.loop,
                         [this](auto exchange) { m_gateway.serve(std::move(exchange)); })
        , m_callerDrain(processContext.loop.timers(), m_core.clock(), m_callerServer,
                        m_context.shutdown)
        , m_readinessServer(processContext.loop,
                            [this](const auto &exchange) { serveReadinessProbe(exchange); })
    {}

    Result<void> start() override
    {
        m_slotClient.onUpstreamLeaving(
                [this](const std::string &address) { m_connections.retire(address); });
        m_forwardingService.install(m_core.peerServer());
        m_core.fleetClient().onChange(
                [this](const fleet::FleetState &state) { applyState(state); });
        m_core.fleetClient().onUpstreamsConfirmed(
                [this](absl::Time readAt) { m_slotClient.confirmUpstreams(readAt); });
        m_callerServer.setMemoryBudget(m_core.memory());
        // Callers may connect before the first configuration is known.
        setCallerLimits(serving::CallerLimits());
        m_readinessServer.setLimits(internalServerLimits());
        m_readinessServer.setMemoryBudget(m_core.memory());
        BOOST_LEAF_CHECK(m_callerServer.start(m_settings.callerAddress));
        BOOST_LEAF_CHECK(m_readinessServer.start(m_settings.readinessAddress));
        return m_core.start();
    }

    void setSeeds(const std::vector<std::string> &seedPeers) override
    {
        m_core.fleetClient().setSeeds(seedPeers);
    }

    void drain(std::function<void()> stopped) override
    {
        m_draining = true;
        m_context.shutdown.begin(m_core.clock().now(), m_settings.shutdownTimeout, admissionTime);
        m_callerDrain.start(
                [this, stopped = std::move(stopped)](const auto &abandoned) {
                    logDrained(abandoned);
                    m_core.fleetClient().leave();
                    stopped();
                },
                [this] { return waitsForForwardedCalls(); });
    }

private:
    /// Whether calls of other processes are open, and enough of the time to stop is left.
    bool waitsForForwardedCalls() const
    {
        const bool hasTime = m_context.shutdown.remainingMs(m_core.clock().now())
                             > absl::ToInt64Milliseconds(minStopTime);
        return m_forwardingService.openCalls() > 0 && hasTime;
    }

    bool isReady() const { return !m_draining && m_gateway.deployment() && m_hasUpstreams; }

    void serveReadinessProbe(const std::shared_ptr<net::Exchange> &exchange)
    {
        if (!m_processContext.isReadinessProbe(exchange->request()))
            return exchange->respond(net::textResponse(404, "", "text/plain"));
        exchange->respond(net::textResponse(isReady() ? 200 : 503, "", "text/plain"));
    }

    void applyState(const fleet::FleetState &state)
    {
        m_slotClient.setEvacuatedDomains(state.evacuatedDomains);
        if (state.upstreamsKnown) {
            m_hasUpstreams = true;
            m_upstreams.setUpstreams(state.upstreams);
            m_slotClient.setUpstreams(state.upstreams, static_cast<std::size_t>(state.liveEntries),
                                      state.upstreamsReadAt);
            closeRemovedUpstreams(state.upstreams);
        }
        m_crashGuard.setBlocks(state.leaderTerm, state.blockedPrompts, state.suspectPromptParts);
        const StoreAddresses stores = storeAddresses(state);
        // A new leader of the fleet group learns within the member timeout which store leads.
        if (!stores.leader.empty() || state.membersComplete)
            m_slotClient.setBroker(stores.leader);
        m_jobs.setStores(stores.all, stores.leader);
        if (const auto newer = m_core.newerDeployment(state, m_deployment))
            applyDeployment(newer);
        // The gateway serves held requests at once, so the slot client needs its upstreams, its
        // configuration, and a broker or a share of its own before.
        m_canGrant = m_canGrant || !stores.leader.empty() || state.liveEntries > 0;
        // A gateway that has a configuration must not answer by an older one than is known.
        if (m_gateway.deployment() || (m_deployment && m_hasUpstreams && m_canGrant))
            m_gateway.setDeployment(m_deployment);
    }

    void applyDeployment(const std::shared_ptr<const serving::DeploymentIndex> &deployment)
    {
        const bool isFirst = m_deployment == nullptr;
        m_deployment = deployment;
        m_slotClient.setDeployment(deployment);
        setCallerLimits(deployment->deployment().limits);
        if (isFirst)
            m_processContext.loop.timers().subscribeOnce(
                    upstreamListTimeout, [this] { m_gateway.setDeployment(m_deployment); });
    }

    void setCallerLimits(const serving::CallerLimits &limits)
    {
        net::ServerLimits result;
        result.maxHeaderBytes = limits.maxHeaderBytes;
        result.maxBodyBytes = effectiveBodyLimit(limits.maxBodyBytes);
        result.headerTimeout = limits.headerTimeout;
        result.idleTimeout = limits.idleTimeout;
        result.maxConnections = callerConnectionLimit();
        m_callerServer.setLimits(result);
    }

    /// Returns the limit of bodies. One that never fits the memory is refused as too large: a
    /// refusal because of the memory asks the caller to send it again.
    std::size_t effectiveBodyLimit(std::size_t configuredBytes) const
    {
        const std::size_t maxBytes = net::maxBodyBytesOf(m_core.memory()->limits());
        if (configuredBytes <= maxBytes)
            return configuredBytes;
        log(LogLevel::Warning, "body-limit-lowered",
            {{"configuredBytes", static_cast<std::int64_t>(configuredBytes)},
             {"limitBytes", static_cast<std::int64_t>(maxBytes)}});
        return maxBytes;
    }

    /// Closes idle connections to addresses that are no longer listed, because such an address may
    /// next belong to an upstream of another service.
    void closeRemovedUpstreams(const std::vector<wire::FleetUpstream> &upstreams)
    {
        std::set<std::string> addresses;
        for (const wire::FleetUpstream &upstream : upstreams)
            addresses.insert(upstream.address);
        for (const std::string &address : m_upstreamAddresses) {
            if (addresses.count(address) == 0)
                m_connections.closeIdleConnections(address);
        }
        m_upstreamAddresses = std::move(addresses);
    }

    serving::ForwardingContext forwardingContext()
    {
        return {m_processContext.loop,
                m_core.clock(),
                m_processContext.protocol,
                m_upstreams,
                m_crashGuard,
                m_context.buffers,
                [this](const std::string &upstream, const std::string &address) {
                    return mayBeCalled(upstream, address);
                },
                [this](const wire::UpstreamLoad &load) { m_slotClient.reportLoad(load); },
                [this] { return m_draining; }};
    }

    /// Whether this process may send a call of another one to the upstream.
    bool mayBeCalled(const std::string &upstream, const std::string &address)
    {
        const auto &upstreams = m_core.fleetClient().state().upstreams;
        const bool isListed = std::any_of(
                upstreams.begin(), upstreams.end(), [&](const wire::FleetUpstream &listed) {
                    return listed.id == upstream && listed.address == address && !listed.draining;
                });
        return isListed && !m_slotClient.isLeaving(upstream, address);
    }

    void logDrained(const ServerDrain::AbandonedRequests &abandoned) const
    {
        std::vector<std::string> ids;
        for (const auto &exchange : abandoned) {
            if (ids.size() < maxLoggedIds)
                ids.push_back(requestId(exchange->request()));
        }
        const absl::Time now = m_core.clock().now();
        log(LogLevel::Info, "drained",
            {{"openRequests", static_cast<std::int64_t>(abandoned.size())},
             {"requestIds", absl::StrJoin(ids, ",")},
             {"connectionsOpened", static_cast<std::int64_t>(m_connections.connectionsOpened())},
             {"sinceStopMs", m_context.shutdown.elapsedMs(now)},
             {"stopLeftMs", m_context.shutdown.remainingMs(now)}});
    }

    /// Returns an empty string for a request that can't be parsed.
    std::string requestId(const net::Request &request) const
    {
        const auto caller =
                outcomeOf([&] { return m_processContext.protocol.parseRequest(request); });
        return caller.ok() ? caller.value().id : std::string();
    }

    const ProcessSettings &m_settings;
    const ProcessContext &m_processContext;
    ProcessCore m_core;
    net::ConnectionPool m_connections;
    serving::ForwardingClient m_forwardingClient;
    serving::UpstreamCaller m_upstreams;
    serving::SlotClient m_slotClient;
    serving::CrashGuard m_crashGuard;
    jobs::JobClient m_jobs;
    serving::ServingContext m_context;
    serving::ForwardingService m_forwardingService;
    Gateway m_gateway;
    net::Server m_callerServer;
    ServerDrain m_callerDrain;
    net::Server m_readinessServer;
    std::set<std::string> m_upstreamAddresses;
    /// Newest configuration. The gateway gets it once the list of upstreams has been received; it
    /// gets the first configuration after upstreamListTimeout even without the list.
    std::shared_ptr<const serving::DeploymentIndex> m_deployment;
    bool m_hasUpstreams = false;
    /// Whether a slot broker or a share of its own has been known.
    bool m_canGrant = false;
    bool m_draining = false;
};

} // namespace

std::unique_ptr<Process> makeEntryProcess(const ProcessSettings &settings,
                                          const ProcessContext &processContext)
{
    return std::make_unique<EntryProcess>(settings, processContext);
}

} // namespace rattanrill::gateway
