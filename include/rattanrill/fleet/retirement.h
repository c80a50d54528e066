#pragma once

#include "rattanrill/wire/fleetmessages.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rattanrill::fleet {

/// State of the retirement of a store.
enum class RetirementState {
    NotRequested,
    Running,
    /// No replica of the store holds a copy, or will receive one.
    Completed,
};

/// Returns the state of the retirement of \a instance according to \a records, which must be the
/// result of a linearizable read.
RetirementState retirementState(const wire::FleetSnapshot &records, const std::string &instance);

/// Returns the command that retires the store on \a instance if \a minRemainingStores others are
/// alive and do not retire. \a members is a current and complete list.
wire::RetireStore retireCommand(const std::vector<wire::FleetMemberStatus> &members,
                                const std::string &instance, std::int64_t minRemainingStores);

} // namespace rattanrill::fleet
