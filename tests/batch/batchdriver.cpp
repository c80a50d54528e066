#include "batchdriver.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/batch/statemachine.h"
#include "rattanrill/wire/codec.h"
#include "rattanrill/wire/envelope.h"

#include <boost/test/unit_test.hpp>

namespace rattanrill::batch {
namespace {

template <typename Message>
Outcome<Message> unpack(const std::string &bytes)
{
    const auto response = outcomeOf([&] { return wire::decode<wire::CommandResult>(bytes); });
    if (!response.ok())
        return response.failure();
    if (response.value().failure.failed)
        return wire::fromMessage(response.value().failure);
    return outcomeOf([&] { return wire::decode<Message>(response.value().body); });
}

} // namespace

Outcome<wire::BatchResult> unpackResult(const std::string &bytes)
{
    return unpack<wire::BatchResult>(bytes);
}

wire::ItemSpec itemSpec(std::size_t index)
{
    return {concat("item-", index), "/v1/completions", concat("{\"prompt\":", index, "}")};
}

BatchDriver::BatchDriver()
    : m_machine(makeBatchStateMachine())
{}

BatchDriver::BatchDriver(std::unique_ptr<replication::StateMachine> machine)
    : m_machine(std::move(machine))
{}

std::string BatchDriver::applyBytes(const wire::BatchOperation &operation)
{
    return m_machine->apply(++m_index, wire::encode(wire::BatchCommand{nowMs, operation}));
}

Outcome<wire::BatchResult> BatchDriver::apply(wire::BatchOperation operation)
{
    return unpackResult(applyBytes(operation));
}

std::string BatchDriver::queryBytes(const wire::BatchQueryOperation &query) const
{
    return m_machine->query(wire::encode(wire::BatchQueryMessage{query}));
}

Outcome<wire::BatchQueryResult> BatchDriver::query(wire::BatchQueryOperation query) const
{
    return unpack<wire::BatchQueryResult>(queryBytes(query));
}

void BatchDriver::restart()
{
    auto restored = makeBatchStateMachine();
    const std::string snapshot = m_machine->snapshot();
    const auto outcome = outcomeOf([&] { return restored->restore(snapshot); });
    if (!outcome.ok())
        BOOST_FAIL(describe(outcome.failure()));
    m_machine = std::move(restored);
}

void BatchDriver::upload(const std::string &fileId, const std::string &workspace, std::size_t items)
{
    wire::AppendItems append{fileId, workspace, 0, {}};
    for (std::size_t index = 0; index < items; ++index)
        append.items.push_back(itemSpec(index));
    apply(append);
    apply(wire::SealFile{fileId, workspace, items, 100});
}

std::string BatchDriver::makeJob(const std::string &jobId, const std::string &workspace,
                                 std::size_t items, std::int64_t dueAtMs)
{
    upload("file-" + jobId, workspace, items);
    apply(wire::CreateJob{jobId, workspace, "file-" + jobId, "", dueAtMs, 60000, ""});
    return jobId;
}

std::vector<wire::LeasedItem> BatchDriver::lease(std::int64_t maxItems, const std::string &holder,
                                                 std::int64_t leaseMs)
{
    return apply(wire::LeaseItems{holder, maxItems, leaseMs}).value().leased;
}

Outcome<wire::BatchResult> BatchDriver::complete(const wire::ItemRef &item, const std::string &body)
{
    return apply(wire::CompleteItems{{{item, false, 200, body, ""}}});
}

wire::JobStatus BatchDriver::job(const std::string &jobId) const
{
    return query(wire::ReadJob{jobId, ""}).value().job;
}

std::vector<wire::ResultLine> BatchDriver::results(const std::string &jobId) const
{
    return query(wire::ReadResults{jobId, "", 0, 1000}).value().results;
}

} // namespace rattanrill::batch
