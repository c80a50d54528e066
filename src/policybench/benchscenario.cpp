#include "benchscenario.h"

#include "rattanrill/base/enumnames.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace rattanrill::policy::bench {

namespace {

constexpr std::array<EnumName<Scenario>, 6> scenarioNames{{
        {Scenario::Nominal, "nominal"},
        {Scenario::Surge, "surge_10x"},
        {Scenario::OnlineBurst, "online_burst"},
        {Scenario::LostDomain, "lost_domain"},
        {Scenario::LostUpstream, "lost_upstream"},
        {Scenario::Poison, "poison"},
}};

/// Contract rate relative to the nominal demand.
constexpr double contractHeadroom = 2;
/// Burst of a contract in seconds of its rate, and the smallest burst in requests.
constexpr double burstSeconds = 2;
constexpr double minBurst = 5;
/// Load of the surging workspace relative to its nominal demand.
constexpr double surgeFactor = 10;
constexpr double promptSigma = 0.6;
constexpr std::int64_t maxPromptTokens = 3000;
constexpr int prefixGroupsPerWorkspace = 4;
constexpr absl::Duration burstRamp = absl::Seconds(1);
constexpr absl::Duration burstLength = absl::Seconds(10);

using Random = std::mt19937_64;

double uniform(Random &random)
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

PlannedRequest makeRequest(const Deployment &deployment, int workspace, absl::Time at,
                           Random &random)
{
    PlannedRequest request;
    request.at = at;
    request.workspace = workspace;
    const double mu = std::log(deployment.promptTokens) - promptSigma * promptSigma / 2;
    const double prompt = std::lognormal_distribution<double>(mu, promptSigma)(random);
    request.promptTokens = std::clamp(std::llround(prompt), 16LL, (long long)maxPromptTokens);
    const double output =
            std::exponential_distribution<double>(1 / deployment.outputTokens)(random);
    request.outputTokens = std::clamp(std::llround(output), 8LL, 600LL);
    request.prefixGroup = workspace * prefixGroupsPerWorkspace
                          + static_cast<int>(uniform(random) * prefixGroupsPerWorkspace);
    request.entryChoice = uniform(random);
    return request;
}

/// Poisson arrivals of one workspace between two points in time.
void addArrivals(LoadPlan &plan, const Deployment &deployment, int workspace, double rate,
                 absl::Time begin, absl::Time end, Random &random)
{
    std::exponential_distribution<double> gap(rate);
    for (absl::Time at = begin + absl::Seconds(gap(random)); at < end;
         at += absl::Seconds(gap(random)))
        plan.online.push_back(makeRequest(deployment, workspace, at, random));
}

void addDisturbance(LoadPlan &plan, const Deployment &deployment, Scenario scenario,
                    const RunTimes &times, int workspace, double rate, Random &random)
{
    const absl::Time begin = times.disturbance();
    if (scenario == Scenario::Surge && workspace == 0)
        addArrivals(plan, deployment, workspace, rate * (surgeFactor - 1), begin, times.end(),
                    random);
    if (scenario == Scenario::OnlineBurst) {
        const double burst = plan.contracts[static_cast<std::size_t>(workspace)].burst;
        addArrivals(plan, deployment, workspace, burst / absl::ToDoubleSeconds(burstRamp), begin,
                    begin + burstRamp, random);
        addArrivals(plan, deployment, workspace, rate * (contractHeadroom - 1), begin,
                    begin + burstLength, random);
    }
}

Deployment garza()
{
    Deployment deployment;
    deployment.name = "garza";
    deployment.domains = 3;
    deployment.interDomainDelay = absl::Microseconds(1500);
    deployment.clientDelay = absl::Milliseconds(1);
    deployment.onlineRate = 36;
    deployment.shares = {0.30, 0.25, 0.20, 0.08, 0.06, 0.05, 0.04, 0.02};
    deployment.promptTokens = 500;
    deployment.outputTokens = 150;
    deployment.onlineTailWeight = 0;
    deployment.ttftRatioBound = 1.25;
    deployment.idleShareBound = 0.90;
    return deployment;
}

Deployment kabayo()
{
    Deployment deployment;
    deployment.name = "kabayo";
    deployment.domains = 4;
    deployment.interDomainDelay = absl::Milliseconds(1);
    deployment.clientDelay = absl::Milliseconds(3);
    deployment.onlineRate = 27;
    deployment.shares = {0.28, 0.24, 0.18, 0.10, 0.08, 0.06, 0.04, 0.02};
    deployment.promptTokens = 350;
    deployment.outputTokens = 120;
    deployment.onlineTailWeight = 1;
    deployment.ttftRatioBound = 1.10;
    deployment.idleShareBound = 0.80;
    return deployment;
}

} // namespace

std::string_view name(Scenario scenario)
{
    return nameOf(scenarioNames, scenario);
}

std::vector<Deployment> deployments()
{
    return {garza(), kabayo()};
}

LoadPlan makePlan(const Deployment &deployment, Scenario scenario, const RunTimes &times,
                  std::uint64_t seed)
{
    LoadPlan plan;
    for (std::size_t i = 0; i < deployment.shares.size(); ++i) {
        Random random(seed * 1000 + i);
        const double rate = deployment.onlineRate * deployment.shares[i];
        const double granted = rate * contractHeadroom;
        plan.contracts.push_back({granted, std::max(granted * burstSeconds, minBurst)});
        const int workspace = static_cast<int>(i);
        addArrivals(plan, deployment, workspace, rate, absl::UnixEpoch(), times.end(), random);
        addDisturbance(plan, deployment, scenario, times, workspace, rate, random);
    }
    if (scenario == Scenario::Poison) {
        Random random(seed);
        PlannedRequest poison = makeRequest(deployment, 3, times.disturbance(), random);
        poison.poison = true;
        plan.online.push_back(poison);
    }
    std::stable_sort(plan.online.begin(), plan.online.end(),
                     [](const auto &left, const auto &right) { return left.at < right.at; });
    return plan;
}

} // namespace rattanrill::policy::bench
