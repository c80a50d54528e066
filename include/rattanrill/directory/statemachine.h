#pragma once

#include "rattanrill/replication/statemachine.h"

#include <cstddef>
#include <memory>

namespace rattanrill::directory {

/// Maximum number of cached answers to writes with a request id, both accepted and refused ones,
/// which are returned again when a client resends the write. Answers do not expire; at 5,800
/// changes a day this number covers more than two days. The oldest answer is evicted first; a write
/// that is resent after that goes through the check of revisions like a new one.
constexpr std::size_t maxCachedResponses = 16384;

/// Maximum number of changes that are kept for subscribers; it covers more than a day at 5,800
/// changes a day. A subscriber that is further behind receives a snapshot.
constexpr std::size_t maxChangeHistory = 8192;

/// Maximum number of remembered member incarnations that were replaced by a newer one and must not
/// join again; it covers more than six days at 640 restarts a day.
constexpr std::size_t maxLoggedIncarnations = 4096;

/// Creates the replicated state machine of the directory group. It applies wire::DirectoryCommand
/// and returns a wire::DirectoryResult; it answers a wire::DirectoryQuery with a
/// wire::PollChangesResponse.
///
/// Every accepted write increases the directory revision by one, except that a member that joins
/// again without a change has no effect. Failures:
/// - InvalidRequest: a field is out of its range.
/// - Conflict: the revision or incarnation differs, a key hash or id was used before, a path
///   prefix is taken, or the contract of a key is withdrawn.
/// - NotFound
/// - NotMember: the incarnation that joins was replaced by a newer one.
/// - DuplicateRequest: the request id belongs to another write.
/// - StaleRevision: a query names a revision that does not exist yet.
/// - MalformedMessage
std::unique_ptr<replication::StateMachine> makeDirectoryStateMachine();

} // namespace rattanrill::directory
