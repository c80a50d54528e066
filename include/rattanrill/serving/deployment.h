#pragma once

#include "rattanrill/base/result.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::serving {

/// How the requests of a route are executed, which decides whether they may be repeated.
enum class RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// Each request of a caller runs at most once.
    NonIdempotent,
    /// The response is a series of events with increasing ids.
    Streaming,
    /// A request submits a job of many items, which run later.
    Batch,
};

std::string_view name(RouteKind kind);

/// A service that receives a share of a route's requests.
struct RouteTarget
{
    std::string service;
    double weight = 1;
};

/// Maps requests for one host under one path prefix to the services whose upstreams process them.
struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RouteKind kind = RouteKind::Idempotent;
    std::vector<RouteTarget> targets;
    /// Deadline of a request, counted from its arrival. A shorter timeout of the caller takes
    /// precedence.
    absl::Duration timeout = absl::Seconds(30);
    /// Longest time to the complete response, or on streams to the first event, that meets the
    /// objective.
    absl::Duration latencyObjective = absl::Seconds(1);
    /// Longest pause between two events that meets the objective; zero when the route has no
    /// streams.
    absl::Duration interEventObjective;
    /// Requests of priority 0 are served first.
    int priority = 0;
    /// Number of upstreams that one request may be sent to.
    int maxAttempts = 1;
    /// Requests without an API key are accepted.
    bool allowsAnonymous = false;
    /// A stream that breaks off may be resumed at another upstream after its last event.
    bool resumable = false;
    /// Batch routes only, both counted from the acceptance of the job: its results are due after
    /// completionObjective, and items that have not completed are abandoned after abandonAfter
    /// (zero: never).
    absl::Duration completionObjective;
    absl::Duration abandonAfter;
    /// Batch routes only: number of tokens that a workspace may have waiting on the route; 0 means
    /// no limit.
    std::int64_t maxWaitingTokens = 0;
};

/// A group of upstreams that process the same kind of request.
struct Service
{
    std::string name;
    std::string healthPath;
    /// Number of connections that an upstream accepts from all callers together.
    int maxConnections = 0;
    /// Number of requests that a model engine runs concurrently; 0 for a plain service.
    int engineSlots = 0;
    /// Time for which an upstream is cold after its start.
    absl::Duration warmUpTime{};
    /// Requests per second that a cold upstream accepts from all senders together; 0 means no
    /// limit.
    double warmUpRate = 0;
};

/// A workspace with its API keys and the request rate that its contract grants.
struct Workspace
{
    std::string name;
    std::vector<std::string> keys;
    /// Overrides the route's priority; a negative value means that the workspace sets none.
    int priority = -1;
    /// Requests per second; 0 means no limit.
    double ratePerSecond = 0;
    double burst = 0;
};

/// Limits on the size of callers' requests and on the time for receiving them.
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = std::size_t(4) << 20;
    absl::Duration headerTimeout = absl::Seconds(3);
    absl::Duration idleTimeout = absl::Seconds(15);
};

/// One version of a deployment's configuration.
struct Deployment
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Workspace> workspaces;
    CallerLimits limits;
};

/// Validates a configuration. Fails with InvalidRequest, naming the route, service or workspace,
/// when a route names an unknown service, two routes share host and prefix, a prefix does not begin
/// and end with a slash, a weight is negative, weights add up to 0, a timeout is not positive, a
/// warm-up time is negative or longer than an hour, a warm-up rate is negative, or workspaces share
/// a key.
Result<void> checkDeployment(const Deployment &deployment);

/// Returns the service that processes a request. The choice follows the weights of the route's
/// targets and depends only on \a key, so that all attempts of a request select the same service.
/// The route must have passed checkDeployment().
const std::string &selectService(const Route &route, std::string_view key);
/// As above, among the services for which \a isAvailable is true if there is one with a weight.
std::string selectService(const Route &route, std::string_view key,
                          const std::function<bool(const std::string &service)> &isAvailable);

/// Looks up routes, services and workspaces in one version of the configuration. Immutable. Lookups
/// return null when there is no match; the pointers are valid as long as the index.
class DeploymentIndex
{
public:
    explicit DeploymentIndex(Deployment deployment);

    const Deployment &deployment() const { return m_deployment; }
    std::uint64_t version() const { return m_deployment.version; }
    /// Returns the route of \a host with the longest prefix of \a path. The case and the port of \a
    /// host are ignored.
    const Route *route(std::string_view host, std::string_view path) const;
    const Route *routeNamed(std::string_view name) const;
    const Service *service(std::string_view name) const;
    /// Returns the workspace that holds the API key \a key.
    const Workspace *workspaceOfKey(std::string_view key) const;
    const Workspace *workspace(std::string_view name) const;
    /// True when workspaces are configured. Requests then need an API key, except on routes that
    /// allow anonymous requests.
    bool hasWorkspaces() const { return !m_deployment.workspaces.empty(); }

private:
    Deployment m_deployment;
    /// By host (in lower case, without port), then by path prefix.
    std::map<std::string, std::map<std::string, const Route *, std::less<>>, std::less<>> m_routes;
    std::map<std::string, const Service *, std::less<>> m_services;
    std::map<std::string, const Workspace *, std::less<>> m_keys;
    std::map<std::string, const Workspace *, std::less<>> m_workspaces;
};

} // namespace rattanrill::serving
