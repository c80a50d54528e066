#include "brokermetrics.h"
#include "placement.h"
#include "processcore.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"
#include "rattanrill/base/logger.h"
#include "rattanrill/base/processmemory.h"
#include "rattanrill/fleet/boundedupstreamlist.h"
#include "rattanrill/fleet/replicaidentity.h"
#include "rattanrill/fleet/retirementmonitor.h"
#include "rattanrill/fleet/statemachine.h"
#include "rattanrill/jobs/jobexecutor.h"
#include "rattanrill/jobs/jobservice.h"
#include "rattanrill/jobs/statemachine.h"
#include "rattanrill/wire/codec.h"

#include <algorithm>
#include <functional>
#include <string_view>
#include <unistd.h>
#include <utility>

namespace rattanrill::gateway {
namespace {

/// Time for another replica to become leader during a graceful stop.
constexpr absl::Duration leadershipTransferTime = absl::Milliseconds(500);

/// Interval at which the metrics of the slot broker are updated.
constexpr absl::Duration metricsPeriod = absl::Seconds(1);

/// Interval at which the state of the replica and its memory are logged.
constexpr absl::Duration statusPeriod = absl::Seconds(5);

/// Several events of an item's stream are read at once: the leader of the store group reads the
/// streams of all running items, and nobody waits for a single event. The interval is short against
/// the time for which an item runs, because its slot is released this much later.
constexpr absl::Duration itemReadInterval = absl::Milliseconds(150);

net::ConnectionPoolOptions itemConnectionOptions()
{
    net::ConnectionPoolOptions options;
    options.readInterval = itemReadInterval;
    return options;
}

class StoreProcess : public Process
{
public:
    StoreProcess(const ProcessSettings &settings, const ProcessContext &processContext)
        : m_settings(settings)
        , m_processContext(processContext)
        , m_connections(processContext.loop, itemConnectionOptions())
        , m_broker(processContext.loop.timers(), SystemClock::instance(), brokerSettings(settings))
        , m_upstreamList(processContext.loop.timers(), SystemClock::instance(),
                         processContext.upstreamDiscovery, fleet::BoundedUpstreamListSettings())
        , m_crashGuard(processContext.loop.timers(), SystemClock::instance(), settings.instance,
                       [this](const wire::CrashEvidence &evidence, auto done) {
                           m_core->fleetClient().reportCrashEvidence(evidence, std::move(done));
                       })
    {}

    ~StoreProcess() override
    {
        for (const TimerService::TimerId timer : {m_metricsTimer, m_statusTimer}) {
            if (timer != 0)
                m_processContext.loop.timers().unsubscribe(timer);
        }
    }
    StoreProcess(const StoreProcess &) = delete;
    StoreProcess &operator=(const StoreProcess &) = delete;

    Result<void> start() override
    {
        const fleet::ReplicaIdentity newIdentity{
                fleet::makeReplicaId(m_settings.peerAddress(), randomHex(6)), {}};
        BOOST_LEAF_ASSIGN(m_identity,
                          fleet::loadOrCreateIdentity(m_settings.dataFolder, newIdentity));
        log(LogLevel::Info, "replica-identity", {{"replica", m_identity.replica}});
        m_core = std::make_unique<ProcessCore>(m_settings, m_processContext,
                                               wire::MemberRole::Store, m_identity.replica);
        m_brokerMetrics = std::make_unique<BrokerMetrics>(m_broker, m_core->metrics());
        m_forwardingClient = std::make_unique<serving::ForwardingClient>(m_processContext.loop,
                                                                         m_core->channels());
        m_upstreams = std::make_unique<serving::UpstreamCaller>(m_processContext.loop,
                                                                m_connections, *m_forwardingClient);
        m_upstreamList.onChange([this](const auto &upstreams, absl::Time readAt) {
            m_hasUpstreams = true;
            m_upstreams->setUpstreams(upstreams);
            m_broker.setUpstreams(upstreams, serving::CapacityShare(), readAt);
        });
        m_upstreamList.onConfirmed(
                [this](absl::Time readAt) { m_broker.confirmUpstreams(readAt); });
        m_metricsTimer = m_processContext.loop.timers().subscribeEvery(
                metricsPeriod, [this] { m_brokerMetrics->update(); });
        m_statusTimer = m_processContext.loop.timers().subscribeEvery(statusPeriod,
                                                                      [this] { logStatus(); });
        createServices();
        if (hasReplicaData())
            openReplica();
        m_core->fleetClient().onChange(
                [this](const fleet::FleetState &state) { applyState(state); });
        m_core->fleetClient().onUpstreamsConfirmed(
                [this](absl::Time readAt) { m_upstreamList.confirmDistributed(readAt); });
        m_core->fleetClient().setStatusSource(
                [this](wire::FleetSyncRequest &request) { fillStoreReport(request); });
        m_core->setMetricsPathHandler(
                placementPath, [this](const std::shared_ptr<net::Exchange> &exchange) {
                    exchange->respond(placementResponse(placementContext(), exchange->request()));
                });
        return m_core->start();
    }

