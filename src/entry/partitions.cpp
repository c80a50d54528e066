#include "partitions.h"

#include "await.h"

#include "rattanrill/controlclient/controlclient.h"
#include "rattanrill/wire/codec.h"

namespace rattanrill::entry {
namespace {

template <typename Message>
Outcome<Message> decodeResponse(const Outcome<std::string> &response)
{
    if (!response.ok())
        return response.failure();
    return outcomeOf([&] { return wire::decode<Message>(response.value()); });
}

} // namespace

ControlPartitions::ControlPartitions(controlclient::ControlClient &control, int count,
                                     absl::Duration timeout, const Clock &clock)
    : m_control(control)
    , m_count(count)
    , m_timeout(timeout)
    , m_clock(clock)
{}

Outcome<wire::BatchResult> ControlPartitions::propose(int partition, wire::BatchOperation operation,
                                                      bool idempotent)
{
    wire::BatchCommand command;
    command.nowMs = absl::ToUnixMillis(m_clock.wallNow());
    command.operation = std::move(operation);
    const auto response = awaitOutcome<std::string>([&](auto callback) {
        m_control.propose(controlclient::batchGroupName(partition), wire::encode(command),
                          idempotent, m_timeout, callback);
    });
    return decodeResponse<wire::BatchResult>(response);
}

Outcome<wire::BatchQueryResult> ControlPartitions::query(int partition,
                                                         wire::BatchQueryOperation query)
{
    const wire::BatchQueryMessage message{std::move(query)};
    const auto response = awaitOutcome<std::string>([&](auto callback) {
        m_control.read(controlclient::batchGroupName(partition), wire::encode(message), m_timeout,
                       callback);
    });
    return decodeResponse<wire::BatchQueryResult>(response);
}

} // namespace rattanrill::entry
