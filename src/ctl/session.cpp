#include "session.h"

#include "commandtable.h"
#include "help.h"
#include "tabletext.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"
#include "rattanrill/settings/program.h"

#include "absl/time/clock.h"

#include <cstdlib>
#include <fstream>
#include <ostream>

namespace rattanrill::ctl {
namespace {

constexpr std::size_t requestIdBytes = 16;
constexpr absl::Duration inForcePollInterval = absl::Milliseconds(100);
constexpr const char *defaultWaitSeconds = "10";

std::string percentEncoded(const std::string &text)
{
    static constexpr std::string_view unreservedCharacters =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
            "0123456789-_.~";
    static constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (unreservedCharacters.find(character) != std::string_view::npos)
            encoded += character;
        else
            encoded += {'%', digits[byte >> 4], digits[byte & 0xf]};
    }
    return encoded;
}

Result<std::string> readToken(const std::string &file)
{
    std::ifstream stream(file);
    std::string token;
    std::getline(stream, token);
    if (!stream && token.empty())
        return fail(notRun(ErrorCode::InvalidArgument,
                           concat("cannot read a token from \"", file, "\"")));
    return token;
}

std::string requestPath(const Invocation &invocation)
{
    const CommandSpec &command = *invocation.command;
    if (invocation.id.empty())
        return command.path;
    return concat(command.path, "/", percentEncoded(invocation.id), command.pathSuffix);
}

std::string plainText(const Json &value)
{
    return value.is_string() ? value.get<std::string>() : dumpJson(value);
}

/// Query parameters from the members of \a parameters. An array stands for a repeated one.
std::string queryText(const Json &parameters)
{
    std::string query;
    const auto add = [&query](const std::string &name, const Json &value) {
        query += concat(query.empty() ? "?" : "&", name, "=", percentEncoded(plainText(value)));
    };
    for (const auto &[name, value] : parameters.items()) {
        if (!value.is_array())
            add(name, value);
        for (const Json &element : value.is_array() ? value : Json::array())
            add(name, element);
    }
    return query;
}

} // namespace

Session::Session(std::ostream &out, std::ostream &err)
    : m_out(out)
    , m_err(err)
{}

int Session::run(const Invocation &invocation)
{
    if (invocation.has("--help")) {
        m_out << commandText(*invocation.command);
        return exitOk;
    }
    if (!invocation.command->method.empty()) {
        const auto connected = outcomeOf([&] { return connect(invocation); });
        if (!connected.ok())
            return reportFailure(connected.failure(), invocation.has("--json"));
    }
    return (this->*invocation.command->handler)(invocation);
}

Result<void> Session::connect(const Invocation &invocation)
{
    if (invocation.servers.empty())
        return fail(notRun(ErrorCode::InvalidArgument, "--server HOST:PORT is missing"));
    for (const std::string &server : invocation.servers) {
        const std::size_t colon = server.rfind(':');
        if (colon == std::string::npos || std::atoi(server.c_str() + colon + 1) <= 0)
            return fail(notRun(ErrorCode::InvalidArgument,
                               concat("--server: \"", server, "\" is not HOST:PORT")));
    }
    std::string token;
    if (invocation.command->needsToken) {
        if (!invocation.has("--token-file"))
            return fail(notRun(ErrorCode::InvalidArgument, "--token-file FILE is missing"));
        BOOST_LEAF_ASSIGN(token, readToken(invocation.value("--token-file")));
    }
    m_client = std::make_unique<OperatorClient>(invocation.servers, token);
    return {};
}

int Session::list(const Invocation &invocation)
{
    const auto response =
            outcomeOf([&] { return m_client->send("GET", requestPath(invocation), Json()); });
    if (!response.ok() || invocation.has("--json"))
        return printOutcome(invocation, response);
    m_out << tableText(invocation.command->columns, response.value().value("items", Json::array()));
    return exitOk;
}

int Session::write(const Invocation &invocation)
{
    return printOutcome(invocation, outcomeOf([&] { return sendWrite(invocation); }));
}

Result<Json> Session::sendWrite(const Invocation &invocation)
{
    Json body = invocation.body;
    BOOST_LEAF_ASSIGN(body["base_revision"], baseRevision(invocation));
    body["request_id"] = invocation.has("--request-id") ? invocation.value("--request-id")
                                                        : randomHex(requestIdBytes);
    return m_client->send(invocation.command->method, requestPath(invocation), body);
}

/// Returns the base revision from the command line or, without one, the current revision of the
/// record; 0 when the record does not exist.
Result<Json> Session::baseRevision(const Invocation &invocation)
{
    if (invocation.has("--base-revision"))
        return Json(std::strtoull(invocation.value("--base-revision").c_str(), nullptr, 10));
    const CommandSpec &command = *invocation.command;
    if (command.idKey.empty())
        return Json(0);
    BOOST_LEAF_AUTO(response, m_client->send("GET", command.path, Json()));
    for (const Json &item : response.value("items", Json::array())) {
        if (item.value(command.idKey, "") == invocation.id)
            return item.at("revision");
    }
    return Json(0);
}