    void setSeeds(const std::vector<std::string> &seedPeers) override
    {
        m_core->fleetClient().setSeeds(seedPeers);
    }

    void drain(std::function<void()> stopped) override
    {
        m_replica->transferLeadership();
        m_processContext.loop.timers().subscribeOnce(
                leadershipTransferTime, [this, stopped = std::move(stopped)] {
                    m_core->fleetClient().leave();
                    m_jobService->handleLeadershipChange(false);
                    m_upstreamList.setActive(false);
                    m_retirements->setActive(false);
                    m_replica->stop();
                    m_core->stop();
                    stopped();
                });
    }

private:
    void createServices()
    {
        m_broker.onUpstreamLeaving(
                [this](const std::string &address) { m_connections.retire(address); });
        fleet::GroupReplicaSettings groupSettings;
        groupSettings.group = fleet::storeGroup;
        groupSettings.dataFolder = m_settings.dataFolder;
        groupSettings.voterLimits.minVoters =
                static_cast<std::size_t>(m_settings.minRemainingStores());
        m_replica = std::make_unique<fleet::GroupReplica>(m_processContext.loop, m_core->channels(),
                                                          groupSettings, m_core->clock());
        const auto buffers = std::make_shared<serving::BufferBudget>(m_core->memory());
        const jobs::JobExecutorContext context{m_processContext.loop,
                                               m_core->clock(),
                                               m_core->metrics(),
                                               m_processContext.protocol,
                                               *m_upstreams,
                                               m_broker,
                                               m_crashGuard,
                                               *m_replica,
                                               m_settings.instance,
                                               m_settings.failureDomain,
                                               [this] { return m_upstreamList.age(); },
                                               buffers,
                                               m_settings.jobRetention};
        m_jobExecutor = std::make_unique<jobs::JobExecutor>(context);
        m_jobService = std::make_unique<jobs::JobService>(context, *m_jobExecutor);
        m_replica->setCandidateSource([this] { return candidates(); });
        m_retirements = std::make_shared<fleet::RetirementMonitor>(
                m_processContext.loop.timers(),
                [this](auto callback) { m_replica->readMembership(std::move(callback)); },
                [this] { m_core->fleetClient().sendHeartbeat(); });
        m_replica->onLeadershipChange([this](bool leads) {
            m_broker.reset();
            m_upstreamList.setActive(leads);
            m_retirements->setActive(leads);
            m_jobService->handleLeadershipChange(leads);
            m_core->fleetClient().sendHeartbeat();
        });
        m_replica->install(m_core->peerServer());
        m_jobService->install(m_core->peerServer());
        installBroker();
    }

