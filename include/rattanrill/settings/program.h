#pragma once

#include "rattanrill/base/json.h"
#include "rattanrill/base/logger.h"

#include <functional>
#include <string>
#include <string_view>

namespace rattanrill {

/// Exit codes of all programs.
constexpr int exitOk = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

/// A program that is configured by a settings file and runs until it receives a stop signal.
struct ServerProgram
{
    std::string_view name;
    /// One line for the output of "--help".
    std::string_view summary;
    /// JSON schema of the settings.
    std::string_view settingsSchema;
    /// Checks constraints that the schema cannot express. \a source names the file.
    std::function<Result<void>(const Json &settings, const std::string &source)> checkSettings;
    /// Runs the program; returns the exit code.
    std::function<int(const Json &settings)> run;
};

/// Parses "--settings FILE", "--check", "--schema", "--help" and "--version", loads and checks the
/// settings, sets up logging from the members "instance", "failureDomain" and "log", and runs
/// \a program. Returns the exit code. Invalid arguments or settings are reported on standard error
/// and return exitUsage (2).
int runServerProgram(const ServerProgram &program, int argc, char **argv);

} // namespace rattanrill
