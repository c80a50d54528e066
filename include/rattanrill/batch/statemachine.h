#pragma once

#include "rattanrill/replication/statemachine.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace rattanrill::batch {

/// Number of failed attempts after which an item ends as failed.
constexpr int maxFailedAttempts = 3;
/// Number of leases of one item that may expire before it ends as failed with lease_expired. Most
/// leases expire because an entry was lost, so an expired lease is not a failed attempt. The limit
/// prevents an item that stops every entry that runs it from blocking its job.
constexpr int maxExpiredLeases = 10;
/// Time for which the status of a job is kept after its results have expired. In this time,
/// ReadResults fails with ResultExpired.
constexpr std::int64_t expiredJobRetentionMs = 24 * 3600 * 1000;
/// Time for which a file without a job is kept after its last use.
constexpr std::int64_t unusedFileRetentionMs = 7LL * 24 * 3600 * 1000;
/// Maximum number of concurrently running claims, above which new claims fail with QueueFull.
/// Claims that run for longer than their keepMs do not count, so that lost holders cannot exhaust
/// the limit.
constexpr std::size_t maxRunningClaims = 100000;
/// Time for which a holder that abandoned a claim cannot win it again. Longer than a command can be
/// delayed.
constexpr std::int64_t abandonedClaimRetentionMs = 10 * 60 * 1000;
/// Size of the item or result texts above which no more are added to a response. A response holds
/// at least one item, and the last one may exceed this size.
constexpr std::size_t maxResponseBytes = 4u << 20;

/// Returns the id of the file under which the results of a job are read.
std::string resultFileId(std::string_view jobId);

/// Returns the replicated state machine of a partition group. It applies wire::BatchCommand, with a
/// wire::BatchResult as the result, and answers wire::BatchQueryMessage with a
/// wire::BatchQueryResult.
///
/// The current time is the highest nowMs of all commands. Each command first expires leases,
/// delays, claims, jobs and files.
///
/// Items: a lease number is never used twice. A result is accepted only under the current lease of
/// its item, so the first result wins. An attempt counts as failed only when the holder reports it
/// as failed. An item may be returned after preemption any number of times.
///
/// Claims: the holder id must be unique for each attempt to run a request (the instance name alone
/// is not enough), because a resent ClaimRequest of the holder wins again. A running claim never
/// passes to another holder and never expires, because nothing proves that the request did not run.
/// Only FinishClaim or AbandonClaim of its holder ends it; until then it takes about 200 bytes. A
/// finished claim is removed keepMs after it was finished. AbandonClaim frees the key for other
/// holders, even when it arrives before the ClaimRequest.
///
/// An empty workspace in CancelJob, ReadJob, ReadFile, ReadResults and ListJobs matches any
/// workspace; only operators may use it.
///
/// Failures: InvalidRequest, InvalidItem, DuplicateItem (a custom id occurs twice in a file),
/// NotFound, Conflict, JobFinished (on cancel), ResultExpired, QueueFull and MalformedMessage.
std::unique_ptr<replication::StateMachine> makeBatchStateMachine();

} // namespace rattanrill::batch
