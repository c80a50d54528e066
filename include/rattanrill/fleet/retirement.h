#pragma once

#include "rattanrill/wire/fleetmessages.h"

#include <string>

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

} // namespace rattanrill::fleet
