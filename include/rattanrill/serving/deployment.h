#pragma once

#include "rattanrill/base/result.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace rattanrill::serving {

/// What a request on a route is to the upstream.
enum class RouteKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once for each request of a caller.
    NonIdempotent,
    /// The answer is a series of events with increasing ids.
    Streaming,
    /// Jobs of many requests that run later.
    Batch,
};

std::string_view name(RouteKind kind);

/// A service that a route sends a share of its requests to.
struct RouteTarget
{
    std::string service;
    double weight = 1;
};

/// Requests of one host under one path prefix are passed to upstreams of some services.
struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    RouteKind kind = RouteKind::Idempotent;
    std::vector<RouteTarget> targets;
    /// Longest time that a request is kept waiting.
    absl::Duration timeout = absl::Seconds(30);
    /// Time to the whole answer, or to the first event, that counts as prompt.
    absl::Duration latencyObjective = absl::Seconds(1);
    /// Longest pause between two events that counts as prompt; zero when the route has no streams.
    absl::Duration interEventObjective;
    /// 0 is served first.
    int priority = 0;
    /// Upstreams that one request may be sent to.
    int maxAttempts = 1;
    /// No key is asked for.
    bool allowsAnonymous = false;
    /// A stream may go on at another upstream after its last event.
    bool resumable = false;
    /// Batch: after the job was handed in, its results are due after this time, and what is not
    /// done may be given up after the second one.
    absl::Duration completionObjective;
    absl::Duration abandonAfter;
    /// Batch: tokens that a workspace may have waiting on the route; 0 is no limit.
    std::int64_t maxWaitingTokens = 0;
};

struct Service
{
    std::string name;
    std::string healthPath;
    /// Connections that an upstream takes from all callers together.
    int maxConnections = 0;
    /// Requests that a model engine runs at once; 0 for a plain service.
    int engineSlots = 0;
};

/// A workspace with the keys and the rate that its contract grants.
struct Workspace
{
    std::string name;
    std::vector<std::string> keys;
    /// Goes before the route's priority; absent when negative.
    int priority = -1;
    /// 0: no limit.
    double ratePerSecond = 0;
    double burst = 0;
};

/// What callers may send, and how long they may take.
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

/// Fails with InvalidRequest, naming the place, when a route names an unknown service, two routes
/// share host and prefix, weights add up to 0, a timeout is 0, or workspaces share a key.
Result<void> checkDeployment(const Deployment &deployment);

/// Service that a request goes to, drawn by the weights of the route's targets from \a key, so that
/// all tries of a request agree.
const std::string &selectService(const Route &route, std::string_view key);

/// Lookups in one version; immutable.
class DeploymentIndex
{
public:
    explicit DeploymentIndex(Deployment deployment);

    const Deployment &deployment() const { return m_deployment; }
    std::uint64_t version() const { return m_deployment.version; }
    /// Route of \a host with the longest prefix of \a path; null when there is none.
    const Route *route(std::string_view host, std::string_view path) const;
    const Route *routeNamed(std::string_view name) const;
    const Service *service(std::string_view name) const;
    /// Workspace that holds \a key; null when none does.
    const Workspace *workspaceOfKey(std::string_view key) const;
    const Workspace *workspace(std::string_view name) const;
    /// Workspaces and their keys are configured, so that requests need a key.
    bool hasWorkspaces() const { return !m_deployment.workspaces.empty(); }

private:
    Deployment m_deployment;
    /// By host, then by prefix.
    std::map<std::string, std::map<std::string, const Route *, std::less<>>, std::less<>> m_routes;
    std::map<std::string, const Service *, std::less<>> m_services;
    std::map<std::string, const Workspace *, std::less<>> m_keys;
    std::map<std::string, const Workspace *, std::less<>> m_workspaces;
};

} // namespace rattanrill::serving