    void installBroker()
    {
        m_core->peerServer().setHandler(
                wire::Method::RequestSlot,
                [this](const peer::PeerIdentity &, std::string body, peer::ResponseCallback reply) {
                    m_processContext.loop.post(
                            [this, body = std::move(body), reply = std::move(reply)] {
                                acquire(body, reply);
                            });
                });
        installOneWayHandler<wire::SlotRelease>(
                wire::Method::ReleaseSlot, "release-unreadable",
                [this](const wire::SlotRelease &release) { m_broker.release(release); });
        installOneWayHandler<wire::UpstreamLoad>(
                wire::Method::ReportLoad, "load-unreadable",
                [this](const wire::UpstreamLoad &load) {
                    m_broker.reportLoad(load, serving::ReportSource::OtherProcess);
                });
        installOneWayHandler<wire::HeldSlots>(
                wire::Method::ReportHeldSlots, "held-places-unreadable",
                [this](const wire::HeldSlots &held) { m_broker.adoptHeldSlots(held); });
    }

    /// Passes each message of \a method to \a handler on the event loop. Logs \a unreadableEvent
    /// for one that is malformed.
    template <typename Message>
    void installOneWayHandler(wire::Method method, std::string_view unreadableEvent,
                              std::function<void(const Message &message)> handler)
    {
        const auto handle = [unreadableEvent,
                             handler = std::move(handler)](const std::string &body) {
            const auto message = outcomeOf([&] { return wire::decode<Message>(body); });
            if (message.ok())
                handler(message.value());
            else
                log(LogLevel::Warning, unreadableEvent, {{"code", name(message.failure().code)}});
        };
        m_core->peerServer().setHandler(
                method, [this, handle](const peer::PeerIdentity &, std::string body,
                                       const peer::ResponseCallback &reply) {
                    m_processContext.loop.post([handle, body = std::move(body)] { handle(body); });
                    reply(std::string());
                });
    }

    void acquire(const std::string &body, const peer::ResponseCallback &reply)
    {
        const auto request = outcomeOf([&] { return wire::decode<wire::SlotRequest>(body); });
        if (!request.ok())
            return reply(request.failure());
        if (!m_replica->isLeader() || !m_deployment || !m_hasUpstreams)
            return reply(notRun(ErrorCode::NotLeader, m_replica->status().leader));
        m_broker.acquire(request.value(), [reply](const wire::SlotResponse &response) {
            reply(wire::encode(response));
        });
    }

    /// A store that exceeds its memory limit is killed without a line of its own.
    void logStatus() const
    {
        const replication::RaftNodeStatus status = m_replica->status();
        log(LogLevel::Info, "store-status",
            {{"role", replication::name(status.role)},
             {"term", status.term},
             {"leader", status.leader},
             {"appliedIndex", status.appliedIndex},
             {"snapshotIndex", status.snapshotIndex},
             {"residentBytes", residentBytes()}});
    }

    PlacementContext placementContext() const
    {
        PlacementContext context{m_broker, {m_settings.instance, m_settings.failureDomain}};
        context.leads = m_replica->isLeader();
        const std::string leader = m_replica->status().leader;
        // Just after its election, this store may be the leader and not be ready to decide yet.
        if (!context.leads && leader != m_identity.replica)
            context.leader = instanceOf(m_core->fleetClient().state(), leader);
        context.deployment = m_deployment;
        context.hasUpstreams = m_hasUpstreams;
        return context;
    }

    void fillStoreReport(wire::FleetSyncRequest &request) const
    {
        request.leadsStores = m_replica->isLeader();
        if (!request.leadsStores)
            return;
        const replication::RaftNodeStatus status = m_replica->status();
        request.storeTerm = status.term;
        request.storeReplicas = status.voters;
        request.storeReplicas.insert(request.storeReplicas.end(), status.learners.begin(),
                                     status.learners.end());
        request.retiredStores = m_retirements->retiredStores();
    }

