#pragma once

#include "rattanrill/replication/statemachine.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace rattanrill::batch {

/// Number of failed attempts after which an item ends as failed.
constexpr int maxFailedAttempts = 3;
/// Number of expired leases after which an item ends as failed with lease_expired. Most leases
/// expire because the entry failed, so an expired lease does not count as a failed attempt. Without
/// this limit, an item that crashes every entry that runs it would keep its job from ending.
constexpr int maxExpiredLeases = 10;
/// Time for which the status of a job is kept after its results have expired. In this time,
/// ReadResults fails with ResultExpired.
constexpr std::int64_t expiredJobRetentionMs = 24 * 3600 * 1000;
/// Time for which a file without a job is kept after its last use.
constexpr std::int64_t unusedFileRetentionMs = 7LL * 24 * 3600 * 1000;
/// Maximum number of claims that run at the same time; new claims above it fail with QueueFull.
/// Claims that run for longer than their keepMs do not count, so that failed holders cannot exhaust
/// the limit.
constexpr std::size_t maxRunningClaims = 100000;
/// Time for which a holder that abandoned a claim cannot win it again. It is longer than a command
/// can be delayed.
constexpr std::int64_t abandonedClaimRetentionMs = 10 * 60 * 1000;
/// Size of the item or result texts in a response, in bytes, from which on no more texts are added.
/// The last text may exceed it, so that a response can always contain one.
constexpr std::size_t maxResponseBytes = 4u << 20;

/// Returns the id of the file under which the results of a job are read.
std::string resultFileId(std::string_view jobId);

/// Returns the replicated state machine of a partition group. A command is a wire::BatchCommand
/// with a wire::BatchResult as its result; a query is a wire::BatchQueryMessage with a
/// wire::BatchQueryResult as its result.
///
/// The current time is the highest nowMs of all commands. Before a command is executed, the leases,
/// backoff delays, claims, jobs and files that have expired by that time are ended or removed.
///
/// Items: a lease number is never used twice. A result is accepted only under the current lease of
/// its item, so the first result wins. An attempt counts as failed only when the holder reports it
/// as failed. An item may be returned after preemption any number of times.
///
/// Claims: the holder id must be unique for each attempt to run a request (the instance name alone
/// is not enough), because a resent ClaimRequest of the holder wins again. A running claim never
/// passes to another holder and never expires, because there is no proof that the request did not
/// run. Only FinishClaim or AbandonClaim of its holder ends it; until then it occupies about 200
/// bytes. A finished claim is removed keepMs after it was finished. AbandonClaim frees the key for
/// other holders, even when it arrives before the ClaimRequest.
///
/// An empty workspace in CancelJob, ReadJob, ReadFile, ReadResults and ListJobs matches any
/// workspace; only operators may use it.
///
/// Failures: InvalidRequest, InvalidItem, DuplicateItem (a custom id occurs twice in a file),
/// NotFound, Conflict, JobFinished (on cancel), ResultExpired, QueueFull and MalformedMessage.
std::unique_ptr<replication::StateMachine> makeBatchStateMachine();

} // namespace rattanrill::batch
