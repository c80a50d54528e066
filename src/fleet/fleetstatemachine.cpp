#include "fleetstatemachine.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/fleet/retirement.h"
#include "rattanrill/fleet/statemachine.h"
#include "rattanrill/wire/codec.h"

#include "absl/algorithm/container.h"

#include <algorithm>
#include <utility>

namespace rattanrill::fleet {

std::unique_ptr<replication::StateMachine> makeFleetStateMachine()
{
    return std::make_unique<FleetStateMachine>();
}

std::string FleetStateMachine::apply(std::uint64_t, std::string_view command)
{
    return wire::encodeCommandResult(outcomeOf([&]() -> Result<wire::FleetResult> {
        BOOST_LEAF_AUTO(decoded, wire::decode<wire::FleetCommand>(command));
        BOOST_LEAF_CHECK(std::visit([this](const auto &operation) { return perform(operation); },
                                    decoded.operation));
        wire::FleetResult result;
        result.configurationVersion = m_records.configurationVersion;
        return result;
    }));
}

Result<void> FleetStateMachine::perform(const wire::PutConfiguration &operation)
{
    if (operation.version <= m_records.configurationVersion)
        return {};
    m_records.configurationVersion = operation.version;
    m_records.configuration = operation.document;
    return {};
}

Result<void> FleetStateMachine::perform(const wire::RetireStore &operation)
{
    if (isRequested(operation))
        return {};
    if (operation.replica.empty())
        return fail(notRun(ErrorCode::NotFound,
                           concat("there is no store on instance \"", operation.instance, "\"")));
    if (!leavesEnoughStores(operation))
        return fail(notRun(ErrorCode::Conflict,
                           "the remaining stores would tolerate too few failures"));
    if (!absl::c_linear_search(m_records.retiringStores, operation.replica))
        m_records.retiringStores.push_back(operation.replica);
    if (!operation.instance.empty())
        m_records.retirements.push_back({operation.instance, operation.replica, false});
    return {};
}

bool FleetStateMachine::isRequested(const wire::RetireStore &operation) const
{
    const auto &retirements = m_records.retirements;
    return std::any_of(
            retirements.begin(), retirements.end(), [&](const wire::StoreRetirement &retirement) {
                return retirement.instance == operation.instance
                       && (operation.replica.empty() || retirement.replica == operation.replica);
            });
}

bool FleetStateMachine::leavesEnoughStores(const wire::RetireStore &operation) const
{
    const bool isRetiring =
            absl::c_linear_search(m_records.retiringStores, operation.replica)
            || retirementState(m_records, operation.instance) == RetirementState::Running;
    const auto remaining =
            std::count_if(operation.otherStores.begin(), operation.otherStores.end(),
                          [&](const std::string &replica) {
                              return !absl::c_linear_search(m_records.retiringStores, replica);
                          });
    return isRetiring || remaining >= operation.minRemainingStores;
}

Result<void> FleetStateMachine::perform(const wire::CompleteRetirement &operation)
{
    wire::StoreRetirement *retirement = findRetirement(operation.replica);
    if (retirement != nullptr)
        retirement->completed = true;
    return {};
}

wire::StoreRetirement *FleetStateMachine::findRetirement(const std::string &replica)
{
    for (wire::StoreRetirement &retirement : m_records.retirements) {
        if (retirement.replica == replica)
            return &retirement;
    }
    return nullptr;
}

Result<void> FleetStateMachine::perform(const wire::BootstrapStoreGroup &operation)
{
    if (m_records.storeFounders.empty())
        m_records.storeFounders = operation.voters;
    return {};
}

Result<void> FleetStateMachine::perform(const wire::PutBlockedPrompts &operation)
{
    m_records.blockedPrompts = operation.prompts;
    return {};
}

Result<void> FleetStateMachine::perform(const wire::SetEvacuation &operation)
{
    auto &evacuations = m_records.evacuations;
    const auto found = std::lower_bound(
            evacuations.begin(), evacuations.end(), operation.failureDomain,
            [](const wire::DomainEvacuation &evacuation, const std::string &failureDomain) {
                return evacuation.failureDomain < failureDomain;
            });
    const bool isRecorded =
            found != evacuations.end() && found->failureDomain == operation.failureDomain;
    if (isRecorded)
        found->isEvacuated = operation.isEvacuated;
    else if (operation.isKnown)
        evacuations.insert(found, {operation.failureDomain, operation.isEvacuated});
    else
        return fail(notRun(ErrorCode::NotFound,
                           concat("there is no failure domain \"", operation.failureDomain, "\"")));
    return {};
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
    records.evacuations = m_records.evacuations;
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
