#pragma once

#include "rattanrill/policy/slotscheduler.h"

#include <boost/test/unit_test.hpp>

#include <string>
#include <utility>
#include <vector>

namespace rattanrill::policy {

/// What a scheduler decides for one task.
struct TaskDecision
{
    PlacementOutcome outcome = PlacementOutcome::Waits;
    std::string upstream;
    std::string preemptedTask;
    absl::Duration retryAfter;
    bool isVersionGone = false;
};

inline TaskDecision decisionFor(const std::string &task, const std::vector<SlotDecision> &decisions)
{
    TaskDecision result;
    std::string preempted;
    for (const SlotDecision &decision : decisions) {
        // A preemption is followed by the grant of its slot.
        if (const auto *preemption = std::get_if<PreemptSlot>(&decision))
            preempted = preemption->task;
        if (const auto *grant = std::get_if<GrantSlot>(&decision)) {
            const std::string preemptedForGrant = std::exchange(preempted, std::string());
            if (grant->task == task)
                result = {preemptedForGrant.empty() ? PlacementOutcome::Granted
                                                    : PlacementOutcome::Preempts,
                          grant->upstream, preemptedForGrant, absl::ZeroDuration(), false};
        }
        const auto *rejection = std::get_if<RejectSlot>(&decision);
        if (rejection != nullptr && rejection->task == task)
            result = {PlacementOutcome::Rejected, "", "", rejection->retryAfter,
                      rejection->isVersionGone};
    }
    return result;
}

/// Checks that \a explanation is what was decided for the task.
inline void checkAgreement(const PlacementExplanation &explanation, const TaskDecision &decision)
{
    BOOST_TEST_REQUIRE(name(explanation.outcome) == name(decision.outcome));
    BOOST_TEST_REQUIRE(explanation.upstream == decision.upstream);
    BOOST_TEST_REQUIRE(explanation.preemptedTask == decision.preemptedTask);
    if (decision.outcome == PlacementOutcome::Rejected) {
        BOOST_TEST_REQUIRE((explanation.wait == decision.retryAfter));
        BOOST_TEST_REQUIRE(explanation.isVersionGone == decision.isVersionGone);
    }
    for (const UpstreamExplanation &upstream : explanation.upstreams) {
        const bool isGranted =
                decision.outcome == PlacementOutcome::Granted && upstream.id == decision.upstream;
        BOOST_TEST_REQUIRE((!isGranted || !upstream.reason));
    }
}

} // namespace rattanrill::policy
