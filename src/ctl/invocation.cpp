#include "invocation.h"

#include "commandtable.h"

#include "rattanrill/base/concat.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace rattanrill::ctl {
namespace {

boost::leaf::error_id usageError(std::string detail)
{
    return fail(notRun(ErrorCode::InvalidArgument, std::move(detail)));
}

Result<double> parseNumber(const std::string &argumentName, const std::string &text)
{
    char *end = nullptr;
    const double value = std::strtod(text.c_str(), &end);
    if (text.empty() || *end != '\0' || !std::isfinite(value))
        return usageError(concat(argumentName, ": \"", text, "\" is not a number"));
    return value;
}

Result<std::int64_t> parseInteger(const std::string &argumentName, const std::string &text)
{
    char *end = nullptr;
    errno = 0;
    const std::int64_t value = std::strtoll(text.c_str(), &end, 10);
    if (text.empty() || *end != '\0' || errno != 0 || value < 0)
        return usageError(concat(argumentName, ": \"", text, "\" is not a non-negative integer"));
    return value;
}

Result<Json> parseValue(const std::string &argumentName, ValueKind kind, const std::string &text)
{
    if (kind == ValueKind::Number) {
        BOOST_LEAF_AUTO(number, parseNumber(argumentName, text));
        return Json(number);
    }
    if (kind == ValueKind::Integer) {
        BOOST_LEAF_AUTO(number, parseInteger(argumentName, text));
        return Json(number);
    }
    if (kind == ValueKind::Flag)
        return Json(true);
    if (kind != ValueKind::Json)
        return Json(text);
    const auto parsed = outcomeOf([&] { return parseJson(text, argumentName); });
    if (!parsed.ok())
        return usageError(parsed.failure().detail);
    return parsed.value();
}

Result<void> addShare(Json &shares, const std::string &argumentName, const std::string &text)
{
    const std::size_t equals = text.find('=');
    if (equals == std::string::npos || equals == 0)
        return usageError(concat(argumentName, ": \"", text, "\" is not REGION=SHARE"));
    BOOST_LEAF_AUTO(share, parseNumber(argumentName, text.substr(equals + 1)));
    shares[text.substr(0, equals)] = share;
    return {};
}

const OptionSpec *findOption(const std::vector<OptionSpec> &options, const std::string &name)
{
    const auto found = std::find_if(options.begin(), options.end(),
                                    [&](const OptionSpec &spec) { return spec.name == name; });
    return found == options.end() ? nullptr : &*found;
}

/// Finds the option \a name among the common options and those of all commands. tokenize() uses it
/// to determine whether an option has a value, before the command is known.
const OptionSpec *findOptionOfAnyCommand(const std::string &name)
{
    if (const OptionSpec *common = findOption(commonOptions(), name))
        return common;
    for (const CommandSpec &command : commandTable()) {
        if (const OptionSpec *option = findOption(command.options, name))
            return option;
    }
    return nullptr;
}

struct GivenOption
{
    std::string name;
    std::string value;
};

struct Tokens
{
    std::vector<std::string> words;
    std::vector<GivenOption> options;
};

/// Splits the arguments into words and options; options may appear at any position.
Result<Tokens> tokenize(const std::vector<std::string> &arguments)
{
    Tokens tokens;
    for (std::size_t i = 0; i < arguments.size(); ++i) {
        const std::string &argument = arguments[i];
        if (argument.rfind("--", 0) != 0) {
            tokens.words.push_back(argument);
            continue;
        }
        const std::size_t equals = argument.find('=');
        const std::string name = argument.substr(0, equals);
        const OptionSpec *spec = findOptionOfAnyCommand(name);
        if (spec == nullptr)
            return usageError(concat("unknown option \"", name, "\""));
        GivenOption option{name, ""};
        if (spec->kind != ValueKind::Flag && equals != std::string::npos)
            option.value = argument.substr(equals + 1);
        else if (spec->kind != ValueKind::Flag && i + 1 < arguments.size())
            option.value = arguments[++i];
        else if (spec->kind != ValueKind::Flag || equals != std::string::npos)
            return usageError(concat(name, spec->kind == ValueKind::Flag ? " takes no value"
                                                                         : " needs a value"));
        tokens.options.push_back(std::move(option));
    }
    return tokens;
}

std::size_t wordCount(const CommandSpec &command)
{
    return 1
           + static_cast<std::size_t>(std::count(command.words.begin(), command.words.end(), ' '));
}

Result<const CommandSpec *> findCommand(const std::vector<std::string> &words)
{
    for (const CommandSpec &command : commandTable()) {
        std::string leadingWords;
        for (std::size_t i = 0; i < std::min(words.size(), wordCount(command)); ++i)
            leadingWords += (i == 0 ? "" : " ") + words[i];
        if (leadingWords == command.words)
            return &command;
    }
    if (words.empty())
        return usageError("no command given; \"rattanrillctl help\" lists the commands");
    return usageError(concat("unknown command \"", words[0], words.size() > 1 ? " " + words[1] : "",
                             "\"; \"rattanrillctl help\" lists the commands"));
}

Result<void> parsePositionals(Invocation &invocation, const std::vector<std::string> &words)
{
    const CommandSpec &command = *invocation.command;
    const std::size_t first = wordCount(command);
    const std::size_t count = command.positionals.size();
    if (words.size() > first + count)
        return usageError(concat("\"", command.words, "\": \"", words[first + count],
                                 "\" is an unexpected argument"));
    if (words.size() < first + count)
        return usageError(concat("\"", command.words, "\": ",
                                 command.positionals[words.size() - first].name, " is missing"));
    for (std::size_t i = 0; i < count; ++i) {
        const PositionalSpec &spec = command.positionals[i];
        if (spec.key.empty()) {
            invocation.id = words[first + i];
            continue;
        }
        BOOST_LEAF_ASSIGN(invocation.body[spec.key],
                          parseValue(spec.name, spec.kind, words[first + i]));
    }
    return {};
}

Result<void> parseOption(Invocation &invocation, const GivenOption &option)
{
    const OptionSpec *spec = findOption(commonOptions(), option.name);
    if (spec == nullptr)
        spec = findOption(invocation.command->options, option.name);
    if (spec == nullptr)
        return usageError(
                concat("\"", invocation.command->words, "\" has no option ", option.name));
    invocation.options[option.name] = option.value;
    if (option.name == "--server")
        invocation.servers.push_back(option.value);
    if (spec->kind == ValueKind::Shares)
        return addShare(invocation.body[spec->key], option.name, option.value);
    if (spec->kind == ValueKind::Texts) {
        invocation.body[spec->key].push_back(option.value);
        return {};
    }
    // Options that are not part of the request are also validated before anything is sent.
    BOOST_LEAF_AUTO(value, parseValue(option.name, spec->kind, option.value));
    if (!spec->key.empty())
        invocation.body[spec->key] = std::move(value);
    return {};
}

Result<void> checkRequired(const Invocation &invocation)
{
    for (const OptionSpec &option : invocation.command->options) {
        if (option.required && !invocation.has(option.name))
            return usageError(concat("\"", invocation.command->words, "\" needs ", option.name));
    }
    return {};
}

} // namespace

Result<Invocation> parseArguments(const std::vector<std::string> &arguments)
{
    BOOST_LEAF_AUTO(tokens, tokenize(arguments));
    Invocation invocation;
    BOOST_LEAF_ASSIGN(invocation.command, findCommand(tokens.words));
    for (const GivenOption &option : tokens.options)
        BOOST_LEAF_CHECK(parseOption(invocation, option));
    if (invocation.has("--help"))
        return invocation;
    BOOST_LEAF_CHECK(parsePositionals(invocation, tokens.words));
    BOOST_LEAF_CHECK(checkRequired(invocation));
    return invocation;
}

} // namespace rattanrill::ctl
