#pragma once

#include "rattanrill/replication/statemachine.h"

#include <memory>

namespace rattanrill::jobs {

/// Creates the state machine of the store group. Its state consists of the batch jobs, their
/// results and the stored progress of their items. Items are stored as they were submitted. It
/// applies wire::JobCommand, returning wire::JobCommandResult, and evaluates wire::JobQuery.
///
/// A job is accepted once under its id; submitting it again has no effect. Results are append-only,
/// one for each item. Failures: MalformedMessage, NotFound (the workspace has no such job or item)
/// and Conflict (the id belongs to a job of another workspace).
std::unique_ptr<replication::StateMachine> makeJobStateMachine();

} // namespace rattanrill::jobs
