#include "processcore.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"
#include "rattanrill/base/logger.h"
#include "rattanrill/fleet/replicaidentity.h"
#include "rattanrill/fleet/retirement.h"
#include "rattanrill/fleet/statemachine.h"
#include "rattanrill/gateway/serverdrain.h"
#include "rattanrill/wire/codec.h"
#include "rattanrill/wire/decodeoutcome.h"

#include <algorithm>
#include <utility>

namespace rattanrill::gateway {
namespace {

/// Time for another replica to become leader during a graceful stop.
constexpr absl::Duration leadershipTransferTime = absl::Milliseconds(500);

/// Returns the identity of a replica whose data folder is new. At the first start of a deployment
/// the seeds are the initial voters of the group. Their incarnation is fixed, so that each can
/// derive the ids of the others without an exchange of messages.
fleet::ReplicaIdentity newIdentity(const ProcessSettings &settings)
{
    fleet::ReplicaIdentity identity;
    const std::vector<std::string> seeds = settings.seedPeers();
    const bool isSeed =
            std::find(seeds.begin(), seeds.end(), settings.peerAddress()) != seeds.end();
    if (!settings.bootstrap || !isSeed) {
        identity.replica = fleet::makeReplicaId(settings.peerAddress(), randomHex(6));
        return identity;
    }
    identity.replica = fleet::makeReplicaId(settings.peerAddress(), fleet::bootstrapIncarnation);
    for (const std::string &seed : seeds)
        identity.initialVoters.push_back(fleet::makeReplicaId(seed, fleet::bootstrapIncarnation));
    return identity;
}

class ControlProcess : public Process
{
public:
    ControlProcess(const ProcessSettings &settings, const ProcessContext &processContext)
        : m_settings(settings)
        , m_processContext(processContext)
        , m_operatorServer(processContext.loop, [this](const auto &exchange) { serve(exchange); })
        , m_operatorDrain(processContext.loop.timers(), SystemClock::instance(), m_operatorServer,
                          m_shutdown)
    {}

    Result<void> start() override
    {
        BOOST_LEAF_AUTO(identity, fleet::loadOrCreateIdentity(m_settings.dataFolder,
                                                              newIdentity(m_settings)));
        log(LogLevel::Info, "replica-identity",
            {{"replica", identity.replica},
             {"founders", static_cast<std::int64_t>(identity.initialVoters.size())}});
        m_core = std::make_unique<ProcessCore>(m_settings, m_processContext,
                                               wire::MemberRole::Control, identity.replica);
        fleet::GroupReplicaSettings groupSettings;
        groupSettings.group = fleet::fleetGroup;
        groupSettings.dataFolder = m_settings.dataFolder;
        m_replica = std::make_unique<fleet::GroupReplica>(m_processContext.loop, m_core->channels(),
                                                          groupSettings, m_core->clock());
        m_fleetService = std::make_unique<fleet::FleetService>(
                m_processContext.loop, *m_replica, m_processContext.upstreamDiscovery,
                fleet::FleetServiceSettings(), m_core->clock());
        m_replica->setCandidateSource([this] {
            return fleet::CandidateList{m_fleetService->controlCandidates(), m_core->clock().now()};
        });
        m_fleetService->setMemberListSource(
                [this] { return m_core->fleetClient().state().upstreams; });
        m_fleetService->relayFor(m_core->fleetClient());
        m_replica->install(m_core->peerServer());
        m_fleetService->install(m_core->peerServer());
        m_fleetService->start();
        BOOST_LEAF_CHECK(m_replica->open(identity, fleet::makeFleetStateMachine()));
        m_operatorServer.setMemoryBudget(m_core->memory());
        m_operatorServer.setLimits(internalServerLimits());
        BOOST_LEAF_CHECK(m_operatorServer.start(m_settings.operatorAddress));
        return m_core->start();
    }

    void setSeeds(const std::vector<std::string> &seedPeers) override
    {
        m_core->fleetClient().setSeeds(seedPeers);
    }

