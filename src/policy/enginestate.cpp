#include "rattanrill/policy/enginestate.h"

#include <algorithm>

namespace rattanrill::policy {

namespace {

/// Changes older than this are dropped even when no newer report has arrived. The last report is
/// then too old to be useful.
constexpr absl::Duration changeLifetime = absl::Seconds(5);

std::size_t index(TaskKind kind)
{
    return static_cast<std::size_t>(kind);
}

} // namespace

EngineState::EngineState(EngineInfo info, OutlierSettings outlier)
    : m_info(std::move(info))
    , m_outlier(outlier)
{}

void EngineState::loadReported(absl::Time now, const EngineLoad &load)
{
    const absl::Time reportedAt = now - load.age;
    if (reportedAt < m_reportedAt)
        return;
    m_load = load;
    m_reportedAt = reportedAt;
    ++m_reportCount;
    while (!m_changes.empty() && m_changes.front().at <= reportedAt)
        dropOldestChange();
}

void EngineState::taskStarted(absl::Time now, TaskKind kind, std::int64_t prefillTokens,
                              std::int64_t totalTokens)
{
    m_localPrefillTokens[index(kind)] += prefillTokens;
    addChange({now, kind, 1, totalTokens});
}

void EngineState::firstToken(TaskKind kind, std::int64_t prefillTokens)
{
    m_localPrefillTokens[index(kind)] -= prefillTokens;
}

void EngineState::taskEnded(absl::Time now, TaskKind kind, std::int64_t totalTokens)
{
    addChange({now, kind, -1, -totalTokens});
}

std::int64_t EngineState::localTasks(TaskKind kind) const
{
    return m_localTasks[index(kind)];
}

std::int64_t EngineState::localPrefillTokens(TaskKind kind) const
{
    return m_localPrefillTokens[index(kind)];
}

std::int64_t EngineState::localTaskChange(TaskKind kind) const
{
    return m_localTaskChange[index(kind)];
}

double EngineState::reportedRequests() const
{
    const std::int64_t reported = m_load.running + m_load.waiting;
    const std::int64_t localChange =
            localTaskChange(TaskKind::Online) + localTaskChange(TaskKind::Batch);
    return static_cast<double>(std::max<std::int64_t>(reported + localChange, 0));
}

double EngineState::expectedRequests(std::size_t entries) const
{
    const auto others = static_cast<double>(entries == 0 ? 0 : entries - 1);
    const auto online = static_cast<double>(localTaskChange(TaskKind::Online));
    return reportedRequests() + others * std::max(online, 0.0);
}

double EngineState::expectedKvUtilization(std::size_t entries) const
{
    if (m_load.kvCapacityTokens <= 0)
        return 0;
    const auto localChange = static_cast<double>(m_localTokenChange);
    const double others =
            std::max(localChange, 0.0) * static_cast<double>(entries == 0 ? 0 : entries - 1);
    const double used = static_cast<double>(m_load.kvTokens) + localChange + others;
    return std::max(used, 0.0) / static_cast<double>(m_load.kvCapacityTokens);
}

void EngineState::addChange(const Change &change)
{
    m_localTasks[index(change.kind)] += change.delta;
    m_localTaskChange[index(change.kind)] += change.delta;
    m_localTokenChange += change.tokens;
    m_changes.push_back(change);
    while (m_changes.front().at < change.at - changeLifetime)
        dropOldestChange();
}

void EngineState::dropOldestChange()
{
    const Change &oldest = m_changes.front();
    m_localTaskChange[index(oldest.kind)] -= oldest.delta;
    m_localTokenChange -= oldest.tokens;
    m_changes.pop_front();
}

} // namespace rattanrill::policy
