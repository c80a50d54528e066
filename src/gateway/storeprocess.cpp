#include "processcore.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"
#include "rattanrill/base/logger.h"
#include "rattanrill/fleet/replicaidentity.h"
#include "rattanrill/fleet/statemachine.h"
#include "rattanrill/jobs/jobexecutor.h"
#include "rattanrill/jobs/jobservice.h"
#include "rattanrill/jobs/statemachine.h"
#include "rattanrill/wire/codec.h"

#include <algorithm>
#include <unistd.h>
#include <utility>

namespace rattanrill::gateway {
namespace {

/// Time for another replica to take the lead at a graceful stop.
constexpr absl::Duration handOver = absl::Milliseconds(500);
/// A list of members that is older than this says nothing about who lives.
constexpr absl::Duration staleAfter = absl::Seconds(2);

class StoreProcess : public Process
{
public:
    StoreProcess(const ProcessSettings &settings, const ProcessContext &parts)
        : m_settings(settings)
        , m_parts(parts)
        , m_upstreams(parts.loop, net::ConnectionPoolOptions())
        , m_broker(parts.loop.timers(), SystemClock::instance(), brokerSettings(settings))
    {}

    Result<void> start() override
    {
        const fleet::ReplicaIdentity fresh{
                fleet::makeReplicaId(m_settings.peerAddress(), randomHex(6)), {}};
        BOOST_LEAF_ASSIGN(m_identity, fleet::loadOrCreateIdentity(m_settings.dataFolder, fresh));
        log(LogLevel::Info, "replica-identity", {{"replica", m_identity.replica}});
        m_core = std::make_unique<ProcessCore>(m_settings, m_parts, wire::MemberRole::Store,
                                               m_identity.replica);
        makeServices();
        if (hasData())
            openReplica();
        m_core->follower().onChange([this](const fleet::FleetState &state) { take(state); });
        m_core->follower().setStoreReport(
                [this](wire::FleetSyncRequest &request) { report(request); });
        return m_core->start();
    }

    void setSeeds(const std::vector<std::string> &seedPeers) override
    {
        m_core->follower().setSeeds(seedPeers);
    }

    void drain(std::function<void()> stopped) override
    {
        m_replica->transferLeadership();
        m_parts.loop.timers().subscribeOnce(handOver, [this, stopped = std::move(stopped)] {
            m_core->follower().leave();
            m_service->leadershipChanged(false);
            m_replica->stop();
            m_core->stop();
            stopped();
        });
    }

private:
    void makeServices()
    {
        fleet::GroupReplicaSettings group;
        group.group = fleet::storeGroup;
        group.dataFolder = m_settings.dataFolder;
        m_replica = std::make_unique<fleet::GroupReplica>(m_parts.loop, m_core->channels(), group,
                                                          m_core->clock());
        const jobs::JobExecutorContext context{
                m_parts.loop, m_core->clock(), m_core->metrics(), m_parts.protocol,
                m_upstreams,  m_broker,        *m_replica,        m_settings.failureDomain};
        m_executor = std::make_unique<jobs::JobExecutor>(context);
        m_service = std::make_unique<jobs::JobService>(context, *m_executor);
        m_replica->setCandidates([this] { return candidates(); });
        m_replica->onLeadershipChange([this](bool leads) {
            m_broker.reset();
            m_service->leadershipChanged(leads);
            m_core->follower().sendHeartbeat();
        });
        m_replica->install(m_core->peerServer());
        m_service->install(m_core->peerServer());
        installBroker();
    }

    void installBroker()
    {
        m_core->peerServer().handle(
                wire::Method::RequestSlot,
                [this](const peer::PeerIdentity &, std::string body, peer::ResponseCallback reply) {
                    m_parts.loop.post([this, body = std::move(body), reply = std::move(reply)] {
                        acquire(body, reply);
                    });
                });
        installPush(wire::Method::ReleaseSlot, &StoreProcess::release);
        installPush(wire::Method::Load, &StoreProcess::noteLoad);
        installPush(wire::Method::ReportHeldSlots, &StoreProcess::adopt);
    }

