#pragma once

#include "batchoutcome.h"
#include "callerclient.h"
#include "loadplan.h"

#include "rattanrill/base/clock.h"

#include <functional>
#include <string>

namespace rattanrill::load {

/// Runs one batch job from upload to results: uploads the file, creates the job, polls it and
/// compares the results with the input. Sends the requests to the targets in turn. A request
/// without a response is resent; a resent job creation has the same Idempotency-Key, so that only
/// one job is created.
class BatchRunner
{
public:
    /// Waits for the given time; returns false when the run was stopped.
    using WaitFunction = std::function<bool(absl::Duration)>;

    BatchRunner(CallerClient &client, const LoadPlan &plan, const BatchPlan &batch,
                std::string idempotencyKey, WaitFunction wait,
                const Clock &clock = SystemClock::instance());

    BatchOutcome run();

private:
    Result<std::vector<Json>> runJob(BatchOutcome &outcome);
    Result<std::string> uploadFile(const std::string &text);
    Result<std::string> createJob(const std::string &fileId);
    Result<Json> waitForJobEnd(BatchOutcome &outcome);
    Result<std::vector<Json>> fetchResults(const Json &job);
    /// Sends the request and resends it after a lost response or a transient error status, with at
    /// most maxAttempts attempts. Returns the body of a response with status 200; otherwise fails
    /// with the last error.
    Result<std::string> sendWithRetries(const std::string &method, const std::string &path,
                                        const std::string &body, const std::string &contentType,
                                        const std::string &idempotencyKey = {});

    CallerClient &m_client;
    const LoadPlan &m_plan;
    const BatchPlan &m_batch;
    std::string m_idempotencyKey;
    WaitFunction m_wait;
    const Clock &m_clock;
    std::string m_key;
    std::size_t m_nextTarget = 0;
};

} // namespace rattanrill::load
