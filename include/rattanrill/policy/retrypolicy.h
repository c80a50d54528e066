#pragma once

#include "rattanrill/base/errorcode.h"

#include "absl/time/time.h"

#include <random>

namespace rattanrill::policy {

/// Settings of RetryPolicy.
struct RetrySettings
{
    /// Retries allowed per first attempt. The ratio holds fleet-wide because every entry applies it
    /// to its own requests.
    double budgetShare = 0.1;
    /// Retry budget at the start, so that an entry with little traffic can retry at all.
    double initialBudget = 10;
    /// Maximum of the unused budget that is kept, so that the streams of a lost failure domain can
    /// be retried at once.
    double maxBudget = 50;
    /// Maximum number of attempts, including the first one.
    int maxAttempts = 3;
    /// Upper limit of the random backoff before the first retry. It doubles with each attempt, up
    /// to maxBackoff.
    absl::Duration firstBackoff = absl::Milliseconds(20);
    absl::Duration maxBackoff = absl::Seconds(1);
};

/// Decides whether and when a failed attempt is retried. A retry is allowed only when the request
/// did not run or is idempotent, and within both the maximum number of attempts and a budget that
/// prevents retries from amplifying an outage.
class RetryPolicy
{
public:
    explicit RetryPolicy(RetrySettings settings);

    /// Records that a first attempt was sent, which adds to the budget.
    void recordFirstAttempt();
    /// Returns true, and takes 1 from the budget, when a request may be retried after attempt
    /// number \a attempt (from 1).
    bool tryAcquireRetry(int attempt, EffectState effect, bool idempotent);
    /// Returns the delay before the attempt that follows attempt number \a attempt: exponential
    /// backoff with full jitter.
    absl::Duration backoff(int attempt, std::mt19937_64 &random) const;
    /// Number of retries that the budget allows now.
    double budget() const { return m_budget; }

private:
    RetrySettings m_settings;
    double m_budget;
};

} // namespace rattanrill::policy
