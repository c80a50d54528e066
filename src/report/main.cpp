#include "objectives.h"
#include "rattanrill/base/clock.h"
#include "rattanrill/base/concat.h"
#include "rattanrill/settings/arguments.h"
#include "rattanrill/settings/program.h"
#include "rattanrill/settings/settingsfile.h"
#include "reportformats.h"
#include "snapshotsource.h"

#include "absl/synchronization/notification.h"

#include <csignal>
#include <fstream>
#include <iostream>

using namespace rattanrill;
using namespace rattanrill::report;

namespace {

namespace po = boost::program_options;

constexpr std::string_view programName = "rattanrill-report";

using Strings = std::vector<std::string>;

po::options_description optionsDescription()
{
    po::options_description options("Options");
    auto add = options.add_options();
    add("objectives", po::value<std::string>(), "objectives file (JSON)");
    add("snapshot", po::value<Strings>(), "TIME=FILE or TIME=URL, repeatable");
    add("snapshots", po::value<std::string>(), "folder of saved pages, SECONDS/INSTANCE.prom");
    add("url", po::value<Strings>(), "metrics page to read now, repeatable");
    add("samples", po::value<int>()->default_value(2), "number of times that each --url is read");
    add("interval", po::value<double>()->default_value(10), "seconds between readings");
    add("save", po::value<std::string>(), "folder in which pages read from --url are saved");
    add("log", po::value<Strings>(), "JSON log file, repeatable");
    add("json", "print JSON instead of text");
    add("html", po::value<std::string>(), "also write an HTML page to this file");
    add("fail-on-alert", "exit with code 1 when an objective has an alert");
    add("schema", "print the JSON schema of the objectives and exit");
    add("help", "print this help and exit");
    return options;
}

Strings stringsOf(const po::variables_map &values, const char *option)
{
    return values.count(option) > 0 ? values[option].as<Strings>() : Strings();
}

Result<Objectives> loadObjectives(const po::variables_map &values)
{
    if (values.count("objectives") == 0)
        return objectivesOf(Json::object());
    BOOST_LEAF_AUTO(json, loadSettings(values["objectives"].as<std::string>(), objectivesSchema()));
    return objectivesOf(json);
}

/// Reads all URLs once. An instance that does not respond is reported on standard error and left
/// out, because the report is needed most while some instances are down.
std::vector<MetricsPage> scrapeAll(const Strings &urls)
{
    const absl::Time now = SystemClock::instance().wallNow();
    std::vector<MetricsPage> pages;
    for (const std::string &url : urls) {
        const auto page = outcomeOf([&] { return scrape(url, now); });
        if (page.ok())
            pages.push_back(page.value());
        else
            std::cerr << programName << ": " << describe(page.failure()) << '\n';
    }
    return pages;
}

std::vector<MetricsPage> scrapeRepeatedly(const po::variables_map &values)
{
    const Strings urls = stringsOf(values, "url");
    std::vector<MetricsPage> pages;
    if (urls.empty())
        return pages;
    // Used for its timed wait only, to sleep between two readings.
    absl::Notification neverNotified;
    for (int i = 0; i < values["samples"].as<int>(); ++i) {
        if (i > 0)
            neverNotified.WaitForNotificationWithTimeout(
                    absl::Seconds(values["interval"].as<double>()));
        const std::vector<MetricsPage> reading = scrapeAll(urls);
        pages.insert(pages.end(), reading.begin(), reading.end());
    }
    return pages;
}

Result<std::vector<MetricsPage>> collectPages(const po::variables_map &values)
{
    std::vector<MetricsPage> pages;
    if (values.count("snapshots") > 0) {
        BOOST_LEAF_ASSIGN(pages, readSnapshotFolder(values["snapshots"].as<std::string>()));
    }
    for (const std::string &option : stringsOf(values, "snapshot")) {
        BOOST_LEAF_AUTO(page, readSnapshotOption(option));
        pages.push_back(std::move(page));
    }
    const std::vector<MetricsPage> scraped = scrapeRepeatedly(values);
    if (values.count("save") > 0)
        BOOST_LEAF_CHECK(savePages(scraped, values["save"].as<std::string>()));
    pages.insert(pages.end(), scraped.begin(), scraped.end());
    return pages;
}

Result<Report> makeReport(const po::variables_map &values)
{
    Report report;
    BOOST_LEAF_ASSIGN(report.objectives, loadObjectives(values));
    BOOST_LEAF_AUTO(pages, collectPages(values));
    BOOST_LEAF_AUTO(snapshots, snapshotsOf(pages));
    report.burn = makeBurnReport(FleetHistory(snapshots), report.objectives);
    for (const std::string &file : stringsOf(values, "log")) {
        BOOST_LEAF_AUTO(text, readFile(file));
        report.repairs.read(text);
    }
    return report;
}

Result<void> writeHtml(const Report &report, const std::string &file)
{
    std::ofstream stream(file, std::ios::binary);
    stream << htmlReport(report);
    stream.flush();
    if (!stream)
        return fail(notRun(ErrorCode::IoError, concat("cannot write \"", file, "\"")));
    return {};
}

bool hasAlert(const Report &report)
{
    for (const std::vector<BurnRow> *rows : {&report.burn.rows, &report.burn.fleet}) {
        for (const BurnRow &row : *rows) {
            if (row.alert)
                return true;
        }
    }
    return false;
}

int reportFailure(const Failure &failure, int exitCode)
{
    std::cerr << programName << ": " << describe(failure) << '\n';
    return exitCode;
}

bool printHelpOrSchema(const po::variables_map &values, const po::options_description &options)
{
    if (values.count("help") > 0) {
        std::cout << programName
                  << ": service-level burn from metrics and logs\n\nUsage: " << programName
                  << " --snapshot TIME=SOURCE... [options]\n\n"
                  << options;
        return true;
    }
    if (values.count("schema") > 0) {
        std::cout << Json::parse(objectivesSchema()).dump(2) << '\n';
        return true;
    }
    return false;
}

int print(const Report &report, const po::variables_map &values)
{
    if (values.count("json") > 0)
        std::cout << jsonReport(report).dump(2) << '\n';
    else
        std::cout << textReport(report);
    if (values.count("html") > 0) {
        const auto written =
                outcomeOf([&] { return writeHtml(report, values["html"].as<std::string>()); });
        if (!written.ok())
            return reportFailure(written.failure(), exitFailure);
    }
    return values.count("fail-on-alert") > 0 && hasAlert(report) ? exitFailure : exitOk;
}

} // namespace

int main(int argc, char **argv)
{
    // Writing to a closed connection or pipe must not terminate the program.
    std::signal(SIGPIPE, SIG_IGN);
    const po::options_description options = optionsDescription();
    const auto values = outcomeOf([&] { return parseArguments(options, argc, argv); });
    if (!values.ok())
        return reportFailure(values.failure(), exitUsage);
    if (printHelpOrSchema(values.value(), options))
        return exitOk;
    const auto report = outcomeOf([&] { return makeReport(values.value()); });
    if (!report.ok())
        return reportFailure(report.failure(), exitUsage);
    return print(report.value(), values.value());
}
