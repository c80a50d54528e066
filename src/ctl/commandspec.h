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
    /// The option has no value.
    Flag,
    /// JSON text.
    Json,
    /// REGION=SHARE; the option may be repeated.
    Shares,
    /// Text; the option may be repeated.
    Texts,
};

struct OptionSpec
{
    /// With the leading "--".
    std::string name;
    /// Placeholder of the value in the help; empty for a flag.
    std::string placeholder;
    ValueKind kind = ValueKind::Text;
    /// Member of the request's body; empty when the option is not sent.
    std::string key;
    /// What the option does, with the unit of its value.
    std::string help;
    /// Default as the help shows it; empty for a required option.
    std::string defaultText;
    bool required = false;
};

struct PositionalSpec
{
    std::string name;
    /// Member of the request's body; empty when the argument is the id in the path.
    std::string key;
    ValueKind kind = ValueKind::Text;
    std::string help;
};

/// One row of the command table. The parser, the help, the Markdown pages and the request are all
/// derived from it.
struct CommandSpec
{
    /// Words that select the command, separated by spaces, such as "key add".
    std::string words;
    std::string summary;
    std::string description;
    std::vector<PositionalSpec> positionals;
    std::vector<OptionSpec> options;
    std::string errors;
    std::string example;
    /// HTTP method; empty when the command sends no request.
    std::string method;
    /// Path of the request; the id follows it when a positional argument has no key.
    std::string path;
    /// Part of the path after the id.
    std::string pathSuffix;
    /// Member that holds the id in a listed record, used to look up the base revision of a write.
    /// Empty when the base revision is not looked up.
    std::string idKey;
    /// Members of a listed record that are shown as columns.
    std::vector<std::string> columns;
    /// Kind of the servers, as the help names it.
    std::string serverNoun = "control instance";
    /// Help of "--server" for this command; empty when that of commonOptions() applies.
    std::string serverHelp;
    /// Whether the servers require the operator token.
    bool needsToken = true;
    int (Session::*handler)(const Invocation &) = nullptr;
};

} // namespace rattanrill::ctl
