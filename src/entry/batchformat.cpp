#include "batchformat.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/errorcode.h"

namespace rattanrill::entry {
namespace {

constexpr std::string_view batchPrefix = "batch-";
constexpr std::int64_t msPerSecond = 1000;

Json secondsOrNull(std::int64_t ms)
{
    return ms > 0 ? Json(ms / msPerSecond) : Json();
}

Json endTimeIfState(const wire::JobStatus &job, wire::JobState state)
{
    return job.state == state ? secondsOrNull(job.endedAtMs) : Json();
}

/// Metadata that was stored with the job when it was created; an empty object when it is malformed.
Json storedMetadata(const wire::JobStatus &job)
{
    Json metadata = Json::parse(job.metadata, nullptr, false);
    return metadata.is_object() ? metadata : Json::object();
}

std::string codeOf(const wire::ResultLine &line)
{
    if (line.state == wire::ItemState::Cancelled)
        return std::string(name(ErrorCode::JobCancelled));
    return line.reason.empty() ? std::string(name(ErrorCode::ItemFailed)) : line.reason;
}

Json bodyOf(const wire::ResultLine &line)
{
    Json body = Json::parse(line.body, nullptr, false);
    return body.is_discarded() ? Json(line.body) : body;
}

} // namespace

Json fileObject(const std::string &id, std::int64_t bytes, std::int64_t createdMs,
                const std::string &fileName, const std::string &purpose)
{
    return {{"id", id},
            {"object", "file"},
            {"bytes", bytes},
            {"created_at", createdMs / msPerSecond},
            {"filename", fileName},
            {"purpose", purpose},
            {"status", "processed"}};
}

std::string resultFileId(const std::string &jobId)
{
    return concat("result-", std::string_view(jobId).substr(batchPrefix.size()));
}

Json batchObject(const wire::JobStatus &job)
{
    const Json metadata = storedMetadata(job);
    return {
            {"id", job.jobId},
            {"object", "batch"},
            {"endpoint", metadata.value("endpoint", std::string())},
            {"errors", nullptr},
            {"input_file_id", job.fileId},
            {"completion_window", metadata.value("completion_window", std::string())},
            {"status", name(job.state)},
            {"output_file_id", resultFileId(job.jobId)},
            {"error_file_id", nullptr},
            {"created_at", job.createdAtMs / msPerSecond},
            {"in_progress_at", job.createdAtMs / msPerSecond},
            {"expires_at", secondsOrNull(job.dueAtMs)},
            {"completed_at", endTimeIfState(job, wire::JobState::Completed)},
            {"cancelled_at", endTimeIfState(job, wire::JobState::Cancelled)},
            {"request_counts",
             {{"total", job.counts.total},
              {"completed", job.counts.completed},
              {"failed", job.counts.failed},
              {"cancelled", job.counts.cancelled},
              {"open", job.counts.open}}},
            {"metadata", metadata.value("metadata", Json())},
    };
}

std::string resultLine(const std::string &jobId, const wire::ResultLine &line)
{
    Json json = {{"id", concat(jobId, "-", line.index)},
                 {"custom_id", line.customId},
                 {"response", nullptr},
                 {"error", nullptr}};
    if (line.state == wire::ItemState::Completed) {
        json["response"] = {{"status_code", line.status},
                            {"request_id", concat(jobId, "-", line.index)},
                            {"body", bodyOf(line)}};
        return dumpJson(json);
    }
    json["error"] = {{"code", codeOf(line)}, {"message", line.body}};
    return dumpJson(json);
}

} // namespace rattanrill::entry
