#include "rattanrill/wire/jobmessages.h"

#include "cborarray.h"
#include "messagedefinition.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/enumnames.h"

#include <istream>

namespace rattanrill::wire {
namespace {

constexpr std::array<EnumName<ItemOutcome>, 2> itemOutcomeNames = {{
        {ItemOutcome::Completed, "completed"},
        {ItemOutcome::DeadLettered, "dead_lettered"},
}};

/// Begin of an encoded StoredJobs: a map of one member, and the name of the member.
constexpr std::string_view storedJobsPrefix = "\xa1\x64jobs";

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
RATTANRILL_WIRE_EMPTY(CountUnfinishedItems)
RATTANRILL_WIRE_FIELDS(UnfinishedItemCount, job, items)
RATTANRILL_WIRE_FIELDS(UnfinishedItemCounts, jobs)
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
RATTANRILL_WIRE_MESSAGE(UnfinishedItemCounts)
RATTANRILL_WIRE_MESSAGE(JobQuery)
RATTANRILL_WIRE_MESSAGE(StoredJobs)
RATTANRILL_WIRE_MESSAGE(EndJobRequest)

StoredJobsEncoder::StoredJobsEncoder(std::size_t jobs)
    : m_bytes(concat(storedJobsPrefix, encodeArrayHead(jobs)))
{}

void StoredJobsEncoder::add(const StoredJob &job)
{
    const std::vector<std::uint8_t> bytes = Json::to_cbor(Json(job));
    m_bytes.append(bytes.begin(), bytes.end());
}

Result<void> decodeStoredJobs(std::string_view bytes, const std::function<void(StoredJob)> &handle)
{
    const bool hasPrefix = bytes.substr(0, storedJobsPrefix.size()) == storedJobsPrefix;
    MemoryBuffer buffer(bytes.substr(hasPrefix ? storedJobsPrefix.size() : 0));
    const auto length = hasPrefix ? buffer.readArrayLength() : std::nullopt;
    if (!length)
        return fail(notRun(ErrorCode::MalformedMessage, "the bytes are no list of stored jobs"));
    std::istream stream(&buffer);
    try {
        for (std::uint64_t number = 0; number < *length; ++number)
            handle(Json::from_cbor(stream, false).get<StoredJob>());
    } catch (const Json::exception &error) {
        return fail(notRun(ErrorCode::MalformedMessage, error.what()));
    }
    if (buffer.in_avail() > 0)
        return fail(notRun(ErrorCode::MalformedMessage, "bytes follow the list of stored jobs"));
    return {};
}

std::string_view name(ItemOutcome outcome)
{
    return nameOf(itemOutcomeNames, outcome);
}

} // namespace rattanrill::wire
