#include "benchpolicy.h"

#include "baselinepolicy.h"
#include "schedulerpolicy.h"

#include "rattanrill/base/enumnames.h"

namespace rattanrill::policy::bench {

namespace {

constexpr std::array<EnumName<PolicyKind>, 5> policyNames{{
        {PolicyKind::Rattanrill, "rattanrill"},
        {PolicyKind::FirstComeFirstServed, "first_come_first_served"},
        {PolicyKind::StaticRateShare, "static_rate_share"},
        {PolicyKind::RoundRobin, "round_robin"},
        {PolicyKind::LeastReportedLoad, "least_reported_load"},
}};

/// Share of the slots that batch tasks may fill: every slot, as in a system that doesn't
/// distinguish them from online tasks.
constexpr double fcfsBatchFillLimit = 1.0;
/// The same for the other baselines.
constexpr double defaultBatchFillLimit = 0.9;

} // namespace

std::string_view name(PolicyKind kind)
{
    return nameOf(policyNames, kind);
}

std::unique_ptr<BenchPolicy> makePolicy(PolicyKind kind, const SchedulerSettings &settings,
                                        std::uint64_t seed)
{
    switch (kind) {
    case PolicyKind::FirstComeFirstServed:
        return std::make_unique<BaselinePolicy>(BaselineRules{false, fcfsBatchFillLimit});
    case PolicyKind::RoundRobin:
        return std::make_unique<BaselinePolicy>(BaselineRules{true, defaultBatchFillLimit});
    case PolicyKind::LeastReportedLoad:
        return std::make_unique<BaselinePolicy>(BaselineRules{false, defaultBatchFillLimit});
    case PolicyKind::Rattanrill:
    case PolicyKind::StaticRateShare:
        break;
    }
    return std::make_unique<SchedulerPolicy>(settings, seed);
}

} // namespace rattanrill::policy::bench
