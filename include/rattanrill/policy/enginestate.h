#pragma once

#include "rattanrill/policy/outlierdetector.h"
#include "rattanrill/policy/task.h"

#include "absl/time/time.h"

#include <array>
#include <cstdint>
#include <deque>
#include <string>

namespace rattanrill::policy {

/// An engine as listed by the directory.
struct EngineInfo
{
    std::string name;
    std::string model;
    std::string failureDomain;
    bool leaving = false;
};

/// A load report of an engine (`GET /engine/load`).
struct EngineLoad
{
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t kvTokens = 0;
    std::int64_t kvCapacityTokens = 0;
    std::int64_t maxBatch = 0;
    /// Age of the figures on receipt, travel time included.
    absl::Duration age;
};

/// One engine as one entry sees it: its last load report, the entry's own work on it and an
/// estimate of what other entries sent since the report. Entries do not talk to each other. A
/// random balancer spreads requests over them, so own changes since the report are a sample of
/// 1 / entries of all changes.
class EngineState
{
public:
    EngineState(EngineInfo info, OutlierSettings outlier);

    const EngineInfo &info() const { return m_info; }
    void setInfo(EngineInfo info) { m_info = std::move(info); }
    OutlierDetector &outlier() { return m_outlier; }
    const OutlierDetector &outlier() const { return m_outlier; }

    void loadReported(absl::Time now, const EngineLoad &load);
    void workStarted(absl::Time now, TaskKind kind, std::int64_t prefillTokens,
                     std::int64_t totalTokens);
    void firstToken(TaskKind kind, std::int64_t prefillTokens);
    void workEnded(absl::Time now, TaskKind kind, std::int64_t totalTokens);

    bool hasReport() const { return m_reports > 0; }
    /// Number of reports so far.
    std::uint64_t reports() const { return m_reports; }
    const EngineLoad &load() const { return m_load; }
    /// Time that the last report describes.
    absl::Time reportedAt() const { return m_reportedAt; }
    std::int64_t maxBatch() const { return m_load.maxBatch; }
    /// Own work on the engine.
    std::int64_t own(TaskKind kind) const;
    /// Own prompt tokens that have not led to a first token yet.
    std::int64_t ownPrefill(TaskKind kind) const;
    /// Own starts minus own ends since the time that the last report describes.
    std::int64_t ownChange(TaskKind kind) const;
    /// Reported requests plus own changes since.
    double requestsSeen() const;
    /// Requests expected on the engine now, running and waiting, when \a entries share it.
    double expectedRequests(std::size_t entries) const;
    /// Share of the KV memory expected to be in use now.
    double expectedKvShare(std::size_t entries) const;

private:
    struct Change
    {
        absl::Time at;
        TaskKind kind;
        int delta;
        std::int64_t tokens;
    };

    void addChange(const Change &change);
    void dropOldestChange();

    EngineInfo m_info;
    OutlierDetector m_outlier;
    EngineLoad m_load;
    std::uint64_t m_reports = 0;
    absl::Time m_reportedAt = absl::InfinitePast();
    /// Indexed by TaskKind, as are the next two.
    std::array<std::int64_t, 2> m_own{};
    std::array<std::int64_t, 2> m_ownPrefill{};
    std::array<std::int64_t, 2> m_ownChange{};
    std::int64_t m_changedTokens = 0;
    /// Changes since the time that the last report describes, oldest first.
    std::deque<Change> m_changes;
};

} // namespace rattanrill::policy
