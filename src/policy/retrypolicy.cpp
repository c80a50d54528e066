#include "rattanrill/policy/retrypolicy.h"

#include <algorithm>

namespace rattanrill::policy {

RetryPolicy::RetryPolicy(RetrySettings settings)
    : m_settings(settings)
    , m_budget(settings.initialBudget)
{}

void RetryPolicy::recordFirstAttempt()
{
    m_budget = std::min(m_budget + m_settings.budgetShare, m_settings.maxBudget);
}

bool RetryPolicy::tryAcquireRetry(int attempt, EffectState effect, bool idempotent)
{
    if (effect == EffectState::MayHaveRun && !idempotent)
        return false;
    if (attempt >= m_settings.maxAttempts || m_budget < 1)
        return false;
    m_budget -= 1;
    return true;
}

absl::Duration RetryPolicy::backoff(int attempt, std::mt19937_64 &random) const
{
    const int doublings = std::clamp(attempt - 1, 0, 20);
    const absl::Duration limit =
            std::min(m_settings.firstBackoff * (1 << doublings), m_settings.maxBackoff);
    return limit * std::uniform_real_distribution<double>(0, 1)(random);
}

} // namespace rattanrill::policy
