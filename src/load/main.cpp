#include "historyfile.h"
#include "loadplan.h"
#include "loadrunner.h"
#include "loadsummary.h"
#include "promptfile.h"
#include "rattanrill/base/concat.h"
#include "rattanrill/settings/arguments.h"
#include "rattanrill/settings/program.h"
#include "rattanrill/settings/settingsfile.h"
#include "schedule.h"

#include <csignal>
#include <fstream>
#include <iostream>
#include <vector>

using namespace rattanrill;
using namespace rattanrill::load;

namespace {

namespace po = boost::program_options;

constexpr std::string_view programName = "rattanrill-load";

po::options_description optionsDescription()
{
    po::options_description options("Options (values given here override those of the plan file)");
    auto add = options.add_options();
    add("plan", po::value<std::string>(), "plan file (JSON)");
    add("target", po::value<std::vector<std::string>>(), "base URL, repeatable");
    add("workspace", po::value<std::vector<std::string>>(), "NAME=KEY, repeatable");
    add("rate", po::value<double>(), "requests per second of each --workspace");
    add("model", po::value<std::string>(), "model of the completions");
    add("prompts", po::value<std::string>(), "prompts (JSONL)");
    add("duration", po::value<double>(), "duration of the run in seconds");
    add("timeout", po::value<double>(), "seconds to wait for a response");
    add("stream-share", po::value<double>(), "share of streamed completions, 0 to 1");
    add("seed", po::value<std::int64_t>(), "seed of the schedule");
    add("summary", po::value<std::string>(), "summary file (JSON); default: standard output");
    add("history", po::value<std::string>(), "history file, one JSON line for each request");
    add("check", "check the plan and exit");
    add("schema", "print the JSON schema of the plan and exit");
    add("help", "print this help and exit");
    return options;
}

Json workspaceOption(const std::string &text, double rate)
{
    const std::size_t separator = std::min(text.find('='), text.size());
    const std::size_t keyStart = std::min(separator + 1, text.size());
    return {{"name", text.substr(0, separator)},
            {"key", text.substr(keyStart)},
            {"ratePerSecond", rate}};
}

template <typename T>
void copyOption(const po::variables_map &values, const char *option, const char *member, Json &plan)
{
    if (values.count(option) > 0)
        plan[member] = values[option].as<T>();
}

void applyOptions(const po::variables_map &values, Json &plan)
{
    copyOption<std::vector<std::string>>(values, "target", "targets", plan);
    copyOption<std::string>(values, "model", "model", plan);
    copyOption<std::string>(values, "prompts", "prompts", plan);
    copyOption<double>(values, "duration", "durationSeconds", plan);
    copyOption<double>(values, "timeout", "timeoutSeconds", plan);
    copyOption<double>(values, "stream-share", "streamShare", plan);
    copyOption<std::int64_t>(values, "seed", "seed", plan);
    if (values.count("workspace") == 0)
        return;
    const double rate = values.count("rate") > 0 ? values["rate"].as<double>() : 1;
    plan["workspaces"] = Json::array();
    for (const std::string &text : values["workspace"].as<std::vector<std::string>>())
        plan["workspaces"].push_back(workspaceOption(text, rate));
}

Result<LoadPlan> loadPlan(const po::variables_map &values)
{
    Json json = Json::object();
    std::string source = "command line";
    if (values.count("plan") > 0) {
        source = values["plan"].as<std::string>();
        BOOST_LEAF_AUTO(text, readTextFile(source));
        BOOST_LEAF_ASSIGN(json, parseJson(text, source));
    }
    applyOptions(values, json);
    BOOST_LEAF_AUTO(checked, parseSettings(dumpJson(json), source, loadPlanSchema()));
    return loadPlanOf(checked, source);
}

Result<std::vector<PlannedRequest>> scheduleOf(const LoadPlan &plan)
{
    std::vector<Json> prompts;
    if (!plan.prompts.empty()) {
        BOOST_LEAF_ASSIGN(prompts, readJsonLines(plan.prompts));
    }
    return makeSchedule(plan, prompts);
}

std::string textOption(const po::variables_map &values, const char *option)
{
    return values.count(option) > 0 ? values[option].as<std::string>() : std::string();
}

int reportFailure(const Failure &failure, int exitCode)
{
    std::cerr << programName << ": " << describe(failure) << '\n';
    return exitCode;
}

/// Writes the summary; false when the file cannot be written.
bool writeSummary(const Json &summary, const std::string &file)
{
    if (file.empty()) {
        std::cout << summary.dump(2) << '\n';
        return true;
    }
    std::ofstream stream(file, std::ios::binary);
    stream << summary.dump(2) << '\n';
    return stream.good();
}

int runPlan(const LoadPlan &plan, const std::vector<PlannedRequest> &schedule,
            const po::variables_map &values)
{
    // Writing to a closed connection must not terminate the process; httplib ignores SIGPIPE in
    // servers only.
    std::signal(SIGPIPE, SIG_IGN);
    LoadSummary summary(plan.cutIsWrong);
    HistoryFile history(textOption(values, "history"));
    if (!history.good())
        return reportFailure(notRun(ErrorCode::IoError, "cannot write the history file"),
                             exitUsage);
    LoadRunner(plan, summary, history).run(schedule);
    Json json = summary.json();
    json["seed"] = plan.seed;
    json["duration_s"] = absl::ToDoubleSeconds(plan.duration);
    json["targets"] = plan.targets;
    if (!history.good() || !writeSummary(json, textOption(values, "summary")))
        return reportFailure(
                mayHaveRun(ErrorCode::IoError, "cannot write the summary or history file"),
                exitFailure);
    return summary.wrongCount() == 0 ? exitOk : exitFailure;
}

bool printHelpOrSchema(const po::variables_map &values, const po::options_description &options)
{
    if (values.count("help") > 0) {
        std::cout << programName
                  << ": sends load over the HTTP interface for callers and checks the "
                     "responses\n\nUsage: "
                  << programName << " --plan FILE [options]\n\n"
                  << options;
        return true;
    }
    if (values.count("schema") > 0) {
        std::cout << Json::parse(loadPlanSchema()).dump(2) << '\n';
        return true;
    }
    return false;
}

} // namespace

int main(int argc, char **argv)
{
    const po::options_description options = optionsDescription();
    const auto values = outcomeOf([&] { return parseArguments(options, argc, argv); });
    if (!values.ok())
        return reportFailure(values.failure(), exitUsage);
    if (printHelpOrSchema(values.value(), options))
        return exitOk;
    const auto plan = outcomeOf([&] { return loadPlan(values.value()); });
    if (!plan.ok())
        return reportFailure(plan.failure(), exitUsage);
    const auto schedule = outcomeOf([&] { return scheduleOf(plan.value()); });
    if (!schedule.ok())
        return reportFailure(schedule.failure(), exitUsage);
    if (values.value().count("check") > 0) {
        std::cout << schedule.value().size() << " requests and " << plan.value().batches.size()
                  << " batch jobs\n";
        return exitOk;
    }
    return runPlan(plan.value(), schedule.value(), values.value());
}
