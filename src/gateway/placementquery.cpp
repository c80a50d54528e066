#include "placementquery.h"

#include "rattanrill/base/concat.h"

#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

namespace rattanrill::gateway {
namespace {

constexpr std::array<std::string_view, 11> parameterNames = {
        "route",   "workspace",     "kind",          "failure_domain", "instance", "priority",
        "version", "prompt_tokens", "output_tokens", "excluded",       "service",
};
constexpr std::string_view repeatableParameter = "excluded";
/// Maximum number of values of repeatableParameter. Each upstream is compared with all of them on
/// the event loop of the broker, and a request is sent to far fewer upstreams.
constexpr std::size_t maxExcludedUpstreams = 16;

/// Values of the parameters, by name.
using Parameters = std::map<std::string, std::vector<std::string>, std::less<>>;

boost::leaf::error_id invalidQuery(std::string detail)
{
    return fail(notRun(ErrorCode::InvalidRequest, std::move(detail)));
}

boost::leaf::error_id invalidValue(std::string_view name, std::string_view problem,
                                   std::string_view value)
{
    return invalidQuery(concat("parameter \"", name, "\": ", problem, " \"", value, "\""));
}

Result<Parameters> parseParameters(const std::string &target)
{
    const auto url = boost::urls::parse_origin_form(target);
    if (!url)
        return invalidQuery(concat("the request target \"", target, "\" can't be parsed"));
    boost::urls::encoding_opts options;
    options.space_as_plus = true;
    Parameters parameters;
    for (const auto &parameter : url->params(options)) {
        const bool isKnown = std::find(parameterNames.begin(), parameterNames.end(), parameter.key)
                             != parameterNames.end();
        if (!isKnown)
            return invalidQuery(concat("unknown parameter \"", parameter.key,
                                       "\" with the value \"", parameter.value, "\""));
        std::vector<std::string> &values = parameters[parameter.key];
        if (!values.empty() && parameter.key != repeatableParameter)
            return invalidValue(parameter.key, "the parameter is repeated with the value",
                                parameter.value);
        values.push_back(parameter.value);
    }
    return parameters;
}

/// Value of a parameter; null if it is not given.
const std::string *valueOf(const Parameters &parameters, std::string_view name)
{
    const auto found = parameters.find(name);
    return found == parameters.end() ? nullptr : &found->second.front();
}

Result<std::string> requiredValue(const Parameters &parameters, std::string_view name)
{
    const std::string *value = valueOf(parameters, name);
    if (value == nullptr)
        return invalidQuery(concat("parameter \"", name, "\" is missing"));
    return *value;
}

Result<std::int64_t> integerOr(const Parameters &parameters, std::string_view name,
                               std::int64_t fallback, std::int64_t max)
{
    const std::string *value = valueOf(parameters, name);
    if (value == nullptr)
        return fallback;
    std::int64_t number = -1;
    const char *end = value->data() + value->size();
    const auto [parsedEnd, error] = std::from_chars(value->data(), end, number);
    const bool isValid = error == std::errc() && parsedEnd == end && number >= 0 && number <= max;
    if (!isValid)
        return invalidValue(name, concat("not an integer from 0 to ", max, ":"), *value);
    return number;
}

Result<const serving::Route *> routeOf(const Parameters &parameters,
                                       const serving::DeploymentIndex &deployment)
{
    BOOST_LEAF_AUTO(name, requiredValue(parameters, "route"));
    const serving::Route *route = deployment.routeNamed(name);
    if (route == nullptr)
        return invalidValue("route", "the configuration has no route", name);
    return route;
}

/// Returns null for requests without a key, which the empty name stands for.
Result<const serving::Workspace *> workspaceOf(const Parameters &parameters,
                                               const serving::DeploymentIndex &deployment,
                                               const serving::Route &route)
{
    BOOST_LEAF_AUTO(name, requiredValue(parameters, "workspace"));
    const bool needsKey = deployment.hasWorkspaces() && !route.allowsAnonymous;
    if (name.empty() && !needsKey)
        return nullptr;
    const serving::Workspace *workspace = deployment.workspace(name);
    if (workspace == nullptr)
        return invalidValue("workspace", "the configuration has no workspace", name);
    return workspace;
}

Result<policy::TaskKind> kindOf(const Parameters &parameters, const serving::Route &route)
{
    const std::string *name = valueOf(parameters, "kind");
    if (name == nullptr)
        return route.kind == serving::RouteKind::Batch ? policy::TaskKind::Batch
                                                       : policy::TaskKind::Online;
    const auto kind = policy::taskKindFromName(*name);
    if (!kind)
        return invalidValue("kind", "neither \"online\" nor \"batch\":", *name);
    return *kind;
}

/// Without the parameter, the service with the largest share of the route's requests.
Result<std::string> serviceOf(const Parameters &parameters, const serving::Route &route)
{
    const auto &targets = route.targets;
    const std::string *name = valueOf(parameters, "service");
    if (name == nullptr)
        return std::max_element(targets.begin(), targets.end(),
                                [](const auto &left, const auto &right) {
                                    return left.weight < right.weight;
                                })
                ->service;
    const bool isTarget = std::any_of(targets.begin(), targets.end(), [&](const auto &target) {
        return target.service == *name && target.weight > 0;
    });
    if (!isTarget)
        return invalidValue("service", "the route sends no requests to the service", *name);
    return *name;
}

/// Upstreams that the request was sent to before.
Result<std::vector<std::string>> excludedOf(const Parameters &parameters, policy::TaskKind kind)
{
    const auto found = parameters.find(repeatableParameter);
    if (found == parameters.end())
        return std::vector<std::string>();
    const std::vector<std::string> &excluded = found->second;
    if (kind == policy::TaskKind::Batch)
        return invalidValue(repeatableParameter,
                            "batch items have no excluded upstreams:", excluded.front());
    if (excluded.size() > maxExcludedUpstreams)
        return invalidValue(repeatableParameter,
                            concat("more than ", maxExcludedUpstreams, " values, the last one is"),
                            excluded.back());
    return excluded;
}

/// Time from the arrival of the request by which its response, or the item's result, is due.
absl::Duration dueAfter(const serving::Route &route, policy::TaskKind kind)
{
    const bool hasObjective =
            kind == policy::TaskKind::Batch && route.completionObjective > absl::ZeroDuration();
    return hasObjective ? route.completionObjective : route.timeout;
}

} // namespace

Result<PlacementQuery> parsePlacementQuery(const std::string &target,
                                           const serving::DeploymentIndex &deployment,
                                           const PlacementSender &batchSender)
{
    BOOST_LEAF_AUTO(parameters, parseParameters(target));
    PlacementQuery query;
    BOOST_LEAF_ASSIGN(query.route, routeOf(parameters, deployment));
    const serving::Route &route = *query.route;
    BOOST_LEAF_AUTO(workspace, workspaceOf(parameters, deployment, route));
    BOOST_LEAF_ASSIGN(query.kind, kindOf(parameters, route));
    const bool isBatch = query.kind == policy::TaskKind::Batch;
    wire::SlotRequest &request = query.request;
    BOOST_LEAF_ASSIGN(request.service, serviceOf(parameters, route));
    request.workspace = workspace == nullptr ? std::string() : workspace->name;
    const bool hasOwnPriority = workspace != nullptr && workspace->priority >= 0;
    BOOST_LEAF_ASSIGN(request.priority,
                      integerOr(parameters, "priority",
                                hasOwnPriority ? workspace->priority : route.priority,
                                std::numeric_limits<int>::max()));
    constexpr std::int64_t maxTokens = std::numeric_limits<std::int64_t>::max();
    BOOST_LEAF_ASSIGN(request.promptTokens, integerOr(parameters, "prompt_tokens", 0, maxTokens));
    BOOST_LEAF_ASSIGN(request.outputTokens, integerOr(parameters, "output_tokens", 0, maxTokens));
    const PlacementSender sender = isBatch ? batchSender : PlacementSender();
    const std::string *instance = valueOf(parameters, "instance");
    request.instance = instance == nullptr ? sender.instance : *instance;
    const std::string *failureDomain = valueOf(parameters, "failure_domain");
    request.failureDomain = failureDomain == nullptr ? sender.failureDomain : *failureDomain;
    if (const std::string *version = valueOf(parameters, "version")) {
        request.resumed = true;
        request.versionKnown = true;
        request.version = *version;
    }
    BOOST_LEAF_ASSIGN(request.excluded, excludedOf(parameters, query.kind));
    // The first attempt, which was sent to one of them, was charged.
    request.chargesRate = request.excluded.empty();
    request.objectiveMs = absl::ToInt64Milliseconds(route.latencyObjective);
    request.deadlineMs = absl::ToInt64Milliseconds(dueAfter(route, query.kind));
    return query;
}

} // namespace rattanrill::gateway
