#pragma once

#include "rattanrill/replication/statemachine.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace rattanrill::batch {

/// Failed tries after which an item ends as failed.
constexpr int maxFailedAttempts = 3;
/// Leases of one item that may expire before it ends as failed with lease_expired. An expired lease
/// is mostly the fault of a lost entry and so is no failed try, but an item that stops every entry
/// that runs it must not hold up its job.
constexpr int maxExpiredLeases = 10;
/// How long the status of a job outlives its results; ReadResults then fails with ResultExpired.
constexpr std::int64_t expiredJobRetentionMs = 24 * 3600 * 1000;
/// How long a file without a job is kept after its last use.
constexpr std::int64_t unusedFileRetentionMs = 7LL * 24 * 3600 * 1000;
/// Claims that may be running at once; above it new claims fail with QueueFull. Claims that run for
/// longer than their keepMs do not count, so that lost holders can't use the limit up.
constexpr std::size_t maxRunningClaims = 100000;
/// How long a holder that abandoned a claim can't win it again; longer than a command is delayed.
constexpr std::int64_t abandonedClaimRetentionMs = 10 * 60 * 1000;
/// Item or result texts in one answer; an answer holds at least one item.
constexpr std::size_t maxResponseBytes = 4u << 20;

/// File id under which the results of a job are read.
std::string resultFileId(std::string_view jobId);

/// State of a partition group: applies wire::BatchCommand, answered by a wire::BatchResult, and
/// answers wire::BatchQueryMessage by a wire::BatchQueryResult.
///
/// Time is the highest nowMs of all commands; each command first lets leases, delays, claims, jobs
/// and files expire.
///
/// Items: a lease number is never used twice. A result counts only under the current lease of its
/// item, so the first one wins. A try counts as failed only when the holder says so; an item given
/// back after preemption may be given back any number of times.
///
/// Claims: the holder must be unique for each try to run a request (not only the instance name),
/// because a resent ClaimRequest of the holder wins again. A running claim never passes to another
/// holder and is never forgotten by time: nothing proves that the request did not run. Only
/// FinishClaim or AbandonClaim of its holder ends it; until then it takes about 200 bytes. A
/// finished claim is forgotten keepMs after it was finished. AbandonClaim frees the key for other
/// holders, also when it overtakes the ClaimRequest.
///
/// An empty workspace in CancelJob, ReadJob, ReadFile, ReadResults and ListJobs means any; it is
/// for operators only.
///
/// Failures: InvalidRequest, InvalidItem, DuplicateItem (custom id twice in a file), NotFound,
/// Conflict, JobFinished (cancel), ResultExpired, QueueFull and MalformedMessage.
std::unique_ptr<replication::StateMachine> makeBatchStateMachine();

} // namespace rattanrill::batch
