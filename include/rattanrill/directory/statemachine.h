#pragma once

#include "rattanrill/replication/statemachine.h"

#include <cstddef>
#include <memory>

namespace rattanrill::directory {

/// Maximum number of cached responses to writes with a request id, whether accepted or refused. A
/// write that is resent receives the cached response. Responses do not expire; at 5,800 changes a
/// day this number covers more than two days. The oldest response is evicted first; a write that is
/// resent after that is processed like a new one, including the check of its base revision.
constexpr std::size_t maxCachedResponses = 16384;

/// Maximum number of changes that are kept for subscribers; at 5,800 changes a day this number
/// covers more than a day. A subscriber that is further behind receives a snapshot.
constexpr std::size_t maxChangeHistory = 8192;

/// Maximum number of recorded member incarnations. An incarnation that was replaced by a newer one
/// must not join again; at 640 restarts a day this number covers more than six days.
constexpr std::size_t maxLoggedIncarnations = 4096;

/// Creates the replicated state machine of the directory group. It applies wire::DirectoryCommand,
/// returning wire::DirectoryResult, and evaluates wire::DirectoryQuery, returning
/// wire::PollChangesResponse.
///
/// Every accepted write increases the directory revision by one, except that the repeated join of
/// an unchanged member has no effect. Failures:
/// - InvalidRequest: a field is out of its range.
/// - Conflict: the revision or incarnation differs, a key hash or id was used before, a path
///   prefix is taken, or the contract of a key is withdrawn.
/// - NotFound
/// - NotMember: the incarnation that joins was replaced by a newer one.
/// - DuplicateRequest: the request id belongs to another write.
/// - StaleRevision: a query requests the changes after a revision that does not exist yet.
/// - MalformedMessage
std::unique_ptr<replication::StateMachine> makeDirectoryStateMachine();

} // namespace rattanrill::directory
