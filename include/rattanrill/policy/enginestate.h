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
    /// A leaving engine gets no new tasks.
    bool leaving = false;
};

/// Load report of an engine (`GET /engine/load`).
struct EngineLoad
{
    /// Number of requests in the running batch.
    std::int64_t running = 0;
    /// Number of requests that wait in the engine's queue.
    std::int64_t waiting = 0;
    /// Tokens that the KV cache holds.
    std::int64_t kvTokens = 0;
    std::int64_t kvCapacityTokens = 0;
    /// Largest number of requests in a batch; 0 when unknown.
    std::int64_t maxBatch = 0;
    /// Age of these values on receipt, including network delay.
    absl::Duration age;
};

/// State of one engine as estimated by one entry: the engine's last load report, the entry's own
/// tasks on the engine and an estimate of what other entries have sent since the report. Entries do
/// not communicate with each other. The load balancer distributes requests over them at random, so
/// an entry's own changes since the report are a sample of 1 / entries of all changes.
class EngineState
{
public:
    EngineState(EngineInfo info, OutlierSettings outlier);

    const EngineInfo &info() const { return m_info; }
    void setInfo(EngineInfo info) { m_info = std::move(info); }
    OutlierDetector &outlier() { return m_outlier; }
    const OutlierDetector &outlier() const { return m_outlier; }

    /// Ignores a report that describes an earlier time than the last one.
    void loadReported(absl::Time now, const EngineLoad &load);
    /// Records a task that this entry started. \a prefillTokens is the number of prompt tokens to
    /// compute; \a totalTokens is the KV memory, in tokens, that the task is expected to occupy.
    void taskStarted(absl::Time now, TaskKind kind, std::int64_t prefillTokens,
                     std::int64_t totalTokens);
    void firstToken(TaskKind kind, std::int64_t prefillTokens);
    void taskEnded(absl::Time now, TaskKind kind, std::int64_t totalTokens);

    bool hasReport() const { return m_reportCount > 0; }
    /// Number of reports accepted so far.
    std::uint64_t reportCount() const { return m_reportCount; }
    const EngineLoad &load() const { return m_load; }
    /// Time that the last report describes.
    absl::Time reportedAt() const { return m_reportedAt; }
    std::int64_t maxBatch() const { return m_load.maxBatch; }
    /// Number of this entry's tasks on the engine.
    std::int64_t localTasks(TaskKind kind) const;
    /// Prompt tokens of this entry's tasks that have not produced a first token yet.
    std::int64_t localPrefillTokens(TaskKind kind) const;
    /// This entry's started tasks minus its ended ones since the time that the last report
    /// describes.
    std::int64_t localTaskChange(TaskKind kind) const;
    /// Requests in the last report, running and waiting, plus this entry's changes since.
    double reportedRequests() const;
    /// Estimated number of requests on the engine now, running and waiting, when the number of
    /// entries that share it is \a entries.
    double expectedRequests(std::size_t entries) const;
    /// Estimated share of the KV memory in use now: 0 when empty, 1 when full, and above 1 when
    /// overcommitted.
    double expectedKvUtilization(std::size_t entries) const;

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
    std::uint64_t m_reportCount = 0;
    absl::Time m_reportedAt = absl::InfinitePast();
    /// This array and the next two are indexed by TaskKind.
    std::array<std::int64_t, 2> m_localTasks{};
    std::array<std::int64_t, 2> m_localPrefillTokens{};
    std::array<std::int64_t, 2> m_localTaskChange{};
    std::int64_t m_localTokenChange = 0;
    /// Changes since the time that the last report describes, oldest first.
    std::deque<Change> m_changes;
};

} // namespace rattanrill::policy
