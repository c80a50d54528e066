#include "rattanrill/wire/batchmessages.h"

#include "messagedefinition.h"

#include "rattanrill/base/enumnames.h"

namespace rattanrill::wire {
namespace {

constexpr std::array<EnumName<JobState>, 4> jobStateNames = {{
        {JobState::InProgress, "in_progress"},
        {JobState::Cancelling, "cancelling"},
        {JobState::Completed, "completed"},
        {JobState::Cancelled, "cancelled"},
}};

constexpr std::array<EnumName<ItemState>, 5> itemStateNames = {{
        {ItemState::Open, "open"},
        {ItemState::Leased, "leased"},
        {ItemState::Completed, "completed"},
        {ItemState::Failed, "failed"},
        {ItemState::Cancelled, "cancelled"},
}};

constexpr std::array<EnumName<ClaimState>, 2> claimStateNames = {{
        {ClaimState::Running, "running"},
        {ClaimState::Finished, "finished"},
}};

} // namespace

RATTANRILL_WIRE_ENUM(JobState, jobStateNames)
RATTANRILL_WIRE_ENUM(ItemState, itemStateNames)
RATTANRILL_WIRE_ENUM(ClaimState, claimStateNames)
RATTANRILL_WIRE_FIELDS(ItemSpec, customId, url, body)
RATTANRILL_WIRE_FIELDS(AppendItems, fileId, workspace, firstIndex, items)
RATTANRILL_WIRE_FIELDS(SealFile, fileId, workspace, itemCount, bytes)
RATTANRILL_WIRE_FIELDS(DropFile, fileId)
RATTANRILL_WIRE_FIELDS(CreateJob, jobId, workspace, fileId, idempotencyKey, dueAtMs, retentionMs,
                       metadata)
RATTANRILL_WIRE_FIELDS(CancelJob, jobId, workspace)
RATTANRILL_WIRE_FIELDS(LeaseItems, holder, maxItems, leaseMs)
RATTANRILL_WIRE_FIELDS(ItemRef, jobId, index, lease)
RATTANRILL_WIRE_FIELDS(RenewLeases, holder, leaseMs, items)
RATTANRILL_WIRE_FIELDS(ReleaseItems, items, failedTry, reason, backoffMs)
RATTANRILL_WIRE_FIELDS(ItemResult, item, failed, status, body, reason)
RATTANRILL_WIRE_FIELDS(CompleteItems, results)
RATTANRILL_WIRE_FIELDS(ClaimRequest, workspace, idempotencyKey, requestHash, holder, keepMs)
RATTANRILL_WIRE_FIELDS(FinishClaim, workspace, idempotencyKey, holder, status, contentType, body)
RATTANRILL_WIRE_FIELDS(AbandonClaim, workspace, idempotencyKey, holder)
RATTANRILL_WIRE_EMPTY(AdvanceTime)
RATTANRILL_WIRE_FIELDS(BatchCommand, nowMs, operation)
RATTANRILL_WIRE_FIELDS(LeasedItem, item, workspace, spec, dueAtMs, failedTries)
RATTANRILL_WIRE_FIELDS(JobCounts, total, completed, failed, cancelled, open)
RATTANRILL_WIRE_FIELDS(JobStatus, jobId, workspace, fileId, resultFileId, state, counts,
                       createdAtMs, dueAtMs, endedAtMs, metadata)
RATTANRILL_WIRE_FIELDS(FileStatus, fileId, workspace, sealed, itemCount, bytes)
RATTANRILL_WIRE_FIELDS(ClaimStatus, won, state, status, contentType, body)
RATTANRILL_WIRE_FIELDS(BatchResult, leased, accepted, dropped, lost, job, file, claim)
RATTANRILL_WIRE_FIELDS(ReadJob, jobId, workspace)
RATTANRILL_WIRE_FIELDS(ReadFile, fileId, workspace)
RATTANRILL_WIRE_FIELDS(ReadResults, jobId, workspace, firstIndex, maxItems)
RATTANRILL_WIRE_FIELDS(ListJobs, workspace)
RATTANRILL_WIRE_FIELDS(BatchQueryMessage, query)
RATTANRILL_WIRE_FIELDS(ResultLine, index, customId, state, status, body, reason)
RATTANRILL_WIRE_FIELDS(BatchQueryResult, job, file, jobs, results, nextIndex)

RATTANRILL_WIRE_MESSAGE(BatchCommand)
RATTANRILL_WIRE_MESSAGE(BatchResult)
RATTANRILL_WIRE_MESSAGE(JobStatus)
RATTANRILL_WIRE_MESSAGE(BatchQueryMessage)
RATTANRILL_WIRE_MESSAGE(BatchQueryResult)
RATTANRILL_WIRE_MESSAGE(ItemSpec)

std::string_view name(JobState state)
{
    return nameOf(jobStateNames, state);
}

std::string_view name(ItemState state)
{
    return nameOf(itemStateNames, state);
}

std::string_view name(ClaimState state)
{
    return nameOf(claimStateNames, state);
}

} // namespace rattanrill::wire
