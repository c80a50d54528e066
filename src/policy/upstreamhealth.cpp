#include "rattanrill/policy/upstreamhealth.h"

#include <algorithm>
#include <iterator>

namespace rattanrill::policy {
namespace {

/// Failures further apart are no common evidence.
constexpr absl::Duration failureLifetime = absl::Seconds(10);

} // namespace

UpstreamHealth::UpstreamHealth(OutlierSettings settings)
    : m_settings(settings)
    , m_shared(settings)
{}

void UpstreamHealth::succeeded(absl::Time now, const std::string &observer)
{
    m_failures.clear();
    m_silences.erase(observer);
    for (auto &[other, silence] : m_silences)
        silence.avoidedUntil = now;
    m_shared.succeeded(now);
    const auto link = m_links.find(observer);
    if (link != m_links.end())
        link->second.succeeded(now);
}

void UpstreamHealth::failed(absl::Time now, const std::string &observer, bool isUnreachable)
{
    m_links.try_emplace(observer, m_settings).first->second.failed(now, isUnreachable);
    forgetOldFailures(now);
    Failures &failures = m_failures[observer];
    ++failures.count;
    failures.lastAt = now;
    failures.isUnreachable = failures.isUnreachable || isUnreachable;
    if (m_shared.ejected(now) || !isConclusive())
        return;
    m_shared.failed(now, true);
    m_witnesses.clear();
    for (const auto &[witness, seen] : m_failures)
        m_witnesses.insert(witness);
}

void UpstreamHealth::unanswered(absl::Time now, const std::string &observer)
{
    Silence &silence = m_silences.try_emplace(observer, Silence{now, now, now}).first->second;
    const bool isOld = now - std::max(silence.lastAt, ejectedUntil(observer)) > failureLifetime;
    if (isOld)
        silence.since = now;
    silence.lastAt = now;
    if (now - silence.since > maxUnanswered)
        return failed(now, observer, true);
    silence.avoidedUntil = now + unansweredAvoidance;
}

void UpstreamHealth::forgetOldFailures(absl::Time now)
{
    for (auto entry = m_failures.begin(); entry != m_failures.end();) {
        const bool isOld = now - entry->second.lastAt > failureLifetime;
        entry = isOld ? m_failures.erase(entry) : std::next(entry);
    }
}

bool UpstreamHealth::isConclusive() const
{
    int count = 0;
    bool isUnreachable = false;
    for (const auto &[observer, failures] : m_failures) {
        count += failures.count;
        isUnreachable = isUnreachable || failures.isUnreachable;
    }
    return m_failures.size() >= minObservers
           && (isUnreachable || count >= m_settings.consecutiveFailures);
}

void UpstreamHealth::discard(absl::Time now, const std::string &observer)
{
    m_links.erase(observer);
    m_failures.erase(observer);
    m_silences.erase(observer);
    const bool wasWitness = m_witnesses.erase(observer) > 0;
    if (wasWitness && m_witnesses.size() < minObservers && !isConclusive())
        m_shared.endEjection(now);
}

bool UpstreamHealth::isEjectedForAny(absl::Time now) const
{
    return isEjected(now) || std::any_of(m_links.begin(), m_links.end(), [now](const auto &link) {
               return link.second.ejected(now);
           });
}

bool UpstreamHealth::isEjectedFor(absl::Time now, const std::string &observer) const
{
    return now < ejectedUntil(observer);
}

absl::Time UpstreamHealth::ejectedUntil(const std::string &observer) const
{
    absl::Time until = m_shared.ejectedUntil();
    if (const auto link = m_links.find(observer); link != m_links.end())
        until = std::max(until, link->second.ejectedUntil());
    if (const auto silence = m_silences.find(observer); silence != m_silences.end())
        until = std::max(until, silence->second.avoidedUntil);
    return until;
}

double UpstreamHealth::trafficShare(absl::Time now, const std::string &observer) const
{
    const auto link = m_links.find(observer);
    const double share = m_shared.trafficShare(now);
    return link == m_links.end() ? share : std::min(share, link->second.trafficShare(now));
}

} // namespace rattanrill::policy
