#include "fakecontrol.h"

#include "testfleet.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/batch/statemachine.h"
#include "rattanrill/directory/directoryview.h"
#include "rattanrill/directory/statemachine.h"
#include "rattanrill/wire/codec.h"
#include "rattanrill/wire/envelope.h"

#include <boost/test/unit_test.hpp>

namespace rattanrill::entry {
namespace {

/// Delay of the response to a poll when there are no changes.
constexpr absl::Duration pollDelay = absl::Milliseconds(20);
const std::string directoryGroup = "directory";
const std::string pollGroup = "polls";

peer::TransportOptions transportOptions()
{
    peer::TransportOptions options;
    options.self = {"control-1", "a", "control"};
    options.clusterSecret = testSecret;
    return options;
}

template <typename Message>
Message decoded(const std::string &bytes)
{
    const auto message = outcomeOf([&] { return wire::decode<Message>(bytes); });
    BOOST_REQUIRE(message.ok());
    return message.value();
}

} // namespace

FakeControl::FakeControl(int partitions)
    : m_server(transportOptions())
{
    m_groups[directoryGroup] = directory::makeDirectoryStateMachine();
    for (int i = 0; i < partitions; ++i)
        m_groups[concat("batch-", i)] = batch::makeBatchStateMachine();
    using peer::PeerIdentity;
    m_server.setHandler(wire::Method::Propose,
                        [this](const PeerIdentity &, const std::string &body,
                               const peer::ResponseCallback &reply) { propose(body, reply); });
    m_server.setHandler(wire::Method::Read,
                        [this](const PeerIdentity &, const std::string &body,
                               const peer::ResponseCallback &reply) { read(body, reply); });
    m_server.setHandler(wire::Method::PollChanges,
                        [this](const PeerIdentity &, const std::string &body,
                               const peer::ResponseCallback &reply) { pollChanges(body, reply); });
    m_server.setHandler(wire::Method::Heartbeat,
                        [this](const PeerIdentity &, const std::string &body,
                               const peer::ResponseCallback &reply) { heartbeat(body, reply); });
    BOOST_REQUIRE(outcomeOf([&] { return m_server.start("127.0.0.1", 0); }).ok());
}

FakeControl::~FakeControl()
{
    m_timers.stop();
    {
        absl::MutexLock lock(&m_mutex);
        m_unanswered.clear();
    }
    m_server.stop();
}

std::string FakeControl::address() const
{
    return concat("127.0.0.1:", m_server.port());
}

Outcome<std::string> FakeControl::run(const std::string &group, const std::string &bytes,
                                      bool write)
{
    replication::StateMachine &machine = *m_groups.at(group);
    const std::string response = write ? machine.apply(++m_index, bytes) : machine.query(bytes);
    const auto result = decoded<wire::CommandResult>(response);
    if (result.failure.failed)
        return wire::fromMessage(result.failure);
    return result.body;
}

void FakeControl::write(wire::DirectoryOperation operation)
{
    wire::DirectoryCommand command;
    command.unconditional = true;
    command.nowMs = absl::ToUnixMillis(SystemClock::instance().wallNow());
    command.operation = std::move(operation);
    absl::MutexLock lock(&m_mutex);
    const auto response = run(directoryGroup, wire::encode(command), true);
    BOOST_REQUIRE(response.ok());
}

void FakeControl::setUnresponsive(const std::string &group, bool unresponsive)
{
    absl::MutexLock lock(&m_mutex);
    m_unresponsive[group] = unresponsive;
}

void FakeControl::setPollsUnresponsive(bool unresponsive)
{
    setUnresponsive(pollGroup, unresponsive);
}

void FakeControl::propose(const std::string &body, const peer::ResponseCallback &reply)
{
    const auto request = decoded<wire::ProposeRequest>(body);
    Outcome<std::string> response = std::string();
    {
        absl::MutexLock lock(&m_mutex);
        if (m_unresponsive[request.group]) {
            m_unanswered.push_back(reply);
            return;
        }
        response = run(request.group, request.command, true);
    }
    if (response.ok())
        reply(wire::encode(wire::GroupResponse{response.value()}));
    else
        reply(response.failure());
}

void FakeControl::read(const std::string &body, const peer::ResponseCallback &reply)
{
    const auto request = decoded<wire::ReadRequest>(body);
    Outcome<std::string> response = std::string();
    {
        absl::MutexLock lock(&m_mutex);
        if (m_unresponsive[request.group]) {
            m_unanswered.push_back(reply);
            return;
        }
        response = run(request.group, request.query, false);
    }
    if (response.ok())
        reply(wire::encode(wire::GroupResponse{response.value()}));
    else
        reply(response.failure());
}

std::string FakeControl::changesSince(std::uint64_t afterRevision, bool &hasChanges)
{
    const auto response =
            run(directoryGroup, wire::encode(wire::DirectoryQuery{afterRevision}), false);
    BOOST_REQUIRE(response.ok());
    hasChanges = decoded<wire::PollChangesResponse>(response.value()).revision > afterRevision;
    return response.value();
}

std::uint64_t FakeControl::revision()
{
    absl::MutexLock lock(&m_mutex);
    bool hasChanges = false;
    return decoded<wire::PollChangesResponse>(changesSince(0, hasChanges)).revision;
}

std::size_t FakeControl::members()
{
    absl::MutexLock lock(&m_mutex);
    bool hasChanges = false;
    const auto all = decoded<wire::PollChangesResponse>(changesSince(0, hasChanges));
    const auto view = outcomeOf([&] { return directory::DirectoryView().withChanges(all); });
    BOOST_REQUIRE(view.ok());
    return view.value().members().size();
}

void FakeControl::pollChanges(const std::string &body, const peer::ResponseCallback &reply)
{
    const auto request = decoded<wire::PollChangesRequest>(body);
    {
        absl::MutexLock lock(&m_mutex);
        if (m_unresponsive[pollGroup]) {
            m_unanswered.push_back(reply);
            return;
        }
        bool hasChanges = false;
        std::string response = changesSince(request.afterRevision, hasChanges);
        if (hasChanges) {
            reply(std::move(response));
            return;
        }
    }
    m_timers.subscribeOnce(pollDelay, [this, afterRevision = request.afterRevision, reply] {
        respondToPoll(afterRevision, reply);
    });
}

void FakeControl::respondToPoll(std::uint64_t afterRevision, const peer::ResponseCallback &reply)
{
    absl::MutexLock lock(&m_mutex);
    bool hasChanges = false;
    if (m_unresponsive[pollGroup])
        m_unanswered.push_back(reply);
    else
        reply(changesSince(afterRevision, hasChanges));
}

void FakeControl::heartbeat(const std::string &body, const peer::ResponseCallback &reply)
{
    const auto request = decoded<wire::HeartbeatRequest>(body);
    wire::DirectoryCommand command;
    command.unconditional = true;
    command.nowMs = absl::ToUnixMillis(SystemClock::instance().wallNow());
    if (request.leaving)
        command.operation = wire::RemoveMember{request.member.instance, request.member.incarnation};
    else
        command.operation = wire::JoinMember{request.member};
    absl::MutexLock lock(&m_mutex);
    (void)run(directoryGroup, wire::encode(command), true);
    reply(wire::encode(wire::HeartbeatResponse{}));
}

} // namespace rattanrill::entry
