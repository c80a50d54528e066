#pragma once

#include "rattanrill/replication/statemachine.h"
#include "rattanrill/wire/fleetmessages.h"

namespace rattanrill::fleet {

/// State machine of the fleet group; see makeFleetStateMachine().
class FleetStateMachine : public replication::StateMachine
{
public:
    std::string apply(std::uint64_t index, std::string_view command) override;
    std::string query(std::string_view query) const override;
    std::string snapshot() const override;
    Result<void> restore(std::string_view snapshot) override;

private:
    Result<void> perform(const wire::PutConfiguration &operation);
    Result<void> perform(const wire::RetireStore &operation);
    Result<void> perform(const wire::BootstrapStoreGroup &operation);
    Result<void> perform(const wire::PutBlockedPrompts &operation);
    Result<void> perform(const wire::CompleteRetirement &operation);
    Result<void> perform(const wire::SetEvacuation &operation);
    bool isRequested(const wire::RetireStore &operation) const;
    /// Whether the stores that remain after \a operation are enough. A further replica of a store
    /// that is already retiring takes none away.
    bool leavesEnoughStores(const wire::RetireStore &operation) const;
    /// Returns the retirement of \a replica; null if there is none.
    wire::StoreRetirement *findRetirement(const std::string &replica);

    wire::FleetSnapshot m_records;
};

} // namespace rattanrill::fleet
