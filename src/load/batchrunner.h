#pragma once

#include "batchoutcome.h"
#include "callerclient.h"
#include "loadplan.h"

#include "rattanrill/base/clock.h"

#include <functional>
#include <string>

namespace rattanrill::load {

/// Runs one batch job from upload to results: uploads the file, creates the job, polls it and
/// compares the results with the input. Each request goes to the next target; a lost answer is
/// repeated, the creation with the same Idempotency-Key.
class BatchRunner
{
public:
    /// Waits for the given time; false when the run was stopped.
    using Waiter = std::function<bool(absl::Duration)>;

    BatchRunner(CallerClient &client, const LoadPlan &plan, const BatchPlan &batch,
                std::string idempotencyKey, Waiter waiter,
                const Clock &clock = SystemClock::instance());

    BatchOutcome run();

private:
    Result<std::vector<Json>> runJob(BatchOutcome &outcome);
    Result<std::string> upload(const std::string &text);
    Result<std::string> create(const std::string &fileId);
    Result<Json> waitForEnd(BatchOutcome &outcome);
    Result<std::vector<Json>> results(const Json &job);
    /// Sends until an answer comes, at most the number of tries; fails with what was answered when
    /// the status is not 200.
    Result<std::string> request(const std::string &method, const std::string &path,
                                const std::string &body, const std::string &contentType,
                                const std::string &idempotencyKey = {});

    CallerClient &m_client;
    const LoadPlan &m_plan;
    const BatchPlan &m_batch;
    std::string m_idempotencyKey;
    Waiter m_waiter;
    const Clock &m_clock;
    std::string m_key;
    std::size_t m_target = 0;
};

} // namespace rattanrill::load
