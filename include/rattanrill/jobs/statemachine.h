#pragma once

#include "rattanrill/replication/statemachine.h"

#include <memory>

namespace rattanrill::jobs {

/// State of the store group: batch jobs whose items are passed to upstreams unchanged. Applies
/// wire::JobCommand, answered by a wire::JobCommandResult, and answers wire::JobQuery.
///
/// A job is accepted once under its id; a repeat changes nothing. Results are only ever appended,
/// once for each item. Failures: MalformedMessage, NotFound (no such job or item of the workspace)
/// and Conflict (the id belongs to a job of another workspace).
std::unique_ptr<replication::StateMachine> makeJobStateMachine();

} // namespace rattanrill::jobs
