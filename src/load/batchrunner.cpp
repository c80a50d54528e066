#include "batchrunner.h"

#include "promptfile.h"
#include "rattanrill/base/concat.h"

#include <algorithm>
#include <utility>

namespace rattanrill::load {
namespace {

/// Maximum number of times that one request is sent.
constexpr int maxAttempts = 5;
constexpr absl::Duration retryDelay = absl::Milliseconds(300);
/// Interval between two reads of the state of a job.
constexpr absl::Duration pollPeriod = absl::Milliseconds(250);
constexpr std::string_view terminalStates[] = {"completed", "cancelled", "failed", "expired"};

bool isTerminal(const std::string &status)
{
    return std::find(std::begin(terminalStates), std::end(terminalStates), status)
           != std::end(terminalStates);
}

Result<std::string> memberOf(const std::string &body, std::string_view key)
{
    BOOST_LEAF_AUTO(json, parseJson(body, "answer"));
    return jsonMember<std::string>(json, key);
}

/// Whether another attempt may succeed after \a status.
bool isTransient(int status)
{
    return status >= 500 || status == 429;
}

} // namespace

BatchRunner::BatchRunner(CallerClient &client, const LoadPlan &plan, const BatchPlan &batch,
                         std::string idempotencyKey, WaitFunction wait, const Clock &clock)
    : m_client(client)
    , m_plan(plan)
    , m_batch(batch)
    , m_idempotencyKey(std::move(idempotencyKey))
    , m_wait(std::move(wait))
    , m_clock(clock)
    , m_key(keyOf(plan, batch.workspace))
{}

BatchOutcome BatchRunner::run()
{
    BatchOutcome outcome;
    outcome.workspace = m_batch.workspace;
    outcome.status = "not_created";
    const absl::Time begin = m_clock.now();
    const auto input = outcomeOf([&] { return readJsonLines(m_batch.file); });
    if (!input.ok()) {
        outcome.detail = describe(input.failure());
        return outcome;
    }
    outcome.items = static_cast<std::int64_t>(input.value().size());
    const auto results = outcomeOf([&] { return runJob(outcome); });
    outcome.seconds = absl::ToDoubleSeconds(m_clock.now() - begin);
    if (results.ok())
        compareResults(input.value(), results.value(), outcome);
    else
        outcome.detail = describe(results.failure());
    return outcome;
}

Result<std::vector<Json>> BatchRunner::runJob(BatchOutcome &outcome)
{
    BOOST_LEAF_AUTO(text, readTextFile(m_batch.file));
    BOOST_LEAF_AUTO(fileId, uploadFile(text));
    BOOST_LEAF_ASSIGN(outcome.id, createJob(fileId));
    outcome.status = "timeout";
    BOOST_LEAF_AUTO(job, waitForJobEnd(outcome));
    return fetchResults(job);
}

Result<std::string> BatchRunner::uploadFile(const std::string &text)
{
    BOOST_LEAF_AUTO(body,
                    sendWithRetries("POST", "/v1/files?purpose=batch", text, "application/jsonl"));
    return memberOf(body, "id");
}

Result<std::string> BatchRunner::createJob(const std::string &fileId)
{
    const Json job = {{"input_file_id", fileId},
                      {"endpoint", "/v1/completions"},
                      {"completion_window", m_batch.window}};
    BOOST_LEAF_AUTO(body, sendWithRetries("POST", "/v1/batches", dumpJson(job), "application/json",
                                          m_idempotencyKey));
    return memberOf(body, "id");
}

Result<Json> BatchRunner::waitForJobEnd(BatchOutcome &outcome)
{
    const absl::Time deadline = m_clock.now() + m_batch.timeout;
    while (m_clock.now() < deadline) {
        BOOST_LEAF_AUTO(body, sendWithRetries("GET", concat("/v1/batches/", outcome.id), "", ""));
        BOOST_LEAF_AUTO(job, parseJson(body, "job"));
        BOOST_LEAF_AUTO(status, jsonMember<std::string>(job, "status"));
        if (isTerminal(status)) {
            outcome.status = status;
            return job;
        }
        if (!m_wait(pollPeriod))
            return fail(notRun(ErrorCode::Stopped, "the load run was stopped"));
    }
    return fail(mayHaveRun(ErrorCode::Timeout, "the batch job did not end within its time limit"));
}

Result<std::vector<Json>> BatchRunner::fetchResults(const Json &job)
{
    std::vector<Json> all;
    for (const char *member : {"output_file_id", "error_file_id"}) {
        BOOST_LEAF_AUTO(file, jsonMemberOr<std::string>(job, member, ""));
        if (file.empty())
            continue;
        BOOST_LEAF_AUTO(text,
                        sendWithRetries("GET", concat("/v1/files/", file, "/content"), "", ""));
        BOOST_LEAF_AUTO(lines, parseJsonLines(text, member));
        all.insert(all.end(), lines.begin(), lines.end());
    }
    return all;
}

Result<std::string> BatchRunner::sendWithRetries(const std::string &method, const std::string &path,
                                                 const std::string &body,
                                                 const std::string &contentType,
                                                 const std::string &idempotencyKey)
{
    Failure last = notRun(ErrorCode::Internal, "not sent");
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        const auto response = outcomeOf([&] {
            return m_client.sendBatchRequest(m_nextTarget++ % m_plan.targets.size(), method, path,
                                             m_key, body, contentType, idempotencyKey);
        });
        if (response.ok() && response.value().status == 200)
            return response.value().body;
        last = response.ok()
                       ? mayHaveRun(ErrorCode::UpstreamFailed,
                                    concat(method, " ", path, " returned status ",
                                           response.value().status, ": ", response.value().body))
                       : response.failure();
        const bool retryable = !response.ok() || isTransient(response.value().status);
        if (!retryable || !m_wait(retryDelay))
            break;
    }
    return fail(last);
}

} // namespace rattanrill::load