    void installPush(wire::Method method, void (StoreProcess::*handler)(const std::string &))
    {
        m_core->peerServer().handle(method, [this, handler](const peer::PeerIdentity &,
                                                            std::string body,
                                                            const peer::ResponseCallback &reply) {
            m_parts.loop.post([this, handler, body = std::move(body)] { (this->*handler)(body); });
            reply(std::string());
        });
    }

    void adopt(const std::string &body)
    {
        const auto held = outcomeOf([&] { return wire::decode<wire::HeldSlots>(body); });
        if (held.ok())
            m_broker.restoreHeldSlots(held.value());
        else
            log(LogLevel::Warning, "held-places-unreadable", {{"code", name(held.failure().code)}});
    }

    void noteLoad(const std::string &body)
    {
        const auto load = outcomeOf([&] { return wire::decode<wire::UpstreamLoad>(body); });
        if (load.ok())
            m_broker.updateLoad(load.value());
        else
            log(LogLevel::Warning, "load-unreadable", {{"code", name(load.failure().code)}});
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

    void release(const std::string &body)
    {
        const auto request = outcomeOf([&] { return wire::decode<wire::SlotRelease>(body); });
        if (request.ok())
            m_broker.release(request.value());
        else
            log(LogLevel::Warning, "release-unreadable", {{"code", name(request.failure().code)}});
    }

    void report(wire::FleetSyncRequest &request) const
    {
        request.leadsStores = m_replica->isLeader();
        if (!request.leadsStores)
            return;
        const replication::RaftNodeStatus status = m_replica->status();
        request.storeTerm = status.term;
        request.storeReplicas = status.voters;
        request.storeReplicas.insert(request.storeReplicas.end(), status.learners.begin(),
                                     status.learners.end());
    }

    void take(const fleet::FleetState &state)
    {
        join(state.storeFounders);
        if (const auto newer = m_core->newerDeployment(state, m_deployment)) {
            m_deployment = newer;
            m_broker.setDeployment(newer);
            m_service->setDeployment(newer);
            m_executor->setDeployment(newer);
        }
        if (state.upstreamsKnown) {
            m_hasUpstreams = true;
            m_broker.setUpstreams(state.upstreams, serving::CapacityShare());
        }
        if (state.membersComplete)
            m_broker.setLiveInstances(livingEntries(state));
    }

    /// The replica took part before, so that it needs nobody to tell it how the group began.
    bool hasData() const
    {
        const std::string folder = concat(m_settings.dataFolder, "/", fleet::storeGroup);
        return access(folder.c_str(), F_OK) == 0;
    }

    /// A founder that loses its disk has another replica id, and joins like any other.
    void join(const std::vector<std::string> &founders)
    {
        if (m_replica->isOpen() || founders.empty())
            return;
        const bool isFounder =
                std::find(founders.begin(), founders.end(), m_identity.replica) != founders.end();
        if (isFounder)
            m_identity.founders = founders;
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
             {"isFounder", !m_identity.founders.empty()},
             {"detail", opened.ok() ? "" : opened.failure().detail}});
    }

    std::vector<fleet::VoterCandidate> candidates() const
    {
        std::vector<fleet::VoterCandidate> candidates;
        const fleet::FleetState &state = m_core->follower().state();
        if (!state.membersComplete || m_core->follower().staleness() > staleAfter)
            return candidates;
        for (const wire::FleetMemberStatus &live : state.members) {
            if (live.member.role == wire::MemberRole::Store)
                candidates.push_back({live.member.replica, live.member.failureDomain, live.alive,
                                      live.retiring});
        }
        return candidates;
    }

    const ProcessSettings &m_settings;
    const ProcessContext &m_parts;
    fleet::ReplicaIdentity m_identity;
    std::unique_ptr<ProcessCore> m_core;
    net::ConnectionPool m_upstreams;
    serving::SlotBroker m_broker;
    std::unique_ptr<fleet::GroupReplica> m_replica;
    std::unique_ptr<jobs::JobExecutor> m_executor;
    std::unique_ptr<jobs::JobService> m_service;
    std::shared_ptr<const serving::DeploymentIndex> m_deployment;
    bool m_hasUpstreams = false;
};

} // namespace

std::unique_ptr<Process> makeStoreProcess(const ProcessSettings &settings,
                                          const ProcessContext &parts)
{
    return std::make_unique<StoreProcess>(settings, parts);
}

} // namespace rattanrill::gateway
