#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Records, commands and queries of a partition group: batch files, jobs, items, leases, results
/// and claims of non-idempotent requests. Members named ...AtMs and \c nowMs are wall-clock
/// milliseconds since the Unix epoch; other members that end in Ms are durations in milliseconds.
namespace rattanrill::wire {

/// State of a batch job.
enum class JobState {
    InProgress,
    Cancelling,
    Completed,
    Cancelled,
};

/// State of one item of a batch job.
enum class ItemState {
    Open,
    Leased,
    Completed,
    Failed,
    Cancelled,
};

/// State of the claim of a non-idempotent request.
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
    /// Path that the caller would request online, such as "/v1/completions".
    std::string url;
    /// JSON text of the request.
    std::string body;
};

/// Appends items to a file that is not sealed yet. The command is idempotent: a resend of the same
/// range has no further effect. Fails with Conflict if the range leaves a gap, differs from the
/// stored items or extends a sealed file, and with InvalidItem or DuplicateItem.
struct AppendItems
{
    static constexpr std::string_view kind = "append_items";
    std::string fileId;
    std::string workspace;
    std::uint64_t firstIndex = 0;
    std::vector<ItemSpec> items;
};

/// Completes an upload. Jobs can use the file only after this command. Fails with NotFound.
struct SealFile
{
    static constexpr std::string_view kind = "seal_file";
    std::string fileId;
    std::string workspace;
    /// Must equal the number of items appended; otherwise the command fails with Conflict.
    std::uint64_t itemCount = 0;
    std::int64_t bytes = 0;
};

/// Removes a file that is not sealed. Fails with Conflict if the file is sealed.
struct DropFile
{
    static constexpr std::string_view kind = "drop_file";
    std::string fileId;
};

/// Creates a batch job for the items of a sealed file.
struct CreateJob
{
    static constexpr std::string_view kind = "create_job";
    std::string jobId;
    std::string workspace;
    std::string fileId;
    /// The caller's Idempotency-Key. Within a workspace, the same key identifies the same job.
    std::string idempotencyKey;
    std::int64_t dueAtMs = 0;
    /// Time for which the results can be read after the job has ended.
    std::int64_t retentionMs = 0;
    std::string metadata;
};

/// Cancels a job. Open items are cancelled at once, and leased items when their lease ends without
/// a result. Fails with NotFound, or with JobFinished if the job is completed.
struct CancelJob
{
    static constexpr std::string_view kind = "cancel_job";
    std::string jobId;
    std::string workspace;
};

/// Leases open items to an entry, those of the job with the earliest due time first.
struct LeaseItems
{
    static constexpr std::string_view kind = "lease_items";
    /// Identifies the entry that holds the leases.
    std::string holder;
    std::int64_t maxItems = 0;
    std::int64_t leaseMs = 0;
};

/// Identifies a leased item of a job.
struct ItemRef
{
    std::string jobId;
    std::uint64_t index = 0;
    /// Fencing token of the lease. A command with the token of an earlier lease has no effect.
    std::uint64_t lease = 0;
};

/// Extends leases that \a holder holds to \a leaseMs from now.
struct RenewLeases
{
    static constexpr std::string_view kind = "renew_leases";
    std::string holder;
    std::int64_t leaseMs = 0;
    std::vector<ItemRef> items;
};

/// Ends the leases of items that did not finish, for example after preemption or a failed attempt.
struct ReleaseItems
{
    static constexpr std::string_view kind = "release_items";
    std::vector<ItemRef> items;
    /// Whether the attempt counts towards the maximum number of failed attempts.
    bool failedTry = false;
    /// Name of the error code of the failed attempt.
    std::string reason;
    /// Time before the items can be leased again.
    std::int64_t backoffMs = 0;
};

/// Result of one leased item.
struct ItemResult
{
    ItemRef item;
    bool failed = false;
    /// HTTP status and JSON text of the response.
    std::int64_t status = 0;
    std::string body;
    /// Name of the error code if \a failed.
    std::string reason;
};

/// Stores the results of leased items and ends their leases.
struct CompleteItems
{
    static constexpr std::string_view kind = "complete_items";
    std::vector<ItemResult> results;
};

/// Claims the right to run a non-idempotent request once, before it is sent to an upstream.
struct ClaimRequest
{
    static constexpr std::string_view kind = "claim_request";
    std::string workspace;
    std::string idempotencyKey;
    /// Hash of method, path and body. The same key with another hash fails with Conflict.
    std::string requestHash;
    /// Unique for each attempt to run the request, not only for each instance, so that a resent
    /// claim of the same holder wins again.
    std::string holder;
    /// Time for which the claim counts as running, and for which its response is kept after it is
    /// finished.
    std::int64_t keepMs = 0;
};

