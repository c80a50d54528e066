#include "batchhandler.h"

#include "batchformat.h"
#include "objectid.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"
#include "rattanrill/service/credentials.h"

#include <algorithm>

namespace rattanrill::entry {
namespace {

constexpr std::size_t maxIdempotencyKeyBytes = 255;
constexpr int statusOk = 200;
constexpr std::string_view jsonType = "application/json";
constexpr std::int64_t msPerSecond = 1000;

} // namespace

BatchHandler::BatchHandler(Context context, std::size_t maxBodyBytes)
    : m_context(context)
    , m_maxBodyBytes(maxBodyBytes)
{}

void BatchHandler::create(Exchange &exchange)
{
    const std::optional<Caller> caller = m_context.admission.authenticate(exchange);
    if (!caller)
        return;
    const Outcome<std::string> batch = createBatch(exchange, *caller);
    if (batch.ok())
        exchange.sendJson(batch.value());
    else
        exchange.sendFailure(batch.failure());
}

Outcome<std::string> BatchHandler::createBatch(Exchange &exchange, const Caller &caller)
{
    const Outcome<std::string> body = exchange.readBody(m_maxBodyBytes);
    if (!body.ok())
        return body.failure();
    const Outcome<BatchRequest> request =
            outcomeOf([&] { return parseBatchRequest(body.value(), m_context.clock.wallNow()); });
    if (!request.ok())
        return request.failure();
    const std::string key = exchange.header("Idempotency-Key");
    if (key.size() > maxIdempotencyKeyBytes)
        return notRun(ErrorCode::InvalidRequest, "\"Idempotency-Key\" is longer than 255 bytes");
    if (key.empty())
        return createJob(caller, request.value(), "");
    // The prefix separates the idempotency keys of batches from those of service calls.
    const std::string hash = sha256Hex(concat("POST /v1/batches\n", body.value()));
    return createClaimed(caller, request.value(),
                         {caller.workspace, "batches/" + key, hash, exchange.requestId()});
}

Outcome<std::string> BatchHandler::createClaimed(const Caller &caller, const BatchRequest &request,
                                                 const ClaimKey &key)
{
    const Outcome<wire::ClaimStatus> claim = m_context.claims.claim(key);
    if (!claim.ok())
        return claim.failure();
    const bool finished = claim.value().state == wire::ClaimState::Finished;
    if (!claim.value().won && finished)
        return claim.value().body;
    // A claim that is still running may belong to an entry that crashed. The job carries the same
    // idempotency key in the partition of the file, so that creating it again returns the same job.
    Outcome<std::string> batch = createJob(caller, request, key.idempotencyKey);
    // Only the holder of the claim may finish or abandon it.
    if (!claim.value().won)
        return batch;
    if (batch.ok())
        (void)m_context.claims.finish(key, statusOk, std::string(jsonType), batch.value());
    else
        m_context.claims.abandon(key);
    return batch;
}

Outcome<std::string> BatchHandler::createJob(const Caller &caller, const BatchRequest &request,
                                             const std::string &idempotencyKey)
{
    const Outcome<ObjectId> file =
            outcomeOf([&] { return parseObjectId(request.fileId, m_context.partitions.count()); });
    if (!file.ok() || file.value().kind != ObjectKind::File)
        return notRun(ErrorCode::NotFound, concat("no input file \"", request.fileId, "\""));
    ObjectId job = newObjectId(ObjectKind::Batch, m_context.partitions.count());
    // A job belongs to the partition of its file, from which its items are leased.
    job.partition = file.value().partition;
    wire::CreateJob command;
    command.jobId = job.text();
    command.workspace = caller.workspace;
    command.fileId = request.fileId;
    command.idempotencyKey = idempotencyKey;
    command.dueAtMs = absl::ToUnixMillis(request.due);
    const auto contract = m_context.directory.view()->contract(caller.workspace);
    if (contract)
        command.retentionMs = contract->retentionSeconds * msPerSecond;
    command.metadata = request.jobMetadata;
    const auto response = m_context.partitions.propose(job.partition, std::move(command), true);
    if (!response.ok())
        return response.failure();
    return dumpJson(batchObject(response.value().job));
}

void BatchHandler::list(Exchange &exchange)
{
    const std::optional<Caller> caller = m_context.admission.authenticate(exchange);
    if (!caller)
        return;
    std::vector<wire::JobStatus> jobs;
    for (int partition = 0; partition < m_context.partitions.count(); ++partition) {
        auto response = m_context.partitions.query(partition, wire::ListJobs{caller->workspace});
        if (!response.ok()) {
            exchange.sendFailure(response.failure());
            return;
        }
        std::move(response.value().jobs.begin(), response.value().jobs.end(),
                  std::back_inserter(jobs));
    }
    std::sort(jobs.begin(), jobs.end(), [](const auto &left, const auto &right) {
        return std::tie(right.createdAtMs, right.jobId) < std::tie(left.createdAtMs, left.jobId);
    });
    Json data = Json::array();
    for (const wire::JobStatus &job : jobs)
        data.push_back(batchObject(job));
    exchange.sendJson(dumpJson({{"object", "list"}, {"data", data}, {"has_more", false}}));
}

void BatchHandler::describe(Exchange &exchange, const std::string &id)
{
    const std::optional<Caller> caller = m_context.admission.authenticate(exchange);
    if (!caller)
        return;
    const Outcome<ObjectId> job =
            outcomeOf([&] { return parseObjectId(id, m_context.partitions.count()); });
    if (!job.ok() || job.value().kind != ObjectKind::Batch) {
        exchange.sendFailure(notRun(ErrorCode::NotFound, concat("no batch \"", id, "\"")));
        return;
    }
    const auto response =
            m_context.partitions.query(job.value().partition, wire::ReadJob{id, caller->workspace});
    if (response.ok())
        exchange.sendJson(dumpJson(batchObject(response.value().job)));
    else
        exchange.sendFailure(response.failure());
}

void BatchHandler::cancel(Exchange &exchange, const std::string &id)
{
    const std::optional<Caller> caller = m_context.admission.authenticate(exchange);
    if (!caller)
        return;
    (void)exchange.readBody(m_maxBodyBytes);
    const Outcome<ObjectId> job =
            outcomeOf([&] { return parseObjectId(id, m_context.partitions.count()); });
    if (!job.ok() || job.value().kind != ObjectKind::Batch) {
        exchange.sendFailure(notRun(ErrorCode::NotFound, concat("no batch \"", id, "\"")));
        return;
    }
    const auto response = m_context.partitions.propose(
            job.value().partition, wire::CancelJob{id, caller->workspace}, true);
    if (response.ok())
        exchange.sendJson(dumpJson(batchObject(response.value().job)));
    else
        exchange.sendFailure(response.failure());
}

} // namespace rattanrill::entry
