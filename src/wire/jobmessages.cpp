#include "rattanrill/wire/jobmessages.h"

#include "messagedefinition.h"

#include "rattanrill/base/enumnames.h"

namespace rattanrill::wire {
namespace {

constexpr std::array<EnumName<ItemOutcome>, 2> itemOutcomeNames = {{
        {ItemOutcome::Completed, "completed"},
        {ItemOutcome::DeadLettered, "dead_lettered"},
}};

} // namespace

RATTANRILL_WIRE_ENUM(ItemOutcome, itemOutcomeNames)
RATTANRILL_WIRE_FIELDS(JobItem, id, path, headers, body, tokens)
RATTANRILL_WIRE_FIELDS(JobRecord, id, workspace, route, host, acceptedAtMs, items)
RATTANRILL_WIRE_FIELDS(JobItemResult, id, outcome, output)
RATTANRILL_WIRE_FIELDS(AcceptJob, job, maxWaitingTokens)
RATTANRILL_WIRE_FIELDS(AppendResults, job, results)
RATTANRILL_WIRE_FIELDS(ItemProgress, job, item, after, lastEvent, output, servedMs, version)
RATTANRILL_WIRE_FIELDS(ItemFailures, job, item, serverErrors)
RATTANRILL_WIRE_FIELDS(AppendProgress, items, failures)
RATTANRILL_WIRE_FIELDS(EndJob, workspace, job)
RATTANRILL_WIRE_FIELDS(PurgeJobs, beforeMs)
RATTANRILL_WIRE_FIELDS(JobCommand, operation)
RATTANRILL_WIRE_FIELDS(JobCommandResult, overLimit, isNew, waitingTokens)
RATTANRILL_WIRE_FIELDS(SubmitJobRequest, job, configurationVersion)
RATTANRILL_WIRE_FIELDS(ReadJobRequest, workspace, job, after, waitMs)
RATTANRILL_WIRE_FIELDS(ReadJobResponse, total, next, results)
RATTANRILL_WIRE_FIELDS(ReadItemRequest, workspace, job, item)
RATTANRILL_WIRE_FIELDS(ReadItemResponse, body)
RATTANRILL_WIRE_FIELDS(ListOpenJobs, jobs)
RATTANRILL_WIRE_FIELDS(OpenJob, job, finished, progress, failures)
RATTANRILL_WIRE_FIELDS(OpenJobs, jobs)
RATTANRILL_WIRE_EMPTY(CountOpenItems)
RATTANRILL_WIRE_FIELDS(OpenItemCount, job, items)
RATTANRILL_WIRE_FIELDS(OpenItemCounts, jobs)
RATTANRILL_WIRE_FIELDS(JobQuery, query)
RATTANRILL_WIRE_FIELDS(StoredJob, job, results, progress, ended, failures)
RATTANRILL_WIRE_FIELDS(StoredJobs, jobs)
RATTANRILL_WIRE_FIELDS(EndJobRequest, workspace, job)

RATTANRILL_WIRE_MESSAGE(JobRecord)
RATTANRILL_WIRE_MESSAGE(JobCommand)
RATTANRILL_WIRE_MESSAGE(JobCommandResult)
RATTANRILL_WIRE_MESSAGE(SubmitJobRequest)
RATTANRILL_WIRE_MESSAGE(ReadJobRequest)
RATTANRILL_WIRE_MESSAGE(ReadJobResponse)
RATTANRILL_WIRE_MESSAGE(ReadItemRequest)
RATTANRILL_WIRE_MESSAGE(ReadItemResponse)
RATTANRILL_WIRE_MESSAGE(OpenJobs)
RATTANRILL_WIRE_MESSAGE(OpenItemCounts)
RATTANRILL_WIRE_MESSAGE(JobQuery)
RATTANRILL_WIRE_MESSAGE(StoredJobs)
RATTANRILL_WIRE_MESSAGE(EndJobRequest)

std::string_view name(ItemOutcome outcome)
{
    return nameOf(itemOutcomeNames, outcome);
}

} // namespace rattanrill::wire
