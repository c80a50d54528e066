#include "rattanrill/controlclient/controlclient.h"

#include "controlcalls.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/wire/codec.h"

#include <utility>

namespace rattanrill::controlclient {
namespace {

/// Well above the round trip and a synced write, well below an entry's timeouts.
constexpr absl::Duration defaultTryTimeout = absl::Seconds(1);
/// Every instance answers a follow poll, so its target is no group.
constexpr const char *followTarget = "follow";

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

std::string batchGroup(int partition)
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
    CallPlan plan;
    plan.method = wire::Method::Propose;
    plan.body = wire::encode(wire::ProposeRequest{group, std::move(command)});
    plan.target = group;
    plan.idempotent = idempotent;
    // A call that cannot be repeated gains nothing from an early end of its only try.
    plan.tryTimeout = idempotent ? defaultTryTimeout : timeout;
    plan.deadline = m_impl->calls->now() + timeout;
    m_impl->calls->start(std::move(plan), groupCallback(std::move(callback)));
}

void ControlClient::read(const std::string &group, std::string query, absl::Duration timeout,
                         Callback<std::string> callback)
{
    CallPlan plan;
    plan.method = wire::Method::Read;
    plan.body = wire::encode(wire::ReadRequest{group, std::move(query)});
    plan.target = group;
    plan.hasEffect = false;
    plan.tryTimeout = defaultTryTimeout;
    plan.deadline = m_impl->calls->now() + timeout;
    m_impl->calls->start(std::move(plan), groupCallback(std::move(callback)));
}

void ControlClient::pollDirectory(const wire::PollChangesRequest &request, absl::Duration timeout,
                                  Callback<wire::PollChangesResponse> callback)
{
    CallPlan plan;
    plan.method = wire::Method::PollChanges;
    plan.body = wire::encode(request);
    plan.target = followTarget;
    plan.hasEffect = false;
    plan.tryTimeout = absl::Milliseconds(request.waitMs) + defaultTryTimeout;
    plan.deadline = m_impl->calls->now() + timeout;
    m_impl->calls->start(std::move(plan), [callback = std::move(callback)](const auto &outcome) {
        callback(decoded<wire::PollChangesResponse>(outcome));
    });
}

void ControlClient::heartbeat(const wire::HeartbeatRequest &request, absl::Duration timeout,
                              Callback<wire::HeartbeatResponse> callback)
{
    CallPlan plan;
    plan.method = wire::Method::Heartbeat;
    plan.body = wire::encode(request);
    plan.target = directoryGroup;
    plan.tryTimeout = defaultTryTimeout;
    plan.deadline = m_impl->calls->now() + timeout;
    m_impl->calls->start(std::move(plan), [callback = std::move(callback)](const auto &outcome) {
        callback(decoded<wire::HeartbeatResponse>(outcome));
    });
}

void ControlClient::stop()
{
    m_impl->calls->stop();
}

} // namespace rattanrill::controlclient
