#include "directorydriver.h"

#include "rattanrill/wire/codec.h"
#include "rattanrill/wire/envelope.h"

#include <boost/test/unit_test.hpp>

namespace rattanrill::directory {
namespace {

template <typename Message>
Outcome<Message> unpack(const std::string &bytes)
{
    const auto result = outcomeOf([&] { return wire::decode<wire::CommandResult>(bytes); });
    if (!result.ok())
        return result.failure();
    if (result.value().failure.failed)
        return wire::fromMessage(result.value().failure);
    return outcomeOf([&] { return wire::decode<Message>(result.value().body); });
}

} // namespace

DirectoryDriver::DirectoryDriver()
    : m_machine(makeDirectoryStateMachine())
{}

Outcome<wire::DirectoryResult> DirectoryDriver::write(wire::DirectoryOperation operation,
                                                      std::uint64_t base, std::string requestId)
{
    return apply({std::move(requestId), base, false, nowMs, std::move(operation)});
}

Outcome<wire::DirectoryResult>
DirectoryDriver::writeUnconditionally(wire::DirectoryOperation operation)
{
    return apply({{}, 0, true, nowMs, std::move(operation)});
}

Outcome<wire::DirectoryResult> DirectoryDriver::apply(const wire::DirectoryCommand &command)
{
    return unpack<wire::DirectoryResult>(m_machine->apply(++m_index, wire::encode(command)));
}

wire::PollChangesResponse DirectoryDriver::query(std::uint64_t afterRevision) const
{
    const std::string bytes = wire::encode(wire::DirectoryQuery{afterRevision});
    return unpack<wire::PollChangesResponse>(m_machine->query(bytes)).value();
}

DirectoryView DirectoryDriver::updated(const DirectoryView &view) const
{
    return outcomeOf([&] { return view.withChanges(query(view.revision())); }).value();
}

void DirectoryDriver::restart()
{
    auto restored = makeDirectoryStateMachine();
    const std::string snapshot = m_machine->snapshot();
    const auto outcome = outcomeOf([&] { return restored->restore(snapshot); });
    if (!outcome.ok())
        BOOST_FAIL(describe(outcome.failure()));
    m_machine = std::move(restored);
}

ErrorCode DirectoryDriver::restoreFailure(const std::string &snapshot)
{
    const auto outcome = outcomeOf([&] { return m_machine->restore(snapshot); });
    return outcome.ok() ? ErrorCode::Internal : outcome.failure().code;
}

} // namespace rattanrill::directory
