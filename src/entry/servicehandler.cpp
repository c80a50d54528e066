#include "servicehandler.h"

#include "await.h"
#include "ejectionreport.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/hash.h"
#include "rattanrill/http/serversetup.h"
#include "rattanrill/net/headgrammar.h"
#include "rattanrill/service/credentials.h"

namespace rattanrill::entry {
namespace {

constexpr int maxAttempts = 3;
constexpr std::size_t maxIdempotencyKeyBytes = 255;
/// Workspace in the claims of requests on open routes; no workspace can have this name.
constexpr std::string_view openWorkspace = "/open";

/// Whether a service could resolve the path to a path other than the one by which the route was
/// selected.
bool isAmbiguous(std::string_view decoded, std::string_view raw)
{
    // With the appended slash, a last segment "." or ".." matches as well. A path that ends with a
    // slash then has an empty last segment and is ambiguous too.
    for (const std::string_view part : {"/../", "/./", "//"}) {
        if (concat(decoded, "/").find(part) != std::string::npos && decoded != "/")
            return true;
    }
    for (const std::string_view escape : {"%2f", "%2F", "%5c", "%5C", "%00", "\\"}) {
        if (raw.find(escape) != std::string_view::npos)
            return true;
    }
    return false;
}

std::string rawPath(const httplib::Request &request)
{
    return request.target.substr(0, request.target.find('?'));
}

std::string fingerprintOf(const service::ServiceRequest &request)
{
    return requestFingerprint(request.workspace, request.path, request.body);
}

std::string hashOf(const service::ServiceRequest &request)
{
    return sha256Hex(
            concat(request.method, " ", request.path, "?", request.query, "\n", request.body));
}

} // namespace

ServiceHandler::ServiceHandler(Context context, std::size_t maxBodyBytes, absl::Duration timeout)
    : m_context(context)
    , m_maxBodyBytes(maxBodyBytes)
    , m_timeout(timeout)
{}

bool ServiceHandler::handle(Exchange &exchange)
{
    const auto route = m_context.directory.view()->route(exchange.path());
    if (!route)
        return false;
    if (isAmbiguous(exchange.path(), rawPath(exchange.request())))
        exchange.sendFailure(notRun(ErrorCode::InvalidRequest,
                                    "the path has a dot segment, an empty segment or an escaped "
                                    "separator"));
    else
        serve(exchange, *route);
    return true;
}

std::optional<Caller> ServiceHandler::admitCaller(Exchange &exchange,
                                                  const wire::Route &route) const
{
    if (route.open) {
        // The key is recorded although it is not checked, so that it is not forwarded to the
        // service.
        Caller caller;
        const std::string header = exchange.header("Authorization");
        caller.key = header.substr(std::min(header.size(), header.find(' ') + 1));
        return caller;
    }
    std::optional<Caller> caller = m_context.admission.authenticate(exchange);
    if (caller && !m_context.admission.admit(exchange, *caller))
        return std::nullopt;
    return caller;
}

Outcome<service::ServiceRequest> ServiceHandler::makeRequest(Exchange &exchange,
                                                             const Caller &caller) const
{
    const Outcome<std::string> body = exchange.readBody(m_maxBodyBytes);
    if (!body.ok())
        return body.failure();
    service::ServiceRequest request;
    request.method = exchange.request().method;
    request.path = rawPath(exchange.request());
    request.query = service::stripCredentials(exchange.query(), caller.key);
    request.body = body.value();
    request.contentType = exchange.header("Content-Type");
    request.requestId = exchange.requestId();
    request.workspace = caller.workspace;
    request.deadline = m_context.clock.now() + m_timeout;
    // The HTTP server accepts control characters in a target, and decodes escapes in the values of
    // headers.
    if (!net::isValidTarget(concat(request.path, "?", request.query)))
        return notRun(ErrorCode::InvalidRequest, "the path or query has a control character");
    if (!net::isValidFieldValue(request.contentType))
        return notRun(ErrorCode::InvalidRequest, "\"Content-Type\" has a control character");
    for (const std::string *part : {&request.path, &request.body, &request.contentType}) {
        if (service::containsApiKey(*part, caller.key))
            return notRun(ErrorCode::InvalidRequest,
                          "the path, body or content type contains the API key");
    }
    return request;
}

void ServiceHandler::serve(Exchange &exchange, const wire::Route &route)
{
    const std::optional<Caller> caller = admitCaller(exchange, route);
    if (!caller)
        return;
    const Outcome<service::ServiceRequest> request = makeRequest(exchange, *caller);
    if (!request.ok()) {
        exchange.sendFailure(request.failure());
        return;
    }
    const std::string key = exchange.header("Idempotency-Key");
    if (key.size() > maxIdempotencyKeyBytes) {
        exchange.sendFailure(
                notRun(ErrorCode::InvalidRequest, "\"Idempotency-Key\" is longer than 255 bytes"));
        return;
    }
    bool replayed = false;
    const bool claimed = !route.idempotent && !key.empty();
    const ResponseOutcome response = claimed ? runClaimed(route, request.value(), key, replayed)
                                             : run(route, request.value());
    if (replayed)
        exchange.response().set_header("Idempotent-Replayed", "true");
    const std::optional<Failure> revoked = m_context.admission.keys().revoked(*caller);
    if (revoked) {
        exchange.sendFailure(*revoked);
    } else if (!response.ok()) {
        exchange.sendFailure(response.failure(), absl::Seconds(1));
    } else {
        exchange.response().status = response.value().status;
        exchange.response().set_content(response.value().body, response.value().contentType);
    }
}

ServiceHandler::ResponseOutcome ServiceHandler::run(const wire::Route &route,
                                                    const service::ServiceRequest &request)
{
    const std::int64_t nowMs = absl::ToUnixMillis(m_context.clock.wallNow());
    if (m_context.directory.view()->quarantinedRequest(fingerprintOf(request), nowMs))
        return notRun(ErrorCode::RequestQuarantined,
                      "the request crashed the upstreams that ran it");
    std::vector<std::string> excluded;
    bool mayHaveRunBefore = false;
    ResponseOutcome response =
            notRun(ErrorCode::UpstreamUnavailable,
                   concat("no instance of \"", route.service, "\" can take the request"));
    for (int i = 0; i < maxAttempts; ++i) {
        const std::size_t attemptsBefore = excluded.size();
        ResponseOutcome next = runAttempt(route, request, excluded);
        const bool attempted = excluded.size() > attemptsBefore;
        // When no further instance is available, the failure of the last attempt is kept.
        if (next.ok() || attempted)
            response = std::move(next);
        if (response.ok() || !attempted || response.failure().code == ErrorCode::Draining)
            break;
        mayHaveRunBefore = mayHaveRunBefore || response.failure().effect == EffectState::MayHaveRun;
        if (mayHaveRunBefore && !route.idempotent)
            break;
    }
    if (!response.ok() && mayHaveRunBefore)
        return mayHaveRun(response.failure().code, response.failure().detail);
    return response;
}

ServiceHandler::ResponseOutcome ServiceHandler::runAttempt(const wire::Route &route,
                                                           const service::ServiceRequest &request,
                                                           std::vector<std::string> &excluded)
{
    const ServiceTable::Client client = m_context.services.beginCall(route.service, excluded);
    if (!client)
        return notRun(ErrorCode::UpstreamUnavailable, "no further instance is available");
    const std::string &upstream = client->options().name;
    excluded.push_back(upstream);
    ResponseOutcome response = call(client, request);
    const bool lost = !response.ok() && response.failure().code == ErrorCode::ConnectionLost;
    bool crashed = false;
    if (lost) {
        const Outcome<Done> probe = client->probe();
        crashed = !probe.ok() && probe.failure().code == ErrorCode::UpstreamUnavailable;
    }
    const auto ejection = m_context.services.endCall(
            upstream, request.workspace, crashed ? CallEnd::Crashed : callEndOf(response));
    if (ejection)
        reportEjection(m_context.metrics, wire::UpstreamKind::Service, *ejection);
    if (crashed)
        reportCrash(fingerprintOf(request), upstream);
    return response;
}

ServiceHandler::ResponseOutcome ServiceHandler::call(const ServiceTable::Client &client,
                                                     const service::ServiceRequest &request)
{
    {
        absl::MutexLock lock(&m_mutex);
        m_calls.insert(client);
    }
    // Checked after the call is listed, so that abortCalls() misses no call that begins.
    ResponseOutcome response =
            m_context.shutdown.hasPassed()
                    ? ResponseOutcome(notRun(ErrorCode::Draining, "this instance is stopping"))
                    : client->call(request);
    absl::MutexLock lock(&m_mutex);
    m_calls.erase(m_calls.find(client));
    return response;
}

void ServiceHandler::abortCalls()
{
    absl::MutexLock lock(&m_mutex);
    for (const ServiceTable::Client &client : m_calls)
        client->abortCalls();
}

void ServiceHandler::reportCrash(const std::string &fingerprint, const std::string &upstream)
{
    m_context.metrics.count("rattanrill_upstream_crashes_total", {{"upstream", upstream}});
    // Waits for the record, because the next attempt must not start before it.
    (void)awaitOutcome<bool>([&](auto callback) {
        m_context.crashReporter.report(fingerprint, upstream, callback);
    });
}

ServiceHandler::ResponseOutcome ServiceHandler::responseOf(const wire::ClaimStatus &claim) const
{
    if (claim.state != wire::ClaimState::Finished)
        return mayHaveRun(
                ErrorCode::DuplicateRequest,
                "a request with this Idempotency-Key is already running or ended without an "
                "answer");
    return service::ServiceResponse{static_cast<int>(claim.status), claim.contentType, claim.body};
}

ServiceHandler::ResponseOutcome ServiceHandler::runClaimed(const wire::Route &route,
                                                           const service::ServiceRequest &request,
                                                           const std::string &idempotencyKey,
                                                           bool &replayed)
{
    const std::string workspace = route.open ? std::string(openWorkspace) : request.workspace;
    const ClaimKey key{workspace, "service/" + idempotencyKey, hashOf(request), request.requestId};
    const Outcome<wire::ClaimStatus> claim = m_context.claims.claim(key);
    if (!claim.ok())
        return claim.failure();
    if (!claim.value().won) {
        replayed = claim.value().state == wire::ClaimState::Finished;
        return responseOf(claim.value());
    }
    ResponseOutcome response = run(route, request);
    if (response.ok()) {
        (void)m_context.claims.finish(key, response.value().status, response.value().contentType,
                                      response.value().body);
    } else if (response.failure().effect == EffectState::NotRun) {
        m_context.claims.abandon(key);
    }
    return response;
}

} // namespace rattanrill::entry
