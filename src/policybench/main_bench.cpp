#include "benchfigures.h"
#include "benchfleet.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

namespace {

using namespace rattanrill::policy::bench;

struct BenchOptions
{
    std::string deployment;
    std::string scenario;
    std::string policy;
    RunTimes times;
    std::uint64_t seed = 1;
    std::optional<double> onlineTailWeight;
};

constexpr std::array<Scenario, 6> scenarios{Scenario::Nominal,      Scenario::Surge,
                                            Scenario::OnlineBurst,  Scenario::LostDomain,
                                            Scenario::LostUpstream, Scenario::Poison};
constexpr std::array<PolicyKind, 5> policies{
        PolicyKind::Rattanrill, PolicyKind::FirstComeFirstServed, PolicyKind::StaticRateShare,
        PolicyKind::RoundRobin, PolicyKind::LeastReportedLoad};

/// Duration of a step of an engine with a full batch, a full chunk of prefill and full KV memory.
absl::Duration longestStep(const EngineModel &model)
{
    return model.stepBase + model.perDecodingRequest * model.maxBatch
           + model.perContextToken * model.kvCapacityTokens
           + model.perPrefillToken * model.prefillChunk;
}

/// Runs one combination and prints its figures. Returns whether all bounds hold.
bool runOne(const Deployment &deployment, Scenario scenario, PolicyKind policy,
            const BenchOptions &options)
{
    RunOptions run{scenario, policy, true, options.times, options.seed, options.onlineTailWeight};
    const BenchResult result = BenchFleet(deployment, run).run();
    BenchResult withoutBatch;
    if (scenario == Scenario::Nominal) {
        run.withBatch = false;
        withoutBatch = BenchFleet(deployment, run).run();
    }
    const LoadPlan plan = makePlan(deployment, scenario, options.times, options.seed);
    const FigureInput input{deployment, scenario,      plan,
                            result,     &withoutBatch, longestStep(deployment.engine)};
    bool pass = true;
    for (const Figure &figure : figuresOf(input)) {
        std::cout << jsonLine(deployment.name, name(scenario), name(policy), figure) << '\n';
        pass = pass && figure.passes();
    }
    return pass;
}

bool matches(const std::string &filter, std::string_view name)
{
    return filter == "all" || filter == name;
}

int runAll(const BenchOptions &options)
{
    bool pass = true;
    for (const Deployment &deployment : deployments()) {
        if (!matches(options.deployment, deployment.name))
            continue;
        for (const Scenario scenario : scenarios) {
            if (!matches(options.scenario, name(scenario)))
                continue;
            for (const PolicyKind policy : policies) {
                if (!matches(options.policy, name(policy)))
                    continue;
                const bool ok = runOne(deployment, scenario, policy, options);
                if (policy == PolicyKind::Rattanrill)
                    pass = pass && ok;
            }
        }
    }
    return pass ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    BenchOptions options;
    double warmup = 0;
    double measured = 0;
    po::options_description description("rattanrill-bench-policy");
    description.add_options()("help", "show this text")(
            "deployment", po::value(&options.deployment)->default_value("all"),
            "garza, kabayo or all")("scenario", po::value(&options.scenario)->default_value("all"),
                                    "nominal, surge_10x, online_burst, lost_domain, lost_upstream, "
                                    "poison or all")(
            "policy", po::value(&options.policy)->default_value("all"),
            "rattanrill, first_come_first_served, static_rate_share, round_robin, "
            "least_reported_load or all")("seed", po::value(&options.seed)->default_value(1),
                                          "seed of the load")(
            "warmup", po::value(&warmup)->default_value(20), "virtual seconds before measuring")(
            "measured", po::value(&measured)->default_value(120), "virtual seconds measured")(
            "tail-weight", po::value<double>(),
            "value of onlineTailWeight, 0 to 1, instead of the deployment's");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
        if (values.count("tail-weight") > 0)
            options.onlineTailWeight = values["tail-weight"].as<double>();
        if (values.count("help") > 0) {
            std::cout << description;
            return 0;
        }
    } catch (const po::error &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
    options.times.warmup = absl::Seconds(warmup);
    options.times.measured = absl::Seconds(measured);
    return runAll(options);
}
