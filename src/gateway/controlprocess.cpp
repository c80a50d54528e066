#include "processcore.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"
#include "rattanrill/base/logger.h"
#include "rattanrill/fleet/replicaidentity.h"
#include "rattanrill/fleet/statemachine.h"
#include "rattanrill/wire/codec.h"

#include <algorithm>
#include <utility>

namespace rattanrill::gateway {
namespace {

/// Time for another replica to take the lead at a graceful stop.
constexpr absl::Duration handOver = absl::Milliseconds(500);

/// Identity of a replica whose disk is new. The seeds of a first start found the group; their marks
/// are known to all of them without an exchange.
fleet::ReplicaIdentity freshIdentity(const ProcessSettings &settings)
{
    fleet::ReplicaIdentity identity;
    const std::vector<std::string> seeds = settings.seedPeers();
    const bool isSeed =
            std::find(seeds.begin(), seeds.end(), settings.peerAddress()) != seeds.end();
    if (!settings.bootstrap || !isSeed) {
        identity.replica = fleet::makeReplicaId(settings.peerAddress(), randomHex(6));
        return identity;
    }
    identity.replica = fleet::makeReplicaId(settings.peerAddress(), fleet::founderIncarnation);
    for (const std::string &seed : seeds)
        identity.founders.push_back(fleet::makeReplicaId(seed, fleet::founderIncarnation));
    return identity;
}

class ControlProcess : public Process
{
public:
    ControlProcess(const ProcessSettings &settings, const ProcessContext &parts)
        : m_settings(settings)
        , m_parts(parts)
        , m_operators(parts.loop, [this](const auto &exchange) { serve(exchange); })
    {}

    Result<void> start() override
    {
        BOOST_LEAF_AUTO(identity, fleet::loadOrCreateIdentity(m_settings.dataFolder,
                                                              freshIdentity(m_settings)));
        log(LogLevel::Info, "replica-identity",
            {{"replica", identity.replica},
             {"founders", static_cast<std::int64_t>(identity.founders.size())}});
        m_core = std::make_unique<ProcessCore>(m_settings, m_parts, wire::MemberRole::Control,
                                               identity.replica);
        fleet::GroupReplicaSettings group;
        group.group = fleet::fleetGroup;
        group.dataFolder = m_settings.dataFolder;
        m_replica = std::make_unique<fleet::GroupReplica>(m_parts.loop, m_core->channels(), group,
                                                          m_core->clock());
        m_sync = std::make_unique<fleet::FleetService>(
                m_parts.loop, *m_replica, m_parts.upstreamDiscovery, fleet::FleetServiceSettings(),
                m_core->clock());
        m_replica->setCandidates([this] { return m_sync->controlCandidates(); });
        m_replica->install(m_core->peerServer());
        m_sync->install(m_core->peerServer());
        m_sync->start();
        BOOST_LEAF_CHECK(m_replica->open(identity, fleet::makeFleetStateMachine()));
        BOOST_LEAF_CHECK(m_operators.start(m_settings.operatorAddress));
        return m_core->start();
    }

    void setSeeds(const std::vector<std::string> &seedPeers) override
    {
        m_core->follower().setSeeds(seedPeers);
    }

    void drain(std::function<void()> stopped) override
    {
        m_replica->transferLeadership();
        m_operators.drain();
        m_parts.loop.timers().subscribeOnce(handOver, [this, stopped = std::move(stopped)] {
            m_core->follower().leave();
            m_sync->stop();
            m_operators.stop();
            m_replica->stop();
            m_core->stop();
            stopped();
        });
    }

private:
    using ExchangePtr = std::shared_ptr<net::Exchange>;

    void serve(const ExchangePtr &exchange)
    {
        auto call =
                outcomeOf([&] { return m_parts.operatorProtocol.parseCall(exchange->request()); });
        if (!call.ok())
            return refuse(exchange, call.failure());
        std::visit([&](const auto &kind) { perform(exchange, kind); }, call.value());
    }

