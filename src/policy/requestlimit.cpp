#include "rattanrill/policy/requestlimit.h"

#include <algorithm>

namespace rattanrill::policy {

RequestLimit::RequestLimit(RequestLimitSettings settings)
    : m_settings(settings)
{}

RateContract RequestLimit::contract(double limit) const
{
    const double burst =
            limit * absl::ToDoubleSeconds(m_settings.burstTime) + m_settings.burstRequests;
    return {limit, std::max(burst, 1.0)};
}

void RequestLimit::report(absl::Time now, std::optional<double> limit)
{
    const std::optional<double> former = this->limit(now);
    m_reportedAt = now;
    if (!limit)
        m_bucket.reset();
    else if (!former)
        m_bucket.emplace(contract(*limit), now);
    else if (*former != *limit)
        m_bucket->setContract(now, contract(*limit));
}

void RequestLimit::clearAccumulated(absl::Time now)
{
    if (m_bucket)
        m_bucket.emplace(m_bucket->contract(), now);
}

bool RequestLimit::allows(absl::Time now, double requests) const
{
    return !limit(now) || m_bucket->level(now) >= requests;
}

void RequestLimit::take(absl::Time now)
{
    if (limit(now))
        m_bucket->charge(now, 1, now);
}

absl::Time RequestLimit::nextAllowed(absl::Time now, double requests) const
{
    const std::optional<double> current = limit(now);
    if (!current)
        return now;
    const absl::Time refilledAt = now + absl::Seconds((requests - m_bucket->level(now)) / *current);
    // The rounding of a refill time must not lead to a check before the request is allowed.
    return std::min(refilledAt + absl::Microseconds(1), m_reportedAt + m_settings.lifetime);
}

std::optional<double> RequestLimit::limit(absl::Time now) const
{
    if (!m_bucket || now - m_reportedAt >= m_settings.lifetime)
        return std::nullopt;
    return m_bucket->contract().ratePerSecond;
}

} // namespace rattanrill::policy
