#include "rattanrill/serving/deployment.h"

#include "rattanrill/base/concat.h"
#include "rattanrill/base/enumnames.h"
#include "rattanrill/base/hash.h"
#include "rattanrill/net/headgrammar.h"

#include "absl/strings/escaping.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <iterator>
#include <set>
#include <utility>

namespace rattanrill::serving {
namespace {

constexpr std::array<EnumName<RouteKind>, 4> routeKindNames = {{
        {RouteKind::Idempotent, "idempotent"},
        {RouteKind::NonIdempotent, "non_idempotent"},
        {RouteKind::Streaming, "streaming"},
        {RouteKind::Batch, "batch"},
}};

/// A longer time is an error of the writer: upstreams warm up within seconds.
constexpr absl::Duration maxWarmUpTime = absl::Hours(1);

/// Converts a host name to lower case and removes its port: neither affects which route matches.
std::string normalizedHost(std::string_view host)
{
    std::string text(host.substr(0, host.find(':')));
    std::transform(text.begin(), text.end(), text.begin(), [](char c) {
        return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    });
    return text;
}

boost::leaf::error_id invalid(std::string detail)
{
    return fail(notRun(ErrorCode::InvalidRequest, std::move(detail)));
}

/// Checks what becomes part of the requests to upstreams.
Result<void> checkNames(const Route &route)
{
    if (!net::isValidFieldValue(route.host))
        return invalid(concat("the host of route \"", absl::CHexEscape(route.name),
                              "\" has a control character"));
    if (!net::isValidTarget(route.pathPrefix))
        return invalid(concat("the prefix of route \"", absl::CHexEscape(route.name),
                              "\" has a space or a control character"));
    return {};
}

Result<void> checkNames(const Workspace &workspace)
{
    if (!net::isValidFieldValue(workspace.name))
        return invalid(concat("the name of workspace \"", absl::CHexEscape(workspace.name),
                              "\" has a control character"));
    return {};
}

Result<void> checkRoute(const Route &route, const std::set<std::string> &services)
{
    double weight = 0;
    for (const RouteTarget &target : route.targets) {
        if (services.count(target.service) == 0)
            return invalid(concat("route \"", route.name, "\" refers to the unknown service \"",
                                  target.service, "\""));
        if (target.weight < 0)
            return invalid(concat("route \"", route.name, "\" has a negative weight"));
        weight += target.weight;
    }
    if (weight <= 0)
        return invalid(concat("the weights of route \"", route.name, "\" add up to 0"));
    if (route.timeout <= absl::ZeroDuration())
        return invalid(concat("the timeout of route \"", route.name, "\" is not positive"));
    const std::string &prefix = route.pathPrefix;
    if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/')
        return invalid(concat("the prefix of route \"", route.name,
                              "\" does not begin and end with a slash"));
    return checkNames(route);
}

Result<void> checkWarmUp(const Service &service)
{
    if (service.warmUpTime < absl::ZeroDuration())
        return invalid(concat("the warm-up time of service \"", service.name, "\" is negative"));
    if (service.warmUpTime > maxWarmUpTime)
        return invalid(concat("the warm-up time of service \"", service.name,
                              "\" is longer than an hour"));
    if (!(service.warmUpRate >= 0))
        return invalid(concat("the warm-up rate of service \"", service.name, "\" is negative"));
    return {};
}

Result<void> checkKeys(const std::vector<Workspace> &workspaces)
{
    std::map<std::string, std::string> workspaceOfKey;
    for (const Workspace &workspace : workspaces) {
        for (const std::string &key : workspace.keys) {
            const auto [found, isNew] = workspaceOfKey.emplace(key, workspace.name);
            if (!isNew && found->second != workspace.name)
                return invalid(concat("workspaces \"", found->second, "\" and \"", workspace.name,
                                      "\" share a key"));
        }
    }
    return {};
}

} // namespace

std::string_view name(RouteKind kind)
{
    return nameOf(routeKindNames, kind);
}

Result<void> checkDeployment(const Deployment &deployment)
{
    std::set<std::string> services;
    for (const Service &service : deployment.services) {
        BOOST_LEAF_CHECK(checkWarmUp(service));
        services.insert(service.name);
    }
    std::set<std::pair<std::string, std::string>> hostsAndPrefixes;
    for (const Route &route : deployment.routes) {
        BOOST_LEAF_CHECK(checkRoute(route, services));
        if (!hostsAndPrefixes.emplace(normalizedHost(route.host), route.pathPrefix).second)
            return invalid(concat("two routes have host \"", route.host, "\" and prefix \"",
                                  route.pathPrefix, "\""));
    }
    for (const Workspace &workspace : deployment.workspaces)
        BOOST_LEAF_CHECK(checkNames(workspace));
    return checkKeys(deployment.workspaces);
}

const std::string &selectService(const Route &route, std::string_view key)
{
    // Number of positions that hashes of keys are mapped to.
    constexpr std::uint64_t resolution = 1000003;
    double total = 0;
    for (const RouteTarget &target : route.targets)
        total += target.weight;
    double position = total * static_cast<double>(stableHash(key) % resolution) / resolution;
    for (const RouteTarget &target : route.targets) {
        if (position < target.weight)
            return target.service;
        position -= target.weight;
    }
    return route.targets.back().service;
}

std::string selectService(const Route &route, std::string_view key,
                          const std::function<bool(const std::string &service)> &isAvailable)
{
    if (route.targets.size() == 1)
        return route.targets.front().service;
    Route available;
    std::copy_if(route.targets.begin(), route.targets.end(), std::back_inserter(available.targets),
                 [&](const RouteTarget &target) {
                     return target.weight > 0 && isAvailable(target.service);
                 });
    return selectService(available.targets.empty() ? route : available, key);
}

DeploymentIndex::DeploymentIndex(Deployment deployment)
    : m_deployment(std::move(deployment))
{
    for (const Route &route : m_deployment.routes)
        m_routes[normalizedHost(route.host)][route.pathPrefix] = &route;
    for (const Service &service : m_deployment.services)
        m_services[service.name] = &service;
    for (const Workspace &workspace : m_deployment.workspaces) {
        m_workspaces[workspace.name] = &workspace;
        for (const std::string &key : workspace.keys)
            m_keys[key] = &workspace;
    }
}

const Route *DeploymentIndex::route(std::string_view host, std::string_view path) const
{
    const auto routes = m_routes.find(normalizedHost(host));
    if (routes == m_routes.end())
        return nullptr;
    // Each prefix ends with a slash, so only the parts of the path up to one of its slashes can
    // match; the longest one is looked up first.
    for (std::size_t slash = path.rfind('/'); slash != std::string_view::npos;) {
        const auto found = routes->second.find(path.substr(0, slash + 1));
        if (found != routes->second.end())
            return found->second;
        if (slash == 0)
            break;
        slash = path.rfind('/', slash - 1);
    }
    return nullptr;
}

const Route *DeploymentIndex::routeNamed(std::string_view name) const
{
    for (const Route &route : m_deployment.routes) {
        if (route.name == name)
            return &route;
    }
    return nullptr;
}

const Service *DeploymentIndex::service(std::string_view name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : found->second;
}

const Workspace *DeploymentIndex::workspaceOfKey(std::string_view key) const
{
    const auto found = m_keys.find(key);
    return found == m_keys.end() ? nullptr : found->second;
}

const Workspace *DeploymentIndex::workspace(std::string_view name) const
{
    const auto found = m_workspaces.find(name);
    return found == m_workspaces.end() ? nullptr : found->second;
}

} // namespace rattanrill::serving