    void drain(std::function<void()> stopped) override
    {
        m_replica->transferLeadership();
        m_shutdown.begin(m_core->clock().now(), m_settings.shutdownTimeout, leadershipTransferTime);
        m_operatorDrain.start([this, stopped = std::move(stopped)](const auto &abandoned) {
            log(LogLevel::Info, "drained",
                {{"openRequests", static_cast<std::int64_t>(abandoned.size())}});
            if (!m_replica->isLeader() || !hasTimeForTransfer())
                return finishDrain(stopped);
            // This replica may have been elected again while calls were open.
            m_replica->transferLeadership();
            m_processContext.loop.timers().subscribeOnce(leadershipTransferTime,
                                                         [this, stopped] { finishDrain(stopped); });
        });
    }

private:
    bool hasTimeForTransfer() const
    {
        const auto remaining = absl::Milliseconds(m_shutdown.remainingMs(m_core->clock().now()));
        return remaining > 2 * leadershipTransferTime;
    }

    void finishDrain(const std::function<void()> &stopped)
    {
        m_core->fleetClient().leave();
        m_fleetService->stop();
        m_replica->stop();
        m_core->stop();
        stopped();
    }

    using ExchangePtr = std::shared_ptr<net::Exchange>;

    void serve(const ExchangePtr &exchange)
    {
        auto call = outcomeOf(
                [&] { return m_processContext.operatorProtocol.parseCall(exchange->request()); });
        if (!call.ok())
            return refuse(exchange, call.failure());
        std::visit([&](const auto &typedCall) { perform(exchange, typedCall); }, call.value());
    }

    void perform(const ExchangePtr &exchange, const fleet::PutConfigurationCall &call)
    {
        const auto valid = outcomeOf([&] { return serving::checkDeployment(call.deployment); });
        if (!valid.ok())
            return refuse(exchange, valid.failure());
        const std::uint64_t version = call.deployment.version;
        const wire::FleetCommand command{wire::PutConfiguration{version, call.document}};
        m_replica->propose(wire::encode(command), [this, exchange, version](const auto &outcome) {
            const auto result = wire::decodeOutcome<wire::FleetResult>(outcome);
            if (!result.ok())
                return refuse(exchange, result.failure());
            log(LogLevel::Info, "configuration-accepted",
                {{"configurationVersion", version},
                 {"highestVersion", result.value().configurationVersion}});
            exchange->respond(m_processContext.operatorProtocol.acceptedResponse());
        });
    }

    using RecordsHandler = std::function<void(const wire::FleetSnapshot &records)>;

    /// Reads the group's records and passes them to \a handler; responds itself if that fails.
    void readRecords(const ExchangePtr &exchange, const wire::FleetQuery &query,
                     RecordsHandler handler)
    {
        m_replica->readOnAnyReplica(
                wire::encode(query),
                [this, exchange, handler = std::move(handler)](const auto &outcome) {
                    const auto records = wire::decodeOutcome<wire::FleetSnapshot>(outcome);
                    if (!records.ok())
                        return refuse(exchange, records.failure());
                    handler(records.value());
                });
    }

    void perform(const ExchangePtr &exchange, const fleet::ReadConfigurationCall &)
    {
        readRecords(exchange, wire::FleetQuery{}, [this, exchange](const auto &records) {
            if (records.configuration.empty())
                return refuse(exchange, notRun(ErrorCode::NoQuorum,
                                               "no configuration has been accepted yet"));
            exchange->respond(
                    m_processContext.operatorProtocol.configurationResponse(records.configuration));
        });
    }

