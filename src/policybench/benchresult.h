#pragma once

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rattanrill::policy::bench {

/// Requests of one workspace and their outcomes in the measured part of a run.
struct WorkspaceResult
{
    std::size_t demand = 0;
    /// Requests that a single bucket would grant if all entries reached it without delay.
    std::size_t withinRate = 0;
    std::size_t served = 0;
    std::size_t refused = 0;
    /// Requests refused because the owner of the bucket was lost and the new one may not grant yet.
    std::size_t refusedOwnerMoving = 0;
    /// For each request that was granted, the time from which the grant is valid.
    std::vector<absl::Time> admitted;
};

/// Outcome of a run.
struct BenchResult
{
    std::vector<WorkspaceResult> workspaces;
    /// Times to the first token, in seconds.
    std::vector<double> firstToken;
    /// Times between tokens, in seconds.
    std::vector<double> tokenGaps;
    /// Seconds from the arrival of an online task until the batch task preempted for it frees its
    /// slot.
    std::vector<double> preemptionDelays;
    /// Seconds that online tasks wait from submission until they get a slot on the engine.
    std::vector<double> slotWaits;
    double batchSlotSeconds = 0;
    double idleSlotSeconds = 0;
    std::int64_t wastedTokens = 0;
    std::int64_t computedTokens = 0;
    std::int64_t batchTokens = 0;
    std::size_t batchLate = 0;
    std::size_t batchDue = 0;
    std::size_t batchLost = 0;
    std::size_t preemptions = 0;
    std::size_t poisonCrashes = 0;
    /// Quarantined requests and batch items that cause no crash themselves.
    std::size_t bystandersQuarantined = 0;
    std::size_t requests = 0;
    std::size_t admissionMessages = 0;
    std::size_t decisions = 0;
    /// Wall-clock time spent in the policies, in seconds. Not reproducible, and used only in the
    /// report.
    double policySeconds = 0;
    /// Refusals by error code.
    std::map<std::string, std::size_t> refusals;
};

/// Returns the \a share quantile (0 to 1) of \a values, or 0 if \a values is empty.
double quantile(std::vector<double> values, double share);

} // namespace rattanrill::policy::bench
