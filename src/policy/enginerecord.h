#pragma once

#include "rattanrill/policy/enginestate.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <utility>

namespace rattanrill::policy {

/// An engine with the tasks that this entry runs on it.
struct EngineRecord
{
    EngineRecord(EngineInfo info, OutlierSettings outlier)
        : state(std::move(info), outlier)
    {}

    EngineState state;
    std::set<TaskId> running;
    int suspectsRunning = 0;
    /// Number of running batch tasks whose preemption has been requested.
    int preempting = 0;
    /// Whether this entry prefers the engine for online tasks. Few entries prefer the same engine,
    /// so most prompts in prefill there belong to this entry, which counts them without waiting for
    /// a load report.
    bool preferred = false;
    /// Group of the engine in PrefillWindows.
    std::size_t windowGroup = 0;
    absl::Time nextBatchStart = absl::InfinitePast();
    /// Random value from 0 to 1 that is added to this entry's share of the free slots before the
    /// share is rounded down. Changes with each load report.
    double roundingOffset = 0;
    /// Whether the directory no longer lists the engine.
    bool removed = false;
};

} // namespace rattanrill::policy