    void perform(const ExchangePtr &exchange, const fleet::PutConfigurationCall &call)
    {
        const auto valid = outcomeOf([&] { return serving::checkDeployment(call.deployment); });
        if (!valid.ok())
            return refuse(exchange, valid.failure());
        const std::uint64_t version = call.deployment.version;
        const wire::FleetCommand command{wire::PutConfiguration{version, call.document}};
        m_replica->propose(wire::encode(command), [this, exchange, version](const auto &outcome) {
            const auto result = outcome.ok() ? outcomeOf([&] {
                return wire::decode<wire::FleetResult>(outcome.value());
            })
                                             : Outcome<wire::FleetResult>(outcome.failure());
            if (!result.ok())
                return refuse(exchange, result.failure());
            log(LogLevel::Info, "configuration-accepted",
                {{"configurationVersion", version},
                 {"highestVersion", result.value().configurationVersion}});
            exchange->respond(m_parts.operatorProtocol.acceptedResponse());
        });
    }

    void perform(const ExchangePtr &exchange, const fleet::ReadConfigurationCall &)
    {
        m_replica->linearizableRead(wire::encode(wire::FleetQuery{}), [this, exchange](
                                                                              const auto &outcome) {
            const auto records = outcome.ok() ? outcomeOf([&] {
                return wire::decode<wire::FleetSnapshot>(outcome.value());
            })
                                              : Outcome<wire::FleetSnapshot>(outcome.failure());
            if (!records.ok())
                return refuse(exchange, records.failure());
            if (records.value().configuration.empty())
                return refuse(exchange,
                              notRun(ErrorCode::NoQuorum, "no configuration was accepted yet"));
            exchange->respond(
                    m_parts.operatorProtocol.configurationResponse(records.value().configuration));
        });
    }

    const wire::FleetMemberStatus *store(const std::string &instance) const
    {
        for (const wire::FleetMemberStatus &live : m_core->follower().state().members) {
            if (live.member.role == wire::MemberRole::Store && live.member.instance == instance)
                return &live;
        }
        return nullptr;
    }

    /// Stores that keep the group's tolerance when \a instance leaves.
    int remainingStores(const std::string &instance) const
    {
        int count = 0;
        for (const wire::FleetMemberStatus &live : m_core->follower().state().members) {
            const bool remains = live.member.role == wire::MemberRole::Store && live.alive
                                 && !live.retiring && live.member.instance != instance;
            count += remains ? 1 : 0;
        }
        return count;
    }

    void perform(const ExchangePtr &exchange, const fleet::StartRetirementCall &call)
    {
        const wire::FleetMemberStatus *live = store(call.instance);
        if (live == nullptr)
            return refuse(exchange, notRun(ErrorCode::NotFound,
                                           concat("no store on instance \"", call.instance, "\"")));
        if (remainingStores(call.instance) < 2 * m_settings.toleratedFailures + 1)
            return refuse(exchange, notRun(ErrorCode::Conflict, "too few stores would remain"));
        const wire::FleetCommand command{wire::RetireStore{live->member.replica}};
        m_replica->propose(wire::encode(command), [this, exchange](const auto &outcome) {
            if (!outcome.ok())
                return refuse(exchange, outcome.failure());
            exchange->respond(m_parts.operatorProtocol.acceptedResponse());
        });
    }

    /// Without a complete list of members nothing is known of an instance.
    void perform(const ExchangePtr &exchange, const fleet::ReadRetirementCall &call)
    {
        const fleet::FleetState &state = m_core->follower().state();
        const wire::FleetMemberStatus *live = store(call.instance);
        if (!state.membersComplete || (live != nullptr && !live->retiring))
            return refuse(exchange, notRun(ErrorCode::NoQuorum, "the members are not known yet"));
        const bool isDone = live == nullptr || !live->holdsCopy;
        exchange->respond(m_parts.operatorProtocol.retirementStatusResponse(isDone));
    }

    void refuse(const ExchangePtr &exchange, Failure failure)
    {
        log(LogLevel::Info, "operator-call-refused",
            {{"target", exchange->request().target},
             {"code", name(failure.code)},
             {"run", name(failure.run)},
             {"detail", failure.detail}});
        exchange->respond(m_parts.operatorProtocol.errorResponse(failure));
    }

    const ProcessSettings &m_settings;
    const ProcessContext &m_parts;
    std::unique_ptr<ProcessCore> m_core;
    std::unique_ptr<fleet::GroupReplica> m_replica;
    std::unique_ptr<fleet::FleetService> m_sync;
    net::Server m_operators;
};

} // namespace

std::unique_ptr<Process> makeControlProcess(const ProcessSettings &settings,
                                            const ProcessContext &parts)
{
    return std::make_unique<ControlProcess>(settings, parts);
}

} // namespace rattanrill::gateway