/// Stores the response of a claimed request, for repeats with the same idempotency key.
struct FinishClaim
{
    static constexpr std::string_view kind = "finish_claim";
    std::string workspace;
    std::string idempotencyKey;
    std::string holder;
    /// HTTP status of the response.
    std::int64_t status = 0;
    std::string contentType;
    std::string body;
};

/// Releases a claim whose request certainly did not run.
struct AbandonClaim
{
    static constexpr std::string_view kind = "abandon_claim";
    std::string workspace;
    std::string idempotencyKey;
    std::string holder;
};

/// Advances the state machine's clock, so that it removes expired records and leases.
struct AdvanceTime
{
    static constexpr std::string_view kind = "advance_time";
};

using BatchOperation = std::variant<AppendItems, SealFile, DropFile, CreateJob, CancelJob,
                                    LeaseItems, RenewLeases, ReleaseItems, CompleteItems,
                                    ClaimRequest, FinishClaim, AbandonClaim, AdvanceTime>;

/// A write to a partition group.
struct BatchCommand
{
    std::int64_t nowMs = 0;
    BatchOperation operation;
};

/// A leased item with the data that an executor needs to run it.
struct LeasedItem
{
    ItemRef item;
    std::string workspace;
    ItemSpec spec;
    std::int64_t dueAtMs = 0;
    std::int64_t failedTries = 0;
};

/// Number of items of a job by state.
struct JobCounts
{
    std::uint64_t total = 0;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t cancelled = 0;
    /// Items that are not finished: total = completed + failed + cancelled + open.
    std::uint64_t open = 0;
};

/// Status of a job, for callers and operators.
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

/// Status of a batch file, for callers.
struct FileStatus
{
    std::string fileId;
    std::string workspace;
    bool sealed = false;
    std::uint64_t itemCount = 0;
    std::int64_t bytes = 0;
};

/// State of a claim after a ClaimRequest or FinishClaim.
struct ClaimStatus
{
    /// Whether the sender of the command holds the claim and must run the request now.
    bool won = false;
    ClaimState state = ClaimState::Running;
    /// HTTP status, content type and body of the response; set if \a state is Finished.
    std::int64_t status = 0;
    std::string contentType;
    std::string body;
};

/// Response to a BatchCommand. Only the members that belong to the operation are set.
struct BatchResult
{
    std::vector<LeasedItem> leased;
    /// Number of items that CompleteItems or ReleaseItems accepted, and of those that it dropped
    /// because the lease has expired or the item is already finished.
    std::uint64_t accepted = 0;
    std::uint64_t dropped = 0;
    /// Items that RenewLeases did not renew because the lease was lost or the job is being
    /// cancelled; the holder must stop work on them.
    std::vector<ItemRef> lost;
    JobStatus job;
    FileStatus file;
    ClaimStatus claim;
};

/// Reads the status of a job. Fails with NotFound.
struct ReadJob
{
    static constexpr std::string_view kind = "read_job";
    std::string jobId;
    std::string workspace;
};

/// Reads the status of a file. Fails with NotFound.
struct ReadFile
{
    static constexpr std::string_view kind = "read_file";
    std::string fileId;
    std::string workspace;
};

/// Reads results of a job in input order from \a firstIndex on, at most \a maxItems. Fails with
/// NotFound or, after the retention, ResultExpired.
struct ReadResults
{
    static constexpr std::string_view kind = "read_results";
    std::string jobId;
    std::string workspace;
    std::uint64_t firstIndex = 0;
    std::uint64_t maxItems = 0;
};

/// Lists the status of jobs.
struct ListJobs
{
    static constexpr std::string_view kind = "list_jobs";
    /// Empty for the jobs of all workspaces; only operators may use this.
    std::string workspace;
};

using BatchQueryOperation = std::variant<ReadJob, ReadFile, ReadResults, ListJobs>;

/// A read from a partition group.
struct BatchQueryMessage
{
    BatchQueryOperation query;
};

/// Result of one item, as a line of the result file.
struct ResultLine
{
    /// Index of the item in the input file, from 0.
    std::uint64_t index = 0;
    std::string customId;
    ItemState state = ItemState::Open;
    /// HTTP status and JSON text of the response.
    std::int64_t status = 0;
    std::string body;
    /// Name of the error code if the item failed.
    std::string reason;
};

/// Response to a BatchQueryOperation. Only the members that belong to the query are set.
struct BatchQueryResult
{
    JobStatus job;
    FileStatus file;
    std::vector<JobStatus> jobs;
    /// Results of finished items only.
    std::vector<ResultLine> results;
    /// Index from which the next ReadResults continues; equals the item count at the end.
    std::uint64_t nextIndex = 0;
};

} // namespace rattanrill::wire
