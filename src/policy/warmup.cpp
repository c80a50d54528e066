#include "rattanrill/policy/warmup.h"

#include "rattanrill/base/enumnames.h"

#include <algorithm>
#include <array>

namespace rattanrill::policy {
namespace {

constexpr std::array<EnumName<ColdSource>, 3> coldSourceNames = {{
        {ColdSource::List, "list"},
        {ColdSource::Response, "response"},
        {ColdSource::Suspicion, "suspicion"},
}};

/// Number of requests that accumulate: one for an online task, one more that batch tasks may take.
/// In any second a cold upstream gets at most this many beyond its rate.
constexpr double maxAccumulatedRequests = 2;
/// A report that exceeds the known time by more than this begins a new episode; smaller differences
/// come from the delays of reports.
constexpr absl::Duration maxReportDelay = absl::Milliseconds(500);

/// The rate holds as long as the upstream is cold, whatever its responses name.
RequestLimitSettings limitSettings()
{
    RequestLimitSettings settings;
    settings.burstTime = absl::ZeroDuration();
    settings.burstRequests = maxAccumulatedRequests;
    settings.lifetime = absl::InfiniteDuration();
    return settings;
}

/// Number of accumulated requests that a task needs.
double neededRequests(TaskKind kind)
{
    return kind == TaskKind::Online ? 1 : maxAccumulatedRequests;
}

} // namespace

std::string_view name(ColdSource source)
{
    return nameOf(coldSourceNames, source);
}

WarmUp::WarmUp()
    : m_limit(limitSettings())
{}

void WarmUp::configure(absl::Time now, const WarmUpSettings &settings)
{
    if (settings.rate != m_settings.rate)
        m_limit.report(now, settings.rate);
    m_settings = settings;
}

/// The list lags: one that shows the upstream as warm may not show the current episode yet, so it
/// ends only one that a list has shown. For the same reason it replaces a suspicion only if it
/// shows an episode that may have begun after it.
void WarmUp::recordListed(absl::Time now, absl::Duration remaining, absl::Time readAt)
{
    if (readAt <= m_listReadAt && remaining == m_listedRemaining)
        return;
    m_listReadAt = std::max(m_listReadAt, readAt);
    m_listedRemaining = remaining;
    m_longestListed = std::max(m_longestListed, remaining);
    if (isOutdated(now + remaining))
        return;
    if (remaining > absl::ZeroDuration()) {
        const bool isNew = recordCold(now, now + remaining, ColdSource::List);
        m_isListed = true;
        const bool coversSuspicion =
                now + remaining >= m_suspectedAt + m_settings.time - maxReportDelay;
        if (isNew && coversSuspicion)
            m_suspectedUntil = absl::InfinitePast();
    } else if (m_isListed) {
        m_reportedUntil = absl::InfinitePast();
    }
}

/// The list lags, so it may show an episode that ended before the last response. One that began
/// after it lasts as long as other episodes from then on, which may be less than configured.
bool WarmUp::isOutdated(absl::Time until) const
{
    const absl::Duration episode = std::min(m_settings.time, m_longestListed);
    return until < m_respondedAt + episode - maxReportDelay;
}

void WarmUp::recordReported(absl::Time now, absl::Duration remaining)
{
    m_respondedAt = now;
    if (remaining > absl::ZeroDuration())
        recordCold(now, now + remaining, ColdSource::Response);
    else
        m_reportedUntil = absl::InfinitePast();
    m_suspectedUntil = absl::InfinitePast();
}

/// Returns whether a new episode begins.
bool WarmUp::recordCold(absl::Time now, absl::Time until, ColdSource source)
{
    const bool isNew = now >= m_reportedUntil || until > m_reportedUntil + maxReportDelay;
    if (!isNew) {
        m_reportedUntil = std::min(m_reportedUntil, until);
        return false;
    }
    beginIfWarm(now);
    m_reportedUntil = until;
    m_reportSource = source;
    m_isListed = false;
    return true;
}

/// The limit accumulates while the upstream is warm, so it starts empty with each episode. One that
/// was cold before keeps its level: the rate has held for it all the time.
void WarmUp::beginIfWarm(absl::Time now)
{
    if (now >= coldUntil())
        m_limit.clearAccumulated(now);
}

void WarmUp::suspect(absl::Time now, const std::string &observer)
{
    if (!m_settings.rate)
        return;
    beginIfWarm(now);
    if (now >= m_suspectedUntil)
        m_suspectingObservers.clear();
    m_suspectingObservers.insert(observer);
    m_suspectedAt = now;
    m_suspectedUntil = now + m_settings.time;
}

void WarmUp::discard(absl::Time now, const std::string &observer)
{
    const bool isWithdrawn = now < m_suspectedUntil && m_suspectingObservers.erase(observer) > 0
                             && m_suspectingObservers.empty();
    if (isWithdrawn)
        m_suspectedUntil = absl::InfinitePast();
}

bool WarmUp::isCold(absl::Time now) const
{
    return m_settings.rate && now < coldUntil();
}

absl::Time WarmUp::coldUntil() const
{
    return std::max(m_reportedUntil, m_suspectedUntil);
}

ColdSource WarmUp::source() const
{
    return m_suspectedUntil > m_reportedUntil ? ColdSource::Suspicion : m_reportSource;
}

std::optional<double> WarmUp::rate(absl::Time now) const
{
    return isCold(now) ? m_settings.rate : std::nullopt;
}

bool WarmUp::allows(absl::Time now, TaskKind kind) const
{
    return !isCold(now) || m_limit.allows(now, neededRequests(kind));
}

void WarmUp::take(absl::Time now)
{
    if (isCold(now))
        m_limit.take(now);
}

absl::Time WarmUp::nextAllowed(absl::Time now, TaskKind kind) const
{
    if (!isCold(now))
        return now;
    return std::min(m_limit.nextAllowed(now, neededRequests(kind)), coldUntil());
}

void WarmUp::clearAccumulated(absl::Time now)
{
    m_limit.clearAccumulated(now);
}

} // namespace rattanrill::policy
