#pragma once

#include "commandspec.h"

#include "rattanrill/base/json.h"

#include <map>
#include <string>
#include <vector>

namespace rattanrill::ctl {

/// A command line, parsed according to the command table.
struct Invocation
{
    const CommandSpec *command = nullptr;
    /// Id in the request's path; empty when the command has none.
    std::string id;
    /// Members of the request's body, except the request id and the base revision.
    Json body = Json::object();
    /// Values of all options by name; an option given several times has its last value.
    std::map<std::string, std::string> options;
    /// Values of all "--server" options, in order.
    std::vector<std::string> servers;

    bool has(const std::string &option) const { return options.count(option) > 0; }
    /// Value of \a option, or \a fallback when it was not given.
    std::string value(const std::string &option, const std::string &fallback = {}) const
    {
        const auto found = options.find(option);
        return found == options.end() ? fallback : found->second;
    }
};

/// Parses \a arguments (without the program name). Fails with InvalidArgument.
Result<Invocation> parseArguments(const std::vector<std::string> &arguments);

} // namespace rattanrill::ctl
