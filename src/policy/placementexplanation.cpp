#include "rattanrill/policy/placementexplanation.h"

#include "rattanrill/base/enumnames.h"

#include <array>

namespace rattanrill::policy {
namespace {

constexpr std::array<EnumName<PlacementOutcome>, 5> outcomeNames = {{
        {PlacementOutcome::Granted, "granted"},
        {PlacementOutcome::Preempts, "preempts"},
        {PlacementOutcome::Waits, "waits"},
        {PlacementOutcome::Rejected, "rejected"},
        {PlacementOutcome::OverRate, "over_rate"},
}};

constexpr std::array<EnumName<ExclusionReason>, 11> exclusionNames = {{
        {ExclusionReason::Leaving, "leaving"},
        {ExclusionReason::Evacuated, "evacuated"},
        {ExclusionReason::Ejected, "ejected"},
        {ExclusionReason::Failing, "failing"},
        {ExclusionReason::Cold, "cold"},
        {ExclusionReason::Limited, "limited"},
        {ExclusionReason::OtherVersion, "other_version"},
        {ExclusionReason::Excluded, "excluded"},
        {ExclusionReason::NoFreeSlot, "no_free_slot"},
        {ExclusionReason::LoadUnknown, "load_unknown"},
        {ExclusionReason::PassedOver, "passed_over"},
}};

constexpr std::array<EnumName<SelectionRule>, 4> ruleNames = {{
        {SelectionRule::LeastCost, "least_cost"},
        {SelectionRule::OwnFailureDomain, "own_failure_domain"},
        {SelectionRule::NextTurn, "next_turn"},
        {SelectionRule::OnlyCandidate, "only_candidate"},
}};

} // namespace

std::string_view name(PlacementOutcome outcome)
{
    return nameOf(outcomeNames, outcome);
}

std::string_view name(ExclusionReason reason)
{
    return nameOf(exclusionNames, reason);
}

std::string_view name(SelectionRule rule)
{
    return nameOf(ruleNames, rule);
}

} // namespace rattanrill::policy