    void applyState(const fleet::FleetState &state)
    {
        m_broker.setEvacuatedDomains(state.evacuatedDomains);
        openBootstrappedReplica(state.storeFounders);
        m_retirements->setRetiringStores(state.openRetirements);
        if (const auto newer = m_core->newerDeployment(state, m_deployment)) {
            m_deployment = newer;
            m_broker.setDeployment(newer);
            m_jobService->setDeployment(newer);
            m_jobExecutor->setDeployment(newer);
        }
        m_crashGuard.setBlocks(state.leaderTerm, state.blockedPrompts, state.suspectPromptParts);
        if (state.upstreamsKnown)
            m_upstreamList.setDistributed(state.upstreams, state.upstreamsReadAt);
        if (state.membersComplete)
            m_broker.setLiveEntries(liveEntries(state));
    }

    /// True when the replica has stored data of the group. It then opens without the list of
    /// initial voters.
    bool hasReplicaData() const
    {
        const std::string folder = concat(m_settings.dataFolder, "/", fleet::storeGroup);
        return access(folder.c_str(), F_OK) == 0;
    }

    /// Opens the replica once the initial voters of the group are known. An initial voter that has
    /// lost its disk has another replica id and joins as any other replica does.
    void openBootstrappedReplica(const std::vector<std::string> &initialVoters)
    {
        if (m_replica->isOpen() || initialVoters.empty())
            return;
        const bool isInitialVoter =
                std::find(initialVoters.begin(), initialVoters.end(), m_identity.replica)
                != initialVoters.end();
        if (isInitialVoter)
            m_identity.initialVoters = initialVoters;
        openReplica();
    }

    void openReplica()
    {
        const auto opened = outcomeOf([&]() -> Result<void> {
            BOOST_LEAF_CHECK(fleet::saveIdentity(m_settings.dataFolder, m_identity));
            return m_replica->open(m_identity, jobs::makeJobStateMachine());
        });
        log(opened.ok() ? LogLevel::Info : LogLevel::Error,
            opened.ok() ? "store-replica-opened" : "store-replica-failed",
            {{"replica", m_identity.replica},
             {"isFounder", !m_identity.initialVoters.empty()},
             {"detail", opened.ok() ? "" : opened.failure().detail}});
    }

    fleet::CandidateList candidates() const
    {
        fleet::CandidateList list;
        if (!m_core->fleetClient().hasCurrentMembers())
            return list;
        list.asOf = m_core->clock().now() - m_core->fleetClient().staleness();
        for (const wire::FleetMemberStatus &status : m_core->fleetClient().state().members) {
            if (status.member.role == wire::MemberRole::Store)
                list.candidates.push_back({status.member.replica, status.member.failureDomain,
                                           status.alive, status.retiring});
        }
        return list;
    }

    const ProcessSettings &m_settings;
    const ProcessContext &m_processContext;
    fleet::ReplicaIdentity m_identity;
    std::unique_ptr<ProcessCore> m_core;
    net::ConnectionPool m_connections;
    std::unique_ptr<serving::ForwardingClient> m_forwardingClient;
    std::unique_ptr<serving::UpstreamCaller> m_upstreams;
    serving::SlotBroker m_broker;
    fleet::BoundedUpstreamList m_upstreamList;
    serving::CrashGuard m_crashGuard;
    std::unique_ptr<fleet::GroupReplica> m_replica;
    std::shared_ptr<fleet::RetirementMonitor> m_retirements;
    std::unique_ptr<jobs::JobExecutor> m_jobExecutor;
    std::unique_ptr<jobs::JobService> m_jobService;
    std::shared_ptr<const serving::DeploymentIndex> m_deployment;
    bool m_hasUpstreams = false;
    std::unique_ptr<BrokerMetrics> m_brokerMetrics;
    TimerService::TimerId m_metricsTimer = 0;
    TimerService::TimerId m_statusTimer = 0;
};

} // namespace

std::unique_ptr<Process> makeStoreProcess(const ProcessSettings &settings,
                                          const ProcessContext &processContext)
{
    return std::make_unique<StoreProcess>(settings, processContext);
}

} // namespace rattanrill::gateway
