#include "rattanrill/policy/tokenbucket.h"

#include <algorithm>

namespace rattanrill::policy {

namespace {

/// Tolerance for rounding errors of the level, in units. Units that are missing by less than this
/// are granted.
constexpr double levelTolerance = 1e-9;

} // namespace

TokenBucket::TokenBucket(RateContract contract, absl::Time start, double level)
    : m_contract(contract)
    , m_level(std::min(level, contract.burst))
    , m_levelTime(start)
{}

RateGrant TokenBucket::take(absl::Time now, double units, absl::Duration maxWait)
{
    advance(now);
    if (units > m_contract.burst + levelTolerance)
        return {false, absl::InfiniteDuration()};
    const absl::Duration untilLevel = std::max(m_levelTime - now, absl::ZeroDuration());
    absl::Duration wait = untilLevel;
    if (m_level + levelTolerance < units) {
        if (m_contract.ratePerSecond <= 0)
            return {false, absl::InfiniteDuration()};
        // Rounded up, so that the units do not come into use a nanosecond too early.
        wait += absl::Seconds((units - m_level) / m_contract.ratePerSecond) + absl::Nanoseconds(1);
    }
    if (wait > maxWait)
        return {false, wait - maxWait};
    m_level -= units;
    m_fullSince = absl::InfiniteFuture();
    return {true, wait};
}

void TokenBucket::setContract(absl::Time now, RateContract contract)
{
    advance(now);
    m_contract = contract;
    m_level = std::min(m_level, contract.burst);
    m_fullSince = absl::InfiniteFuture();
}

void TokenBucket::charge(absl::Time now, double units, absl::Time since)
{
    advance(now);
    const absl::Time fullSince = std::max(m_fullSince, since);
    const double unused =
            fullSince < now ? absl::ToDoubleSeconds(now - fullSince) * m_contract.ratePerSecond : 0;
    const double charged = std::max(units - unused, 0.0);
    if (charged > 0)
        m_fullSince = absl::InfiniteFuture();
    else if (units > 0)
        // What this charge has used is not there for the next one.
        m_fullSince = fullSince + absl::Seconds(units / m_contract.ratePerSecond);
    m_level = std::max(m_level - charged, std::min(m_level, -m_contract.burst));
}

void TokenBucket::setLevel(absl::Time now, double level)
{
    advance(now);
    m_level = std::min(level, m_contract.burst);
    m_fullSince = absl::InfiniteFuture();
}

void TokenBucket::refund(absl::Time now, double units)
{
    advance(now);
    m_level = std::min(m_level + units, m_contract.burst);
}

double TokenBucket::level(absl::Time now) const
{
    TokenBucket later = *this;
    later.advance(now);
    return later.m_level;
}

void TokenBucket::advance(absl::Time now)
{
    if (now <= m_levelTime)
        return;
    const double gained = absl::ToDoubleSeconds(now - m_levelTime) * m_contract.ratePerSecond;
    if (m_fullSince == absl::InfiniteFuture() && m_level + gained >= m_contract.burst)
        m_fullSince = now
                      - absl::Seconds((m_level + gained - m_contract.burst)
                                      / std::max(m_contract.ratePerSecond, levelTolerance));
    m_level = std::min(m_level + gained, m_contract.burst);
    m_levelTime = now;
}

} // namespace rattanrill::policy
