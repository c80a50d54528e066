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

wire::RetireStore retireCommand(const std::vector<wire::FleetMemberStatus> &members,
                                const std::string &instance, std::int64_t minRemainingStores)
{
    wire::RetireStore command;
    command.instance = instance;
    command.minRemainingStores = minRemainingStores;
    for (const wire::FleetMemberStatus &status : members) {
        if (status.member.role != wire::MemberRole::Store)
            continue;
        if (status.member.instance == instance)
            command.replica = status.member.replica;
        else if (status.alive && !status.retiring)
            command.otherStores.push_back(status.member.replica);
    }
    return command;
}

} // namespace rattanrill::fleet
