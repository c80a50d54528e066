#pragma once

#include "rattanrill/replication/statemachine.h"

#include <cstddef>
#include <memory>

namespace rattanrill::directory {

/// Answers to writes with a request id that are remembered for resends, accepted and refused ones.
/// There is no limit in time: at 5,800 changes a day this is more than two days. The oldest answer
/// is forgotten first; a resend after that meets the comparison of revisions.
constexpr std::size_t maxCachedResponses = 16384;

/// Changes that are kept for followers; more than a day at 5,800 changes a day. A follower that is
/// further behind gets a snapshot.
constexpr std::size_t changeHistoryLimit = 8192;

/// Members that were replaced by a newer incarnation and may not join again, more than six days at
/// 640 restarts a day.
constexpr std::size_t rememberedIncarnations = 4096;

/// State of the directory group: applies wire::DirectoryCommand, answered by a
/// wire::DirectoryResult, and answers wire::DirectoryQuery by a wire::PollChangesResponse.
///
/// Every accepted write raises the directory revision by one, except that a member which joins
/// again unchanged leaves everything as it is. Failures: InvalidRequest (a field is out of its
/// range), Conflict (another revision or incarnation, a key hash or id that was used before, a path
/// prefix that is taken, a key of a withdrawn contract), NotFound, NotMember (a replaced
/// incarnation joins), DuplicateRequest (the request id belongs to another write), StaleRevision (a
/// query names a revision that does not exist yet) and MalformedMessage.
std::unique_ptr<replication::StateMachine> makeDirectoryStateMachine();

} // namespace rattanrill::directory
