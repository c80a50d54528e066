#include "rattanrill/fleet/groupreplica.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/logger.h"
#include "rattanrill/wire/codec.h"

#include <utility>

namespace rattanrill::fleet {
namespace {

/// Interval at which the replica's role and the group's voters are checked.
constexpr absl::Duration checkPeriod = absl::Milliseconds(50);

} // namespace

struct GroupReplica::Impl : std::enable_shared_from_this<GroupReplica::Impl>,
                            replication::RaftTransport
{
    Impl(net::EventLoop &loop, peer::ChannelPool &channels, GroupReplicaSettings settings,
         const Clock &clock)
        : loop(loop)
        , channels(channels)
        , settings(std::move(settings))
        , clock(clock)
    {}

    void send(const replication::ReplicaId &to, const std::string &group,
              std::string message) override
    {
        channels.channel(peerAddressOf(to))
                ->sendOneWay(wire::Method::Raft,
                             wire::encode(wire::RaftEnvelope{group, std::move(message)}));
    }

    /// Runs on a network thread. The node is thread-safe and is not replaced after open().
    void receive(const peer::PeerIdentity &from, const std::string &body)
    {
        auto envelope = outcomeOf([&] { return wire::decode<wire::RaftEnvelope>(body); });
        if (!envelope.ok()) {
            log(LogLevel::Warning, "raft-message-refused",
                {{"peerInstance", from.instance}, {"code", name(envelope.failure().code)}});
            return;
        }
        const auto current = std::atomic_load(&node);
        if (current && envelope.value().group == settings.group)
            current->receive(from.instance, std::move(envelope.value().message));
    }

    /// Runs on a network thread, like receive().
    void servePropose(const std::string &body, peer::ResponseCallback reply)
    {
        auto request = outcomeOf([&] { return wire::decode<wire::ProposeRequest>(body); });
        const auto current = std::atomic_load(&node);
        if (!request.ok())
            return reply(request.failure());
        if (!current || request.value().group != settings.group)
            return reply(notRun(ErrorCode::NotLeader, ""));
        current->propose(std::move(request.value().command),
                         [reply = std::move(reply)](Outcome<std::string> outcome) {
                             if (!outcome.ok())
                                 return reply(outcome.failure());
                             reply(wire::encode(wire::GroupResponse{outcome.value()}));
                         });
    }

    /// Returns a callback that runs \a callback on the event loop.
    Callback onLoop(Callback callback)
    {
        return [self = shared_from_this(),
                callback = std::move(callback)](Outcome<std::string> outcome) {
            self->loop.post([callback, outcome = std::move(outcome)]() mutable {
                callback(std::move(outcome));
            });
        };
    }

    void forward(const std::string &address, std::string command, Callback callback)
    {
        const wire::ProposeRequest request{settings.group, std::move(command)};
        channels.channel(address)->call(
                wire::Method::Propose, wire::encode(request), settings.forwardTimeout,
                onLoop([callback = std::move(callback)](const Outcome<std::string> &outcome) {
                    if (!outcome.ok())
                        return callback(outcome.failure());
                    const auto response = outcomeOf(
                            [&] { return wire::decode<wire::GroupResponse>(outcome.value()); });
                    if (!response.ok())
                        return callback(
                                mayHaveRun(ErrorCode::MalformedMessage, response.failure().detail));
                    callback(response.value().body);
                }));
    }

    void checkStatus()
    {
        const replication::RaftNodeStatus status = node->status();
        if (status.stopped && !stopLogged) {
            stopLogged = true;
            log(LogLevel::Error, "replica-stopped",
                {{"group", settings.group}, {"detail", status.stopReason}});
        }
        const bool leadsNow = status.role == replication::Role::Leader && !status.stopped;
        if (leadsNow != leads || (leadsNow && status.term != term))
            updateRole(status, leadsNow);
        if (leadsNow && !isChangingMembers && candidateSource)
            changeMembers(status);
    }

    void updateRole(const replication::RaftNodeStatus &status, bool leadsNow)
    {
        const bool wasLeader = leads;
        leads = leadsNow;
        term = status.term;
        roleSince = clock.now();
        log(LogLevel::Info, leadsNow ? "leadership-gained" : "leadership-lost",
            {{"group", settings.group},
             {"term", status.term},
             {"commitIndex", status.commitIndex},
             {"leader", status.leader}});
        // A leader whose term has changed lost and regained leadership between two checks, so the
        // listener is called for both.
        if (wasLeader && leadershipListener)
            leadershipListener(false);
        if (leadsNow && leadershipListener)
            leadershipListener(true);
    }

    void changeMembers(const replication::RaftNodeStatus &status)
    {
        const CandidateList list = candidateSource();
        if (list.asOf < roleSince)
            return;
        const auto change = nextMembershipChange(status, list.candidates, settings.voterLimits);
        if (!change)
            return;
        isChangingMembers = true;
        log(LogLevel::Info, "membership-change-started",
            {{"group", settings.group},
             {"added", change->added},
             {"replaced", change->removed},
             {"voters", static_cast<std::int64_t>(status.voters.size())},
             {"term", status.term}});
        const auto done = onLoop(
                [self = shared_from_this(), change = *change](const Outcome<std::string> &outcome) {
                    self->isChangingMembers = false;
                    log(LogLevel::Info, "membership-change-ended",
                        {{"group", self->settings.group},
                         {"added", change.added},
                         {"replaced", change.removed},
                         {"code", outcome.ok() ? "ok" : name(outcome.failure().code)},
                         {"detail", outcome.ok() ? "" : outcome.failure().detail}});
                });
        if (change->added.empty())
            node->removeReplica(change->removed, done);
        else
            node->addReplica(change->added, change->removed, done);
    }

    net::EventLoop &loop;
    peer::ChannelPool &channels;
    const GroupReplicaSettings settings;
    const Clock &clock;
    std::shared_ptr<replication::RaftNode> node;
    CandidateSource candidateSource;
    LeadershipListener leadershipListener;
    std::function<void()> appliedListener;
    TimerService::TimerId timer = 0;
    bool leads = false;
    /// Time at which \a leads or \a term was last set.
    absl::Time roleSince = absl::InfinitePast();
    bool isChangingMembers = false;
    bool stopLogged = false;
    std::uint64_t term = 0;
};

GroupReplica::GroupReplica(net::EventLoop &loop, peer::ChannelPool &channels,
                           GroupReplicaSettings settings, const Clock &clock)
    : m_impl(std::make_shared<Impl>(loop, channels, std::move(settings), clock))
{}

GroupReplica::~GroupReplica()
{
    stop();
}

void GroupReplica::install(peer::Server &server)
{
    server.setHandler(wire::Method::Raft,
                      [impl = m_impl](const peer::PeerIdentity &from, const std::string &body,
                                      const peer::ResponseCallback &reply) {
                          impl->receive(from, body);
                          reply(std::string());
                      });
    server.setHandler(wire::Method::Propose,
                      [impl = m_impl](const peer::PeerIdentity &, const std::string &body,
                                      const peer::ResponseCallback &reply) {
                          impl->servePropose(body, reply);
                      });
}

Result<void> GroupReplica::open(const ReplicaIdentity &identity,
                                std::unique_ptr<replication::StateMachine> machine)
{
    replication::RaftNodeOptions options;
    options.group = m_impl->settings.group;
    options.self = identity.replica;
    options.initialVoters = identity.initialVoters;
    options.dataFolder = concat(m_impl->settings.dataFolder, "/", m_impl->settings.group);
    options.heartbeatPeriod = m_impl->settings.heartbeatPeriod;
    options.electionTimeout = m_impl->settings.electionTimeout;
    options.initialElectionTimeout = m_impl->settings.initialElectionTimeout;
    options.snapshotAfterBytes = m_impl->settings.snapshotAfterBytes;
    BOOST_LEAF_AUTO(opened, replication::startRaftNode(options, std::move(machine), *m_impl,
                                                       m_impl->clock));
    std::shared_ptr<replication::RaftNode> node = std::move(opened);
    node->onApplied([weak = std::weak_ptr<Impl>(m_impl)](std::uint64_t) {
        const auto impl = weak.lock();
        if (impl && impl->appliedListener)
            impl->loop.post(impl->appliedListener);
    });
    std::atomic_store(&m_impl->node, node);
    m_impl->timer =
            m_impl->loop.timers().subscribeEvery(checkPeriod, [weak = std::weak_ptr<Impl>(m_impl)] {
                if (const auto impl = weak.lock())
                    impl->checkStatus();
            });
    return {};
}

bool GroupReplica::isOpen() const
{
    return m_impl->node != nullptr;
}

void GroupReplica::setCandidateSource(CandidateSource candidateSource)
{
    m_impl->candidateSource = std::move(candidateSource);
}

void GroupReplica::onLeadershipChange(LeadershipListener listener)
{
    m_impl->leadershipListener = std::move(listener);
}

void GroupReplica::onApplied(std::function<void()> listener)
{
    m_impl->appliedListener = std::move(listener);
}

bool GroupReplica::isLeader() const
{
    if (!m_impl->node || !m_impl->leads)
        return false;
    const replication::RaftNodeStatus status = m_impl->node->status();
    return status.role == replication::Role::Leader && !status.stopped;
}

replication::RaftNodeStatus GroupReplica::status() const
{
    return m_impl->node ? m_impl->node->status() : replication::RaftNodeStatus();
}

void GroupReplica::propose(std::string command, Callback callback)
{
    if (!m_impl->node)
        return callback(notRun(ErrorCode::NotLeader, ""));
    const replication::RaftNodeStatus status = m_impl->node->status();
    if (status.role == replication::Role::Leader || status.leader.empty())
        return proposeAsLeader(std::move(command), std::move(callback));
    m_impl->forward(peerAddressOf(status.leader), std::move(command), std::move(callback));
}

void GroupReplica::proposeAsLeader(std::string command, Callback callback)
{
    if (!m_impl->node)
        return callback(notRun(ErrorCode::NotLeader, ""));
    m_impl->node->propose(std::move(command), m_impl->onLoop(std::move(callback)));
}

void GroupReplica::readOnLeader(std::string query, Callback callback)
{
    if (!m_impl->node)
        return callback(notRun(ErrorCode::NotLeader, ""));
    m_impl->node->readOnLeader(std::move(query), m_impl->onLoop(std::move(callback)));
}

void GroupReplica::readOnAnyReplica(std::string query, Callback callback)
{
    if (!m_impl->node)
        return callback(notRun(ErrorCode::NotLeader, ""));
    m_impl->node->readOnAnyReplica(std::move(query), m_impl->onLoop(std::move(callback)));
}

void GroupReplica::readMembership(MembershipCallback callback)
{
    if (!m_impl->node)
        return callback(notRun(ErrorCode::NotLeader, ""));
    m_impl->node->readMembership([impl = m_impl, callback = std::move(callback)](
                                         Outcome<std::vector<replication::ReplicaId>> outcome) {
        impl->loop.post([callback, outcome = std::move(outcome)]() mutable {
            callback(std::move(outcome));
        });
    });
}

void GroupReplica::transferLeadership()
{
    if (m_impl->node && m_impl->leads)
        m_impl->node->transferLeadership();
}

void GroupReplica::stop()
{
    if (m_impl->timer != 0)
        m_impl->loop.timers().unsubscribe(std::exchange(m_impl->timer, 0));
    if (const auto node = std::atomic_load(&m_impl->node))
        node->stop();
}

} // namespace rattanrill::fleet
