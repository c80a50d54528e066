#pragma once

#include "rattanrill/policy/enginestate.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <utility>

namespace rattanrill::policy {

/// An engine with the scheduler's own work on it.
struct EngineRecord
{
    EngineRecord(EngineInfo info, OutlierSettings outlier)
        : state(std::move(info), outlier)
    {}

    EngineState state;
    std::set<TaskId> running;
    int suspectsRunning = 0;
    int preempting = 0;
    /// This entry prefers the engine for online work. Every engine is preferred by few entries, so
    /// that most prompts in prefill there are this entry's own, which it knows of at once.
    bool preferred = false;
    /// Group of PrefillWindows.
    std::size_t windowGroup = 0;
    absl::Time nextBatchStart = absl::InfinitePast();
    /// Rounding of this entry's share of free slots, drawn anew with each report.
    double rounding = 0;
    /// The directory no longer lists the engine.
    bool removed = false;
};

} // namespace rattanrill::policy
