#include "rattanrill/controlclient/controlclient.h"

#include "controlcalls.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/wire/codec.h"

#include <utility>

namespace rattanrill::controlclient {
namespace {

/// Timeout of one attempt. It is well above the time of a round trip with an fsync, and well below
/// the call timeouts of an entry instance.
constexpr absl::Duration defaultAttemptTimeout = absl::Seconds(1);
/// Target of directory polls. It is not a group name, because every instance serves these polls.
constexpr const char *pollTarget = "follow";

template <typename Message>
Outcome<Message> decoded(const Outcome<std::string> &outcome)
{
    if (!outcome.ok())
        return outcome.failure();
    auto message = outcomeOf([&] { return wire::decode<Message>(outcome.value()); });
    if (message.ok())
        return message;
    return mayHaveRun(ErrorCode::MalformedMessage, message.failure().detail);
}

ControlCalls::Callback groupCallback(ControlClient::Callback<std::string> callback)
{
    return [callback = std::move(callback)](const Outcome<std::string> &outcome) {
        const auto response = decoded<wire::GroupResponse>(outcome);
        if (response.ok())
            callback(response.value().body);
        else
            callback(response.failure());
    };
}

} // namespace

std::string batchGroupName(int partition)
{
    return concat("batch-", partition);
}

struct ControlClient::Impl
{
    std::shared_ptr<ControlCalls> calls;
};

ControlClient::ControlClient(peer::ChannelPool &channels, std::vector<std::string> addresses,
                             TimerService &timers, const Clock &clock)
    : m_impl(
            new Impl{std::make_shared<ControlCalls>(channels, std::move(addresses), timers, clock)})
{}

ControlClient::~ControlClient()
{
    stop();
}

void ControlClient::propose(const std::string &group, std::string command, bool idempotent,
                            absl::Duration timeout, Callback<std::string> callback)
{
    CallParameters parameters;
    parameters.method = wire::Method::Propose;
    parameters.body = wire::encode(wire::ProposeRequest{group, std::move(command)});
    parameters.target = group;
    parameters.idempotent = idempotent;
    // An attempt that must not be repeated gets the whole timeout, because a shorter one would not
    // lead to another attempt.
    parameters.attemptTimeout = idempotent ? defaultAttemptTimeout : timeout;
    parameters.deadline = m_impl->calls->now() + timeout;
    m_impl->calls->start(std::move(parameters), groupCallback(std::move(callback)));
}

void ControlClient::read(const std::string &group, std::string query, absl::Duration timeout,
                         Callback<std::string> callback)
{
    CallParameters parameters;
    parameters.method = wire::Method::Read;
    parameters.body = wire::encode(wire::ReadRequest{group, std::move(query)});
    parameters.target = group;
    parameters.hasEffect = false;
    parameters.attemptTimeout = defaultAttemptTimeout;
    parameters.deadline = m_impl->calls->now() + timeout;
    m_impl->calls->start(std::move(parameters), groupCallback(std::move(callback)));
}

void ControlClient::pollDirectory(const wire::PollChangesRequest &request, absl::Duration timeout,
                                  Callback<wire::PollChangesResponse> callback)
{
    CallParameters parameters;
    parameters.method = wire::Method::PollChanges;
    parameters.body = wire::encode(request);
    parameters.target = pollTarget;
    parameters.hasEffect = false;
    parameters.attemptTimeout = absl::Milliseconds(request.waitMs) + defaultAttemptTimeout;
    parameters.deadline = m_impl->calls->now() + timeout;
    m_impl->calls->start(std::move(parameters),
                         [callback = std::move(callback)](const auto &outcome) {
                             callback(decoded<wire::PollChangesResponse>(outcome));
                         });
}

void ControlClient::heartbeat(const wire::HeartbeatRequest &request, absl::Duration timeout,
                              Callback<wire::HeartbeatResponse> callback)
{
    CallParameters parameters;
    parameters.method = wire::Method::Heartbeat;
    parameters.body = wire::encode(request);
    parameters.target = directoryGroupName;
    parameters.attemptTimeout = defaultAttemptTimeout;
    parameters.deadline = m_impl->calls->now() + timeout;
    m_impl->calls->start(std::move(parameters),
                         [callback = std::move(callback)](const auto &outcome) {
                             callback(decoded<wire::HeartbeatResponse>(outcome));
                         });
}

void ControlClient::stop()
{
    m_impl->calls->stop();
}

} // namespace rattanrill::controlclient
