#include "rattanrill/settings/program.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/settings/arguments.h"
#include "rattanrill/settings/settingsfile.h"

#include <array>
#include <cstdio>
#include <iostream>

namespace rattanrill {
namespace {

namespace po = boost::program_options;

constexpr std::string_view version = "0.1.0";

po::options_description optionsDescription()
{
    po::options_description options("Options");
    auto add = options.add_options();
    add("settings", po::value<std::string>(), "settings file (JSON)");
    add("check", "check the settings and exit");
    add("schema", "print the JSON schema of the settings and exit");
    add("help", "print this help and exit");
    add("version", "print the version and exit");
    return options;
}

LogLevel logLevelOf(const std::string &levelName)
{
    for (const LogLevel level :
         {LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error}) {
        if (name(level) == levelName)
            return level;
    }
    return LogLevel::Info;
}

void setUpLogging(const ServerProgram &program, const Json &settings)
{
    LogSettings log;
    log.program = program.name;
    log.instance = settings.value("instance", "");
    log.failureDomain = settings.value("failureDomain", "");
    if (settings.contains("log")) {
        log.level = logLevelOf(settings.at("log").value("level", "info"));
        log.file = settings.at("log").value("file", "");
    }
    initLogging(log);
}

int reportUsage(const ServerProgram &program, const Failure &failure)
{
    std::cerr << program.name << ": " << describe(failure) << '\n';
    return exitUsage;
}

Result<Json> loadAndCheckSettings(const ServerProgram &program, const std::string &file)
{
    BOOST_LEAF_AUTO(settings, loadSettings(file, program.settingsSchema));
    if (program.checkSettings)
        BOOST_LEAF_CHECK(program.checkSettings(settings, file));
    return settings;
}

/// Handles "--help", "--version" and "--schema". Returns true if one of them was given, so that the
/// program exits.
bool printInformation(const ServerProgram &program, const po::variables_map &values,
                      const po::options_description &options)
{
    if (values.count("help") > 0) {
        std::cout << program.name << ": " << program.summary << "\n\nUsage: " << program.name
                  << " --settings FILE [--check]\n\n"
                  << options;
        return true;
    }
    if (values.count("version") > 0) {
        std::cout << program.name << ' ' << version << '\n';
        return true;
    }
    if (values.count("schema") > 0) {
        std::cout << Json::parse(program.settingsSchema).dump(2) << '\n';
        return true;
    }
    return false;
}

} // namespace

int runServerProgram(const ServerProgram &program, int argc, char **argv)
{
    const po::options_description options = optionsDescription();
    const auto values = outcomeOf([&] { return parseArguments(options, argc, argv); });
    if (!values.ok())
        return reportUsage(program, values.failure());
    if (printInformation(program, values.value(), options))
        return exitOk;
    if (values.value().count("settings") == 0)
        return reportUsage(program,
                           notRun(ErrorCode::InvalidArgument, "--settings FILE is missing"));
    const std::string file = values.value()["settings"].as<std::string>();
    const auto settings = outcomeOf([&] { return loadAndCheckSettings(program, file); });
    if (!settings.ok())
        return reportUsage(program, settings.failure());
    if (values.value().count("check") > 0) {
        std::cout << file << ": settings are valid\n";
        return exitOk;
    }
    setUpLogging(program, settings.value());
    return program.run(settings.value());
}

} // namespace rattanrill
