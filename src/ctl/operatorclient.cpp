#include "operatorclient.h"

#include "rattanrill/base/concat.h"

#include "absl/time/clock.h"

#include <httplib.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <utility>

namespace rattanrill::ctl {
namespace {

/// Time limit of a request while servers respond with transient failures. Longer than an election
/// plus the time for which an instance waits for its group.
constexpr absl::Duration transientFailureTimeout = absl::Seconds(20);
/// Time limit of a request while no server responds.
constexpr absl::Duration unreachableTimeout = absl::Seconds(5);
/// Pause after all servers were tried without success.
constexpr absl::Duration retryInterval = absl::Milliseconds(100);
constexpr time_t connectTimeoutSeconds = 1;
/// Long enough for a membership change, whose response is sent after the new replica has caught up.
constexpr absl::Duration requestReadTimeout = absl::Seconds(30);
/// A store explains a placement at once; one that is paused must not delay the next server.
constexpr absl::Duration explanationReadTimeout = absl::Seconds(3);
/// Maximum number of consecutive redirects that are followed from one server.
constexpr int maxRedirects = 3;
constexpr int temporaryRedirect = 307;
constexpr std::string_view pathPrefix = "/operator/v1/";

/// Error codes after which a retry can succeed, at another instance or later at the same one.
constexpr std::array<std::string_view, 5> transientCodes = {
        "not_leader", "no_quorum", "proposal_lost", "stopped", "queue_full"};

struct HostPort
{
    std::string host;
    int port = 0;
};

HostPort hostPort(const std::string &server)
{
    const std::size_t colon = server.rfind(':');
    if (colon == std::string::npos)
        return HostPort{server, 0};
    std::string host = server.substr(0, colon);
    if (host.size() > 2 && host.front() == '[')
        host = host.substr(1, host.size() - 2);
    return HostPort{host, std::atoi(server.c_str() + colon + 1)};
}

/// Extracts "host:port" from "http://host:port/path".
std::string hostAndPortOf(const std::string &location)
{
    const std::size_t begin = location.find("//");
    if (begin == std::string::npos)
        return {};
    const std::size_t end = location.find('/', begin + 2);
    return location.substr(begin + 2, end == std::string::npos ? end : end - begin - 2);
}

/// Text of member \a key of \a object; empty if it is missing or no text.
std::string textOf(const Json &object, const std::string &key)
{
    const auto member = object.find(key);
    const bool isText = member != object.end() && member->is_string();
    return isText ? member->get<std::string>() : std::string();
}

Failure failureOf(int status, const std::string &body)
{
    const auto json = outcomeOf([&] { return parseJson(body, "answer"); });
    const bool hasErrorObject = json.ok() && json.value().is_object()
                                && json.value().contains("error")
                                && json.value().at("error").is_object();
    if (!hasErrorObject)
        return mayHaveRun(ErrorCode::Internal, concat("HTTP status ", status));
    const Json &error = json.value().at("error");
    Failure failure;
    failure.code = errorCodeFromName(textOf(error, "code")).value_or(ErrorCode::Internal);
    failure.effect = textOf(error, "run") == name(EffectState::NotRun) ? EffectState::NotRun
                                                                       : EffectState::MayHaveRun;
    failure.detail = textOf(error, "message");
    // Removes the name of the code, with which the message begins: describe() adds it again.
    const std::string prefix = concat(name(failure.code), ": ");
    if (failure.detail.rfind(prefix, 0) == 0)
        failure.detail = failure.detail.substr(prefix.size());
    else if (failure.detail == name(failure.code))
        failure.detail.clear();
    return failure;
}

bool isTransient(const Failure &failure)
{
    const std::string_view code = name(failure.code);
    return std::find(transientCodes.begin(), transientCodes.end(), code) != transientCodes.end();
}

/// Whether no other server would explain the placement. Only the broker refuses a query, or is not
/// ready.
bool isFinalForExplanation(const Failure &failure)
{
    return failure.code == ErrorCode::InvalidRequest || failure.code == ErrorCode::NotReady;
}

/// Whether the body of a response is the explanation of a placement. Other processes respond to all
/// paths of their metrics address with the metrics, as do stores of an earlier version.
bool isExplanation(const Json &body)
{
    return body.is_object() && body.contains("outcome");
}

} // namespace

OperatorClient::OperatorClient(std::vector<std::string> servers, std::string token)
    : m_servers(std::move(servers))
    , m_token(std::move(token))
{}

Result<Json> OperatorClient::send(const std::string &method, const std::string &path,
                                  const Json &body)
{
    const std::string text = dumpJson(body);
    const absl::Time start = absl::Now();
    Failure failure = notRun(ErrorCode::ConnectionLost, "no control instance was reached");
    m_anyAttemptMayHaveRun = false;
    while (true) {
        for (const std::string &server : m_servers) {
            const HttpResponse response = sendFollowingRedirects(server, method, path, text);
            if (response.status == 0)
                continue;
            if (response.status == 200)
                return parseJson(response.body, "answer");
            failure = failureOf(response.status, response.body);
            if (!isTransient(failure))
                return fail(failure);
            m_anyAttemptMayHaveRun =
                    m_anyAttemptMayHaveRun || failure.effect == EffectState::MayHaveRun;
        }
        const bool reached = failure.code != ErrorCode::ConnectionLost;
        if (absl::Now() - start > (reached ? transientFailureTimeout : unreachableTimeout))
            return fail(m_anyAttemptMayHaveRun ? mayHaveRun(failure.code, failure.detail)
                                               : failure);
        absl::SleepFor(retryInterval);
    }
}

Result<Json> OperatorClient::readExplanation(const std::string &path) const
{
    Failure failure = notRun(ErrorCode::ConnectionLost, "no server was reached");
    for (const std::string &server : m_servers) {
        const HttpResponse response =
                sendOnce(server, "GET", path, std::string(), explanationReadTimeout);
        if (response.status == 0)
            continue;
        if (response.status != 200) {
            failure = failureOf(response.status, response.body);
            if (isFinalForExplanation(failure))
                break;
            continue;
        }
        const auto json = outcomeOf([&] { return parseJson(response.body, "answer"); });
        if (json.ok() && isExplanation(json.value()))
            return json.value();
        failure = notRun(ErrorCode::MalformedMessage,
                         concat("server \"", server,
                                "\" gave no explanation: it is not a store of the users' "
                                "platform, or of an earlier version"));
    }
    return fail(failure);
}

OperatorClient::HttpResponse OperatorClient::sendFollowingRedirects(std::string server,
                                                                    const std::string &method,
                                                                    const std::string &path,
                                                                    const std::string &body)
{
    for (int redirects = 0; redirects <= maxRedirects; ++redirects) {
        HttpResponse response = sendOnce(server, method, path, body, requestReadTimeout);
        if (response.status == 0)
            m_anyAttemptMayHaveRun = m_anyAttemptMayHaveRun || response.body == "sent";
        if (response.status != temporaryRedirect)
            return response;
        server = hostAndPortOf(response.location);
    }
    return HttpResponse{};
}

OperatorClient::HttpResponse OperatorClient::sendOnce(const std::string &server,
                                                      const std::string &method,
                                                      const std::string &path,
                                                      const std::string &body,
                                                      absl::Duration readTimeout) const
{
    const HostPort address = hostPort(server);
    httplib::Client client(address.host, address.port);
    client.set_connection_timeout(connectTimeoutSeconds);
    client.set_read_timeout(absl::ToInt64Seconds(readTimeout));
    httplib::Request request;
    request.method = method;
    request.path = concat(pathPrefix, path);
    if (!m_token.empty())
        request.set_header("Authorization", concat("Bearer ", m_token));
    if (method != "GET") {
        request.set_header("Content-Type", "application/json");
        request.body = body;
    }
    const httplib::Result result = client.send(request);
    HttpResponse response;
    if (!result) {
        // Any error after the connection was established may mean that the request was sent.
        const bool sent = result.error() != httplib::Error::Connection
                          && result.error() != httplib::Error::ConnectionTimeout;
        response.body = sent ? "sent" : "";
        return response;
    }
    response.status = result->status;
    response.body = result->body;
    response.location = result->get_header_value("Location");
    return response;
}

} // namespace rattanrill::ctl
