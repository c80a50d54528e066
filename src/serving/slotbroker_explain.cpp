#include "rattanrill/serving/slotbroker.h"

#include <optional>

/// Explanations of the decisions of a SlotBroker.
namespace rattanrill::serving {
namespace {

/// The rate is checked before a slot is requested.
void setOverRate(policy::PlacementExplanation &explanation, absl::Duration wait)
{
    explanation.outcome = policy::PlacementOutcome::OverRate;
    explanation.wait = wait;
    explanation.upstream.clear();
    explanation.preemptedTask.clear();
    explanation.rule.reset();
    explanation.isVersionGone = false;
}

} // namespace

policy::PlacementExplanation SlotBroker::explain(const wire::SlotRequest &request,
                                                 policy::TaskKind kind) const
{
    const absl::Time now = m_clock.now();
    const auto origin = request.resumed ? recordedOrigin(request) : std::nullopt;
    policy::SlotTask task = taskOf(now, std::string(), request, origin);
    task.kind = kind;
    const bool isBatch = kind == policy::TaskKind::Batch;
    if (isBatch)
        task.deadline = now + absl::Milliseconds(request.deadlineMs);
    policy::PlacementExplanation explanation = m_scheduler.explain(now, task);
    for (policy::UpstreamExplanation &upstream : explanation.upstreams) {
        const bool isEvacuated = upstream.reason == policy::ExclusionReason::Leaving
                                 && m_evacuatedUpstreams.count(upstream.id) != 0;
        if (isEvacuated)
            upstream.reason = policy::ExclusionReason::Evacuated;
    }
    // The items of a job are charged to no rate.
    if (isBatch || !request.chargesRate)
        return explanation;
    if (const policy::TokenBucket *rateBucket = bucket(request.workspace))
        explanation.rate = policy::WorkspaceRate{rateBucket->level(now), rateBucket->contract()};
    if (const auto wait = tokenWait(now, request))
        setOverRate(explanation, *wait);
    return explanation;
}

} // namespace rattanrill::serving
