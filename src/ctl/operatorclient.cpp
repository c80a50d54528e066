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
constexpr time_t readTimeoutSeconds = 30;
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
    failure.code = errorCodeFromName(error.value("code", "")).value_or(ErrorCode::Internal);
    failure.effect = error.value("run", "") == name(EffectState::NotRun) ? EffectState::NotRun
                                                                         : EffectState::MayHaveRun;
    failure.detail = error.value("message", "");
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

OperatorClient::HttpResponse OperatorClient::sendFollowingRedirects(std::string server,
                                                                    const std::string &method,
                                                                    const std::string &path,
                                                                    const std::string &body)
{
    for (int redirects = 0; redirects <= maxRedirects; ++redirects) {
        HttpResponse response = sendOnce(server, method, path, body);
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
                                                      const std::string &body) const
{
    const HostPort address = hostPort(server);
    httplib::Client client(address.host, address.port);
    client.set_connection_timeout(connectTimeoutSeconds);
    client.set_read_timeout(readTimeoutSeconds);
    httplib::Request request;
    request.method = method;
    request.path = concat(pathPrefix, path);
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
