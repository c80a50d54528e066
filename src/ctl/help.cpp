#include "help.h"

#include "commandtable.h"

#include "rattanrill/base/concat.h"

#include <algorithm>

namespace rattanrill::ctl {
namespace {

/// In characters.
constexpr std::size_t columnWidth = 34;

std::string padded(std::string text)
{
    text.resize(std::max(text.size() + 1, columnWidth), ' ');
    return text;
}

std::string optionText(const OptionSpec &option)
{
    return option.placeholder.empty() ? option.name : concat(option.name, " ", option.placeholder);
}

std::string synopsis(const CommandSpec &command)
{
    std::string text = "rattanrillctl " + command.words;
    for (const PositionalSpec &positional : command.positionals)
        text += " " + positional.name;
    for (const OptionSpec &option : command.options) {
        const std::string part = optionText(option);
        text += option.required ? " " + part : concat(" [", part, "]");
    }
    return text;
}

std::string defaultNote(const OptionSpec &option)
{
    if (option.required)
        return "required";
    return option.defaultText.empty() ? "" : concat("default: ", option.defaultText);
}

std::string optionLine(const OptionSpec &option)
{
    const std::string defaultText = defaultNote(option);
    return concat("  ", padded(optionText(option)), option.help,
                  defaultText.empty() ? "" : concat(" (", defaultText, ")"), "\n");
}

/// Help of the options of every command, as they apply to \a command.
std::string commonOptionLines(const CommandSpec &command)
{
    std::string text;
    for (OptionSpec option : commonOptions()) {
        if (option.name == "--server" && !command.serverHelp.empty())
            option.help = command.serverHelp;
        text += optionLine(option);
    }
    return text;
}

/// Escapes "|": in a Markdown table, a placeholder such as "engine|service" would end its column.
std::string escapedCell(std::string text)
{
    for (std::size_t at = text.find('|'); at != std::string::npos; at = text.find('|', at + 2))
        text.insert(at, "\\");
    return text;
}

std::string argumentRow(const std::string &name, const std::string &help,
                        const std::string &defaultText)
{
    return concat("| `", escapedCell(name), "` | ", escapedCell(help), " | ",
                  escapedCell(defaultText), " |\n");
}

std::string argumentTable(const CommandSpec &command)
{
    std::string text = "| argument | meaning and unit | default |\n|---|---|---|\n";
    for (const PositionalSpec &positional : command.positionals)
        text += argumentRow(positional.name, positional.help, "required");
    for (const OptionSpec &option : command.options)
        text += argumentRow(optionText(option), option.help,
                            option.required ? "required" : option.defaultText);
    return text;
}

} // namespace

std::string overviewText()
{
    std::string text = "rattanrillctl: operates a rattanrill deployment\n\n"
                       "Usage: rattanrillctl --server HOST:PORT --token-file FILE COMMAND ...\n\n"
                       "Commands:\n";
    for (const CommandSpec &command : commandTable())
        text += concat("  ", padded(command.words), command.summary, "\n");
    text += "\nOptions of every command:\n";
    for (const OptionSpec &option : commonOptions())
        text += optionLine(option);
    text += "\nExit codes: 0 success, 1 failure, 2 invalid arguments, 3 no server reached\n";
    return text;
}

std::string commandText(const CommandSpec &command)
{
    std::string text = concat(command.summary, "\n\nUsage: ", synopsis(command), "\n\n",
                              command.description, "\n\n");
    for (const PositionalSpec &positional : command.positionals)
        text += concat("  ", padded(positional.name), positional.help, "\n");
    for (const OptionSpec &option : command.options)
        text += optionLine(option);
    text += "\nOptions of every command:\n";
    return text + commonOptionLines(command);
}

std::string commandPage(const CommandSpec &command)
{
    const bool hasArguments = !command.positionals.empty() || !command.options.empty();
    return concat(
            "# rattanrillctl ", command.words, "\n\n", command.summary, ".\n\n",
            "## Synopsis\n\n```\n", synopsis(command), "\n```\n\n",
            "`--server`, `--token-file`, `--json`, `--base-revision` and `--request-id` are "
            "options of every command; see `rattanrillctl help`.\n\n",
            "## What it does\n\n", command.description, "\n\n",
            "## Arguments, units and defaults\n\n",
            hasArguments ? argumentTable(command) : std::string("None.\n"), "\n", "## Errors\n\n",
            command.errors, " Exit codes: 0 success, 1 failure, 2 invalid arguments, 3 no ",
            command.serverNoun, " reached.\n\n", "## Example\n\n```\n", command.example, "\n```\n");
}

std::string pageName(const CommandSpec &command)
{
    std::string name = command.words;
    std::replace(name.begin(), name.end(), ' ', '-');
    return name + ".md";
}

} // namespace rattanrill::ctl
