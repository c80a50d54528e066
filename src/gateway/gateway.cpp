#include "rattanrill/gateway/gateway.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/logger.h"

#include <algorithm>
#include <utility>

namespace rattanrill::gateway {
namespace {

/// Longest time for which a request is held until the first configuration arrives.
constexpr absl::Duration configurationTimeout = absl::Milliseconds(1500);
/// Requests are held only within this time after the start of the process. If no configuration has
/// arrived by then, none is expected soon.
constexpr absl::Duration startupTime = absl::Seconds(5);
/// Number of held requests above which further ones are refused.
constexpr std::size_t maxEarlyRequests = 512;
/// Retry-After while this entry process has no configuration yet.
constexpr absl::Duration startRetryAfter = absl::Seconds(1);
/// A configuration that has not been confirmed for longer than this may lack routes and keys that a
/// newer one has. Polls confirm it each half second.
constexpr absl::Duration maxConfigurationAge = absl::Milliseconds(1500);
/// Retry-After of a request that the configuration in force does not allow while it may be out of
/// date. Another entry may know a newer one.
constexpr absl::Duration outdatedRetryAfter = absl::Milliseconds(300);
/// Retry-After of a failed call to the stores.
constexpr absl::Duration storeRetryAfter = absl::Milliseconds(500);
/// Retry-After of a job that exceeds the limit of waiting tokens. Items that run for several
/// seconds must end before it can be accepted.
constexpr absl::Duration jobRetryAfter = absl::Seconds(1);
/// Retry-After of a request that this entry process may not complete before it ends. The caller
/// reaches another entry process, because the connection is closed.
constexpr absl::Duration shutdownRetryAfter = absl::Milliseconds(100);
/// Timeout of a call to the stores. A call that waits for new results has this much time in
/// addition to its wait.
constexpr absl::Duration storeTimeout = absl::Milliseconds(2500);

} // namespace

Gateway::Gateway(const serving::ServingContext &context, jobs::JobClient &jobs)
    : m_context(context)
    , m_jobs(jobs)
    , m_startedAt(context.clock.now())
{}

void Gateway::setDeployment(std::shared_ptr<const serving::DeploymentIndex> deployment)
{
    if (!m_deployment || deployment->version() > m_deployment->version())
        m_deployment = std::move(deployment);
    for (EarlyRequest &early : std::exchange(m_early, {})) {
        m_context.loop.timers().unsubscribe(early.timer);
        route(early.exchange, std::move(early.caller));
    }
}

const std::shared_ptr<const serving::DeploymentIndex> &Gateway::deployment() const
{
    return m_deployment;
}

void Gateway::serve(std::shared_ptr<net::Exchange> exchange)
{
    auto caller = outcomeOf([&] { return m_context.protocol.parseRequest(exchange->request()); });
    if (!caller.ok())
        return refuse(exchange, "", caller.failure(), absl::ZeroDuration());
    if (m_deployment)
        return route(exchange, std::move(caller.value()));
    const bool isExpected =
            m_context.clock.now() - m_startedAt < startupTime
            && m_context.shutdown.admits(exchange->receivedAt(), absl::InfiniteFuture());
    if (isExpected && m_early.size() < maxEarlyRequests)
        return hold(exchange, std::move(caller.value()));
    refuseEarly(exchange, caller.value());
}

void Gateway::hold(const std::shared_ptr<net::Exchange> &exchange, serving::CallerRequest caller)
{
    const auto early = m_early.insert(m_early.end(), {exchange, std::move(caller), 0});
    // At most half of the caller's timeout, so that time is left to serve the request.
    const absl::Duration wait = std::min(configurationTimeout, early->caller.timeout / 2);
    early->timer = m_context.loop.timers().subscribeOnce(wait, [this, early] {
        const EarlyRequest expired = std::move(*early);
        m_early.erase(early);
        refuseEarly(expired.exchange, expired.caller);
    });
}

void Gateway::refuseEarly(const std::shared_ptr<net::Exchange> &exchange,
                          const serving::CallerRequest &caller)
{
    refuse(exchange, caller.id,
           notRun(ErrorCode::UpstreamUnavailable, "no configuration has been received yet"),
           startRetryAfter);
}

void Gateway::route(const std::shared_ptr<net::Exchange> &exchange, serving::CallerRequest caller)
{
    const net::Request &request = exchange->request();
    const bool isJobCall = m_context.protocol.isJobCall(request);
    const serving::Route *route =
            isJobCall ? nullptr : m_deployment->route(caller.host, request.path());
    if (!isJobCall && route == nullptr)
        return refuseUnknown(
                exchange, caller.id,
                notRun(ErrorCode::UnknownRoute,
                       concat("the path matches no route for host \"", caller.host, "\"")));
    const serving::Workspace *workspace = m_deployment->workspaceOfKey(caller.apiKey);
    const bool needsKey = m_deployment->hasWorkspaces() && (isJobCall || !route->allowsAnonymous);
    if (needsKey && workspace == nullptr)
        return refuseUnknown(
                exchange, caller.id,
                notRun(caller.apiKey.empty() ? ErrorCode::MissingKey : ErrorCode::InvalidKey,
                       "the API key is missing or belongs to no workspace"));
    if (isJobCall || route->kind == serving::RouteKind::Batch) {
        static const serving::Workspace anonymous;
        return serveJobCall(exchange, caller, workspace == nullptr ? anonymous : *workspace, route);
    }
    if (refuseBeforeEnd(exchange, caller.id, std::min(caller.timeout, route->timeout)))
        return;
    serving::RoutedRequest routed;
    routed.deployment = m_deployment;
    routed.route = route;
    routed.workspace = workspace == nullptr ? std::string() : workspace->name;
    routed.priority = workspace != nullptr && workspace->priority >= 0 ? workspace->priority
                                                                       : route->priority;
    routed.caller = std::move(caller);
    serving::proxyRequest(m_context, std::move(routed), exchange);
}

void Gateway::serveJobCall(const std::shared_ptr<net::Exchange> &exchange,
                           const serving::CallerRequest &caller,
                           const serving::Workspace &workspace, const serving::Route *route)
{
    auto call =
            outcomeOf([&] { return m_context.protocol.parseJobCall(exchange->request(), caller); });
    if (!call.ok())
        return refuse(exchange, caller.id, call.failure(), absl::ZeroDuration());
    if (auto *submission = std::get_if<serving::SubmitJobCall>(&call.value())) {
        if (route == nullptr)
            return refuseUnknown(
                    exchange, caller.id,
                    notRun(ErrorCode::UnknownRoute, "the request matches no batch route"));
        submission->job.workspace = workspace.name;
        submission->job.route = route->name;
        submission->job.host = caller.host;
        return submit(exchange, std::move(submission->job), std::min(caller.timeout, storeTimeout));
    }
    if (const auto *read = std::get_if<serving::ReadJobCall>(&call.value()))
        return readResults(exchange, *read, workspace.name);
    if (const auto *item = std::get_if<serving::ReadItemCall>(&call.value()))
        return readItem(exchange, *item, workspace.name);
    cancelJob(exchange, std::get<serving::CancelJobCall>(call.value()), workspace.name);
}

void Gateway::submit(const std::shared_ptr<net::Exchange> &exchange, wire::JobRecord job,
                     absl::Duration timeout)
{
    const std::string id = job.id;
    if (refuseBeforeEnd(exchange, id, timeout))
        return;
    m_jobs.submit(wire::SubmitJobRequest{std::move(job), m_deployment->version()}, timeout,
                  [this, exchange, id](const Outcome<Done> &outcome) {
                      if (outcome.ok())
                          return exchange->respond(net::textResponse(202, "", "application/json"));
                      const bool isFull = outcome.failure().code == ErrorCode::RateLimited;
                      refuse(exchange, id, outcome.failure(),
                             isFull ? jobRetryAfter : storeRetryAfter);
                  });
}

void Gateway::readResults(const std::shared_ptr<net::Exchange> &exchange,
                          const serving::ReadJobCall &call, const std::string &workspace)
{
    if (refuseBeforeEnd(exchange, call.job, storeTimeout + call.wait))
        return;
    wire::ReadJobRequest request;
    request.workspace = workspace;
    request.job = call.job;
    request.after = call.after;
    request.waitMs = absl::ToInt64Milliseconds(call.wait);
    m_jobs.read(request, storeTimeout + call.wait,
                [this, exchange, id = call.job](const Outcome<wire::ReadJobResponse> &outcome) {
                    if (outcome.ok())
                        return exchange->respond(
                                m_context.protocol.jobResultsResponse(outcome.value()));
                    refuse(exchange, id, outcome.failure(), storeRetryAfter);
                });
}

void Gateway::readItem(const std::shared_ptr<net::Exchange> &exchange,
                       const serving::ReadItemCall &call, const std::string &workspace)
{
    if (refuseBeforeEnd(exchange, call.job, storeTimeout))
        return;
    m_jobs.readItem(
            wire::ReadItemRequest{workspace, call.job, call.item}, storeTimeout,
            [this, exchange, id = call.job](const Outcome<wire::ReadItemResponse> &outcome) {
                if (outcome.ok())
                    return exchange->respond(net::textResponse(200, outcome.value().body,
                                                               "application/octet-stream"));
                refuse(exchange, id, outcome.failure(), storeRetryAfter);
            });
}

void Gateway::cancelJob(const std::shared_ptr<net::Exchange> &exchange,
                        const serving::CancelJobCall &call, const std::string &workspace)
{
    if (refuseBeforeEnd(exchange, call.job, storeTimeout))
        return;
    m_jobs.cancel(wire::EndJobRequest{workspace, call.job}, storeTimeout,
                  [this, exchange, id = call.job](const Outcome<Done> &outcome) {
                      if (outcome.ok())
                          return exchange->respond(net::textResponse(200, "", "application/json"));
                      refuse(exchange, id, outcome.failure(), storeRetryAfter);
                  });
}

/// Refuses a request that the configuration in force does not allow. Callers read the error as
/// final, so it is not sent while a newer configuration may allow the request.
void Gateway::refuseUnknown(const std::shared_ptr<net::Exchange> &exchange,
                            const std::string &requestId, const Failure &failure)
{
    if (m_context.configurationAge() <= maxConfigurationAge)
        return refuse(exchange, requestId, failure, absl::ZeroDuration());
    refuse(exchange, requestId,
           notRun(ErrorCode::UpstreamUnavailable,
                  concat(failure.detail, "; the configuration may be out of date")),
           outdatedRetryAfter);
}

bool Gateway::refuseBeforeEnd(const std::shared_ptr<net::Exchange> &exchange,
                              const std::string &requestId, absl::Duration timeout)
{
    const absl::Time receivedAt = exchange->receivedAt();
    if (m_context.shutdown.admits(receivedAt, receivedAt + timeout))
        return false;
    refuse(exchange, requestId,
           notRun(ErrorCode::Draining, "this entry process may end before the request does"),
           shutdownRetryAfter);
    return true;
}

void Gateway::refuse(const std::shared_ptr<net::Exchange> &exchange, const std::string &requestId,
                     const Failure &failure, absl::Duration retryAfter)
{
    m_context.metrics.count("rattanrill_refusals_total",
                            {{"code", std::string(name(failure.code))}});
    const absl::Time now = m_context.clock.now();
    log(LogLevel::Info, "request-refused",
        {{"requestId", requestId},
         {"code", name(failure.code)},
         {"run", name(failure.effect)},
         {"detail", failure.detail},
         {"retryAfterMs", absl::ToInt64Milliseconds(retryAfter)},
         {"sinceStopMs", m_context.shutdown.elapsedMs(now)},
         {"stopLeftMs", m_context.shutdown.remainingMs(now)},
         {"configurationVersion", m_deployment ? m_deployment->version() : 0}});
    exchange->respond(m_context.protocol.errorResponse(failure, retryAfter));
}

} // namespace rattanrill::gateway
