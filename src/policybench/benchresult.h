#pragma once

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rattanrill::policy::bench {

/// What one workspace asked for and got in the measured part of a run.
struct WorkspaceResult
{
    std::size_t demand = 0;
    /// Requests that an ideal bucket without delay grants.
    std::size_t inside = 0;
    std::size_t served = 0;
    std::size_t refused = 0;
    /// Refused because the owner of the bucket was lost and the next one may not grant yet.
    std::size_t refusedOwnerMoving = 0;
    /// Times at which granted requests came into use.
    std::vector<absl::Time> admitted;
};

/// Outcome of a run.
struct BenchResult
{
    std::vector<WorkspaceResult> workspaces;
    /// Seconds.
    std::vector<double> firstToken;
    std::vector<double> tokenGaps;
    /// Seconds from an online arrival to the freed place of the batch work preempted for it.
    std::vector<double> yields;
    /// Seconds from submission to a place on the engine, online work.
    std::vector<double> slotWaits;
    double batchPlaceSeconds = 0;
    double idlePlaceSeconds = 0;
    std::int64_t wastedTokens = 0;
    std::int64_t workedTokens = 0;
    std::int64_t batchTokens = 0;
    std::size_t batchLate = 0;
    std::size_t batchDue = 0;
    std::size_t batchLost = 0;
    std::size_t preemptions = 0;
    std::size_t poisonCrashes = 0;
    std::size_t innocentsHeld = 0;
    std::size_t requests = 0;
    std::size_t admissionMessages = 0;
    std::size_t decisions = 0;
    /// Wall clock, for the report only.
    double policySeconds = 0;
    /// Refusals by error code.
    std::map<std::string, std::size_t> refusals;
};

/// Value at \a share (0 to 1) of \a values; 0 when there are none.
double quantile(std::vector<double> values, double share);

} // namespace rattanrill::policy::bench
