#include "processcore.h"

#include "rattanrill/base/hash.h"
#include "rattanrill/base/logger.h"
#include "rattanrill/fleet/replicaidentity.h"
#include "rattanrill/gateway/gateway.h"

#include <set>
#include <utility>

namespace rattanrill::gateway {
namespace {

/// The platform asks every second whether this entry wants connections and gives up after two
/// refusals; until then new connections still come.
constexpr absl::Duration drainDelay = absl::Milliseconds(2500);
constexpr absl::Duration drainCheck = absl::Milliseconds(100);
/// A new leader of the fleet reads the platform's list within this time. Without it requests can be
/// refused for what the configuration says.
constexpr absl::Duration upstreamListWait = absl::Milliseconds(500);
/// Part of the grace after which what still runs is given up, so that the process ends by itself.
constexpr double graceShare = 0.94;
/// Idle memory of a caller's connection is small, descriptors bind.
constexpr std::size_t maxCallerConnections = 3000;

serving::SlotClientSettings placeSettings(const ProcessSettings &settings)
{
    serving::SlotClientSettings result;
    result.localBroker = brokerSettings(settings);
    return result;
}

class EntryProcess : public Process
{
public:
    EntryProcess(const ProcessSettings &settings, const ProcessContext &parts)
        : m_settings(settings)
        , m_parts(parts)
        , m_core(settings, parts, wire::MemberRole::Entry,
                 fleet::makeReplicaId(settings.peerAddress(), randomHex(6)))
        , m_upstreams(parts.loop, net::ConnectionPoolOptions())
        , m_places(parts.loop, m_core.channels(), m_core.clock(), placeSettings(settings))
        , m_jobs(parts.loop, m_core.channels(), m_core.clock())
        , m_context{parts.loop,
                    m_core.clock(),
                    m_core.metrics(),
                    parts.protocol,
                    m_upstreams,
                    m_places,
                    {settings.instance, settings.failureDomain}}
        , m_gateway(m_context, m_jobs)
        , m_callers(parts.loop, [this](auto exchange) { m_gateway.serve(std::move(exchange)); })
        , m_readiness(parts.loop, [this](const auto &exchange) { answerReadiness(exchange); })
    {}

    Result<void> start() override
    {
        m_core.follower().onChange([this](const fleet::FleetState &state) { take(state); });
        BOOST_LEAF_CHECK(m_callers.start(m_settings.callerAddress));
        BOOST_LEAF_CHECK(m_readiness.start(m_settings.readinessAddress));
        return m_core.start();
    }

    void setSeeds(const std::vector<std::string> &seedPeers) override
    {
        m_core.follower().setSeeds(seedPeers);
    }

    void drain(std::function<void()> stopped) override
    {
        m_draining = true;
        m_stopped = std::move(stopped);
        m_drainSince = m_core.clock().now();
        m_callers.drain();
        m_parts.loop.timers().subscribeEvery(drainCheck, [this] { checkDrain(); });
    }

private:
    bool isReady() const { return !m_draining && m_gateway.deployment() && m_hasUpstreams; }

    void answerReadiness(const std::shared_ptr<net::Exchange> &exchange)
    {
        if (!m_parts.isReadinessProbe(exchange->request()))
            return exchange->respond(net::textResponse(404, "", "text/plain"));
        exchange->respond(net::textResponse(isReady() ? 200 : 503, "", "text/plain"));
    }

    void take(const fleet::FleetState &state)
    {
        if (state.upstreamsKnown) {
            m_hasUpstreams = true;
            m_places.setUpstreams(state.upstreams, livingEntries(state).size());
            dropGone(state.upstreams);
        }
        const StoreAddresses stores = storeAddresses(state);
        m_places.setBroker(stores.leader);
        m_jobs.setStores(stores.all, stores.leader);
        if (const auto newer = m_core.newerDeployment(state, m_deployment))
            takeDeployment(newer);
        // Held requests go on at once, so the places are known before.
        if (m_deployment && m_hasUpstreams)
            m_gateway.setDeployment(m_deployment);
    }

    void takeDeployment(const std::shared_ptr<const serving::DeploymentIndex> &deployment)
    {
        const bool isFirst = m_deployment == nullptr;
        m_deployment = deployment;
        m_places.setDeployment(deployment);
        setLimits(deployment->deployment().limits);
        if (isFirst)
            m_parts.loop.timers().subscribeOnce(upstreamListWait,
                                                [this] { m_gateway.setDeployment(m_deployment); });
    }

    void setLimits(const serving::CallerLimits &limits)
    {
        net::ServerLimits result;
        result.maxHeaderBytes = limits.maxHeaderBytes;
        result.maxBodyBytes = limits.maxBodyBytes;
        result.headerTimeout = limits.headerTimeout;
        result.idleTimeout = limits.idleTimeout;
        result.maxConnections = maxCallerConnections;
        m_callers.setLimits(result);
    }

    /// An address may belong to an upstream of another service next.
    void dropGone(const std::vector<wire::FleetUpstream> &upstreams)
    {
        std::set<std::string> addresses;
        for (const wire::FleetUpstream &upstream : upstreams)
            addresses.insert(upstream.address);
        for (const std::string &address : m_addresses) {
            if (addresses.count(address) == 0)
                m_upstreams.closeIdleConnections(address);
        }
        m_addresses = std::move(addresses);
    }

    void checkDrain()
    {
        const absl::Duration drained = m_core.clock().now() - m_drainSince;
        if (drained < drainDelay)
            return;
        m_callers.closeIdle();
        const bool isOver = drained > m_settings.shutdownTimeout * graceShare;
        if (m_callers.openRequests() > 0 && !isOver)
            return;
        if (const auto stopped = std::exchange(m_stopped, nullptr)) {
            log(LogLevel::Info, "drained",
                {{"openRequests", static_cast<std::int64_t>(m_callers.openRequests())}});
            m_core.follower().leave();
            stopped();
        }
    }

    const ProcessSettings &m_settings;
    const ProcessContext &m_parts;
    ProcessCore m_core;
    net::ConnectionPool m_upstreams;
    serving::SlotClient m_places;
    jobs::JobClient m_jobs;
    const serving::ServingContext m_context;
    Gateway m_gateway;
    net::Server m_callers;
    net::Server m_readiness;
    std::set<std::string> m_addresses;
    /// The newest one; the gateway has it as soon as there are upstreams.
    std::shared_ptr<const serving::DeploymentIndex> m_deployment;
    bool m_hasUpstreams = false;
    bool m_draining = false;
    absl::Time m_drainSince;
    std::function<void()> m_stopped;
};

} // namespace

std::unique_ptr<Process> makeEntryProcess(const ProcessSettings &settings,
                                          const ProcessContext &parts)
{
    return std::make_unique<EntryProcess>(settings, parts);
}

} // namespace rattanrill::gateway
