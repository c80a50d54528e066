#include "rattanrill/fleet/retirement.h"

namespace rattanrill::fleet {

RetirementState retirementState(const wire::FleetSnapshot &records, const std::string &instance)
{
    RetirementState state = RetirementState::NotRequested;
    for (const wire::StoreRetirement &retirement : records.retirements) {
        if (retirement.instance != instance)
            continue;
        if (!retirement.completed)
            return RetirementState::Running;
        state = RetirementState::Completed;
    }
    return state;
}

} // namespace rattanrill::fleet