    /// The state machine decides, because other orders may be accepted at the same time.
    void perform(const ExchangePtr &exchange, const fleet::StartRetirementCall &call)
    {
        // Stores that this process has not heard of would be missing.
        if (!m_core->fleetClient().hasCurrentMembers())
            return refuse(exchange, notRun(ErrorCode::NoQuorum,
                                           "it is not known yet which stores are alive"));
        const wire::RetireStore order =
                fleet::retireCommand(m_core->fleetClient().state().members, call.instance,
                                     m_settings.minRemainingStores());
        const wire::FleetCommand command{order};
        m_replica->propose(wire::encode(command), [this, exchange, order](const auto &outcome) {
            if (!outcome.ok())
                return refuse(exchange, outcome.failure());
            log(LogLevel::Info, "retirement-accepted",
                {{"instance", order.instance},
                 {"replica", order.replica},
                 {"otherStores", static_cast<std::int64_t>(order.otherStores.size())},
                 {"minRemainingStores", order.minRemainingStores}});
            exchange->respond(m_processContext.operatorProtocol.acceptedResponse());
        });
    }

    /// Answers from the group's records only: this process may not have heard yet of a store, or
    /// of the replicas of the store group.
    void perform(const ExchangePtr &exchange, const fleet::ReadRetirementCall &call)
    {
        // The version that is already known, so that the result contains no document.
        const wire::FleetQuery query{m_core->fleetClient().state().configurationVersion};
        readRecords(exchange, query, [this, exchange, call](const auto &records) {
            const fleet::RetirementState state = fleet::retirementState(records, call.instance);
            if (state == fleet::RetirementState::NotRequested)
                return refuse(exchange, notRun(ErrorCode::NotFound,
                                               concat("no retirement of instance \"", call.instance,
                                                      "\" was requested")));
            log(LogLevel::Info, "retirement-read",
                {{"instance", call.instance},
                 {"completed", state == fleet::RetirementState::Completed}});
            exchange->respond(m_processContext.operatorProtocol.retirementStatusResponse(
                    state == fleet::RetirementState::Completed));
        });
    }

    /// The state machine decides, because a domain that was evacuated before is valid although
    /// nothing of it is left.
    void perform(const ExchangePtr &exchange, const fleet::SetEvacuationCall &call)
    {
        const fleet::FleetState &state = m_core->fleetClient().state();
        const wire::FleetCommand command{
                wire::SetEvacuation{call.failureDomain, call.isEvacuated,
                                    fleet::hasFailureDomain(state, call.failureDomain)}};
        const bool isStateCurrent =
                m_core->fleetClient().hasCurrentMembers() && state.upstreamsKnown;
        m_replica->propose(wire::encode(command), [this, exchange, call,
                                                   isStateCurrent](const auto &outcome) {
            const auto result = wire::decodeOutcome<wire::FleetResult>(outcome);
            const bool isUndecided =
                    !result.ok() && result.failure().code == ErrorCode::NotFound && !isStateCurrent;
            if (isUndecided)
                return refuse(exchange, notRun(ErrorCode::NoQuorum,
                                               "it is not known yet which failure domains exist"));
            if (!result.ok())
                return refuse(exchange, result.failure());
            log(LogLevel::Info, "evacuation-accepted",
                {{"failureDomain", call.failureDomain}, {"isEvacuated", call.isEvacuated}});
            exchange->respond(m_processContext.operatorProtocol.acceptedResponse());
        });
    }

    void refuse(const ExchangePtr &exchange, Failure failure)
    {
        log(LogLevel::Info, "operator-call-refused",
            {{"target", exchange->request().target},
             {"code", name(failure.code)},
             {"run", name(failure.effect)},
             {"detail", failure.detail}});
        exchange->respond(m_processContext.operatorProtocol.errorResponse(failure));
    }

    const ProcessSettings &m_settings;
    const ProcessContext &m_processContext;
    std::unique_ptr<ProcessCore> m_core;
    std::unique_ptr<fleet::GroupReplica> m_replica;
    std::unique_ptr<fleet::FleetService> m_fleetService;
    net::Server m_operatorServer;
    serving::ShutdownState m_shutdown;
    ServerDrain m_operatorDrain;
};

} // namespace

std::unique_ptr<Process> makeControlProcess(const ProcessSettings &settings,
                                            const ProcessContext &processContext)
{
    return std::make_unique<ControlProcess>(settings, processContext);
}

} // namespace rattanrill::gateway
