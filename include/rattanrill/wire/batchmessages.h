#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Records, commands and queries of a partition group: batch files, jobs, items, leases, results
/// and claims of non-idempotent requests. Times are wall-clock milliseconds since the epoch.
namespace rattanrill::wire {

enum class JobState {
    InProgress,
    Cancelling,
    Completed,
    Cancelled,
};

enum class ItemState {
    Open,
    Leased,
    Completed,
    Failed,
    Cancelled,
};

enum class ClaimState {
    Running,
    Finished,
};

std::string_view name(JobState state);
std::string_view name(ItemState state);
std::string_view name(ClaimState state);

/// One line of an uploaded file.
struct ItemSpec
{
    std::string customId;
    /// Caller path such as "/v1/completions".
    std::string url;
    /// JSON text of the request.
    std::string body;
};

/// Appends items to a file that is not sealed yet. A resend of the same range is the same append.
struct AppendItems
{
    static constexpr std::string_view kind = "append_items";
    std::string fileId;
    std::string workspace;
    std::uint64_t firstIndex = 0;
    std::vector<ItemSpec> items;
};

/// Ends an upload; from now on jobs may use the file.
struct SealFile
{
    static constexpr std::string_view kind = "seal_file";
    std::string fileId;
    std::string workspace;
    std::uint64_t itemCount = 0;
    std::int64_t bytes = 0;
};

/// Removes an upload that was not sealed.
struct DropFile
{
    static constexpr std::string_view kind = "drop_file";
    std::string fileId;
};

struct CreateJob
{
    static constexpr std::string_view kind = "create_job";
    std::string jobId;
    std::string workspace;
    std::string fileId;
    /// Caller's Idempotency-Key; the same key of the same workspace names the same job.
    std::string idempotencyKey;
    std::int64_t dueAtMs = 0;
    std::int64_t retentionMs = 0;
    std::string metadata;
};

struct CancelJob
{
    static constexpr std::string_view kind = "cancel_job";
    std::string jobId;
    std::string workspace;
};

/// Leases open items, earliest due job first, to an entry.
struct LeaseItems
{
    static constexpr std::string_view kind = "lease_items";
    std::string holder;
    std::int64_t maxItems = 0;
    std::int64_t leaseMs = 0;
};

struct ItemRef
{
    std::string jobId;
    std::uint64_t index = 0;
    /// Fencing number of the lease.
    std::uint64_t lease = 0;
};

struct RenewLeases
{
    static constexpr std::string_view kind = "renew_leases";
    std::string holder;
    std::int64_t leaseMs = 0;
    std::vector<ItemRef> items;
};

/// Gives items back that did not finish, for instance after preemption or a failed try.
struct ReleaseItems
{
    static constexpr std::string_view kind = "release_items";
    std::vector<ItemRef> items;
    /// The try counts against the bound of tries.
    bool failedTry = false;
    /// Error code name of the failed try.
    std::string reason;
    /// The items are not leased again before this delay.
    std::int64_t backoffMs = 0;
};

struct ItemResult
{
    ItemRef item;
    bool failed = false;
    /// HTTP status and JSON text of the answer.
    std::int64_t status = 0;
    std::string body;
    /// Error code name when failed.
    std::string reason;
};

struct CompleteItems
{
    static constexpr std::string_view kind = "complete_items";
    std::vector<ItemResult> results;
};

/// Claims the single run of a non-idempotent request before it is sent to an upstream.
struct ClaimRequest
{
    static constexpr std::string_view kind = "claim_request";
    std::string workspace;
    std::string idempotencyKey;
    /// Hash of method, path and body: the same key with another request is a typed failure.
    std::string requestHash;
    /// Unique for each try to run the request, not only the instance: a resent claim of the same
    /// holder wins again.
    std::string holder;
    std::int64_t keepMs = 0;
};

struct FinishClaim
{
    static constexpr std::string_view kind = "finish_claim";
    std::string workspace;
    std::string idempotencyKey;
    std::string holder;
    std::int64_t status = 0;
    std::string contentType;
    std::string body;
};

/// Gives a claim back because the request certainly did not run.
struct AbandonClaim
{
    static constexpr std::string_view kind = "abandon_claim";
    std::string workspace;
    std::string idempotencyKey;
    std::string holder;
};

/// Lets the state machine drop what is past its retention or lease.
struct AdvanceTime
{
    static constexpr std::string_view kind = "advance_time";
};

using BatchOperation = std::variant<AppendItems, SealFile, DropFile, CreateJob, CancelJob,
                                    LeaseItems, RenewLeases, ReleaseItems, CompleteItems,
                                    ClaimRequest, FinishClaim, AbandonClaim, AdvanceTime>;

struct BatchCommand
{
    std::int64_t nowMs = 0;
    BatchOperation operation;
};

struct LeasedItem
{
    ItemRef item;
    std::string workspace;
    ItemSpec spec;
    std::int64_t dueAtMs = 0;
    std::int64_t failedTries = 0;
};

struct JobCounts
{
    std::uint64_t total = 0;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t cancelled = 0;
    /// Neither completed, failed nor cancelled: total = completed + failed + cancelled + open.
    std::uint64_t open = 0;
};

struct JobStatus
{
    std::string jobId;
    std::string workspace;
    std::string fileId;
    std::string resultFileId;
    JobState state = JobState::InProgress;
    JobCounts counts;
    std::int64_t createdAtMs = 0;
    std::int64_t dueAtMs = 0;
    std::int64_t endedAtMs = 0;
    std::string metadata;
};

struct FileStatus
{
    std::string fileId;
    std::string workspace;
    bool sealed = false;
    std::uint64_t itemCount = 0;
    std::int64_t bytes = 0;
};

struct ClaimStatus
{
    /// The sender of the command holds the claim and runs the request now.
    bool won = false;
    ClaimState state = ClaimState::Running;
    std::int64_t status = 0;
    std::string contentType;
    std::string body;
};

/// Answer to a BatchCommand; the members that the operation fills are set.
struct BatchResult
{
    std::vector<LeasedItem> leased;
    /// Results accepted and dropped by CompleteItems (dropped: old lease or already finished).
    std::uint64_t accepted = 0;
    std::uint64_t dropped = 0;
    /// Leases that RenewLeases found lost, and items of cancelled jobs: stop working on them.
    std::vector<ItemRef> lost;
    JobStatus job;
    FileStatus file;
    ClaimStatus claim;
};

struct ReadJob
{
    static constexpr std::string_view kind = "read_job";
    std::string jobId;
    std::string workspace;
};

struct ReadFile
{
    static constexpr std::string_view kind = "read_file";
    std::string fileId;
    std::string workspace;
};

/// Results of a job in order of input, from \a firstIndex on.
struct ReadResults
{
    static constexpr std::string_view kind = "read_results";
    std::string jobId;
    std::string workspace;
    std::uint64_t firstIndex = 0;
    std::uint64_t maxItems = 0;
};

struct ListJobs
{
    static constexpr std::string_view kind = "list_jobs";
    /// Empty: of all workspaces (operators only).
    std::string workspace;
};

using BatchQuery = std::variant<ReadJob, ReadFile, ReadResults, ListJobs>;

struct BatchQueryMessage
{
    BatchQuery query;
};

struct ResultLine
{
    std::uint64_t index = 0;
    std::string customId;
    ItemState state = ItemState::Open;
    std::int64_t status = 0;
    std::string body;
    std::string reason;
};

struct BatchQueryResult
{
    JobStatus job;
    FileStatus file;
    std::vector<JobStatus> jobs;
    /// Finished items only.
    std::vector<ResultLine> results;
    /// Index to continue from; equal to the item count at the end.
    std::uint64_t nextIndex = 0;
};

} // namespace rattanrill::wire