int Session::addKey(const Invocation &invocation)
{
    const auto response = outcomeOf([&] { return sendWrite(invocation); });
    const bool hasKey = response.ok() && response.value().contains("key");
    if (!response.ok() || hasKey)
        return printOutcome(invocation, response);
    return reportFailure(
            mayHaveRun(
                    ErrorCode::DuplicateRequest,
                    concat("key id \"", response.value().value("key_id", ""),
                           "\" was added by an earlier request whose response contained the key; "
                           "if that response was lost, withdraw this key and add another")),
            invocation.has("--json"));
}

int Session::waitUntilInForce(const Invocation &invocation)
{
    const std::string path = concat("in_force?revision=", invocation.value("--revision"));
    const std::string seconds = invocation.value("--timeout", defaultWaitSeconds);
    const absl::Time deadline = absl::Now() + absl::Seconds(std::strtod(seconds.c_str(), nullptr));
    while (true) {
        const auto response = outcomeOf([&] { return m_client->send("GET", path, Json()); });
        if (!response.ok() || response.value().value("in_force", false))
            return printOutcome(invocation, response);
        if (absl::Now() >= deadline)
            return reportFailure(
                    notRun(ErrorCode::Timeout, concat("revision ", invocation.value("--revision"),
                                                      " is not in force on: ",
                                                      dumpJson(response.value().at("lacking")))),
                    invocation.has("--json"));
        absl::SleepFor(inForcePollInterval);
    }
}

int Session::status(const Invocation &invocation)
{
    const auto response =
            outcomeOf([&] { return m_client->send("GET", requestPath(invocation), Json()); });
    if (!response.ok() || invocation.has("--json"))
        return printOutcome(invocation, response);
    const Json &status = response.value();
    const bool confirmed = status.contains("revision");
    m_out << "revision: " << (confirmed ? dumpJson(status.at("revision")) : "not confirmed")
          << "\n\n"
          << tableText({"group", "leader", "term", "role", "commit_index", "applied_index",
                        "voters", "learners", "stopped"},
                       status.at("groups"))
          << '\n'
          << tableText({"instance", "failure_domain", "http_address", "revision"},
                       status.at("members"));
    return exitOk;
}

int Session::explainPlacement(const Invocation &invocation)
{
    const std::string path = concat(requestPath(invocation), queryText(invocation.body));
    const auto response = outcomeOf([&] { return m_client->readExplanation(path); });
    if (!response.ok() || invocation.has("--json"))
        return printOutcome(invocation, response);
    const Json &explanation = response.value();
    for (const std::string member :
         {"outcome", "upstream", "preempted_task", "rule", "expected_wait_ms", "retry_after_ms",
          "version_gone", "rate_wait_ms", "waiting_tasks", "last_decision_age_ms", "rate",
          "service", "services"}) {
        const Json value = explanation.value(member, Json());
        if (!value.is_null() && value != Json(false))
            m_out << member << ": " << plainText(value) << '\n';
    }
    m_out << '\n'
          << tableText(invocation.command->columns, explanation.value("upstreams", Json::array()));
    return exitOk;
}

int Session::help(const Invocation &invocation)
{
    if (!invocation.has("--markdown")) {
        m_out << overviewText();
        return exitOk;
    }
    const std::string selectedCommand = invocation.value("--command");
    for (const CommandSpec &command : commandTable()) {
        if (selectedCommand == command.words)
            m_out << commandPage(command);
        else if (selectedCommand.empty())
            m_out << "<!-- " << pageName(command) << " -->\n" << commandPage(command);
    }
    return exitOk;
}

int Session::printOutcome(const Invocation &invocation, const Outcome<Json> &outcome)
{
    const bool asJson = invocation.has("--json");
    if (!outcome.ok())
        return reportFailure(outcome.failure(), asJson);
    if (asJson) {
        m_out << dumpJson(outcome.value()) << '\n';
        return exitOk;
    }
    for (const auto &[key, value] : outcome.value().items())
        m_out << key << ": " << plainText(value) << '\n';
    return exitOk;
}

int Session::reportFailure(const Failure &failure, bool asJson)
{
    if (asJson) {
        const Json error = {{"code", name(failure.code)},
                            {"message", describe(failure)},
                            {"run", name(failure.effect)}};
        m_err << dumpJson(Json{{"error", error}}) << '\n';
    } else {
        m_err << "rattanrillctl: " << describe(failure) << " (" << name(failure.effect) << ")\n";
    }
    if (failure.code == ErrorCode::InvalidArgument)
        return exitUsage;
    return failure.code == ErrorCode::ConnectionLost ? exitUnreachable : exitFailure;
}

} // namespace rattanrill::ctl
