#pragma once

#include "batchoutcome.h"
#include "callerclient.h"
#include "loadplan.h"

#include "rattanrill/base/clock.h"

#include <functional>
#include <string>

namespace rattanrill::load {

/// Runs one batch job from upload to results: uploads the file, creates the job, polls it and
/// compares the results with the input. Requests go to the targets in turn. A request
/// without an answer is sent again; the creation keeps its Idempotency-Key, so that it makes one
/// job.
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
    Result<Json> waitForEnd(BatchOutcome &outcome);
    Result<std::vector<Json>> fetchResults(const Json &job);
    /// Sends the request, again after a lost answer or a transient error status, up to the maximum
    /// number of attempts. Returns the body of an answer with status 200; fails with the last error
    /// otherwise.
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
    std::size_t m_target = 0;
};

} // namespace rattanrill::load
