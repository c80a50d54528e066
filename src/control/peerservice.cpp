#include "peerservice.h"

#include "commandstamp.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/logger.h"
#include "rattanrill/wire/codec.h"

#include <utility>

namespace rattanrill::control {
namespace {

/// Number of threads that decode commands, set their time and encode them again. On the network
/// thread, this would delay Raft messages when a batch upload has several MiB.
constexpr std::size_t workerThreads = 2;
/// Maximum number of proposals that wait for a worker thread. Further proposals fail with
/// QueueFull.
constexpr std::size_t maxQueuedProposals = 4096;

Failure unknownGroup(const std::string &group)
{
    return notRun(ErrorCode::NotFound, concat("no group \"", group, "\" on this instance"));
}

} // namespace

PeerService::PeerService(const GroupHost &groups, std::shared_ptr<PollChangesService> pollService,
                         std::shared_ptr<MemberWatch> members,
                         std::shared_ptr<PartitionClock> partitions, Metrics &metrics,
                         const Clock &clock)
    : m_groups(groups)
    , m_pollService(std::move(pollService))
    , m_memberWatch(std::move(members))
    , m_partitionClock(std::move(partitions))
    , m_metrics(metrics)
    , m_clock(clock)
    , m_workers(workerThreads, maxQueuedProposals)
{}

void PeerService::registerHandlers(peer::Server &server)
{
    using Body = std::string;
    using From = peer::PeerIdentity;
    server.setHandler(wire::Method::Raft, [this](const From &from, const Body &body,
                                                 const peer::ResponseCallback &reply) {
        receiveRaftMessage(from, body);
        reply(std::string());
    });
    server.setHandler(wire::Method::Propose,
                      [this](const From &, const Body &body, const peer::ResponseCallback &reply) {
                          queueProposal(body, reply);
                      });
    server.setHandler(wire::Method::Read,
                      [this](const From &, const Body &body, const peer::ResponseCallback &reply) {
                          read(body, reply);
                      });
    server.setHandler(wire::Method::PollChanges,
                      [this](const From &, const Body &body, const peer::ResponseCallback &reply) {
                          pollChanges(body, reply);
                      });
    server.setHandler(wire::Method::Heartbeat,
                      [this](const From &, const Body &body, const peer::ResponseCallback &reply) {
                          heartbeat(body, reply);
                      });
}

void PeerService::stop()
{
    m_workers.stop();
}

void PeerService::receiveRaftMessage(const peer::PeerIdentity &from, const std::string &body)
{
    auto message = outcomeOf([&] { return wire::decode<wire::RaftEnvelope>(body); });
    if (!message.ok() || m_groups.replica(from.instance) == nullptr) {
        log(LogLevel::Warning, "raft-message-refused",
            {{"peerInstance", from.instance},
             {"code", message.ok() ? name(ErrorCode::NotMember) : name(message.failure().code)}});
        return;
    }
    if (auto *group = m_groups.find(message.value().group))
        group->receive(from.instance, std::move(message.value().message));
}

void PeerService::queueProposal(const std::string &body, const peer::ResponseCallback &reply)
{
    if (!m_workers.post([this, body, reply] { runProposal(body, reply); }))
        reply(notRun(ErrorCode::QueueFull, "the queue of proposals is full"));
}

void PeerService::runProposal(const std::string &body, const peer::ResponseCallback &reply)
{
    const auto started = outcomeOf([&] { return startProposal(body, reply); });
    if (!started.ok())
        sendReply("propose", started.failure(), reply);
}

Result<void> PeerService::startProposal(const std::string &body,
                                        const peer::ResponseCallback &reply)
{
    BOOST_LEAF_AUTO(request, wire::decode<wire::ProposeRequest>(body));
    auto *group = m_groups.find(request.group);
    if (group == nullptr)
        return fail(unknownGroup(request.group));
    BOOST_LEAF_AUTO(command, stampCommand(request.group, request.command,
                                          absl::ToUnixMillis(m_clock.wallNow())));
    m_partitionClock->recordCommand(request.group);
    group->propose(std::move(command), [this, reply](const Outcome<std::string> &outcome) {
        sendReply("propose", outcome, reply);
    });
    return {};
}

void PeerService::read(const std::string &body, const peer::ResponseCallback &reply)
{
    auto request = outcomeOf([&] { return wire::decode<wire::ReadRequest>(body); });
    if (!request.ok())
        return sendReply("read", request.failure(), reply);
    auto *group = m_groups.find(request.value().group);
    if (group == nullptr)
        return sendReply("read", unknownGroup(request.value().group), reply);
    group->readOnLeader(std::move(request.value().query),
                        [this, reply](const Outcome<std::string> &outcome) {
                            sendReply("read", outcome, reply);
                        });
}

void PeerService::sendReply(const char *method, const Outcome<std::string> &outcome,
                            const peer::ResponseCallback &reply)
{
    if (outcome.ok()) {
        m_metrics.count("rattanrill_control_requests_total", {{"method", method}, {"code", "ok"}});
        return reply(wire::encode(wire::GroupResponse{outcome.value()}));
    }
    const Failure failure = m_groups.withPeerAddress(outcome.failure());
    m_metrics.count("rattanrill_control_requests_total",
                    {{"method", method}, {"code", std::string(name(failure.code))}});
    if (failure.code != ErrorCode::NotLeader)
        log(LogLevel::Info, "request-refused",
            {{"method", method}, {"code", name(failure.code)}, {"detail", failure.detail}});
    reply(failure);
}

void PeerService::pollChanges(const std::string &body, const peer::ResponseCallback &reply)
{
    const auto request = outcomeOf([&] { return wire::decode<wire::PollChangesRequest>(body); });
    if (!request.ok())
        return reply(request.failure());
    m_pollService->poll(request.value(), reply);
}

void PeerService::heartbeat(const std::string &body, const peer::ResponseCallback &reply)
{
    const auto request = outcomeOf([&] { return wire::decode<wire::HeartbeatRequest>(body); });
    if (!request.ok())
        return reply(request.failure());
    m_memberWatch->heartbeat(request.value(), reply);
}

} // namespace rattanrill::control
