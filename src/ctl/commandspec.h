#pragma once

#include <string>
#include <vector>

namespace rattanrill::ctl {

class Session;
struct Invocation;

enum class ValueKind {
    Text,
    Number,
    Integer,
    /// Given without a value.
    Flag,
    /// JSON text.
    Json,
    /// REGION=SHARE, may be repeated.
    Shares,
};

struct OptionSpec
{
    /// With the leading "--".
    std::string name;
    /// Placeholder of the value in the help; empty for a flag.
    std::string value;
    ValueKind kind = ValueKind::Text;
    /// Member of the request's body; empty when the option is not sent.
    std::string key;
    /// What it does, with its unit.
    std::string help;
    /// Shown default; empty for a required option.
    std::string fallback;
    bool required = false;
};

struct PositionalSpec
{
    std::string name;
    /// Member of the request's body; empty when it is the id in the path.
    std::string key;
    ValueKind kind = ValueKind::Text;
    std::string help;
};

/// One row of the table of commands: parsing, help, pages and the request come from it.
struct CommandSpec
{
    /// Words on the command line, separated by a space.
    std::string words;
    std::string summary;
    std::string text;
    std::vector<PositionalSpec> positionals;
    std::vector<OptionSpec> options;
    std::string errors;
    std::string example;
    /// Request; the id follows \a path when a positional has no key.
    std::string method;
    std::string path;
    /// Part of the path after the id.
    std::string pathEnd;
    /// Member of a listed record that is its id; empty when writes have no base revision.
    std::string idKey;
    /// Members of a listed record that are shown as columns.
    std::vector<std::string> columns;
    int (Session::*handler)(const Invocation &) = nullptr;
};

} // namespace rattanrill::ctl
