#include "fleetstatemachine.h"

#include "rattanrill/fleet/statemachine.h"
#include "rattanrill/wire/codec.h"

#include <algorithm>
#include <utility>

namespace rattanrill::fleet {

std::unique_ptr<replication::StateMachine> makeFleetStateMachine()
{
    return std::make_unique<FleetStateMachine>();
}

std::string FleetStateMachine::apply(std::uint64_t, std::string_view command)
{
    const auto decoded = outcomeOf([&] { return wire::decode<wire::FleetCommand>(command); });
    if (!decoded.ok())
        return wire::encodeCommandResult(Outcome<wire::FleetResult>(decoded.failure()));
    std::visit([this](const auto &operation) { perform(operation); }, decoded.value().operation);
    wire::FleetResult result;
    result.configurationVersion = m_records.configurationVersion;
    return wire::encodeCommandResult(Outcome<wire::FleetResult>(result));
}

void FleetStateMachine::perform(const wire::PutConfiguration &operation)
{
    if (operation.version <= m_records.configurationVersion)
        return;
    m_records.configurationVersion = operation.version;
    m_records.configuration = operation.document;
}

void FleetStateMachine::perform(const wire::RetireStore &operation)
{
    auto &retiring = m_records.retiringStores;
    if (std::find(retiring.begin(), retiring.end(), operation.replica) == retiring.end())
        retiring.push_back(operation.replica);
    if (!operation.instance.empty() && findRetirement(operation.replica) == nullptr)
        m_records.retirements.push_back({operation.instance, operation.replica, false});
}

void FleetStateMachine::perform(const wire::CompleteRetirement &operation)
{
    wire::StoreRetirement *retirement = findRetirement(operation.replica);
    if (retirement != nullptr)
        retirement->completed = true;
}

wire::StoreRetirement *FleetStateMachine::findRetirement(const std::string &replica)
{
    for (wire::StoreRetirement &retirement : m_records.retirements) {
        if (retirement.replica == replica)
            return &retirement;
    }
    return nullptr;
}

void FleetStateMachine::perform(const wire::BootstrapStoreGroup &operation)
{
    if (m_records.storeFounders.empty())
        m_records.storeFounders = operation.voters;
}

void FleetStateMachine::perform(const wire::PutBlockedPrompts &operation)
{
    m_records.blockedPrompts = operation.prompts;
}

std::string FleetStateMachine::query(std::string_view query) const
{
    const auto decoded = outcomeOf([&] { return wire::decode<wire::FleetQuery>(query); });
    if (!decoded.ok())
        return wire::encodeCommandResult(Outcome<wire::FleetSnapshot>(decoded.failure()));
    if (decoded.value().knownVersion != m_records.configurationVersion)
        return wire::encodeCommandResult(Outcome<wire::FleetSnapshot>(m_records));
    wire::FleetSnapshot records;
    records.configurationVersion = m_records.configurationVersion;
    records.retiringStores = m_records.retiringStores;
    records.storeFounders = m_records.storeFounders;
    records.blockedPrompts = m_records.blockedPrompts;
    records.retirements = m_records.retirements;
    return wire::encodeCommandResult(Outcome<wire::FleetSnapshot>(std::move(records)));
}

std::string FleetStateMachine::snapshot() const
{
    return wire::encode(m_records);
}

Result<void> FleetStateMachine::restore(std::string_view snapshot)
{
    const auto decoded = outcomeOf([&] { return wire::decode<wire::FleetSnapshot>(snapshot); });
    if (!decoded.ok())
        return fail(notRun(ErrorCode::CorruptData, decoded.failure().detail));
    m_records = decoded.value();
    return {};
}

} // namespace rattanrill::fleet
