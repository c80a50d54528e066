#pragma once

#include "rattanrill/policy/tokenbucket.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::policy {

/// What would happen to a task that arrives now.
enum class PlacementOutcome {
    /// It gets a free slot.
    Granted,
    /// It gets the slot of a batch task, which is preempted.
    Preempts,
    Waits,
    Rejected,
    /// Its workspace has used up its rate.
    OverRate,
};

/// Why an upstream is not a candidate for a task.
enum class ExclusionReason {
    Leaving,
    /// Its failure domain is evacuated.
    Evacuated,
    /// Because of failed or unanswered requests.
    Ejected,
    /// Because of its share of server errors.
    Failing,
    /// Its warm-up rate is used up.
    Cold,
    /// Its request limit is used up.
    Limited,
    /// The task needs another version.
    OtherVersion,
    /// The task was sent there before.
    Excluded,
    NoFreeSlot,
    /// It has as many probes as it may get before its first load report since a takeover.
    LoadUnknown,
    /// Others are tried first because of server errors.
    PassedOver,
};

/// What selected the upstream among several candidates.
enum class SelectionRule {
    LeastCost,
    /// A candidate of another failure domain would otherwise cost no more.
    OwnFailureDomain,
    /// The candidates are equal but for their turn.
    NextTurn,
    OnlyCandidate,
};

std::string_view name(PlacementOutcome outcome);
std::string_view name(ExclusionReason reason);
std::string_view name(SelectionRule rule);

/// An upstream as a task that arrives now finds it.
struct UpstreamExplanation
{
    std::string id;
    std::string failureDomain;
    std::string version;
    std::int64_t slots = 0;
    /// Number of requests that hold slots of this scheduler.
    std::int64_t requests = 0;
    std::int64_t requestsOfOthers = 0;
    /// Absent when no load was reported.
    std::optional<absl::Duration> loadReportAge;
    /// Time that work takes there, as a multiple of the usual time.
    double pace = 1;
    /// Expected time until the task would end there; see expectedCost().
    double cost = 0;
    /// Longest time for which it remains cold; absent when it is warm.
    std::optional<absl::Duration> coldRemaining;
    /// Absent for a candidate.
    std::optional<ExclusionReason> reason;
    /// Time until the end of the ejection; absent for other reasons.
    std::optional<absl::Duration> reasonRemaining;
};

/// Rate bucket of a workspace.
struct WorkspaceRate
{
    /// Requests that may come into use at once.
    double level = 0;
    RateContract contract;
};

/// The decision for a task that arrives now, and what it is based on.
struct PlacementExplanation
{
    PlacementOutcome outcome = PlacementOutcome::Waits;
    /// Upstream of the slot; empty unless the task gets one.
    std::string upstream;
    /// Batch task that loses its slot; empty if there is none.
    std::string preemptedTask;
    /// Absent unless a free slot is granted.
    std::optional<SelectionRule> rule;
    /// Waits: expected wait of the last of the tasks that wait, without those that are rejected
    /// before. Rejected: Retry-After. OverRate: wait for a token of the workspace's rate. Absent
    /// when there is none, or no estimate.
    std::optional<absl::Duration> wait;
    /// Rejected: no upstream of the task's version accepts tasks.
    bool isVersionGone = false;
    /// Number of tasks that wait in the queues of the task's kind.
    std::size_t waitingTasks = 0;
    /// Time since the scheduler last decided. What has changed since then may give a slot to a task
    /// that waits. Absent before the first decision.
    std::optional<absl::Duration> lastDecisionAge;
    /// Absent when the task is charged to no rate. SlotScheduler doesn't know the rates.
    std::optional<WorkspaceRate> rate;
    /// The upstreams of the service.
    std::vector<UpstreamExplanation> upstreams;
};

} // namespace rattanrill::policy
