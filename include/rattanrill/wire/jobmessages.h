#pragma once

#include "rattanrill/base/result.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

/// Records, commands and queries of the store group: batch jobs whose requests are passed to
/// upstreams unchanged. \c acceptedAtMs and \c beforeMs are wall-clock milliseconds since the Unix
/// epoch, set by the proposer; other members that end in Ms are durations in milliseconds.
namespace rattanrill::wire {

/// One item of a job, as submitted by the caller.
struct JobItem
{
    std::string id;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// Prompt tokens plus the maximum number of output tokens.
    std::int64_t tokens = 0;
};

/// A job as accepted.
struct JobRecord
{
    std::string id;
    std::string workspace;
    std::string route;
    std::string host;
    std::int64_t acceptedAtMs = 0;
    std::vector<JobItem> items;
};

/// Outcome of an item.
enum class ItemOutcome {
    Completed,
    DeadLettered,
};

std::string_view name(ItemOutcome outcome);

/// Final state of one item. Its position in the job's list of results never changes.
struct JobItemResult
{
    std::string id;
    ItemOutcome outcome = ItemOutcome::Completed;
    std::string output;
};

/// Accepts a job. A repeated command with the same job id has no further effect; it fails with
/// Conflict if the job belongs to another workspace.
struct AcceptJob
{
    static constexpr std::string_view kind = "accept_job";
    JobRecord job;
    /// Maximum number of tokens in unfinished items of the workspace on the route; 0 for no limit.
    std::int64_t maxWaitingTokens = 0;
};

/// Appends results in this order. Results of items that already have one are ignored.
struct AppendResults
{
    static constexpr std::string_view kind = "append_results";
    std::string job;
    std::vector<JobItemResult> results;
};

/// Output that a running item has produced since its last stored event.
struct ItemProgress
{
    std::string job;
    std::string item;
    /// Latest event whose output is stored; -1 for none. The progress is ignored if the latest
    /// stored event is a different one.
    std::int64_t after = -1;
    /// Latest event whose data is in \a output.
    std::int64_t lastEvent = -1;
    /// Data of the events from \a after (exclusive) to \a lastEvent, in the format of a result.
    std::string output;
    /// Total time for which the item has held slots at upstreams.
    std::int64_t servedMs = 0;
    /// Version of the upstreams that wrote the output. Only this version can continue it.
    std::string version{};
};

/// Attempts of an item that failed for good, which the route limits.
struct ItemFailures
{
    std::string job;
    std::string item;
    /// Number of all attempts that failed with status 500. A number below the stored one is
    /// ignored, so that a repeated command has no further effect.
    std::int64_t serverErrors = 0;
};

/// Stores progress, so that another executor can continue from it. Older processes ignore the
/// failures.
struct AppendProgress
{
    static constexpr std::string_view kind = "append_progress";
    std::vector<ItemProgress> items;
    std::vector<ItemFailures> failures{};
};

/// Ends a job, so that its unfinished items are no longer run. Fails with NotFound.
struct EndJob
{
    static constexpr std::string_view kind = "end_job";
    std::string workspace;
    std::string job;
};

/// Removes jobs that were accepted before \a beforeMs and are finished or ended.
struct PurgeJobs
{
    static constexpr std::string_view kind = "forget_jobs";
    std::int64_t beforeMs = 0;
};

using JobOperation = std::variant<AcceptJob, AppendResults, AppendProgress, EndJob, PurgeJobs>;

/// A write to the store group.
struct JobCommand
{
    JobOperation operation;
};

/// Response to a JobCommand.
struct JobCommandResult
{
    /// AcceptJob: whether the job was refused because it exceeds the workspace's limit of waiting
    /// tokens.
    bool overLimit = false;
    /// AcceptJob: whether this command accepted the job, and not an earlier one.
    bool isNew = false;
    /// AcceptJob: tokens in unfinished items of the workspace on the route after the command.
    std::int64_t waitingTokens = 0;
};

/// Request of Method::SubmitJob.
struct SubmitJobRequest
{
    JobRecord job;
    /// Version of the configuration by which the sender found the job's route; 0 from older
    /// processes.
    std::uint64_t configurationVersion = 0;
};

/// Request of Method::ReadJob, also a query: reads results of a job. Fails with NotFound.
struct ReadJobRequest
{
    static constexpr std::string_view kind = "read_job";
    std::string workspace;
    std::string job;
    /// Number of results to skip, in the order of the job's list of results.
    std::int64_t after = 0;
    /// Maximum time for which the store waits for a further result before it responds.
    std::int64_t waitMs = 0;
};

/// Response of Method::ReadJob.
struct ReadJobResponse
{
    /// Number of items of the job.
    std::int64_t total = 0;
    /// Value of \a after for the next request.
    std::int64_t next = 0;
    std::vector<JobItemResult> results;
};

/// Request of Method::ReadItem, also a query: reads the request body of an item. Fails with
/// NotFound.
struct ReadItemRequest
{
    static constexpr std::string_view kind = "read_item";
    std::string workspace;
    std::string job;
    std::string item;
};

/// Response of Method::ReadItem.
struct ReadItemResponse
{
    std::string body;
};

/// Lists the jobs that have items without a result and have not been ended.
struct ListOpenJobs
{
    static constexpr std::string_view kind = "list_open_jobs";
    /// Ids of the jobs to list if they are open; empty for all open jobs.
    std::vector<std::string> jobs;
};

/// A job with the state that a new executor needs to continue it.
struct OpenJob
{
    JobRecord job;
    /// Ids of the items that have a result.
    std::vector<std::string> finished;
    /// Stored progress of the other items, from their first event.
    std::vector<ItemProgress> progress;
    /// Stored failures of the other items.
    std::vector<ItemFailures> failures{};
};

/// Response to ListOpenJobs.
struct OpenJobs
{
    std::vector<OpenJob> jobs;
};

/// Counts the items without a result of each open job.
struct CountUnfinishedItems
{
    static constexpr std::string_view kind = "count_unfinished_items";
};

/// Number of items of an open job that have no result.
struct UnfinishedItemCount
{
    std::string job;
    std::int64_t items = 0;
};

/// Response to CountUnfinishedItems.
struct UnfinishedItemCounts
{
    std::vector<UnfinishedItemCount> jobs;
};

using JobQueryOperation =
        std::variant<ReadJobRequest, ReadItemRequest, ListOpenJobs, CountUnfinishedItems>;

/// Query to the store group.
struct JobQuery
{
    JobQueryOperation query;
};

/// A job with its whole state, for snapshots.
struct StoredJob
{
    JobRecord job;
    std::vector<JobItemResult> results;
    std::vector<ItemProgress> progress;
    bool ended = false;
    std::vector<ItemFailures> failures{};
};

/// Whole state of the store group, for snapshots.
struct StoredJobs
{
    std::vector<StoredJob> jobs;
};

/// Encodes a StoredJobs job by job, to the same bytes as encode(). The state of a group can be a
/// large part of the memory of its processes, so that no second copy of it fits.
class StoredJobsEncoder
{
public:
    explicit StoredJobsEncoder(std::size_t jobs);

    void add(const StoredJob &job);
    /// Returns the bytes. All jobs must have been added.
    std::string take() { return std::move(m_bytes); }

private:
    std::string m_bytes;
};

/// Decodes a StoredJobs job by job and passes each one to \a handle. Fails like decode().
Result<void> decodeStoredJobs(std::string_view bytes, const std::function<void(StoredJob)> &handle);

/// Request of Method::EndJob.
struct EndJobRequest
{
    std::string workspace;
    std::string job;
};

} // namespace rattanrill::wire
