#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

/// Records, commands and queries of the store group: batch jobs of requests that are passed to
/// upstreams unchanged. Times are wall-clock milliseconds since the epoch, taken by the proposer.
namespace rattanrill::wire {

/// One item of a job, as its caller handed it in.
struct JobItem
{
    std::string id;
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// Prompt tokens and the largest output together.
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

enum class ItemOutcome {
    Completed,
    DeadLettered,
};

std::string_view name(ItemOutcome outcome);

/// Final state of one item. Its place in the job's list of results never changes.
struct ItemResult
{
    std::string id;
    ItemOutcome outcome = ItemOutcome::Completed;
    std::string output;
};

/// Accepts a job once; a repeat is answered as the first time.
struct AcceptJob
{
    static constexpr std::string_view kind = "accept_job";
    JobRecord job;
    /// Tokens that the workspace may have waiting on the route; 0: no limit.
    std::int64_t maxWaitingTokens = 0;
};

/// Appends results in this order; items that already have one are left out.
struct AppendResults
{
    static constexpr std::string_view kind = "append_results";
    std::string job;
    std::vector<ItemResult> results;
};

/// What an item that still runs has produced since its last stored event.
struct ItemProgress
{
    std::string job;
    std::string item;
    /// Event up to which the store has the output; -1 for none. Progress that does not begin there
    /// changes nothing.
    std::int64_t after = -1;
    std::int64_t lastEvent = -1;
    /// Data of the events in between, as in a result.
    std::string output;
    /// Time for which the item has held places at upstreams.
    std::int64_t servedMs = 0;
};

/// Stores progress, so that another executor goes on after it.
struct AppendProgress
{
    static constexpr std::string_view kind = "append_progress";
    std::vector<ItemProgress> items;
};

struct EndJob
{
    static constexpr std::string_view kind = "end_job";
    std::string workspace;
    std::string job;
};

/// Forgets jobs that were accepted before \a beforeMs and are finished or ended.
struct ForgetJobs
{
    static constexpr std::string_view kind = "forget_jobs";
    std::int64_t beforeMs = 0;
};

using JobOperation = std::variant<AcceptJob, AppendResults, AppendProgress, EndJob, ForgetJobs>;

struct JobCommand
{
    JobOperation operation;
};

/// Answer to a JobCommand.
struct JobCommandResult
{
    /// AcceptJob: the job does not fit under the workspace's limit of waiting tokens.
    bool overLimit = false;
    /// AcceptJob: the job was not known before.
    bool isNew = false;
    std::int64_t waitingTokens = 0;
};

/// Request of Method::SubmitJob.
struct SubmitJobRequest
{
    JobRecord job;
};

/// Request of Method::ReadJob, and a query.
struct ReadJobRequest
{
    static constexpr std::string_view kind = "read_job";
    std::string workspace;
    std::string job;
    std::int64_t after = 0;
    std::int64_t waitMs = 0;
};

struct ReadJobResponse
{
    std::int64_t total = 0;
    std::int64_t next = 0;
    std::vector<ItemResult> results;
};

/// Request of Method::ReadItem, and a query.
struct ReadItemRequest
{
    static constexpr std::string_view kind = "read_item";
    std::string workspace;
    std::string job;
    std::string item;
};

struct ReadItemResponse
{
    std::string body;
};

/// Asks for the jobs that have items without a result.
struct ListOpenJobs
{
    static constexpr std::string_view kind = "list_open_jobs";
};

/// A job with what a new executor needs to go on with it.
struct OpenJob
{
    JobRecord job;
    /// Items that have a result.
    std::vector<std::string> finished;
    /// Stored progress of the others, from their beginning.
    std::vector<ItemProgress> progress;
};

struct OpenJobs
{
    std::vector<OpenJob> jobs;
};

using JobQueryKind = std::variant<ReadJobRequest, ReadItemRequest, ListOpenJobs>;

/// Query to the store group.
struct JobQuery
{
    JobQueryKind query;
};

/// Whole state, for snapshots.
struct StoredJob
{
    JobRecord job;
    std::vector<ItemResult> results;
    std::vector<ItemProgress> progress;
    bool ended = false;
};

struct StoredJobs
{
    std::vector<StoredJob> jobs;
};

/// Request of Method::EndJob.
struct EndJobRequest
{
    std::string workspace;
    std::string job;
};

} // namespace rattanrill::wire
