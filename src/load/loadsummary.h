#pragma once

#include "batchoutcome.h"
#include "requestoutcome.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rattanrill::load {

/// Accumulates outcomes for each workspace and in total. Thread-safe.
class LoadSummary
{
public:
    /// \a cutIsWrong determines whether a response that was cut off counts as wrong.
    explicit LoadSummary(bool cutIsWrong = false);

    void add(const RequestOutcome &outcome);
    void add(const BatchOutcome &outcome);
    /// Number of wrong responses (truncated, mismatched or, with cutIsWrong, disconnected) and of
    /// batch item results that are missing, duplicate or wrong.
    std::int64_t wrongCount() const;
    Json json() const;

private:
    struct Statistics
    {
        std::map<std::string, std::int64_t> countsByType;
        std::map<std::string, std::map<std::string, std::int64_t>> refusals;
        std::int64_t tokens = 0;
        std::int64_t resends = 0;
        std::vector<double> startLagMs;
        std::vector<double> timeToFirstTokenMs;
        std::vector<double> timeBetweenTokensMs;
        std::vector<double> nonStreamedMs;
        std::vector<double> serviceMs;
    };

    static void add(const RequestOutcome &outcome, Statistics &statistics);
    static Json statisticsJson(const Statistics &statistics);
    Json workspacesJson() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    Json batchesJson() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
    bool countsAsWrong(const RequestOutcome &outcome) const;

    const bool m_cutIsWrong;
    mutable absl::Mutex m_mutex;
    Statistics m_overall ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, Statistics> m_workspaces ABSL_GUARDED_BY(m_mutex);
    std::vector<BatchOutcome> m_batches ABSL_GUARDED_BY(m_mutex);
    std::int64_t m_wrongCount ABSL_GUARDED_BY(m_mutex) = 0;
    /// History lines of the first wrong responses.
    std::vector<Json> m_wrongExamples ABSL_GUARDED_BY(m_mutex);
};

/// Returns count, p50, p95, p99 and max of \a values; the quantiles use the nearest rank.
Json quantiles(std::vector<double> values);

} // namespace rattanrill::load
