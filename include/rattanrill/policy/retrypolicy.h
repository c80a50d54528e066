#pragma once

#include "rattanrill/base/errorcode.h"

#include "absl/time/time.h"

#include <random>

namespace rattanrill::policy {

struct RetrySettings
{
    /// Retries allowed per first try, fleet-wide because every entry holds to it for its own.
    double budgetShare = 0.1;
    /// Retries allowed at the start, so that an entry with little traffic can retry at all.
    double budgetMinimum = 10;
    /// Unused budget is kept up to this, so that the streams of a lost failure domain can be
    /// retried at once.
    double budgetLimit = 50;
    int maxAttempts = 3;
    absl::Duration firstBackoff = absl::Milliseconds(20);
    absl::Duration longestBackoff = absl::Seconds(1);
};

/// Whether and when a failed try is repeated: only when nothing ran or the request is idempotent,
/// within the number of tries and within a budget that keeps retries from multiplying an outage.
class RetryPolicy
{
public:
    explicit RetryPolicy(RetrySettings settings);

    /// A first try was sent; earns budget.
    void firstAttempt();
    /// True when a request may be repeated after try number \a attempt (from 1). Takes budget.
    bool mayRetry(int attempt, RunState run, bool idempotent);
    /// Wait before the try that follows try \a attempt: exponential with full jitter.
    absl::Duration backoff(int attempt, std::mt19937_64 &random) const;
    double budget() const { return m_budget; }

private:
    RetrySettings m_settings;
    double m_budget;
};

} // namespace rattanrill::policy
